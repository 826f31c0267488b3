"""Queues the requests of a gateway that find no free slot, and wakes them."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import functools
from typing import Protocol

import attrs

from shallothinge import clock as clocks
from shallothinge import periodic
from shallothinge.placement import fleet
from shallothinge.placement import free_slots
from shallothinge.scheduling import demand
from shallothinge.scheduling import model
from shallothinge.scheduling import queue as queues
from shallothinge.scheduling import shares
from shallothinge.scheduling import turn as turns

# Requests are woken when a slot becomes free. Slots also become free without
# a report, as when a server joins, so the first request of each service is
# tried again at this interval.
FALLBACK_INTERVAL_MS = 20
# The first placements of a time of scarcity give too low a rate, for which
# requests would be refused that can be served.
MIN_RATE_MS = 1000
# Requests that can't be served any more are looked for less often. Each tick
# checks a part of them, as all checks at once would pause the process.
TICKS_PER_CHECK = 5


class Waiter(Protocol):
    """A request that waits for a slot."""

    def wake(self) -> None:
        """Try to place the request; it is parked again if it has to wait."""

    def has_to_end(self) -> bool:
        """Return whether the request is to be woken although it is not first.

        This is so if it can't be served any more.
        """


@attrs.frozen(kw_only=True)
class Turn:
    """Whether a request may take a free slot now.

    ``is_contended`` is whether it takes only a slot for which this gateway
    has the turn, which has been free for ``min_free_ms``.
    """

    is_granted: bool
    is_contended: bool = False
    min_free_ms: int = 0


UNCONTENDED = Turn(is_granted=True)


class RoomQueue:
    """The requests of one gateway that wait for a free slot.

    :param load: calls back when a slot becomes free.
    :param own_id: id of this gateway, as its peers know it.
    :ivar queue: decides the order of the requests.
    :ivar peer_demand: what the peers have reported.
    :ivar reporter: builds the reports to the peers.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        reactor: object,
        load: fleet.FleetLoad,
        own_id: str,
    ):
        self._clock = clock
        self._reactor = reactor
        self._scarce_since_ms: int | None = None
        self.peer_demand = demand.PeerDemand(clock=clock)
        self.queue = queues.WaitQueue(
            clock=clock,
            own_id=own_id,
            shares=shares.WorkspaceShares(in_use=self._all_slots_in_use),
            peer_demand=self.peer_demand,
        )
        self.reporter = demand.DemandReporter(
            clock=clock, queue=self.queue, in_use=lambda: self._slots_in_use
        )
        self._services: dict[int, str] = {}
        self._parked: dict[int, Waiter] = {}
        self._slots_in_use: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._wake_timer = None
        self._turn_timer = None
        self._tick_timer = None
        self._tick_count = 0
        load.on_room = self._on_room

    def occupy(self, *, service: str, workspace: str) -> None:
        """Count a slot that a request of a workspace uses."""
        self._slots_in_use[service, workspace] += 1

    def vacate(self, *, service: str, workspace: str) -> None:
        """Stop counting a slot that ``occupy`` counted."""
        self._slots_in_use[service, workspace] -= 1
        if self._slots_in_use[service, workspace] <= 0:
            del self._slots_in_use[service, workspace]

    def _all_slots_in_use(self) -> Mapping[tuple[str, str], float]:
        """Return all gateways' slots in use by service and workspace."""
        total = collections.Counter(self.peer_demand.in_use())
        total.update(self._slots_in_use)
        return total

    def has_demand(self, service: str) -> bool:
        """Return whether any request of any gateway waits for a service."""
        return self.queue.has_demand(service)

    def join(self, request: model.WaitingRequest) -> int:
        """Add a request to the queue.

        :returns: an id to pass to the other methods.
        """
        waiting_id = self.queue.join(request)
        self._services[waiting_id] = request.service
        return waiting_id

    def leave(self, waiting_id: int) -> None:
        """Remove a request that has ended or was placed."""
        self.queue.leave(waiting_id)
        self._services.pop(waiting_id, None)
        self._parked.pop(waiting_id, None)

    def record_grant(self, waiting_id: int) -> None:
        """Record that a request was placed."""
        self.queue.granted(waiting_id)

    def expected_wait_ms(self, waiting_id: int) -> float:
        """Return how long a request still has to wait, 0 if not known."""
        since_ms = self._scarce_since_ms
        if since_ms is None or self._clock.now_ms() < since_ms + MIN_RATE_MS:
            return 0.0
        return self.queue.expected_wait_ms(waiting_id) or 0.0

    def turn_of(self, waiting_id: int, slots: free_slots.FreeSlots) -> Turn:
        """Return whether a request may take one of the free slots."""
        service = self._services[waiting_id]
        if self.queue.has_late_turn(waiting_id):
            return Turn(is_granted=slots.oldest_ms is not None)
        if not self.peer_demand.has_demand(service):
            first = self.queue.first(service, slots.count)
            return Turn(is_granted=waiting_id in first)
        # Further positions make no difference.
        first = self.queue.first(service, slots.own_count)
        position = slots.own_count
        if waiting_id in first:
            position = first.index(waiting_id)
        yield_ms = self.queue.yield_ms(waiting_id)
        wait_ms = turns.wait_ms(
            position=position,
            yield_ms=yield_ms,
            own_count=slots.own_count,
            next_turn_in_ms=slots.next_turn_in_ms,
            oldest_ms=slots.oldest_ms,
        )
        if wait_ms:
            self._turn_timer = self._schedule(
                self._turn_timer, wait_ms, self._wake_first
            )
        return Turn(
            is_granted=wait_ms == 0,
            is_contended=True,
            min_free_ms=yield_ms,
        )

    def park(self, waiting_id: int, waiter: Waiter) -> None:
        """Wake a request when it may be placed, or has to end."""
        if self._scarce_since_ms is None:
            self._scarce_since_ms = self._clock.now_ms()
        self._parked[waiting_id] = waiter
        self._tick_timer = self._schedule(
            self._tick_timer, FALLBACK_INTERVAL_MS, self._tick
        )

    def _on_room(self) -> None:
        if self._parked:
            self._wake_timer = self._schedule(
                self._wake_timer, 0, self._wake_first
            )

    def _schedule(self, timer, delay_ms: int, step: Callable[[], None]):
        """Return a timer that runs a step after a delay or sooner.

        :param timer: the last one that runs the step, if any. If it is
            active, it is returned.
        """
        delay_s = delay_ms / clocks.MS_PER_SECOND
        if timer is not None and timer.active():
            if timer.getTime() > self._reactor.seconds() + delay_s:
                timer.reset(delay_s)
            return timer
        return self._reactor.callLater(delay_s, periodic.run, step)

    def _wake_first(self) -> None:
        """Wake the requests of each service in turn, until one has to wait."""
        for service in set(map(self._services.get, self._parked)):
            periodic.run(functools.partial(self._wake_first_of, service))

    def _wake_first_of(self, service: str) -> None:
        count = 1
        while True:
            first = self.queue.first(service, count)
            waiting_id = next((one for one in first if one in self._parked), 0)
            if waiting_id:
                self._wake(waiting_id)
                if waiting_id in self._parked:
                    return
            elif len(first) < count:
                return
            else:
                # They wait for permits of their servers.
                count *= 2

    def _wake(self, waiting_id: int) -> None:
        self._parked.pop(waiting_id).wake()

    def _tick(self) -> None:
        # First, as one of the requests may be parked again, or fail.
        self._tick_timer = self._schedule(
            None, FALLBACK_INTERVAL_MS, self._tick
        )
        self._tick_count += 1
        self._wake_those_that_end()
        self._wake_first()
        if not self._parked:
            self._scarce_since_ms = None
            self._tick_timer.cancel()

    def _wake_those_that_end(self) -> None:
        due = self._tick_count % TICKS_PER_CHECK
        due_ids = [one for one in self._parked if one % TICKS_PER_CHECK == due]
        for waiting_id in due_ids:
            periodic.run(functools.partial(self._wake_to_end, waiting_id))

    def _wake_to_end(self, waiting_id: int) -> None:
        waiter = self._parked.get(waiting_id)
        if waiter is not None and waiter.has_to_end():
            self._wake(waiting_id)
