"""Forwards an accepted request to backend servers and relays the answer."""

import logging

import attrs

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import event_times
from shallothinge.gateway import fault_attribution
from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.gateway import wait as waits
from shallothinge.gateway.wait import WaitCause
from shallothinge.http1 import event_stream
from shallothinge.http1 import server as http_server
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import pricing
from shallothinge.routes import model as routes

LOG = logging.getLogger(__name__)

# The first event of a stream is overdue after OVERDUE_FACTOR times the
# expected time plus OVERDUE_OBJECTIVE_FACTOR times the latency objective, but
# not before OVERDUE_MIN_MS. Then another server is likely to be faster.
OVERDUE_FACTOR = 3.0
OVERDUE_OBJECTIVE_FACTOR = 2.0
OVERDUE_MIN_MS = 1000.0
# A stream is stalled after STALL_MIN_MS plus STALL_PAUSE_FACTOR times its
# longest allowed pause. Callers leave after eight times that pause or after
# two seconds, whichever is longer.
STALL_PAUSE_FACTOR = 2.5
STALL_MIN_MS = 500.0


@attrs.frozen(kw_only=True)
class AcceptedRequest:
    """An authorized request with its route, service and workspace."""

    request: model.CallerRequest
    route: routes.Route
    service: routes.Service
    workspace: str
    urgency: int | None


