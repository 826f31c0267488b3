"""One attempt to have a request answered by one backend server."""

from typing import Protocol

import attrs

from shallothinge import guard as guards
from shallothinge import sse
from shallothinge.gateway import dependencies
from shallothinge.gateway import load_entry
from shallothinge.gateway import model
from shallothinge.gateway import notices
from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import pace_probe
from shallothinge.gateway import reservation
from shallothinge.gateway import stall_timer
from shallothinge.gateway.policy import FailureCause
from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.membership.model import BackendServer
from shallothinge.placement import choice
from shallothinge.placement import server_queue


class Owner(Protocol):
    """Callbacks from an attempt to the request that it belongs to."""

    def on_events(
        self, attempt: 'Attempt', events: list[sse.StreamEvent]
    ) -> None:
        """Handle complete events of a stream that arrived together."""

    def on_stream_end(self, attempt: 'Attempt', rest: bytes) -> None:
        """Handle the end of a stream and the bytes after its last event."""

    def on_data(self, attempt: 'Attempt') -> None:
        """Handle the arrival of a part of an answer that is no stream."""

    def on_answer(self, attempt: 'Attempt', body: bytes) -> None:
        """Handle a complete successful answer."""

    def on_stalled(self, attempt: 'Attempt') -> None:
        """Handle the stall timeout; the attempt continues."""

    def on_failed(self, attempt: 'Attempt', outcome: outcomes.Outcome) -> None:
        """Handle the failure of the attempt."""


