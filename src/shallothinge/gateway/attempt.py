"""One request at one backend server."""

from typing import Protocol

import attrs

from shallothinge import clock as clocks
from shallothinge.gateway import model
from shallothinge.gateway import parts as shared
from shallothinge.gateway import reservation
from shallothinge.gateway.policy import Cause
from shallothinge.http1 import client
from shallothinge.http1 import event_stream
from shallothinge.http1 import messages
from shallothinge.membership.model import BackendServer
from shallothinge.placement import choice
from shallothinge.placement import fleet


@attrs.frozen(kw_only=True)
class Outcome:
    """How an attempt failed.

    ``answer`` and ``body`` hold the server's own failure, if it gave one
    that is whole and signed. ``fault_address`` or ``fault_id`` names the
    helper that is to blame, if one is.
    """

    cause: Cause
    may_have_run: bool
    was_sent: bool
    detail: str = ''
    fault_address: str = ''
    fault_id: str = ''
    answer: model.AnswerHead | None = None
    body: bytes = attrs.field(default=b'', repr=False)


class Owner(Protocol):
    """What an attempt tells its request."""

    def on_events(self, events: list[event_stream.StreamEvent]) -> None:
        """Take whole events of a stream that came together."""

    def on_stream_head(self, head: model.AnswerHead) -> None:
        """Take the head of a successful stream."""

    def on_stream_end(self, rest: bytes) -> None:
        """Take the end of a stream and the bytes after its last event."""

    def on_answer(self, head: model.AnswerHead, body: bytes) -> None:
        """Take a whole successful answer."""

    def on_failed(self, outcome: Outcome) -> None:
        """Take the failure of the attempt."""


