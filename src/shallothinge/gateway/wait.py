"""Tracks why and how long an accepted request waits to be sent."""

import enum
import logging

from shallothinge.gateway import demands
from shallothinge.gateway import dependencies
from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.gateway import room
from shallothinge.placement import choice
from shallothinge.placement import free_slots
from shallothinge.placement import waiting

LOG = logging.getLogger(__name__)


class WaitCause(enum.Enum):
    """What a request waits for before it is sent."""

    SERVERS = 'servers'
    ROOM = 'room'
    READS = 'reads'
    TURN = 'turn'
    COLD_LIMIT = 'cold_limit'
    LEASE = 'lease'
    BUDGET = 'budget'
    QUARANTINE = 'quarantine'
    SERVER_LIMIT = 'server_limit'


class Wait:
    """Why one request waits, and its place in the queue of long prompts.

    :param identity: log fields that identify the request.
    :ivar queued_ms: sum of the delays before its placement was retried.
    :ivar turn: the last decision on whether it may take a free slot.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
        identity: dict[str, str | int],
        started_ms: int,
    ):
        self._parts = parts
        self._accepted = accepted
        self._identity = identity
        self._started_ms = started_ms
        self._waiting_id: int | None = None
        self._permit_id: int | None = None
        self._room_id: int | None = None
        self._parked_ms: int | None = None
        self.turn = room.UNCONTENDED
        self._logged_causes: set[WaitCause] = set()
        self.queued_ms = 0

    def is_turn(self, *, demand: choice.Demand, due_ms: int) -> bool:
        """Return whether no waiting prompt of the service comes before.

        The first call adds the prompt to the queue of this gateway. Prompts
        that do not wait for reads are not queued.

        :param due_ms: instant after which the first event is late.
        """
        if not demand.waits_for_reads:
            return True
        if self._waiting_id is None:
            self._waiting_id = self._parts.waiting.join(self._entry(due_ms))
        return self._parts.waiting.is_first(self._waiting_id)

    def permit_position(self, due_ms: int) -> int:
        """Return how many requests come before for a server's permit.

        The first call adds the request to this gateway's queue for the
        servers of the service, all of which limit their rate.

        :param due_ms: instant after which the first event is late.
        """
        if self._permit_id is None:
            self._permit_id = self._parts.permit_queue.join(
                self._entry(due_ms)
            )
        return self._parts.permit_queue.position(self._permit_id)

    def _entry(self, due_ms: int) -> waiting.WaitingPrompt:
        return waiting.WaitingPrompt(
            service=self._accepted.service.name,
            due_ms=due_ms,
            min_first_event_ms=choice.min_first_event_ms(
                self._accepted.service, self._accepted.request.prompt_tokens
            ),
        )

    @property
    def is_parked(self) -> bool:
        """Return whether the request is woken when it may take a slot."""
        return self._parked_ms is not None

    def room_turn(self, slots: free_slots.FreeSlots) -> room.Turn:
        """Return whether the request may take a free slot of its service.

        If others wait for one, the request joins their queue.
        """
        if self._room_id is None and not self._parts.room.has_demand(
            self._accepted.service.name
        ):
            self.turn = room.UNCONTENDED
        else:
            self.turn = self._parts.room.turn_of(self._join_room(), slots)
        return self.turn

    def park(self, waiter: room.Waiter) -> None:
        """Wait in the queue for a free slot."""
        self._log_once(WaitCause.ROOM, 0)
        self._parked_ms = self._parts.clock.now_ms()
        self._parts.room.park(self._join_room(), waiter)

    def unpark(self) -> None:
        """Record that the request was woken; it stays in the queue."""
        if self._parked_ms is not None:
            self.queued_ms += self._parts.clock.now_ms() - self._parked_ms
            self._parked_ms = None

    def room_wait_ms(self) -> float:
        """Return how long the request still has to wait for a slot."""
        if self._room_id is None:
            return 0.0
        return self._parts.room.expected_wait_ms(self._room_id)

    def record_grant(self) -> None:
        """Record that the request takes a slot."""
        if self._room_id is not None:
            self._parts.room.record_grant(self._room_id)

    def leave_room(self) -> None:
        """Leave the queue for slots, if the request is in it."""
        self.unpark()
        if self._room_id is not None:
            self._parts.room.leave(self._room_id)
            self._room_id = None

    def _join_room(self) -> int:
        if self._room_id is None:
            self._room_id = self._parts.room.join(
                demands.build_waiting_request(
                    self._accepted, started_ms=self._started_ms
                )
            )
        return self._room_id

    def leave_permit_queue(self) -> None:
        """Leave the queue for permits, if the request is in it."""
        if self._permit_id is not None:
            self._parts.permit_queue.leave(self._permit_id)
            self._permit_id = None

    def may_recover(self) -> bool:
        """Return whether control may recover in time for the request."""
        wait_ms = policy.recovery_wait_ms(
            patience_ms=self._accepted.time_limit_ms, missing_ms=0
        )
        return self._parts.clock.now_ms() - self._started_ms < wait_ms

    def may_resume(
        self, *, broke_off_ms: int, tried_ids: frozenset[str]
    ) -> bool:
        """Return whether a stream that broke off may wait for a server.

        :param broke_off_ms: instant at which it broke off.
        :param tried_ids: servers that it is not sent to again.
        """
        return policy.may_wait_to_resume(
            route=self._accepted.route,
            limit_ms=self._accepted.time_limit_ms,
            waited_ms=self._parts.clock.now_ms() - broke_off_ms,
            pause_ms=self._parts.servers.pause_ms(
                service=self._accepted.service.name, tried_ids=tried_ids
            ),
        )

    def ends_before_stop(self, first_event_ms: float = 0.0) -> bool:
        """Return whether the answer is likely to end before a planned stop.

        :param first_event_ms: expected time until its first event.
        """
        idle_ms = demands.min_answer_ms(
            self._accepted, first_event_ms=first_event_ms
        )
        waited_ms = self._parts.clock.now_ms() - self._started_ms
        return self._parts.shutdown.allows(
            route=self._accepted.route.name,
            idle_ms=idle_ms,
            min_delay_ms=policy.min_delay_at_stop_ms(
                route=self._accepted.route,
                is_duration_known=idle_ms > 0,
                remaining_ms=self._accepted.time_limit_ms - waited_ms,
            ),
        )

    def record_answer(self) -> None:
        """Record how long the answer took that is complete now."""
        took_ms = self._parts.clock.now_ms() - self._started_ms
        idle_ms = demands.min_answer_ms(self._accepted)
        self._parts.shutdown.record_delay(
            route=self._accepted.route.name,
            delay_ms=max(0.0, took_ms - self.queued_ms - idle_ms),
        )

    def end(self) -> None:
        """Leave the queue; the request is sent or has ended."""
        self._logged_causes.clear()
        self.leave_permit_queue()
        self.leave_room()
        if self._waiting_id is not None:
            self._parts.waiting.leave(self._waiting_id)
            self._waiting_id = None

    def retry_delay_ms(
        self, cause: WaitCause, *, free_in_ms: int, is_running: bool = False
    ) -> int:
        """Return the delay until the next try; log each cause once.

        :param is_running: whether the request runs at a silent server, so
            that the delay is no time in a queue.
        """
        self._log_once(cause, free_in_ms)
        if is_running:
            return policy.takeover_poll_delay_ms(self._accepted.route)
        delay_ms = policy.POLL_INTERVAL_MS
        if cause is WaitCause.READS:
            delay_ms = policy.reads_poll_delay_ms(free_in_ms)
        elif cause is WaitCause.SERVER_LIMIT:
            delay_ms = policy.permit_poll_delay_ms(free_in_ms)
        self.queued_ms += delay_ms
        return delay_ms

    def _log_once(self, cause: WaitCause, free_in_ms: int) -> None:
        if cause in self._logged_causes:
            return
        self._logged_causes.add(cause)
        LOG.info(
            'request waits',
            extra={
                **self._identity,
                'cause': cause.value,
                'free_in_ms': free_in_ms,
                'waited_ms': self._parts.clock.now_ms() - self._started_ms,
                'waiting_count': self._parts.waiting.count,
                'report_count': self._parts.load.peer_count,
                'report_age_ms': self._parts.load.oldest_report_ms,
            },
        )
