"""Forwards an accepted request to backend servers and relays the answer."""

from shallothinge import clock as clocks
from shallothinge import guard as guards
from shallothinge import sse
from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import attempt_record
from shallothinge.gateway import caller_answer
from shallothinge.gateway import demands
from shallothinge.gateway import dependencies
from shallothinge.gateway import exchange_guard
from shallothinge.gateway import model
from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import overdue
from shallothinge.gateway import part_admission
from shallothinge.gateway import policy
from shallothinge.gateway import request_log
from shallothinge.gateway import server_search
from shallothinge.gateway import silence
from shallothinge.gateway import wait as waits
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1.exchange import EarlyEnd
from shallothinge.placement import choice
from shallothinge.routes import model as routes


class Forwarding:
    """Sends one request to backend servers until one of them answers it.

    A server that falls silent may still answer. It keeps the request while
    another server is tried, and whichever sends the next event goes on.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        exchange: exchanges.Exchange,
        accepted: model.AcceptedRequest,
    ):
        self._parts = parts
        self._exchange = exchange
        self._guard = exchange_guard.guard(exchange, fail=self._on_fault)
        self._accepted = accepted
        self._request = accepted.request
        self._route = accepted.route
        self._is_stream = accepted.route.kind is routes.RequestKind.STREAMING
        self._started_ms = exchange.received_ms
        self._answer = caller_answer.CallerAnswer(
            parts=parts,
            exchange=exchange,
            request=self._request,
            route=self._route,
            may_have_run=lambda: self._attempts.may_have_run,
            on_over=self._on_over,
        )
        self._admission = part_admission.PartAdmission(
            parts=parts,
            accepted=accepted,
            guard=self._guard,
            on_blocked=self._on_blocked,
        )
        self._attempts = attempt_record.AttemptRecord(
            parts=parts,
            accepted=accepted,
            admission=self._admission,
            deadline_ms=self._started_ms + accepted.time_limit_ms,
        )
        self._running = self._attempts.running
        self._log = request_log.RequestLog(parts=parts, accepted=accepted)
        self._silence = silence.SilenceWatch(
            parts=parts,
            accepted=accepted,
            started_ms=exchange.received_ms,
            times=self._answer.times,
            log=self._log,
        )
        self._overdue = overdue.OverdueWatch(
            parts=parts, accepted=accepted, log=self._log
        )
        self._wait = waits.Wait(
            parts=parts,
            accepted=accepted,
            identity=self._log.identity,
            started_ms=exchange.received_ms,
        )
        self._search = server_search.ServerSearch(
            parts=parts,
            accepted=accepted,
            answer=self._answer,
            attempts=self._attempts,
            admission=self._admission,
            wait=self._wait,
            guard=self._guard,
            started_ms=exchange.received_ms,
            send=self._send,
        )
        self._deadline_timer = None
        self._uses_slot = False

    @guards.guarded
    def start(self) -> None:
        """Start the deadline timer and look for a backend server."""
        self._exchange.on_disconnect = self._on_gone
        self._exchange.flow.set_source(self._running)
        if self._attempts.remaining_ms <= 0:
            # The request waited in the kernel while the process was blocked.
            self._answer.refuse(policy.deadline_error(self._attempts.progress))
            return
        self._parts.budget.fresh()
        self._admission.start()
        self._deadline_timer = self._parts.reactor.callLater(
            self._attempts.remaining_ms / clocks.MS_PER_SECOND,
            self._on_deadline,
        )
        self._search.start()

    def _on_blocked(self) -> None:
        self._search.refuse_blocked()

    def _send(self, placed: choice.Placement) -> None:
        server = self._parts.servers.find(placed.server_id)
        order = demands.build_order(
            self._accepted,
            server_id=server.server_id,
            remaining_ms=self._attempts.remaining_ms,
            last_event_id=self._answer.last_event_id,
        )
        is_takeover = bool(self._running)
        part_ids = self._request.part_ids
        attempt = attempts.Attempt(
            parts=self._parts,
            order=order,
            placement=placed,
            work=demands.build_work(
                self._accepted,
                placed,
                started_ms=self._parts.clock.now_ms(),
                due_ms=self._search.due_ms,
            ),
            part_ids=self._admission.part_ids,
            is_stream=self._is_stream,
            owner=self,
            guard=self._guard,
        )
        self._attempts.add(attempt)
        self._occupy_slot()
        self._log.placed(
            placed,
            remaining_ms=order.remaining_ms,
            attempt=self._attempts.sent_count,
            is_takeover=is_takeover,
            queued_ms=self._wait.queued_ms,
            is_contended=self._wait.turn.is_contended,
            last_event_id=self._answer.last_event_id,
            part_ids=part_ids[-request_log.MAX_LOGGED_PARTS :],
            part_count=len(part_ids),
            fingerprint=self._accepted.fingerprint,
        )
        attempt.start(server=server)
        if not self._is_stream:
            self._overdue.expect_answer(
                attempt,
                expected_ms=placed.first_event_ms,
                remaining_ms=self._attempts.remaining_ms,
            )
        elif self._attempts.no_takeover_reason() is None:
            self._silence.expect_first_event(attempt, placed)

    def _occupy_slot(self) -> None:
        if not self._uses_slot:
            self._uses_slot = True
            self._parts.room.occupy(
                service=self._accepted.service.name,
                workspace=self._accepted.workspace,
            )

    def _vacate_slot(self) -> None:
        if self._uses_slot:
            self._uses_slot = False
            self._parts.room.vacate(
                service=self._accepted.service.name,
                workspace=self._accepted.workspace,
            )

    @guards.guarded
    def on_events(
        self,
        attempt: attempts.Attempt,
        events: list[sse.StreamEvent],
    ) -> None:
        """Pass on events, except those that the caller already has.

        Comments and events without data say nothing of the server's engine.
        """
        if not any(event.has_data for event in events):
            if len(self._running) == 1:
                data = self._answer.take_unsent(events)
                if data:
                    self._answer.write_comments(attempt.head, data)
            return
        self._parts.servers.record_activity(attempt.server_id)
        data = self._answer.take_unsent(events)
        if not data:
            return
        self._settle_on(attempt)
        self._answer.write(attempt.head, data)
        if (
            not self._answer.is_over
            and self._attempts.no_takeover_reason() is None
        ):
            attempt.stall.expect_within(self._silence.stall_timeout_ms)

    @guards.guarded
    def on_stream_end(self, attempt: attempts.Attempt, rest: bytes) -> None:
        """Write the rest of the body and end the caller's stream."""
        self._settle_on(attempt)
        self._parts.servers.record_success(attempt.server_id)
        self._admission.record_whole(attempt)
        self._wait.record_answer()
        self._answer.finish(attempt.head, rest)

    @guards.guarded
    def on_data(self, attempt: attempts.Attempt) -> None:
        """Record a part of an answer; its server is silent no more."""
        self._parts.servers.record_activity(attempt.server_id)
        if attempt.stall.is_expired:
            self._search.stop()
            self._overdue.expect_rest(
                attempt, remaining_ms=self._attempts.remaining_ms
            )

    @guards.guarded
    def on_answer(self, attempt: attempts.Attempt, body: bytes) -> None:
        """Pass on a complete answer, unless a stream has begun before it."""
        if self._answer.is_begun:
            self.on_failed(
                attempt,
                outcomes.Outcome(
                    cause=policy.FailureCause.BROKEN,
                    may_have_run=True,
                    was_sent=True,
                    detail='the answer to a resumed request is no stream',
                ),
            )
            return
        self._settle_on(attempt)
        self._parts.servers.record_success(attempt.server_id)
        self._admission.record_whole(attempt)
        self._wait.record_answer()
        if not self._is_stream:
            self._overdue.record_answer(attempt)
        self._answer.respond('finished', attempt.head, body)

    def _settle_on(self, attempt: attempts.Attempt) -> None:
        """Keep the attempt that goes on; end the other and its placement."""
        self._attempts.cancel(kept=attempt)
        self._search.stop()

    @guards.guarded
    def on_stalled(self, attempt: attempts.Attempt) -> None:
        """Look for another server, while the silent one keeps the request."""
        if not self._is_stream:
            self._on_overdue(attempt)
            return
        if self._silence.waits_for_read(attempt):
            return
        reason = self._attempts.no_takeover_reason()
        self._silence.record_stall(
            attempt,
            no_takeover=reason,
            last_event_id=self._answer.last_event_id,
        )
        if reason is None and not self._search.is_waiting:
            self._search.start()

    def _on_overdue(self, attempt: attempts.Attempt) -> None:
        """Look for a second server if the call may run at two of them."""
        if self._overdue.waits_for_data(attempt):
            return
        reason = self._overdue.record_overdue(
            attempt,
            remaining_ms=self._attempts.remaining_ms,
            no_takeover=self._attempts.no_takeover_reason()
            or self._admission.no_retry_reason(),
        )
        if reason is None and not self._search.is_waiting:
            self._search.start()

    @guards.guarded
    def on_failed(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> None:
        """Retry at another server, or answer the caller with an error."""
        evidence = self._attempts.record_failure(attempt, outcome)
        refusal = self._attempts.take_retry(was_sent=outcome.was_sent)
        self._log.failed(
            attempt,
            outcome,
            no_retry=refusal,
            crash_evidence=evidence.value,
            sent=self._attempts.progress.sent,
            last_event_id=self._answer.last_event_id,
        )
        if self._answer.is_over:
            return
        if self._running:
            self._continue_running()
            return
        self._vacate_slot()
        if refusal is None:
            self._search.stop()
            self._parts.metrics.count_retry()
            self._search.start()
        else:
            self._fail(outcome)

    def _continue_running(self) -> None:
        """Replace the failed attempt if the other one is silent, too."""
        if self._running.are_stalled and not self._search.is_waiting:
            self._search.start()
        elif self._is_stream and self._attempts.no_takeover_reason() is None:
            self._running.expect_within(self._silence.stall_timeout_ms)

    def _fail(self, outcome: outcomes.Outcome) -> None:
        """Give the caller the final answer for a failed request."""
        if self._answer.is_begun:
            self._answer.abort(outcome.cause.value)
        elif outcome.answer is not None and not outcome.answer.is_not_executed:
            self._answer.respond('server_error', outcome.answer, outcome.body)
        else:
            self._answer.refuse(
                policy.final_error(
                    route=self._route,
                    progress=self._attempts.progress,
                    cause=outcome.cause,
                    pause_ms=self._search.shortest_pause_ms(),
                )
            )

    @guards.guarded
    def _on_deadline(self) -> None:
        self._deadline_timer = None
        self._attempts.cancel()
        if self._answer.is_begun:
            self._answer.abort('deadline')
        else:
            self._answer.refuse(policy.deadline_error(self._attempts.progress))

    @guards.guarded
    def _on_gone(self) -> None:
        early_end = self._exchange.early_end
        self._attempts.cancel()
        if self._answer.is_begun or early_end is not EarlyEnd.STOP_LIMIT:
            self._answer.end(early_end.value, status=0)
            return
        self._search.refuse_for_stop()

    def _on_fault(self) -> None:
        """End the request after an exception in one of its steps."""
        if not self._answer.is_ended:
            self._attempts.cancel()
            self._answer.refuse(policy.fault_error(self._attempts.progress))

    def _on_over(self, outcome: str, status: int, detail: str) -> None:
        """Stop the timers and log the outcome."""
        # First, as others wait for what the request keeps.
        self._vacate_slot()
        self._search.stop()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._admission.end()
        first_ms = self._answer.times.first_ms
        self._log.ended(
            self._running.last,
            outcome=outcome,
            detail=detail,
            status=status,
            sent=self._attempts.sent_count,
            queued_ms=self._wait.queued_ms,
            first_event_ms=first_ms and first_ms - self._started_ms,
            longest_pause_ms=self._answer.times.longest_pause_ms,
            total_ms=self._parts.clock.now_ms() - self._started_ms,
            objective_ms=self._route.objective_ms,
        )
