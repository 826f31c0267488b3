"""The requests that wait at this gateway, ordered with those of its peers."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import itertools
import math

import attrs

from shallothinge import clock as clocks
from shallothinge.scheduling import demand
from shallothinge.scheduling import grants
from shallothinge.scheduling import messages
from shallothinge.scheduling import model
from shallothinge.scheduling import order as orders
from shallothinge.scheduling import shares as workspace_shares
from shallothinge.scheduling import turn

# Of this many consecutive placements of waiting requests of a service, one is
# of the late request that is abandoned soonest.
LATE_TURN_INTERVAL = 8
# Requests that were placed without waiting change the slots in use, too.
MAX_SHARES_AGE_MS = 20

NO_ENTRIES = orders.WaitingOrder()


@attrs.define(kw_only=True)
class _Service:
    """The waiting requests of one service.

    ``since_turn_count`` counts the placements, of all gateways, since the
    last late turn. ``shares_ms`` is when the workspaces above their shares
    were last determined, None if that is due.
    """

    order: orders.WaitingOrder = attrs.field(factory=orders.WaitingOrder)
    history: grants.GrantHistory = attrs.field(factory=grants.GrantHistory)
    granted_count: int = 0
    turn_count: int = 0
    since_turn_count: int = 0
    shares_ms: int | None = None
    late_rank: tuple[tuple, int] | None = None


class WaitQueue:
    """Orders the waiting requests of all gateways, as far as they are known.

    Requests that can be answered in time come before late ones, then the more
    urgent, then those of workspaces that are not above their fair share, then
    the one that must start soonest or, of late ones, is abandoned soonest. One
    placement in ``LATE_TURN_INTERVAL`` goes to the late request of all
    gateways that is abandoned soonest.

    :param own_id: id of this gateway, as its peers know it.
    :ivar on_change: called when the summary may have changed, also during
        look-ups, so it must defer what it causes.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        shares: workspace_shares.WorkspaceShares,
        peer_demand: demand.PeerDemand,
        own_id: str = '',
    ):
        self._clock = clock
        self._shares = shares
        self._peers = peer_demand
        self._own_id = own_id
        self._services: dict[str, _Service] = collections.defaultdict(_Service)
        self._requests: dict[int, model.WaitingRequest] = {}
        self._next_id = 0
        self.on_change: Callable[[], None] | None = None
        peer_demand.on_granted = self._count_peer_grants

    def join(self, request: model.WaitingRequest) -> int:
        """Add a request.

        :returns: an id for the other methods.
        """
        if not self.has_demand(request.service):
            self._services[request.service].history.forget_recent()
        service = self._refreshed(request.service)
        self._next_id += 1
        self._requests[self._next_id] = request
        entry = orders.Entry(
            group=request.workspace,
            gateway_id=self._own_id,
            number=self._next_id,
            urgency=request.urgency,
            start_by_ms=request.start_by_ms,
            abandon_ms=request.abandon_ms,
        )
        if request.workspace not in service.order.group_names:
            service.shares_ms = None
        service.order.add(entry, now_ms=self._clock.now_ms())
        if self._is_in_summary(service.order, entry):
            self._notify()
        return self._next_id

    def leave(self, waiting_id: int) -> None:
        """Remove a request; ignore unknown ids."""
        request = self._requests.pop(waiting_id, None)
        if request is None:
            return
        service = self._services[request.service]
        entry = service.order.find(self._own_id, waiting_id)
        is_reported = self._is_in_summary(service.order, entry)
        service.order.remove(self._own_id, waiting_id)
        if request.workspace not in service.order.group_names:
            service.shares_ms = None
        if is_reported:
            self._notify()

    def granted(self, waiting_id: int) -> None:
        """Record that a request was placed, and remove it."""
        request = self._requests.get(waiting_id)
        if request is None:
            return
        service = self._refreshed(request.service)
        soonest = self._soonest_abandoned(request.service)
        has_turn = soonest is service.order.find(self._own_id, waiting_id)
        service.granted_count += 1
        service.turn_count += has_turn
        service.since_turn_count += 1
        if has_turn:
            service.since_turn_count = 0
        service.history.record(now_ms=self._clock.now_ms())
        service.shares_ms = None
        self.leave(waiting_id)
        self._notify()

    def has_demand(self, service: str | None = None) -> bool:
        """Return whether requests wait, here or at a peer.

        :param service: None for any.
        """
        if service is None:
            return bool(self._requests) or self._peers.has_demand()
        known = self._services.get(service)
        return bool(known and known.order) or self._peers.has_demand(service)

    def ranked(self, service: str) -> list[int]:
        """Return the ids of this gateway's requests in order."""
        return self.first(service, self.count)

    def first(self, service: str, count: int) -> list[int]:
        """Return the ids of this gateway's first requests, in order."""
        first = itertools.islice(self._in_order(service), count)
        return [entry.number for entry, _ in first]

    def _in_order(self, name: str) -> Iterator[tuple[orders.Entry, int]]:
        """Yield this gateway's requests of a service with their ranks."""
        if name not in self._services:
            return
        service = self._refreshed(name)
        own, others = self._both(name)
        late_rank, turn_rank = -1, self._turn_rank(service)
        soonest = self._soonest_abandoned(name)
        if soonest is not None:
            late_rank = self._late_rank(name)
        for index, entry in enumerate(own):
            rank = index + others.count_before(
                entry.key, is_above=own.is_above(entry)
            )
            if not turn_rank <= rank <= late_rank:
                yield entry, rank
                continue
            if soonest is not None and soonest.gateway_id == self._own_id:
                yield soonest, turn_rank
                soonest = None
            if rank < late_rank:
                yield entry, rank + 1

    def rank(self, waiting_id: int) -> int:
        """Return how many requests, of all gateways, are ahead of one.

        :raises KeyError: if the request has left the queue.
        """
        name = self._requests[waiting_id].service
        service = self._refreshed(name)
        entry = service.order.find(self._own_id, waiting_id)
        rank = self._rank_without_turn(name, entry)
        soonest = self._soonest_abandoned(name)
        if soonest is None:
            return rank
        late_rank = self._late_rank(name)
        turn_rank = self._turn_rank(service)
        if entry is soonest:
            return min(late_rank, turn_rank)
        return rank + (turn_rank <= rank < late_rank)

    def yield_ms(self, waiting_id: int) -> int:
        """Return for how long a request leaves a free slot to a peer's.

        It does so if one of a better class waits there: in time before late,
        then by urgency and share of the workspace. Within a class, every
        gateway serves its own requests, so that slots are reused without
        delay. If a late turn is due, all yield to the request that has it.

        :returns: milliseconds since the slot has become free.
        :raises KeyError: if the request has left the queue.
        """
        name = self._requests[waiting_id].service
        peers_order = self._peers.order(name)
        if not peers_order or self.has_late_turn(waiting_id):
            return 0
        service = self._refreshed(name)
        entry = service.order.find(self._own_id, waiting_id)
        first = next(iter(peers_order))
        if _class_of(first, peers_order) < _class_of(entry, service.order):
            return turn.MAX_YIELD_MS
        soonest = self._soonest_abandoned(name)
        if soonest is not None and not self._turn_rank(service):
            return turn.LATE_TURN_YIELD_MS
        return 0

    def has_late_turn(self, waiting_id: int) -> bool:
        """Return whether the next slot goes to this late request.

        :raises KeyError: if the request has left the queue.
        """
        name = self._requests[waiting_id].service
        service = self._refreshed(name)
        soonest = self._soonest_abandoned(name)
        return (
            not self._turn_rank(service)
            and soonest is not None
            and soonest is service.order.find(self._own_id, waiting_id)
        )

    def expected_wait_ms(self, waiting_id: int) -> float | None:
        """Return the expected time until a request is placed.

        :returns: milliseconds, None while no rate of placements is known.
        :raises KeyError: if the request has left the queue.
        """
        name = self._requests[waiting_id].service
        rate_per_ms = self._rate_per_ms(name)
        if rate_per_ms is None:
            return None
        rank = self.rank(waiting_id)
        entry = self._services[name].order.find(self._own_id, waiting_id)
        return self._count_until(name, entry, rank) / rate_per_ms

    def _rate_per_ms(self, name: str) -> float | None:
        """Return the rate of the recent placements of a service."""
        return self._services[name].history.rate_per_ms(self._clock.now_ms())

    def _count_until(self, name: str, entry: orders.Entry, rank: int) -> int:
        """Return the number of placements until a request is placed."""
        if entry.is_late:
            turns_ahead = sum(
                order.count_abandoned_before(entry)
                for order in self._both(name)
            )
            turn_rank = self._turn_rank(self._services[name])
            rank = min(rank, turn_rank + LATE_TURN_INTERVAL * turns_ahead)
        return rank + 1

    def summary(self) -> tuple[tuple, ...]:
        """Return the first requests of each service, for the peers.

        :returns: entries as in ``DemandReported.waiting``.
        """
        now_ms = self._clock.now_ms()
        found = []
        for name, known in self._services.items():
            if not known.order:
                continue
            self._refreshed(name)
            first = itertools.islice(
                known.order, messages.MAX_ENTRIES_PER_SERVICE
            )
            entries = list(first)
            soonest = known.order.soonest_abandoned()
            if soonest is not None and soonest not in entries:
                entries[-1:] = [soonest]
            found += (
                (
                    name,
                    entry.urgency,
                    known.order.is_above(entry),
                    math.floor(entry.start_by_ms - now_ms),
                    math.floor(entry.abandon_ms - now_ms),
                    entry.number,
                )
                for entry in entries
            )
        return tuple(found)

    def _is_in_summary(
        self, order: orders.WaitingOrder, entry: orders.Entry
    ) -> bool:
        """Return whether the summary may contain an entry of the order."""
        if entry is order.soonest_abandoned():
            return True
        ahead_count = order.count_before(
            entry.key, is_above=order.is_above(entry)
        )
        return ahead_count < messages.MAX_ENTRIES_PER_SERVICE

    def granted_counts(self) -> tuple[tuple, ...]:
        """Return the placed requests of services for which others wait.

        :returns: entries as in ``DemandReported.granted``.
        """
        return tuple(
            (name, known.granted_count, known.turn_count)
            for name, known in self._services.items()
            if known.granted_count and self.has_demand(name)
        )

    def waiting_workspaces(self) -> set[tuple[str, str]]:
        """Return by service the workspaces of which requests wait here."""
        return {
            (name, workspace)
            for name, known in self._services.items()
            for workspace in known.order.group_names
        }

    @property
    def count(self) -> int:
        """Return the number of waiting requests of this gateway."""
        return len(self._requests)

    @property
    def late_count(self) -> int:
        """Return how many of them can no longer be answered in time."""
        now_ms = self._clock.now_ms()
        for known in self._services.values():
            known.order.advance(now_ms)
        return sum(one.order.late_count for one in self._services.values())

    def _refreshed(self, name: str) -> _Service:
        """Return a service whose order is that of now."""
        now_ms = self._clock.now_ms()
        service = self._services[name]
        has_changed = service.order.advance(now_ms)
        shares_ms = service.shares_ms
        if shares_ms is None or shares_ms + MAX_SHARES_AGE_MS <= now_ms:
            service.shares_ms = now_ms
            waiting = service.order.group_names
            everywhere = {*waiting, *self._peers.waiting_workspaces(name)}
            above = self._shares.above_share(name, everywhere)
            for workspace in waiting:
                has_changed |= service.order.set_above(
                    workspace, workspace in above
                )
        if has_changed:
            self._notify()
        return service

    def _both(self, name: str) -> tuple[orders.WaitingOrder, ...]:
        """Return the orders of this gateway's and its peers' requests."""
        return (
            self._services[name].order,
            self._peers.order(name) or NO_ENTRIES,
        )

    def _rank_without_turn(self, name: str, entry: orders.Entry) -> int:
        own, others = self._both(name)
        order = own if entry.gateway_id == self._own_id else others
        is_above = order.is_above(entry)
        key = entry.key
        return own.count_before(key, is_above=is_above) + others.count_before(
            key, is_above=is_above
        )

    def _soonest_abandoned(self, name: str) -> orders.Entry | None:
        """Return the late request of all gateways that has the next turn."""
        found = [order.soonest_abandoned() for order in self._both(name)]
        return min(
            (entry for entry in found if entry is not None),
            key=lambda entry: entry.abandon_key,
            default=None,
        )

    def _late_rank(self, name: str) -> int:
        """Return the rank without its turn of the request with the next."""
        service = self._services[name]
        own, others = self._both(name)
        version = (own.version, others.version)
        if service.late_rank is None or service.late_rank[0] != version:
            soonest = self._soonest_abandoned(name)
            rank = self._rank_without_turn(name, soonest)
            service.late_rank = (version, rank)
        return service.late_rank[1]

    def _turn_rank(self, service: _Service) -> int:
        """Return how many placements come before the next late turn."""
        return max(0, LATE_TURN_INTERVAL - 1 - service.since_turn_count)

    def _count_peer_grants(
        self, name: str, count: int, turn_count: int
    ) -> None:
        service = self._services.get(name)
        if service is None:
            return
        service.since_turn_count += count
        if turn_count:
            service.since_turn_count = 0
        service.history.record(now_ms=self._clock.now_ms(), count=count)

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()


def _class_of(
    entry: orders.Entry, order: orders.WaitingOrder
) -> tuple[bool, int, bool]:
    return entry.is_late, entry.urgency, order.is_above(entry)
