"""Reads one stream from the engine, through broken connections."""

import logging
from typing import Protocol

from twisted.internet import defer

from shallothinge import sse
from shallothinge.agent import bounds
from shallothinge.agent import engine as engines
from shallothinge.agent import http
from shallothinge.agent import model
from shallothinge.errors import ErrorKind
from shallothinge.streams import owned

LOG = logging.getLogger(__name__)

RECONNECT_MS = 100
RECONNECTS = 20
HEADERS_TIMEOUT_MS = 5000

# The engine's errors that state that it did not run the stream.
REFUSALS = {
    'bad_request': ErrorKind.BAD_REQUEST,
    'duplicate_request': ErrorKind.BAD_REQUEST,
    'memory_full': ErrorKind.MEMORY_FULL,
    'model_not_loaded': ErrorKind.NO_BACKEND_SERVER,
    'not_found': ErrorKind.NO_BACKEND_SERVER,
    'not_ready': ErrorKind.NO_BACKEND_SERVER,
    'overloaded': ErrorKind.OVERLOADED,
    'stale_fence': ErrorKind.STALE_FENCE,
    'weight_store_busy': ErrorKind.OVERLOADED,
}
REFUSAL_STATUSES = (400, 404, 409, 503)


def refusal_of(answer: http.Answer) -> ErrorKind | None:
    """Return the kind of an engine's refusal, None if it is no refusal.

    The status alone states nothing: an engine that fails, or a proxy before
    it, may answer a stream that has run with the same status.
    """
    if answer.status not in REFUSAL_STATUSES:
        return None
    try:
        error = model.read_json(answer.body, model.EngineError).error
    except model.BadAnswer as unreadable:
        LOG.warning(
            "an engine's error can't be read: %r",
            unreadable,
            extra={'status': answer.status},
        )
        return None
    return REFUSALS.get(error)


class StreamListener(Protocol):
    """Learns what becomes of a stream."""

    def accepted(self, key: owned.StreamKey) -> None:
        """The engine runs the stream."""

    def refused(
        self, key: owned.StreamKey, kind: ErrorKind, retry_after_ms: int
    ) -> None:
        """The engine did not run the stream."""

    def generated(
        self, key: owned.StreamKey, event: model.TokensGenerated
    ) -> owned.Extent:
        """Tokens arrived; the answer tells where they fall."""

    def finished(
        self, key: owned.StreamKey, event: model.GenerationFinished
    ) -> None:
        """The stream ended, whole."""

    def failed(self, key: owned.StreamKey, kind: ErrorKind) -> None:
        """The stream can not be continued on this engine."""

    def next_offset(self, key: owned.StreamKey) -> int:
        """Return the offset of the next token to come."""

    def connection_broke(self) -> None:
        """A connection to the engine broke."""