class Forwarding:
    """Sends one request to backend servers until one of them answers it."""

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        exchange: http_server.Exchange,
        accepted: AcceptedRequest,
    ):
        self._parts = parts
        self._exchange = exchange
        self._accepted = accepted
        self._request = accepted.request
        self._route = accepted.route
        self._started_ms = exchange.received_ms
        self._deadline_ms = self._started_ms + self._time_limit_ms()
        self._tried_ids: set[str] = set()
        self._progress = policy.Progress()
        self._attempt: attempts.Attempt | None = None
        self._head: model.AnswerHead | None = None
        self._last_event_id = accepted.request.last_event_id
        self._event_times = event_times.EventTimes()
        self._wait = waits.Wait(
            parts=parts,
            identity=self._identity(),
            started_ms=exchange.received_ms,
        )
        self._is_over = False
        self._sent_after_ms: int | None = None
        self._placement_timer = None
        self._deadline_timer = None

    def start(self) -> None:
        """Start the deadline timer and look for a backend server."""
        self._exchange.on_disconnect = self._on_gone
        if self._remaining_ms() <= 0:
            # The deadline passed while the request waited in the kernel's
            # socket buffer because this process was stalled.
            self._refuse(policy.deadline_error(self._progress))
            return
        self._parts.budget.fresh()
        self._deadline_timer = self._parts.reactor.callLater(
            self._remaining_ms() / clocks.MS_PER_SECOND,
            self._on_deadline,
        )
        self._place()

    def _time_limit_ms(self) -> int:
        limit_ms = self._route.timeout_ms
        if self._request.deadline_ms is not None:
            limit_ms = min(limit_ms, self._request.deadline_ms)
        return limit_ms

    def _remaining_ms(self) -> int:
        return self._deadline_ms - self._parts.clock.now_ms()

    def _place(self) -> None:
        """Choose a server and send the request to it, or wait and retry."""
        self._placement_timer = None
        if self._is_over:
            return
        if not self._parts.holder.is_valid():
            self._refuse(errors.ServingError(kind=ErrorKind.NO_LEASE))
            return
        candidates = self._parts.servers.candidates(
            service=self._accepted.service.name,
            tried_ids=frozenset(self._tried_ids),
        )
        if not candidates:
            if self._may_wait_for_servers():
                self._retry_placement_later(WaitCause.SERVERS)
            else:
                self._fail_without_servers()
            return
        demand = self._demand()
        due_ms = self._started_ms + self._route.objective_ms
        if not self._wait.is_turn(demand=demand, due_ms=due_ms):
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
        elif not self._may_send(placed):
            self._retry_placement_later(WaitCause.COLD_LIMIT)
        else:
            self._wait.end()
            self._send(placed)

    def _demand(self) -> choice.Demand:
        elapsed_ms = self._waited_ms()
        is_resumed = bool(self._last_event_id) or self._exchange.is_begun
        patience_ms = None
        if not is_resumed:
            patience_ms = -elapsed_ms + policy.patience_ms(
                route=self._route, limit_ms=self._time_limit_ms()
            )
        return choice.Demand(
            service=self._accepted.service,
            tokens=self._request.prompt_tokens,
            answer_tokens=self._request.answer_tokens,
            objective_ms=self._route.objective_ms - elapsed_ms,
            patience_ms=patience_ms,
            pause_objective_ms=self._route.pause_objective_ms,
            zone=self._parts.zone,
            is_resumed=is_resumed,
        )

    def _waited_ms(self) -> int:
        return self._parts.clock.now_ms() - self._started_ms

    def _may_send(self, placed: choice.Placement) -> bool:
        return self._parts.servers.take_cold_permit(
            server_id=placed.server_id, service=self._accepted.service
        )

    def _wait_or_refuse(self, cause: WaitCause, *, free_in_ms: int) -> None:
        """Wait, or refuse a request that can't be answered in time any more.

        :param free_in_ms: time in milliseconds until the request is likely
            to be placed, 0 if it is not known.
        """
        can_answer = policy.can_still_answer(
            route=self._route,
            waited_ms=self._waited_ms(),
            service_ms=choice.min_first_event_ms(
                self._accepted.service, self._request.prompt_tokens
            ),
            limit_ms=self._time_limit_ms(),
        )
        if can_answer or self._exchange.is_begun:
            self._retry_placement_later(cause, free_in_ms=free_in_ms)
        elif self._progress.may_have_run:
            self._refuse(policy.deadline_error(self._progress))
        else:
            self._refuse(
                errors.ServingError(
                    kind=ErrorKind.OVERLOADED,
                    retry_after_ms=free_in_ms or choice.FREE_SLOT_MS,
                )
            )

    def _retry_placement_later(
        self, cause: WaitCause, *, free_in_ms: int = 0
    ) -> None:
        after_ms = self._wait.retry_delay_ms(cause, free_in_ms=free_in_ms)
        self._placement_timer = self._parts.reactor.callLater(
            after_ms / clocks.MS_PER_SECOND, self._place
        )

    def _send(self, placed: choice.Placement) -> None:
        server = self._parts.servers.find(placed.server_id)
        order = model.ForwardOrder(
            request=self._request,
            server_id=server.server_id,
            workspace=self._accepted.workspace,
            remaining_ms=self._remaining_ms(),
            last_event_id=self._last_event_id,
            urgency=self._accepted.urgency,
        )
        is_stream = self._route.kind is routes.RequestKind.STREAMING
        self._tried_ids.add(server.server_id)
        self._attempt = attempts.Attempt(
            parts=self._parts,
            order=order,
            placement=placed,
            work=self._work_at(placed, is_stream=is_stream),
            is_stream=is_stream,
            owner=self,
        )
        LOG.info(
            'request placed',
            extra={
                **self._identity(),
                'server_id': server.server_id,
                'helper_ids': placed.helper_ids,
                'reserved_tokens': sum(one.tokens for one in placed.shares),
                'expected_ms': round(placed.first_event_ms),
                'remaining_ms': order.remaining_ms,
                'attempt': self._progress.sent + 1,
                'queued_ms': self._wait.queued_ms,
                'active': placed.load.active,
                'backlog_ms': round(placed.load.backlog_ms),
                'report_count': self._parts.load.peer_count,
                'report_age_ms': self._parts.load.oldest_report_ms,
                'last_event_id': self._last_event_id,
                'members_epoch': self._parts.holder.members_epoch,
                'members_version': self._parts.holder.members_version,
                'routes_version': self._parts.holder.config.routes_version,
                'lease_ms': self._parts.holder.remaining_ms,
            },
        )
        self._exchange.flow.set_source(self._attempt)
        self._attempt.start(server=server)
        if is_stream and self._may_fail_over():
            self._attempt.expect_within(self._first_event_timeout_ms(placed))

    def _may_fail_over(self) -> bool:
        """Return whether another server could take over if this one fails."""
        progress = attrs.evolve(
            self._progress, sent=self._progress.sent + 1, may_have_run=True
        )
        return policy.may_repeat(
            route=self._route,
            progress=progress,
            remaining_ms=self._remaining_ms(),
        )

    def _work_at(
        self, placed: choice.Placement, *, is_stream: bool
    ) -> fleet.Work:
        return fleet.Work(
            server_id=placed.server_id,
            read_ms=placed.part_ms,
            started_ms=self._parts.clock.now_ms(),
            due_ms=self._started_ms + self._route.objective_ms,
            pause_ms=self._route.pause_objective_ms if is_stream else 0,
            weight=pricing.weight_of(self._request.prompt_tokens),
            memory_tokens=self._request.prompt_tokens
            + self._request.answer_tokens
            - sum(share.tokens for share in placed.shares),
        )

    def _first_event_timeout_ms(self, placed: choice.Placement) -> float:
        objective_part_ms = OVERDUE_OBJECTIVE_FACTOR * self._route.objective_ms
        return max(
            OVERDUE_MIN_MS,
            OVERDUE_FACTOR * placed.first_event_ms + objective_part_ms,
        )

    def _stall_timeout_ms(self) -> float:
        pause_ms = self._route.pause_objective_ms
        return STALL_MIN_MS + STALL_PAUSE_FACTOR * pause_ms

    def on_stream_head(self, head: model.AnswerHead) -> None:
        """Keep the head; the caller gets it with the first event."""
        if not self._exchange.is_begun:
            self._head = head

    def on_events(self, events: list[event_stream.StreamEvent]) -> None:
        """Pass on events, except those that the caller already has."""
        self._parts.servers.record_activity(self._attempt.server_id)
        data, self._last_event_id = event_stream.join_unsent_events(
            events, last_id=self._last_event_id
        )
        if not data:
            return
        self._event_times.record(self._parts.clock.now_ms())
        if not self._exchange.is_begun:
            self._exchange.begin(
                status=self._head.status, headers=self._head.headers
            )
        self._exchange.write(data)
        if self._attempt is not None and self._may_fail_over():
            self._attempt.expect_within(self._stall_timeout_ms())

    def on_stream_end(self, rest: bytes) -> None:
        """Write the rest of the body and end the caller's stream."""
        if not self._exchange.is_begun:
            self._exchange.begin(
                status=self._head.status, headers=self._head.headers
            )
        self._parts.servers.record_success(self._attempt.server_id)
        self._exchange.write(rest)
        self._end('finished', status=self._head.status)
        self._exchange.finish()

    def on_answer(self, head: model.AnswerHead, body: bytes) -> None:
        """Pass on a complete answer."""
        self._parts.servers.record_success(self._attempt.server_id)
        self._end('finished', status=head.status)
        self._exchange.respond(
            status=head.status, headers=head.headers, body=body
        )

    def on_failed(self, outcome: attempts.Outcome) -> None:
        """Retry at another server, or answer the caller with an error."""
        server_id = self._attempt.server_id
        sent_after_ms = self._attempt.sent_after_ms
        self._sent_after_ms = sent_after_ms
        self._attempt = None
        self._progress = attrs.evolve(
            self._progress,
            sent=self._progress.sent + outcome.may_have_run,
            refused=self._progress.refused
            + (outcome.was_sent and not outcome.may_have_run),
            may_have_run=self._progress.may_have_run or outcome.may_have_run,
        )
        fault_attribution.record_failure(
            server_id=server_id,
            outcome=outcome,
            servers=self._parts.servers,
            tried_ids=self._tried_ids,
        )
        refusal = self._take_retry()
        LOG.info(
            'attempt failed',
            extra={
                **self._identity(),
                'server_id': server_id,
                'cause': outcome.cause.value,
                'detail': outcome.detail,
                'may_have_run': outcome.may_have_run,
                'sent_after_ms': sent_after_ms,
                'sent': self._progress.sent,
                'last_event_id': self._last_event_id,
                'no_retry': refusal and refusal.value,
            },
        )
        if refusal is None:
            self._parts.metrics.count_retry()
            self._place()
        else:
            self._fail(outcome)

    def _take_retry(self) -> policy.NoRetry | None:
        """Return why the request is not retried, None if it is."""
        refusal = policy.no_retry_reason(
            route=self._route,
            progress=self._progress,
            remaining_ms=self._remaining_ms(),
        )
        # A retry counts against the budget only once a server was reached.
        has_arrived = self._progress.sent + self._progress.refused > 0
        if refusal is None and has_arrived and not self._parts.budget.take():
            return policy.NoRetry.BUDGET
        return refusal

    def _fail(self, outcome: attempts.Outcome) -> None:
        """Give the caller the final answer for a failed request."""
        if self._exchange.is_begun:
            self._abort(outcome.cause.value)
        elif outcome.answer is not None and not outcome.answer.is_not_executed:
            self._end('server_error', status=outcome.answer.status)
            self._exchange.respond(
                status=outcome.answer.status,
                headers=outcome.answer.headers,
                body=outcome.body,
            )
        else:
            self._refuse(
                policy.final_error(
                    route=self._route,
                    progress=self._progress,
                    cause=outcome.cause,
                    pause_ms=self._shortest_pause_ms(),
                )
            )

    def _may_wait_for_servers(self) -> bool:
        """Return whether a new leader may still learn of a server in time."""
        if self._tried_ids or self._parts.holder.is_settled:
            return False
        wait_ms = policy.recovery_wait_ms(
            patience_ms=self._time_limit_ms(), missing_ms=0
        )
        return self._waited_ms() < wait_ms

    def _fail_without_servers(self) -> None:
        if self._exchange.is_begun:
            self._abort('no_backend_server')
        elif self._progress.may_have_run:
            self._refuse(errors.ServingError(kind=ErrorKind.BACKEND_FAILED))
        else:
            kind = ErrorKind.NO_BACKEND_SERVER
            if self._shortest_pause_ms():
                kind = ErrorKind.OVERLOADED
            self._refuse(
                errors.ServingError(
                    kind=kind, retry_after_ms=self._shortest_pause_ms()
                )
            )

    def _shortest_pause_ms(self) -> int | None:
        """Return the time until the first pause ends, if all servers pause."""
        return self._parts.servers.pause_ms(
            service=self._accepted.service.name
        )

    def _on_deadline(self) -> None:
        self._deadline_timer = None
        self._cancel_attempt()
        if self._exchange.is_begun:
            self._abort('deadline')
        else:
            self._refuse(policy.deadline_error(self._progress))

    def _on_gone(self) -> None:
        self._cancel_attempt()
        self._end('caller_gone', status=0)

    def _cancel_attempt(self) -> None:
        """Cancel the attempt under way; the server may have run it already."""
        if self._attempt is not None:
            self._progress = attrs.evolve(
                self._progress,
                sent=self._progress.sent + 1,
                may_have_run=True,
            )
            self._sent_after_ms = self._attempt.sent_after_ms
            self._attempt.cancel()
            self._attempt = None

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
        """Stop the timers; record the outcome in the metrics and the log."""
        self._is_over = True
        if self._attempt is not None:
            self._sent_after_ms = self._attempt.sent_after_ms
        self._wait.end()
        for timer in (self._deadline_timer, self._placement_timer):
            if timer is not None and timer.active():
                timer.cancel()
        now_ms = self._parts.clock.now_ms()
        first_ms = self._event_times.first_ms
        self._parts.metrics.count_request(
            request_class=self._accepted.service.name, outcome=outcome
        )
        if first_ms is not None:
            self._parts.metrics.record_first_token(
                duration_ms=first_ms - self._started_ms,
                request_class=self._accepted.service.name,
            )
        LOG.info(
            'request ended',
            extra={
                **self._identity(),
                'outcome': outcome,
                'status': status,
                'sent': self._progress.sent + (self._attempt is not None),
                'sent_after_ms': self._sent_after_ms,
                'queued_ms': self._wait.queued_ms,
                'first_event_ms': first_ms and first_ms - self._started_ms,
                'longest_pause_ms': self._event_times.longest_pause_ms,
                'total_ms': now_ms - self._started_ms,
                'objective_ms': self._route.objective_ms,
            },
        )

    def _identity(self) -> dict[str, str | int]:
        return {
            'request_id': self._request.request_id,
            'route': self._route.name,
            'workspace': self._accepted.workspace,
            'prompt_tokens': self._request.prompt_tokens,
        }
