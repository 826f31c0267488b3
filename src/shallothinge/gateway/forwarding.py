"""Forwards an accepted request to backend servers and relays the answer."""

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge import guard as guards
from shallothinge import sse
from shallothinge.errors import ErrorKind
from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import demands
from shallothinge.gateway import dependencies
from shallothinge.gateway import event_times
from shallothinge.gateway import exchange_guard
from shallothinge.gateway import fault_attribution
from shallothinge.gateway import model
from shallothinge.gateway import part_admission
from shallothinge.gateway import policy
from shallothinge.gateway import request_log
from shallothinge.gateway import running_attempts
from shallothinge.gateway import silence
from shallothinge.gateway import wait as waits
from shallothinge.gateway.wait import WaitCause
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1.exchange import EarlyEnd
from shallothinge.placement import choice
from shallothinge.quarantine import state as quarantines
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
        self._started_ms = exchange.received_ms
        self._deadline_ms = self._started_ms + self._accepted.time_limit_ms
        self._due_ms = self._started_ms + self._route.objective_ms
        self._tried_ids: set[str] = set()
        self._progress = policy.Progress()
        self._running = running_attempts.RunningAttempts()
        self._last_event_id = accepted.request.last_event_id
        self._event_times = event_times.EventTimes()
        self._admission = part_admission.PartAdmission(
            parts=parts,
            accepted=accepted,
            guard=self._guard,
            on_blocked=self._on_blocked,
        )
        self._log = request_log.RequestLog(parts=parts, accepted=accepted)
        self._silence = silence.SilenceWatch(
            parts=parts,
            accepted=accepted,
            started_ms=exchange.received_ms,
            times=self._event_times,
            log=self._log,
        )
        self._wait = waits.Wait(
            parts=parts,
            accepted=accepted,
            identity=self._log.identity,
            started_ms=exchange.received_ms,
        )
        self._is_over = False
        self._failed_ms = 0
        self._placement_timer = None
        self._deadline_timer = None

    @guards.guarded
    def start(self) -> None:
        """Start the deadline timer and look for a backend server."""
        self._exchange.on_disconnect = self._on_gone
        self._exchange.flow.set_source(self._running)
        if self._remaining_ms() <= 0:
            # The request waited in the kernel while the process was blocked.
            self._refuse(policy.deadline_error(self._progress))
            return
        self._parts.budget.fresh()
        self._admission.start()
        self._deadline_timer = self._parts.reactor.callLater(
            self._remaining_ms() / clocks.MS_PER_SECOND,
            self._on_deadline,
        )
        self._place()

    def _remaining_ms(self) -> int:
        return self._deadline_ms - self._parts.clock.now_ms()

    @guards.guarded
    def _place(self) -> None:
        """Choose a server and send the request to it, or wait and retry."""
        self._placement_timer = None
        if self._is_over or (self._running and self._no_takeover_reason()):
            return
        admission = self._admission.admit()
        if admission.refused_ms:
            self._refuse_quarantined(admission)
            return
        if admission.wait_ms:
            self._retry_placement_later(
                WaitCause.QUARANTINE, free_in_ms=admission.wait_ms
            )
            return
        if not self._parts.holder.is_valid():
            self._wait_or_fail(
                WaitCause.LEASE, kind=ErrorKind.NO_LEASE, may_recover=True
            )
            return
        if self._running and not self._parts.budget.has_credit:
            self._retry_placement_later(WaitCause.BUDGET)
            return
        candidates = self._parts.servers.candidates(
            service=self._accepted.service.name,
            tried_ids=frozenset(self._tried_ids),
        )
        if not candidates:
            self._wait_or_fail(
                WaitCause.SERVERS,
                kind=ErrorKind.NO_BACKEND_SERVER,
                may_recover=not self._parts.holder.is_settled,
            )
            return
        demand = demands.build_demand(
            self._accepted,
            zone=self._parts.zone,
            waited_ms=self._waited_ms(),
            is_resumed=bool(self._last_event_id) or self._exchange.is_begun,
        )
        is_first = bool(self._running) or self._wait.is_turn(
            demand=demand, due_ms=self._due_ms
        )
        if not is_first:
            self._wait_or_refuse(WaitCause.TURN, free_in_ms=0)
            return
        placed = self._parts.chooser.choose(
            demand=demand, candidates=candidates
        )
        if isinstance(placed, choice.NoCapacity):
            self._wait_or_refuse(WaitCause.ROOM, free_in_ms=placed.free_in_ms)
        elif isinstance(placed, choice.PlacementDeferred):
            self._wait_or_refuse(
                WaitCause.READS, free_in_ms=int(placed.start_in_ms)
            )
        elif not (
            self._is_at_server
            or self._wait.ends_before_stop(placed.first_event_ms)
        ):
            self._refuse_for_stop()
        elif not self._parts.servers.take_cold_permit(
            server_id=placed.server_id, service=self._accepted.service
        ):
            self._retry_placement_later(WaitCause.COLD_LIMIT)
        else:
            if self._running:
                self._parts.budget.take()
                self._parts.metrics.count_retry()
            self._wait.end()
            self._send(placed)

    def _refuse_quarantined(self, admission: quarantines.Admission) -> None:
        self._cancel_attempts()
        self._refuse(
            policy.quarantine_error(
                route=self._route,
                progress=self._progress,
                admission=admission,
            )
        )

    def _on_blocked(self) -> None:
        """End a request that may crash servers, unless its answer is begun."""
        is_pending = bool(self._running) or self._placement_timer is not None
        if is_pending and not self._is_over and not self._exchange.is_begun:
            self._refuse_quarantined(self._admission.admit())

    def _waited_ms(self) -> int:
        return self._parts.clock.now_ms() - self._started_ms

    def _wait_or_refuse(self, cause: WaitCause, *, free_in_ms: int) -> None:
        """Wait, or refuse a request that can't be answered in time any more.

        :param free_in_ms: time in milliseconds until the request is likely
            to be placed, 0 if it is not known.
        """
        can_answer = demands.can_still_answer(
            self._accepted, waited_ms=self._waited_ms()
        )
        if not (self._is_at_server or self._wait.ends_before_stop()):
            self._refuse_for_stop()
        elif can_answer or self._is_at_server:
            self._retry_placement_later(cause, free_in_ms=free_in_ms)
        elif self._progress.may_have_run:
            self._refuse(policy.deadline_error(self._progress))
        else:
            self._refuse(policy.full_error(free_in_ms or choice.FREE_SLOT_MS))

    @property
    def _is_at_server(self) -> bool:
        """Return whether a server works on the answer or has begun it."""
        return self._exchange.is_begun or bool(self._running)

    def _refuse_for_stop(self) -> None:
        self._refuse(
            policy.stop_error(route=self._route, progress=self._progress)
        )

    def _retry_placement_later(
        self, cause: WaitCause, *, free_in_ms: int = 0
    ) -> None:
        after_ms = self._wait.retry_delay_ms(
            cause, free_in_ms=free_in_ms, is_running=bool(self._running)
        )
        self._placement_timer = self._parts.reactor.callLater(
            after_ms / clocks.MS_PER_SECOND, self._place
        )

    def _send(self, placed: choice.Placement) -> None:
        server = self._parts.servers.find(placed.server_id)
        order = demands.build_order(
            self._accepted,
            server_id=server.server_id,
            remaining_ms=self._remaining_ms(),
            last_event_id=self._last_event_id,
        )
        is_stream = self._route.kind is routes.RequestKind.STREAMING
        self._tried_ids.add(server.server_id)
        is_takeover = bool(self._running)
        attempt = attempts.Attempt(
            parts=self._parts,
            order=order,
            placement=placed,
            work=demands.build_work(
                self._accepted,
                placed,
                started_ms=self._parts.clock.now_ms(),
                due_ms=self._due_ms,
            ),
            is_stream=is_stream,
            owner=self,
            guard=self._guard,
        )
        self._running.add(attempt)
        self._log.placed(
            placed,
            remaining_ms=order.remaining_ms,
            attempt=self._sent_count,
            is_takeover=is_takeover,
            queued_ms=self._wait.queued_ms,
            last_event_id=self._last_event_id,
            part_ids=self._request.part_ids,
        )
        attempt.start(server=server)
        if is_stream and self._no_takeover_reason() is None:
            self._silence.expect_first_event(attempt, placed)

    @property
    def _sent_count(self) -> int:
        """Return at how many servers the request runs or may have run."""
        return self._progress.sent + len(self._running)

    def _no_takeover_reason(self) -> policy.NoRetry | None:
        """Return why no other server may take over from a silent one."""
        if self._running.is_full:
            return policy.NoRetry.RUNNING
        return policy.no_retry_reason(
            route=self._route,
            progress=self._progress.after_runs(len(self._running)),
            remaining_ms=self._remaining_ms(),
        )

    @guards.guarded
    def on_events(
        self,
        attempt: attempts.Attempt,
        events: list[sse.StreamEvent],
    ) -> None:
        """Pass on events, except those that the caller already has."""
        self._parts.servers.record_activity(attempt.server_id)
        data, self._last_event_id = sse.join_unsent_events(
            events, last_id=self._last_event_id
        )
        if not data:
            return
        self._settle_on(attempt)
        self._event_times.record(self._parts.clock.now_ms())
        self._begin(attempt)
        self._exchange.write(data)
        if not self._is_over and self._no_takeover_reason() is None:
            attempt.expect_within(self._silence.stall_timeout_ms)

    @guards.guarded
    def on_stream_end(self, attempt: attempts.Attempt, rest: bytes) -> None:
        """Write the rest of the body and end the caller's stream."""
        self._settle_on(attempt)
        self._begin(attempt)
        self._parts.servers.record_success(attempt.server_id)
        self._admission.record_whole()
        self._exchange.write(rest)
        self._wait.record_answer()
        self._end('finished', status=attempt.head.status)
        self._exchange.finish()

    @guards.guarded
    def on_answer(self, attempt: attempts.Attempt, body: bytes) -> None:
        """Pass on a complete answer, unless a stream has begun before it."""
        if self._exchange.is_begun:
            self.on_failed(
                attempt,
                attempts.Outcome(
                    cause=policy.FailureCause.BROKEN,
                    may_have_run=True,
                    was_sent=True,
                    detail='the answer to a resumed request is no stream',
                ),
            )
            return
        self._settle_on(attempt)
        self._parts.servers.record_success(attempt.server_id)
        self._admission.record_whole()
        self._respond('finished', attempt.head, body)

    def _respond(
        self, outcome: str, head: model.AnswerHead, body: bytes
    ) -> None:
        self._end(outcome, status=head.status)
        self._exchange.respond(
            status=head.status, headers=head.headers, body=body
        )

    def _begin(self, attempt: attempts.Attempt) -> None:
        """Send the head of the answer, which comes with its first event."""
        if not self._exchange.is_begun:
            head = attempt.head
            self._exchange.begin(status=head.status, headers=head.headers)

    def _settle_on(self, attempt: attempts.Attempt) -> None:
        """Keep the attempt that goes on; end the other and its placement."""
        self._cancel_attempts(kept=attempt)
        self._stop_placement()

    def _stop_placement(self) -> None:
        self._wait.end()
        if self._placement_timer is not None:
            self._placement_timer.cancel()
            self._placement_timer = None

    @guards.guarded
    def on_stalled(self, attempt: attempts.Attempt) -> None:
        """Look for another server, while the silent one keeps the request."""
        if self._silence.waits_for_read(attempt):
            return
        reason = self._no_takeover_reason()
        self._silence.record_stall(
            attempt, no_takeover=reason, last_event_id=self._last_event_id
        )
        if reason is None and self._placement_timer is None:
            self._place()

    @guards.guarded
    def on_failed(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        """Retry at another server, or answer the caller with an error."""
        self._running.remove(attempt)
        self._failed_ms = self._parts.clock.now_ms()
        self._progress = self._progress.after_failure(
            was_sent=outcome.was_sent, may_have_run=outcome.may_have_run
        )
        fault_attribution.record_failure(
            server_id=attempt.server_id,
            outcome=outcome,
            servers=self._parts.servers,
            tried_ids=self._tried_ids,
        )
        self._admission.record_failure(attempt, outcome)
        refusal = self._take_retry(was_sent=outcome.was_sent)
        self._log.failed(
            attempt,
            outcome,
            no_retry=refusal,
            sent=self._progress.sent,
            last_event_id=self._last_event_id,
        )
        if self._is_over:
            return
        if self._running:
            self._continue_running()
        elif refusal is None:
            self._stop_placement()
            self._parts.metrics.count_retry()
            self._place()
        else:
            self._fail(outcome)

    def _continue_running(self) -> None:
        """Replace the failed attempt if the other one is silent, too."""
        if self._running.are_stalled and self._placement_timer is None:
            self._place()
        elif self._no_takeover_reason() is None:
            self._running.expect_within(self._silence.stall_timeout_ms)

    def _take_retry(self, *, was_sent: bool) -> policy.NoRetry | None:
        """Return why the request is not retried, None if it is.

        The budget counts requests that reach servers, so an attempt that was
        not sent leaves what it took to the next one.
        """
        if self._running:
            if not was_sent:
                self._parts.budget.refund()
            return policy.NoRetry.RUNNING
        refusal = self._admission.no_retry_reason()
        if refusal is not None:
            return refusal
        refusal = policy.no_retry_reason(
            route=self._route,
            progress=self._progress,
            remaining_ms=self._remaining_ms(),
        )
        if refusal is None and was_sent and not self._parts.budget.take():
            return policy.NoRetry.BUDGET
        return refusal

    def _fail(self, outcome: attempts.Outcome) -> None:
        """Give the caller the final answer for a failed request."""
        if self._exchange.is_begun:
            self._abort(outcome.cause.value)
        elif outcome.answer is not None and not outcome.answer.is_not_executed:
            self._respond('server_error', outcome.answer, outcome.body)
        else:
            self._refuse(
                policy.final_error(
                    route=self._route,
                    progress=self._progress,
                    cause=outcome.cause,
                    pause_ms=self._shortest_pause_ms(),
                )
            )

    def _wait_or_fail(
        self, cause: WaitCause, *, kind: ErrorKind, may_recover: bool
    ) -> None:
        """Wait for what the placement lacks, or fail.

        :param kind: the error of a request that surely did not run.
        :param may_recover: whether control may provide it soon.
        """
        if self._exchange.is_begun:
            may_wait = self._wait.may_resume(
                broke_off_ms=self._failed_ms,
                tried_ids=frozenset(self._tried_ids),
            )
        else:
            is_untried = not self._tried_ids
            may_wait = may_recover and is_untried and self._wait.may_recover()
        if self._running or may_wait:
            self._retry_placement_later(cause)
        elif self._exchange.is_begun:
            self._abort(kind.value)
        else:
            self._refuse(
                policy.unplaced_error(
                    progress=self._progress,
                    kind=kind,
                    pause_ms=self._shortest_pause_ms(),
                )
            )

    def _shortest_pause_ms(self) -> int | None:
        """Return the time until the first pause ends, if all servers pause."""
        return self._parts.servers.pause_ms(
            service=self._accepted.service.name
        )

    @guards.guarded
    def _on_deadline(self) -> None:
        self._deadline_timer = None
        self._cancel_attempts()
        if self._exchange.is_begun:
            self._abort('deadline')
        else:
            self._refuse(policy.deadline_error(self._progress))

    @guards.guarded
    def _on_gone(self) -> None:
        early_end = self._exchange.early_end
        self._cancel_attempts()
        if self._exchange.is_begun or early_end is not EarlyEnd.STOP_LIMIT:
            self._end(early_end.value, status=0)
            return
        self._refuse_for_stop()

    def _on_fault(self) -> None:
        """End the request after an exception in one of its steps."""
        if not (self._is_over and self._exchange.is_ended):
            self._cancel_attempts()
            self._refuse(policy.fault_error(self._progress))

    def _cancel_attempts(
        self, *, kept: attempts.Attempt | None = None
    ) -> None:
        """Cancel the attempts but one; servers may have run them already."""
        count = self._running.cancel_all(kept=kept)
        self._progress = self._progress.after_runs(count)

    def _refuse(self, error: errors.ServingError) -> None:
        if self._exchange.is_begun:
            self._abort(error.kind.value)
            return
        status, headers, body = self._parts.dialect.write_error(
            error=error, request_id=self._request.request_id
        )
        self._parts.metrics.count_refusal(kind=error.kind)
        self._end(error.kind.value, status=status)
        self._exchange.respond(status=status, headers=headers, body=body)

    def _abort(self, cause: str) -> None:
        """Abort an answer that has begun, so that it is seen as truncated."""
        self._end(f'cut_{cause}', status=0)
        self._exchange.abort()

    def _end(self, outcome: str, *, status: int) -> None:
        """Stop the timers and record the outcome, unless there is one."""
        if self._is_over:
            return
        self._is_over = True
        self._admission.end()
        self._stop_placement()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        first_ms = self._event_times.first_ms
        self._log.ended(
            self._running.last,
            outcome=outcome,
            status=status,
            sent=self._sent_count,
            queued_ms=self._wait.queued_ms,
            first_event_ms=first_ms and first_ms - self._started_ms,
            longest_pause_ms=self._event_times.longest_pause_ms,
            total_ms=self._waited_ms(),
            objective_ms=self._route.objective_ms,
        )