class EngineStream:
    """One stream on the engine.

    A connection that breaks is replaced by one that goes on at the next
    offset, as long as the engine still knows the stream.
    """

    def __init__(
        self,
        *,
        reactor,
        engine: engines.EngineClient,
        key: owned.StreamKey,
        listener: StreamListener,
    ):
        self._reactor = reactor
        self._engine = engine
        self._key = key
        self._listener = listener
        self._stopped = False
        self._accepted = False
        self._body = None
        self._opening = None
        self._retry = None
        self._reconnects = 0
        self._connection = 0
        self._bounds = bounds.AnswerBounds(max_tokens=0)

    @property
    def request_id(self) -> str:
        """Return the id of the request that the stream answers."""
        return self._key.request_id

    @property
    def is_accepted(self) -> bool:
        """Return whether the engine is known to run the stream."""
        return self._accepted

    def start(self, *, completion: engines.Completion, may_send) -> None:
        """Ask the engine to run the stream."""
        self._bounds = bounds.AnswerBounds(max_tokens=completion.max_tokens)
        self._opening = self._engine.start(
            completion=completion, may_send=may_send
        )
        self._opening.addTimeout(HEADERS_TIMEOUT_MS / 1000, self._reactor)
        self._opening.addCallbacks(self._answered, self._start_failed)
        self._opening.addErrback(self._unexpected)

    def reconnect(self) -> None:
        """Replace a connection that may be silent for good."""
        if self._stopped or not self._accepted:
            return
        self._drop()
        self._resume_later()

    def stop(self) -> None:
        """Drop the connection; nothing is reported any more."""
        self._stopped = True
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        self._drop()

    def _drop(self) -> None:
        self._connection += 1
        opening, self._opening = self._opening, None
        if opening is not None:
            opening.cancel()
        body, self._body = self._body, None
        if body is not None:
            body.abort()

    def _answered(self, response):
        self._opening = None
        if self._stopped:
            return None
        if response.code == 200:
            self._accept()
            self._read(response)
            return None
        return self._refuse(response)

    def _accept(self) -> None:
        if not self._accepted:
            self._accepted = True
            self._listener.accepted(self._key)

    @defer.inlineCallbacks
    def _refuse(self, response):
        try:
            answer = yield http.collect(
                response=response,
                reactor=self._reactor,
                timeout_ms=HEADERS_TIMEOUT_MS,
            )
        except (http.Broken, defer.TimeoutError) as error:
            self._refused_in_part(error)
            return
        if self._stopped:
            return
        kind = refusal_of(answer)
        if kind is None:
            self._fail(ErrorKind.BACKEND_FAILED)
        else:
            self._stopped = True
            self._listener.refused(self._key, kind, answer.retry_after_ms)

    def _refused_in_part(self, error: Exception) -> None:
        """Take what may have been a refusal for a stream that was lost."""
        if self._stopped:
            return
        LOG.warning(
            "an engine's refusal is not whole: %r",
            error,
            extra={'request_id': self._key.request_id},
        )
        self._listener.connection_broke()
        self._fail(ErrorKind.BACKEND_FAILED)

    def _start_failed(self, failure) -> None:
        self._opening = None
        if self._stopped:
            return
        if failure.check(http.NotSent):
            self._stopped = True
            kind = ErrorKind.NO_BACKEND_SERVER
            self._listener.connection_broke()
            self._listener.refused(self._key, kind, 0)
        else:
            self._listener.connection_broke()
            self._resume_later()

    def _read(self, response) -> None:
        reader = _Reader(stream=self, connection=self._connection)
        self._body = response
        response.deliver(reader)

    def take(self, connection: int, event: model.StreamEvent) -> bool:
        """Take an event of a connection; those of older ones are late.

        :returns: whether it brought a new token.
        """
        if self._stopped or connection != self._connection:
            return False
        if isinstance(event, model.TokensGenerated):
            return self._take_tokens(event)
        if isinstance(event, model.GenerationFinished):
            self._finish(event)
        elif isinstance(event, model.GenerationFailed):
            self._fail(ErrorKind.BACKEND_FAILED)
        return False

    def lost(self, connection: int) -> None:
        """Take note that a connection ended or sends what is no stream."""
        if self._stopped or connection != self._connection:
            return
        self._drop()
        self._listener.connection_broke()
        self._resume_later()

    def _take_tokens(self, event: model.TokensGenerated) -> bool:
        if not self._bounds.allow(event):
            LOG.warning(
                'an engine sent more than was asked for',
                extra={
                    'request_id': self._key.request_id,
                    'offset': event.offset,
                    'tokens': len(event.tokens),
                },
            )
            self._fail(ErrorKind.BACKEND_FAILED)
            return False
        extent = self._listener.generated(self._key, event)
        if extent is owned.Extent.NEXT:
            self._reconnects = 0
            self._bounds.took(event)
        elif extent is owned.Extent.GAP:
            self.reconnect()
        return extent is owned.Extent.NEXT

    def _finish(self, event: model.GenerationFinished) -> None:
        missing = event.offset - self._listener.next_offset(self._key)
        if missing > 0:
            self.reconnect()
            return
        self.stop()
        self._listener.finished(self._key, event)

    def _fail(self, kind: ErrorKind) -> None:
        self.stop()
        self._listener.failed(self._key, kind)

    def _resume_later(self) -> None:
        self._reconnects += 1
        if self._reconnects > RECONNECTS:
            self._fail(ErrorKind.BACKEND_FAILED)
            return
        if self._retry is not None and self._retry.active():
            return
        self._retry = self._reactor.callLater(
            RECONNECT_MS / 1000, self._resume
        )

    def _resume(self) -> None:
        if self._stopped:
            return
        self._drop()
        opening = self._engine.resume(
            stream_id=self._key.engine_id,
            offset=self._listener.next_offset(self._key),
        )
        opening.addTimeout(HEADERS_TIMEOUT_MS / 1000, self._reactor)
        self._opening = opening
        opening.addCallbacks(
            self._resumed, self._resume_failed, callbackArgs=(opening,)
        )
        opening.addErrback(self._unexpected)

    def _resumed(self, response, opening) -> None:
        if self._stopped or opening is not self._opening:
            return
        self._opening = None
        if response.code == 200:
            self._accept()
            self._read(response)
            return
        # Of the body nothing is of use, and it may have no end.
        response.abort()
        if response.code == 404:
            self._fail(ErrorKind.BACKEND_FAILED)
        else:
            self._resume_later()

    def _resume_failed(self, failure) -> None:
        if self._stopped or failure.check(defer.CancelledError):
            return
        self._opening = None
        self._resume_later()

    def _unexpected(self, failure) -> None:
        LOG.error(
            'reading a stream failed: %s',
            failure.getTraceback(),
            extra={'request_id': self._key.request_id},
        )
        if not self._stopped:
            self._fail(ErrorKind.BACKEND_FAILED)


class _Reader:
    """Parses the body of one connection."""

    def __init__(self, *, stream: EngineStream, connection: int):
        self._stream = stream
        self._connection = connection
        self._parser = sse.EventParser()
        self._idle_bytes = 0

    def received(self, data: bytes) -> None:
        """Parse the bytes and hand over the events."""
        try:
            events = [
                model.read_event(text) for text in self._parser.feed(data)
            ]
        except (model.BadAnswer, sse.EventTooLong) as error:
            LOG.warning(
                'an engine sent a malformed event: %r',
                error,
                extra={'request_id': self._stream.request_id},
            )
            self._stream.lost(self._connection)
            return
        self._idle_bytes += len(data)
        for event in events:
            if self._stream.take(self._connection, event):
                self._idle_bytes = 0
        if self._idle_bytes > bounds.IDLE_BYTES:
            LOG.warning(
                'an engine sends no new tokens',
                extra={
                    'request_id': self._stream.request_id,
                    'received_bytes': self._idle_bytes,
                },
            )
            self._stream.lost(self._connection)

    def ended(self) -> None:
        """Tell the stream that the connection ended."""
        self._stream.lost(self._connection)
