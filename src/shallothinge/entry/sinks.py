"""The caller's end of a request, as an HTTP response.

Each response ends once: with a whole answer, with an error, or with the
caller's leaving.
"""

from collections.abc import Callable

from shallothinge import errors
from shallothinge.calls import messages as calls
from shallothinge.entry import answers
from shallothinge.streams import messages

EVENT_STREAM = b'text/event-stream; charset=utf-8'
JSON = b'application/json'


class Response:
    """A response that knows whether it has begun and ended.

    :param on_left: called if the caller leaves before the end.
    """

    def __init__(self, *, request, request_id: str):
        self.request_id = request_id
        self.on_left: Callable[[], None] | None = None
        self.has_begun = False
        self._request = request
        self._ended = False
        request.notifyFinish().addErrback(self._left)

    def _left(self, _) -> None:
        if self._ended:
            return
        self._ended = True
        if self.on_left is not None:
            self.on_left()

    def begin(self, *, status: int, content_type: bytes) -> None:
        """Send status and headers with the first bytes of the body."""
        if self._ended:
            return
        self.has_begun = True
        self._request.setResponseCode(status)
        self._request.setHeader(b'Content-Type', content_type)
        self._request.setHeader(b'Cache-Control', b'no-store')
        self._request.setHeader(b'X-Request-Id', self.request_id.encode())

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._ended:
            self._request.write(data)

    def end(self, data: bytes = b'') -> None:
        """Send the last part of the body and end the response."""
        if self._ended:
            return
        self._ended = True
        if data:
            self._request.write(data)
        self._request.finish()

    def end_whole(
        self, *, status: int, content_type: bytes, body: bytes
    ) -> None:
        """Send a whole response with its length."""
        if self._ended:
            return
        self.begin(status=status, content_type=content_type)
        self._request.setHeader(b'Content-Length', str(len(body)).encode())
        self.end(body)

    def fail(self, error: errors.ServingError) -> None:
        """Send an error as the whole response."""
        if self._ended:
            return
        reply = answers.error_reply(error=error, request_id=self.request_id)
        if reply.retry_after_s:
            self._request.setHeader(
                b'Retry-After', str(reply.retry_after_s).encode()
            )
        self.end_whole(
            status=reply.http_status, content_type=JSON, body=reply.body
        )


class StreamSink:
    """Sends an answer as server-sent events while it is generated."""

    def __init__(self, *, response: Response, model: str, created_s: int):
        self._response = response
        self._model = model
        self._created_s = created_s

    def _chunk(self, **content) -> bytes:
        return answers.chunk(
            request_id=self._response.request_id,
            model=self._model,
            created_s=self._created_s,
            **content,
        )

    def _begin(self) -> None:
        if not self._response.has_begun:
            self._response.begin(status=200, content_type=EVENT_STREAM)

    def tokens(self, tokens: tuple[str, ...]) -> None:
        """Send the next tokens."""
        self._begin()
        self._response.write(self._chunk(text=''.join(tokens)))

    def complete(self, finished: messages.StreamFinished) -> None:
        """Send the end that marks the answer as whole."""
        self._begin()
        self._response.end(self._chunk(finished=finished) + answers.DONE)

    def failed(self, error: errors.ServingError) -> None:
        """Send the error; an answer that has begun is marked as cut."""
        if not self._response.has_begun:
            self._response.fail(error)
            return
        fields = answers.error_fields(
            error=error, request_id=self._response.request_id
        )
        self._response.end(answers.event(fields))


class WholeSink:
    """Collects an answer and sends it in one piece."""

    def __init__(self, *, response: Response, model: str, created_s: int):
        self._response = response
        self._model = model
        self._created_s = created_s
        self._parts = []

    def tokens(self, tokens: tuple[str, ...]) -> None:
        """Keep the next tokens."""
        self._parts.extend(tokens)

    def complete(self, finished: messages.StreamFinished) -> None:
        """Send the whole answer."""
        body = answers.whole(
            request_id=self._response.request_id,
            model=self._model,
            created_s=self._created_s,
            text=''.join(self._parts),
            finished=finished,
        )
        self._response.end_whole(status=200, content_type=JSON, body=body)

    def failed(self, error: errors.ServingError) -> None:
        """Send the error; no part of the answer was sent."""
        self._response.fail(error)


class CallSink:
    """Sends the answer of a plain service."""

    def __init__(self, *, response: Response):
        self._response = response

    def answered(self, answer: calls.StoredAnswer) -> None:
        """Send the service's answer as it is."""
        self._response.end_whole(
            status=answer.status,
            content_type=answer.content_type.encode() or JSON,
            body=answer.body,
        )

    def failed(self, error: errors.ServingError) -> None:
        """Send the error."""
        self._response.fail(error)
