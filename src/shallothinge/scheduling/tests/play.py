"""A queue with arrivals and slots that become free at a fixed rate."""

import attrs

from shallothinge.scheduling import model
from shallothinge.scheduling.tests import naive
from shallothinge.scheduling.tests import samples

HOLD_MS = 200


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that arrives, with times relative to its arrival."""

    at_ms: int
    urgency: int = 1
    workspace: str = 'w'
    limit_ms: int = 100
    patience_ms: int = 400
    min_service_ms: float = 20.0


@attrs.frozen(kw_only=True)
class Placement:
    """A waiting request that got a free slot.

    :ivar index: position of its arrival.
    :ivar is_soonest: whether it was the late one abandoned soonest.
    :ivar in_time_waited: whether any waited that could be in time.
    :ivar late_waited: whether any waited that could not.
    """

    at_ms: int
    index: int
    is_late: bool
    is_soonest: bool
    in_time_waited: bool
    late_waited: bool


class Play:
    """Plays arrivals; every free slot goes to the first in the queue.

    :ivar placements: in order.
    :ivar unused_ms: times at which a slot was free and nothing waited.
    """

    def __init__(self, arrivals, *, interval_ms):
        self._arrivals = sorted(arrivals, key=lambda one: one.at_ms)
        self._interval_ms = interval_ms
        self._gateway = samples.Gateway()
        self._indexes = {}
        self._holding = []
        self.placements = []
        self.unused_ms = []

    def run(self, duration_ms):
        """Play for a time.

        :returns: the play.
        """
        for at_ms in range(duration_ms):
            self._arrive(at_ms)
            self._abandon(at_ms)
            if at_ms % self._interval_ms == 0:
                self._place(at_ms)
            self._gateway.pass_ms(1)
        return self

    def arrival(self, index):
        """Return an arrival, in the order of time."""
        return self._arrivals[index]

    def _arrive(self, at_ms):
        for index, one in enumerate(self._arrivals):
            if one.at_ms == at_ms:
                now_ms = self._gateway.clock.now_ms()
                request = model.WaitingRequest(
                    service=samples.SERVICE,
                    urgency=one.urgency,
                    workspace=one.workspace,
                    due_ms=now_ms + one.limit_ms,
                    abandon_ms=now_ms + one.patience_ms,
                    min_service_ms=one.min_service_ms,
                )
                self._indexes[self._gateway.queue.join(request)] = index

    def _abandon(self, at_ms):
        for waiting_id, index in list(self._indexes.items()):
            one = self._arrivals[index]
            if at_ms >= one.at_ms + one.patience_ms:
                self._gateway.queue.leave(waiting_id)
                del self._indexes[waiting_id]

    def _waiting(self):
        return [
            naive.Waiting(
                gateway_id='',
                number=waiting_id,
                urgency=one.urgency,
                is_above=False,
                start_by_ms=one.at_ms + one.limit_ms - one.min_service_ms,
                abandon_ms=one.at_ms + one.patience_ms,
            )
            for waiting_id, one in (
                (waiting_id, self._arrivals[index])
                for waiting_id, index in self._indexes.items()
            )
        ]

    def _place(self, at_ms):
        first = self._gateway.queue.first(samples.SERVICE, 1)
        waiting = self._waiting()
        if not first:
            assert not waiting, 'a slot is free and a request waits'
            self.unused_ms.append(at_ms)
            return
        late = {one.number for one in waiting if one.is_late(at_ms)}
        soonest = min(
            (one for one in waiting if one.number in late),
            key=lambda one: one.abandon_key,
            default=None,
        )
        index = self._indexes.pop(first[0])
        self.placements.append(
            Placement(
                at_ms=at_ms,
                index=index,
                is_late=first[0] in late,
                is_soonest=soonest is not None and soonest.number == first[0],
                in_time_waited=len(late) < len(waiting),
                late_waited=bool(late),
            )
        )
        self._hold(at_ms, self._arrivals[index].workspace)
        self._gateway.queue.granted(first[0])

    def _hold(self, at_ms, workspace):
        self._holding = [
            one for one in self._holding if one[0] > at_ms - HOLD_MS
        ]
        self._holding.append((at_ms, workspace))
        used = {}
        for _, one in self._holding:
            key = (samples.SERVICE, one)
            used[key] = used.get(key, 0) + 1
        self._gateway.used = used
