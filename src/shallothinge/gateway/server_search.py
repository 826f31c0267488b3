"""The search for a backend server that one request is sent to."""

from collections.abc import Callable

from shallothinge import clock as clocks
from shallothinge import guard as guards
from shallothinge.errors import ErrorKind
from shallothinge.gateway import attempt_record
from shallothinge.gateway import caller_answer
from shallothinge.gateway import demands
from shallothinge.gateway import dependencies
from shallothinge.gateway import model
from shallothinge.gateway import part_admission
from shallothinge.gateway import policy
from shallothinge.gateway import room
from shallothinge.gateway import wait as waits
from shallothinge.gateway.wait import WaitCause
from shallothinge.placement import choice
from shallothinge.placement import free_slots
from shallothinge.quarantine import state as quarantines


class ServerSearch:
    """Chooses a server for a request, waits for one, or refuses the request.

    :param started_ms: instant at which the request arrived.
    :param send: sends the request to the server that was chosen.
    :ivar due_ms: instant after which the first event is late.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
        answer: caller_answer.CallerAnswer,
        attempts: attempt_record.AttemptRecord,
        admission: part_admission.PartAdmission,
        wait: waits.Wait,
        guard: guards.RequestGuard,
        started_ms: int,
        send: Callable[[choice.Placement], None],
    ):
        self._parts = parts
        self._accepted = accepted
        self._route = accepted.route
        self._answer = answer
        self._attempts = attempts
        self._admission = admission
        self._wait = wait
        self._guard = guard
        self._started_ms = started_ms
        self.due_ms = started_ms + accepted.route.objective_ms
        self._send = send
        self._timer = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the search goes on later."""
        return self._timer is not None or self._wait.is_parked

    @guards.guarded
    def start(self) -> None:
        """Choose a server and send the request to it, or wait and retry."""
        self._timer = None
        self._wait.unpark()
        if self._answer.is_over or (
            self._attempts.running and self._attempts.no_takeover_reason()
        ):
            return
        admission = self._admission.admit()
        if admission.refused_ms:
            self._refuse_quarantined(admission)
            return
        if admission.wait_ms:
            self._retry_later(
                WaitCause.QUARANTINE, free_in_ms=admission.wait_ms
            )
            return
        if not self._parts.holder.is_valid():
            self._wait_or_fail(
                WaitCause.LEASE, kind=ErrorKind.NO_LEASE, may_recover=True
            )
            return
        if self._attempts.running and not self._attempts.has_takeover_credit:
            self._retry_later(WaitCause.BUDGET)
            return
        if self._waits_for_permit():
            return
        candidates = self._parts.servers.candidates(
            service=self._accepted.service.name,
            tried_ids=self._attempts.tried_ids,
            requests_per_slot=free_slots.requests_per_slot(
                self._accepted.service
            ),
        )
        if not candidates:
            self._wait_or_fail(
                WaitCause.SERVERS,
                kind=ErrorKind.NO_BACKEND_SERVER,
                may_recover=not self._parts.holder.is_settled,
            )
            return
        self._choose(candidates)

    def _waits_for_permit(self) -> bool:
        """Wait or refuse if all servers limit their rate.

        :returns: False if the request may be sent now.
        """
        wait_ms = self._parts.servers.permit_wait_ms(
            service=self._accepted.service.name,
            tried_ids=self._attempts.tried_ids,
        )
        if wait_ms is None:
            self._wait.leave_permit_queue()
            return False
        position = self._wait.permit_position(self.due_ms)
        if not wait_ms and not position:
            return False
        self._wait_or_refuse(
            WaitCause.SERVER_LIMIT,
            free_in_ms=0 if position else wait_ms,
            expected_ms=wait_ms + position * self._permit_interval_ms(),
        )
        return True

    def _choose(self, candidates: tuple[choice.Candidate, ...]) -> None:
        """Send the request to one of the candidates, or wait for one."""
        demand = demands.build_demand(
            self._accepted,
            zone=self._parts.zone,
            waited_ms=self._waited_ms(),
            is_resumed=bool(self._answer.last_event_id)
            or self._answer.is_begun,
        )
        is_first = bool(self._attempts.running) or self._wait.is_turn(
            demand=demand, due_ms=self.due_ms
        )
        if not is_first:
            self._wait_or_refuse(WaitCause.TURN, free_in_ms=0)
            return
        is_queued = not (self._is_at_server or demand.is_resumed)
        turn = room.UNCONTENDED
        if is_queued:
            turn = self._wait.room_turn(free_slots.find(demand, candidates))
        placed = choice.NoCapacity(free_in_ms=choice.FREE_SLOT_MS)
        if turn.is_granted:
            placed = self._parts.chooser.choose(
                demand=demand,
                candidates=candidates,
                is_contended=turn.is_contended,
                min_free_ms=turn.min_free_ms,
            )
        if isinstance(placed, choice.NoCapacity):
            self._wait_for_room(placed, demand, is_queued=is_queued)
        elif isinstance(placed, choice.PlacementDeferred):
            self._wait_or_refuse(
                WaitCause.READS, free_in_ms=int(placed.start_in_ms)
            )
        elif not (
            self._is_at_server
            or self._wait.ends_before_stop(placed.first_event_ms)
        ):
            self.refuse_for_stop()
        elif not self._parts.servers.take_permit(
            server_id=placed.server_id, service=self._accepted.service
        ):
            self._retry_later(WaitCause.COLD_LIMIT)
        else:
            if self._attempts.running:
                self._attempts.count_takeover()
            self._wait.record_grant()
            self._wait.end()
            self._send(placed)

    def _wait_for_room(
        self,
        placed: choice.NoCapacity,
        demand: choice.Demand,
        *,
        is_queued: bool,
    ) -> None:
        """Wait for a free slot, or refuse the request.

        A request that can't use a free slot leaves the queue, as the others
        would leave the slot to it, and tries again after an interval.

        :param is_queued: whether it waits in the queue for slots; streams
            that have begun come before those.
        """
        if (
            is_queued
            and not placed.lacks_memory
            and not self._has_slot_at_tried(demand)
            and self._has_time(self._wait.room_wait_ms())
        ):
            self._wait.park(self)
        else:
            self._wait_or_refuse(
                WaitCause.ROOM,
                free_in_ms=max(
                    placed.free_in_ms, int(self._wait.room_wait_ms())
                ),
                expected_ms=self._wait.room_wait_ms(),
            )

    def _has_slot_at_tried(self, demand: choice.Demand) -> bool:
        """Return whether a slot is free, maybe where the request failed."""
        if not self._attempts.tried_ids:
            return False
        candidates = self._parts.servers.candidates(
            service=demand.service.name,
            tried_ids=frozenset(),
            requests_per_slot=free_slots.requests_per_slot(demand.service),
        )
        return free_slots.find(demand, candidates).oldest_ms is not None

    def wake(self) -> None:
        """Try again to take a free slot."""
        self.start()

    def has_to_end(self) -> bool:
        """Return whether waiting for a slot is in vain, or not allowed."""
        return not (
            self._parts.holder.is_valid()
            and self._has_time(self._wait.room_wait_ms())
        )

    def _has_time(self, expected_ms: float) -> bool:
        """Return whether the request may be answered after a wait.

        :param expected_ms: time in milliseconds that it has to wait.
        """
        can_answer = demands.can_still_answer(
            self._accepted, waited_ms=self._waited_ms() + int(expected_ms)
        )
        return can_answer and self._wait.ends_before_stop()

    def _refuse_quarantined(self, admission: quarantines.Admission) -> None:
        self._attempts.cancel()
        self._answer.refuse(
            policy.quarantine_error(
                route=self._route,
                progress=self._attempts.progress,
                admission=admission,
            )
        )

    def refuse_blocked(self) -> None:
        """End a request that may crash servers, unless its answer is begun."""
        is_pending = bool(self._attempts.running) or self.is_waiting
        if (
            is_pending
            and not self._answer.is_over
            and not self._answer.is_begun
        ):
            self._refuse_quarantined(self._admission.admit())

    def _waited_ms(self) -> int:
        return self._parts.clock.now_ms() - self._started_ms

    def _wait_or_refuse(
        self, cause: WaitCause, *, free_in_ms: int, expected_ms: float = 0.0
    ) -> None:
        """Wait, or refuse a request that can't be answered in time any more.

        :param free_in_ms: time in milliseconds until the request is likely
            to be placed, 0 if it is not known.
        :param expected_ms: time in milliseconds that it has to wait in any
            case.
        """
        can_answer = demands.can_still_answer(
            self._accepted, waited_ms=self._waited_ms() + int(expected_ms)
        )
        if not (self._is_at_server or self._wait.ends_before_stop()):
            self.refuse_for_stop()
        elif can_answer or self._is_at_server:
            self._retry_later(cause, free_in_ms=free_in_ms)
        elif self._attempts.progress.may_have_run:
            self._answer.refuse(policy.deadline_error(self._attempts.progress))
        else:
            return_in_ms = free_in_ms or choice.FREE_SLOT_MS
            if cause is WaitCause.SERVER_LIMIT:
                return_in_ms = self._book_return(expected_ms)
            self._answer.refuse(
                policy.full_error(return_in_ms, detail=cause.value)
            )

    def _book_return(self, expected_ms: float) -> int:
        """Return after which time in ms the caller is to return."""
        return self._parts.returns.book(
            service=self._accepted.service.name,
            first_in_ms=expected_ms,
            interval_ms=self._permit_interval_ms(),
        )

    def _permit_interval_ms(self) -> float:
        return self._parts.servers.permit_interval_ms(
            service=self._accepted.service.name,
            tried_ids=self._attempts.tried_ids,
        )

    @property
    def _is_at_server(self) -> bool:
        """Return whether a server works on the answer or has begun it."""
        return self._answer.is_begun or bool(self._attempts.running)

    def refuse_for_stop(self) -> None:
        """Refuse the request, as the process stops before its answer."""
        self._answer.refuse(
            policy.stop_error(
                route=self._route, progress=self._attempts.progress
            )
        )

    def _retry_later(self, cause: WaitCause, *, free_in_ms: int = 0) -> None:
        """Try again after an interval.

        Unless the request only waits for a permit of the server, others may
        take the free slots until then.
        """
        if cause is not WaitCause.COLD_LIMIT:
            self._wait.leave_room()
        after_ms = self._wait.retry_delay_ms(
            cause,
            free_in_ms=free_in_ms,
            is_running=bool(self._attempts.running),
        )
        self._timer = self._parts.reactor.callLater(
            after_ms / clocks.MS_PER_SECOND, self.start
        )

    def stop(self) -> None:
        """Stop waiting; the request goes on, or has ended."""
        self._wait.end()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_or_fail(
        self, cause: WaitCause, *, kind: ErrorKind, may_recover: bool
    ) -> None:
        """Wait for what the placement lacks, or fail.

        :param kind: the error of a request that surely did not run.
        :param may_recover: whether control may provide it soon.
        """
        if self._answer.is_begun:
            may_wait = self._wait.may_resume(
                broke_off_ms=self._attempts.failed_ms,
                tried_ids=self._attempts.tried_ids,
            )
        else:
            is_untried = not self._attempts.tried_ids
            may_wait = may_recover and is_untried and self._wait.may_recover()
        if self._attempts.running or may_wait:
            self._retry_later(cause)
        elif self._answer.is_begun:
            self._answer.abort(kind.value)
        else:
            self._answer.refuse(
                policy.unplaced_error(
                    progress=self._attempts.progress,
                    kind=kind,
                    missing=self._parts.servers.absence_of(
                        self._accepted.service.name
                    ),
                    is_list_settled=self._parts.holder.is_settled,
                )
            )

    def shortest_pause_ms(self) -> int | None:
        """Return the time until the first pause ends, if all servers pause."""
        return self._parts.servers.pause_ms(
            service=self._accepted.service.name
        )