class Attempt:
    """Sends a request to a backend server and reads its answer.

    Nothing is told after ``cancel``. The work counts in the load of the
    server and of its helpers until it ends there.

    :param work: the work at the server itself.
    :ivar sent_after_ms: from choosing the server to sending, None until then.
    """

    def __init__(
        self,
        *,
        parts: shared.Parts,
        order: model.ForwardOrder,
        placement: choice.Placement,
        work: fleet.Work,
        is_stream: bool,
        owner: Owner,
    ):
        self._parts = parts
        self._order = order
        self._placement = placement
        self._is_stream = is_stream
        self._owner = owner
        self._splitter = event_stream.EventSplitter()
        self._answer: model.AnswerHead | None = None
        self._body = bytearray()
        self._is_over = False
        self._timer = None
        self._is_paused = False
        self._expected_ms: float | None = None
        self._placed_ms = parts.clock.now_ms()
        self.sent_after_ms: int | None = None
        self._server: BackendServer | None = None
        self._exchange = None
        self._reservation = None
        self._work_ids = [
            parts.load.start(one) for one in choice.works_of(placement, work)
        ]

    @property
    def server_id(self) -> str:
        """Return the server that the request is sent to."""
        return self._placement.server_id

    def start(self, *, server: BackendServer) -> None:
        """Send the request, once all the memory for it is reserved."""
        self._server = server
        if not self._placement.shares:
            self._send(server.address)
            return
        self._reservation = reservation.Reservation(
            parts=self._parts,
            request_id=self._order.request.request_id,
            shares=self._placement.shares,
        )
        self._reservation.reserve(
            on_held=lambda: self._send(server.address),
            on_refused=self._on_no_memory,
        )

    def _send(self, address: str) -> None:
        if self._is_over:
            return
        order = attrs.evolve(self._order, helpers=self._helpers())
        self._exchange = self._parts.caller.call(
            address=address,
            head=self._parts.dialect.write_request(order),
            body=self._order.request.body,
            listener=self,
            may_send=self._may_send,
        )
        if self._is_paused:
            self._exchange.pause()

    def _may_send(self) -> bool:
        """Decide once more when the connection stands."""
        is_allowed = (
            self._parts.holder.is_valid()
            and self._parts.servers.may_get_work(self.server_id)
        )
        if not is_allowed:
            return False
        now_ms = self._parts.clock.now_ms()
        self.sent_after_ms = now_ms - self._placed_ms
        self._parts.metrics.record_send_delay(duration_ms=self.sent_after_ms)
        return True

    def _helpers(self) -> tuple[model.Helper, ...]:
        found = []
        for server_id in self._placement.helper_ids:
            server = self._parts.servers.find(server_id)
            ticket_id = ''
            if self._reservation is not None:
                ticket_id = self._reservation.ticket_at(server_id)
            if server is not None:
                found.append(
                    model.Helper(address=server.address, ticket_id=ticket_id)
                )
        return tuple(found)

    def _on_no_memory(self, server_id: str) -> None:
        """A helper has no memory: nothing was sent yet."""
        if self._is_over:
            return
        self._end()
        self._owner.on_failed(
            Outcome(
                cause=Cause.NO_MEMORY,
                may_have_run=False,
                was_sent=False,
                detail=f'no memory at {server_id}',
                fault_id=server_id,
            )
        )

    def expect_within(self, duration_ms: float) -> None:
        """Fail as stalled unless something arrives within a time."""
        self._stop_timer()
        self._expected_ms = duration_ms
        if not self._is_over and not self._is_paused:
            self._timer = self._parts.reactor.callLater(
                duration_ms / clocks.MS_PER_SECOND, self._on_stalled
            )

    def pause(self) -> None:
        """Read no more, and expect nothing, until the caller has read."""
        self._is_paused = True
        self._stop_timer()
        if self._exchange is not None and not self._is_over:
            self._exchange.pause()

    def resume(self) -> None:
        """Read on."""
        self._is_paused = False
        if self._exchange is not None and not self._is_over:
            self._exchange.resume()
        if self._expected_ms is not None:
            self.expect_within(self._expected_ms)

    def cancel(self) -> None:
        """Drop the request at the server; nothing more is told."""
        if not self._is_over:
            self._end()
            if self._exchange is not None:
                self._exchange.cancel()

    def on_head(self, head: messages.ResponseHead) -> None:
        """Sort the server's answer by its head."""
        answer = self._parts.dialect.read_answer(head)
        self._parts.servers.told(
            self._server,
            is_leaving=answer.is_leaving,
            pause_ms=answer.pause_ms,
        )
        if answer.request_id != self._order.request.request_id:
            self._fail(Cause.BROKEN, detail='the answer is to another request')
        elif answer.is_unrun:
            self._refused(answer)
        elif answer.is_success and not answer.is_signed:
            self._fail(Cause.BROKEN, detail='the answer is not signed')
        else:
            self._answer = answer
            if self._streams():
                self._exchange.read_as_stream()
                self._owner.on_stream_head(answer)

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self._is_over:
            return
        if not self._streams():
            self._body += data
            return
        try:
            events = self._splitter.feed(data)
        except event_stream.EventTooLong as error:
            self._fail(Cause.BROKEN, detail=str(error))
            return
        if events:
            for work_id in self._work_ids:
                self._parts.load.first_event(work_id)
            self._end_helpers()
            self._owner.on_events(events)

    def on_end(self) -> None:
        """Take the end of the answer."""
        if self._is_over:
            return
        self._end()
        if self._streams():
            self._owner.on_stream_end(self._splitter.rest)
        elif self._answer.is_success:
            self._owner.on_answer(self._answer, bytes(self._body))
        else:
            self._owner.on_failed(
                Outcome(
                    cause=Cause.SERVER_ERROR,
                    may_have_run=True,
                    was_sent=True,
                    detail=f'status {self._answer.status}',
                    answer=self._answer if self._answer.is_signed else None,
                    body=bytes(self._body),
                )
            )

    def on_failure(self, failure: client.Failure) -> None:
        """Take the end of a connection before the end of its answer."""
        if self._is_over:
            return
        self._end()
        self._owner.on_failed(
            Outcome(
                cause=Cause.BROKEN if failure.was_sent else Cause.NOT_SENT,
                may_have_run=failure.was_sent,
                was_sent=failure.was_sent,
                detail=f'{failure.kind.value}: {failure.detail}',
            )
        )

    def _streams(self) -> bool:
        return (
            self._is_stream
            and self._answer is not None
            and self._answer.is_success
        )

    def _refused(self, answer: model.AnswerHead) -> None:
        """The server states that it did not run the request."""
        self._end()
        self._exchange.cancel()
        detail = f'status {answer.status}'
        if answer.fault_address:
            detail += f' for {answer.fault_address}'
        self._owner.on_failed(
            Outcome(
                cause=Cause.REFUSED_UNRUN,
                may_have_run=False,
                was_sent=True,
                detail=detail,
                fault_address=answer.fault_address,
                answer=answer,
            )
        )

    def _on_stalled(self) -> None:
        self._timer = None
        self._fail(Cause.STALLED, detail='nothing arrived in time')

    def _fail(self, cause: Cause, *, detail: str) -> None:
        """Give up an attempt whose request has left."""
        if self._is_over:
            return
        self._end()
        may_have_run = self._exchange is not None
        if self._exchange is not None:
            self._exchange.cancel()
        self._owner.on_failed(
            Outcome(
                cause=cause,
                may_have_run=may_have_run,
                was_sent=may_have_run,
                detail=detail,
            )
        )

    def _end_helpers(self) -> None:
        """Note that the parts are read; reserved memory is still held."""
        if self._reservation is not None:
            return
        for work_id in self._work_ids[1:]:
            self._parts.load.end(work_id)
        del self._work_ids[1:]

    def _end(self) -> None:
        self._is_over = True
        self._stop_timer()
        for work_id in self._work_ids:
            self._parts.load.end(work_id)
        if self._reservation is not None:
            self._reservation.release()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