class Attempt:
    """Sends a request to a backend server and reads its answer.

    The owner gets no callback after ``cancel``. The work counts towards the
    load of the server and of its helpers until it ends there.

    :param work: the work at the server itself, without its helpers.
    :param part_ids: parts of the prompt, and the request's fingerprint.
    :ivar sent_after_ms: time from the choice of the server until the request
        was sent, None until then.
    :ivar stall: the timeout after which the owner is notified of silence.
    :ivar answer_end: what marked the end of the answer, None before it has
        ended or if it broke off.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        order: model.ForwardOrder,
        placement: choice.Placement,
        work: server_queue.Work,
        part_ids: tuple[str, ...],
        is_stream: bool,
        owner: Owner,
        guard: guards.RequestGuard,
    ):
        self._parts = parts
        self._order = order
        self._placement = placement
        self._is_stream = is_stream
        self._owner = owner
        self._guard = guard
        self._splitter = sse.EventSplitter()
        self._answer: model.AnswerHead | None = None
        self._body = bytearray()
        self.answer_end: client.AnswerEnd | None = None
        self._first_event_ms: int | None = None
        self._is_over = False
        self._is_paused = False
        self.stall = stall_timer.StallTimer(
            reactor=parts.reactor,
            clock=parts.clock,
            on_expired=self._on_stalled,
        )
        self._placed_ms = parts.clock.now_ms()
        self._pace = pace_probe.PaceProbe(
            parts=parts, placement=placement, placed_ms=self._placed_ms
        )
        self.sent_after_ms: int | None = None
        self._sent_ms = self._placed_ms
        self._data_ms = self._placed_ms
        # The connection was open and was read without a pause from then on.
        self._reading_ms = self._placed_ms
        self._server: BackendServer | None = None
        self._exchange = None
        self._reservation = None
        self._run = parts.quarantine.start_run(part_ids)
        self._load = load_entry.LoadEntry(
            load=parts.load,
            placement=placement,
            work=work,
            keeps_helpers=bool(placement.shares),
        )

    @property
    def server_id(self) -> str:
        """Return the id of the server that the request is sent to."""
        return self._placement.server_id

    @property
    def server(self) -> BackendServer | None:
        """Return the server as it was listed, None before ``start``."""
        return self._server

    @property
    def head(self) -> model.AnswerHead | None:
        """Return the head of the answer, None before it has arrived."""
        return self._answer

    @property
    def writing_ms(self) -> int | None:
        """Return the time since the first event, None before it."""
        if self._first_event_ms is None:
            return None
        return self._parts.clock.now_ms() - self._first_event_ms

    @property
    def age_ms(self) -> int:
        """Return the time since the server was chosen."""
        return self._parts.clock.now_ms() - self._placed_ms

    @property
    def silent_ms(self) -> int:
        """Return for how long no part of a plain answer has arrived."""
        return self._parts.clock.now_ms() - self._data_ms

    @property
    def rest_bytes(self) -> int:
        """Return how many bytes came after the last whole event."""
        return len(self._splitter.rest)

    def start(self, *, server: BackendServer) -> None:
        """Reserve memory at the helpers if needed, then send the request."""
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

    @guards.guarded
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
        """Check lease and server again once the connection is established."""
        is_allowed = (
            self._parts.holder.is_valid()
            and self._parts.servers.may_send(
                self.server_id, placed_ms=self._placed_ms
            )
        )
        if not is_allowed:
            return False
        self._sent_ms = self._reading_ms = self._parts.clock.now_ms()
        self.sent_after_ms = self._sent_ms - self._placed_ms
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

    @guards.guarded
    def _on_no_memory(self, server_id: str) -> None:
        """Fail because a helper has no memory; the request was not sent."""
        if self._is_over:
            return
        self._end()
        self._owner.on_failed(self, outcomes.of_no_memory(server_id))

    @guards.guarded
    def pause(self) -> None:
        """Stop reading and the stall timer until the caller catches up."""
        self._is_paused = True
        self._pace.note_pause()
        self.stall.pause()
        if self._exchange is not None and not self._is_over:
            self._exchange.pause()

    @guards.guarded
    def resume(self) -> None:
        """Resume reading and restart the stall timer."""
        if self._is_paused:
            self._reading_ms = self._parts.clock.now_ms()
        self._is_paused = False
        if self._exchange is not None and not self._is_over:
            self._exchange.resume()
        self.stall.resume()

    def cancel(self) -> None:
        """Cancel the request at the server; no callback follows."""
        if not self._is_over:
            self._end()
            if self._exchange is not None:
                self._exchange.cancel()

    @guards.guarded
    def on_head(self, head: messages.ResponseHead) -> None:
        """Validate the head of the answer and decide how to read the body."""
        answer = self._parts.dialect.read_answer(head)
        self._parts.servers.record_notices(
            self._server,
            is_leaving=answer.is_leaving,
            pause_ms=answer.pause_ms,
        )
        if answer.request_id != self._order.request.request_id:
            self._fail(
                FailureCause.BROKEN, detail='response is to another request'
            )
            return
        if not answer.is_misdirected:
            self._record_incarnation()
        self._parts.servers.record_limit(
            self._server, answer=answer, sent_ms=self._sent_ms
        )
        if answer.is_not_executed:
            self._on_unrun(answer)
        elif answer.is_success and not answer.is_signed:
            self._fail(
                FailureCause.BROKEN, detail='successful response is not signed'
            )
        else:
            self._answer = answer
            if self._is_stream_answer():
                self._exchange.read_as_stream()
            else:
                self._on_plain_data()

    @guards.guarded
    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""
        if self._is_over:
            return
        self._record_incarnation()
        if not self._is_stream_answer():
            self._body += data
            self._on_plain_data()
            return
        try:
            events = self._splitter.feed(data)
        except sse.EventTooLong as error:
            self._fail(FailureCause.BROKEN, detail=str(error))
            return
        self._on_events(events)

    def _on_plain_data(self) -> None:
        if not self._is_stream:
            self._data_ms = self._parts.clock.now_ms()
            self._owner.on_data(self)

    def _record_incarnation(self) -> None:
        """Tell the quarantine that the server's incarnation sent data.

        If the server is listed with another incarnation, it has restarted,
        and what this connection leads to is not certain.
        """
        listed = self._parts.servers.find(self.server_id)
        is_current = listed is None or (
            listed.incarnation == self._server.incarnation
        )
        if is_current and not self._is_paused:
            self._parts.quarantine.record_data(
                key=notices.key_of(self._server), opened_ms=self._reading_ms
            )

    def _on_events(self, events: list[sse.StreamEvent]) -> None:
        if not events:
            return
        data_count = sum(event.has_data for event in events)
        if data_count:
            self._record_progress(data_count)
        self._owner.on_events(self, events)

    def _record_progress(self, event_count: int) -> None:
        """End what lasts until the server sends the next event.

        :param event_count: events with data that arrived together.
        """
        if self._first_event_ms is None:
            self._first_event_ms = self._parts.clock.now_ms()
            if not self._order.last_event_id:
                self._pace.record_first_event(
                    self._server,
                    sent_after_ms=self.sent_after_ms,
                    work_id=self._load.work_id,
                )
        else:
            self._pace.record_pause(
                self._server,
                event_count=event_count,
                work_id=self._load.work_id,
            )
        self._load.note_event()
        self._pace.note_events(self._load.work_id)
        self.stall.note_event()

    @guards.guarded
    def on_end(self, end: client.AnswerEnd) -> None:
        """Handle the end of the answer."""
        if self._is_over:
            return
        self.answer_end = end
        if self._is_stream_answer():
            self._on_stream_end()
            return
        body = bytes(self._end())
        if self._answer.is_success:
            self._owner.on_answer(self, body)
        else:
            self._owner.on_failed(
                self, outcomes.of_server_error(self._answer, body)
            )

    def _on_stream_end(self) -> None:
        """Fail if the stream was broken off, although its end looks sound."""
        self._on_events(self._splitter.end())
        if self._is_over:
            return
        detail = self._truncation()
        if detail:
            self._fail(
                FailureCause.BROKEN,
                detail=detail,
                is_disconnect=self.answer_end is client.AnswerEnd.CLOSE,
            )
            return
        self._end()
        self._owner.on_stream_end(self, self._splitter.rest)

    def _truncation(self) -> str:
        """Return why a stream that has ended is not complete, '' if it is."""
        if self._splitter.is_inside_event:
            return 'the stream ended inside an event'
        is_framed = self.answer_end is client.AnswerEnd.FRAMING
        if not is_framed and not self._splitter.has_events:
            return 'the connection closed before the first event'
        return ''

    @guards.guarded
    def on_failure(self, failure: client.Failure) -> None:
        """Handle a connection that failed before the answer was complete."""
        if self._is_over:
            return
        self._end()
        self._owner.on_failed(self, outcomes.of_failure(failure))

    def _is_stream_answer(self) -> bool:
        return (
            self._is_stream
            and self._answer is not None
            and self._answer.is_success
            and self._answer.is_event_stream
        )

    def _on_unrun(self, answer: model.AnswerHead) -> None:
        """Fail because the server states that it did not run the request."""
        self._end()
        self._exchange.cancel()
        self._owner.on_failed(self, outcomes.of_refusal(answer))

    @guards.guarded
    def _on_stalled(self) -> None:
        self._owner.on_stalled(self)

    def _fail(
        self, cause: FailureCause, *, detail: str, is_disconnect: bool = False
    ) -> None:
        """Cancel the attempt, whose request may have been sent, and fail."""
        if self._is_over:
            return
        self._end()
        may_have_run = self._exchange is not None
        if self._exchange is not None:
            self._exchange.cancel()
        self._owner.on_failed(
            self,
            outcomes.Outcome(
                cause=cause,
                may_have_run=may_have_run,
                was_sent=may_have_run,
                is_disconnect=is_disconnect,
                detail=detail,
            ),
        )

    def _end(self) -> bytearray:
        """End the attempt; return the body, which is not kept.

        The body is no longer counted, but what refers to the attempt may
        refer to itself and so stay until the next garbage collection.
        """
        body, self._body = self._body, bytearray()
        self._is_over = True
        self.stall.end()
        self._load.end()
        self._parts.quarantine.end_run(self._run)
        if self._reservation is not None:
            self._reservation.release()
        return body
