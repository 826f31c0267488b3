"""The answer that the caller of one request gets."""

from collections.abc import Callable
import logging

from shallothinge import errors
from shallothinge import sse
from shallothinge.gateway import dependencies
from shallothinge.gateway import event_times
from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.http1 import exchange as exchanges
from shallothinge.routes import model as routes

LOG = logging.getLogger(__name__)


class CallerAnswer:
    """Writes a stream, a complete answer or an error to the caller.

    No answer promises that the request has not run if a server may have run
    it, as callers send it again after such a promise.

    :param may_have_run: returns whether an attempt may have run the request.
    :param on_over: called once with outcome, status and detail as the
        answer ends.
    :ivar is_over: whether the outcome is known.
    :ivar last_event_id: id of the last event that the caller has, or ''.
    :ivar times: times of the events that were written.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        exchange: exchanges.Exchange,
        request: model.CallerRequest,
        route: routes.Route,
        may_have_run: Callable[[], bool],
        on_over: Callable[[str, int, str], None],
    ):
        self._parts = parts
        self._exchange = exchange
        self._request_id = request.request_id
        self._route = route
        self._may_have_run = may_have_run
        self._on_over = on_over
        self.is_over = False
        self.last_event_id = request.last_event_id
        self.times = event_times.EventTimes()

    @property
    def is_begun(self) -> bool:
        """Return whether the head has been sent."""
        return self._exchange.is_begun

    @property
    def is_ended(self) -> bool:
        """Return whether the outcome is known and the answer written."""
        return self.is_over and self._exchange.is_ended

    def take_unsent(self, events: list[sse.StreamEvent]) -> bytes:
        """Return the bytes of the events that the caller does not have."""
        data, self.last_event_id = sse.join_unsent_events(
            events, last_id=self.last_event_id
        )
        return data

    def write(self, head: model.AnswerHead, data: bytes) -> None:
        """Write events; the head of the answer comes with the first one."""
        self.times.record(self._parts.clock.now_ms())
        self.write_comments(head, data)

    def write_comments(self, head: model.AnswerHead, data: bytes) -> None:
        """Write bytes of a stream that are no event to its caller."""
        self._begin(head)
        self._exchange.write(data)

    def finish(self, head: model.AnswerHead, rest: bytes) -> None:
        """Write the rest of a stream and end it as complete."""
        self._begin(head)
        self._exchange.write(rest)
        self.end('finished', status=head.status)
        self._exchange.finish()

    def respond(
        self, outcome: str, head: model.AnswerHead, body: bytes
    ) -> None:
        """Write the complete answer of a server.

        It is replaced if its status promises what is not certain.
        """
        if head.promises_unrun and self._may_have_run():
            self.refuse(
                policy.unknown_outcome_error(
                    self._route,
                    detail=f'{outcome}: status {head.status}',
                    retry_after_ms=head.retry_after_ms,
                )
            )
            return
        self.end(outcome, status=head.status)
        self._exchange.respond(
            status=head.status, headers=head.headers, body=body
        )

    def refuse(self, error: errors.ServingError) -> None:
        """Write an error, or abort an answer that has begun."""
        if self.is_begun:
            self.abort(error.kind.value)
            return
        error = self._without_false_promise(error)
        status, headers, body = self._parts.dialect.write_error(
            error=error, request_id=self._request_id
        )
        self._parts.metrics.count_refusal(kind=error.kind)
        self.end(error.kind.value, status=status, detail=error.detail)
        self._exchange.respond(status=status, headers=headers, body=body)

    def _without_false_promise(
        self, error: errors.ServingError
    ) -> errors.ServingError:
        if not errors.is_false_promise(
            error.kind, may_have_run=self._may_have_run()
        ):
            return error
        LOG.error(
            'an error would promise that a request has not run that may have',
            extra={
                'request_id': self._request_id,
                'outcome': error.kind.value,
                'detail': error.detail,
            },
        )
        return policy.unknown_outcome_error(
            self._route, detail=error.detail or error.kind.value
        )

    def abort(self, cause: str) -> None:
        """Abort an answer that has begun, so that it is seen as truncated."""
        self.end(f'cut_{cause}', status=0)
        self._exchange.abort()

    def end(self, outcome: str, *, status: int, detail: str = '') -> None:
        """Record the outcome, unless there is one.

        :param detail: why it was refused, '' if it was not or it is plain.
        """
        if not self.is_over:
            self.is_over = True
            self._on_over(outcome, status, detail)

    def _begin(self, head: model.AnswerHead) -> None:
        if not self.is_begun:
            self._exchange.begin(status=head.status, headers=head.headers)
