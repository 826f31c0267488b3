"""The order of waiting requests as the requirements state it, unoptimized."""

import attrs

from shallothinge.scheduling import queue


@attrs.frozen(kw_only=True)
class Waiting:
    """A waiting request of any gateway."""

    gateway_id: str
    number: int
    urgency: int
    is_above: bool
    start_by_ms: float
    abandon_ms: int

    def is_late(self, now_ms):
        """Return whether it can no longer be answered in time."""
        return now_ms > self.start_by_ms

    def key(self, now_ms):
        """Return its place among all."""
        is_late = self.is_late(now_ms)
        return (
            is_late,
            self.urgency,
            self.is_above,
            self.abandon_ms if is_late else self.start_by_ms,
            self.gateway_id,
            self.number,
        )

    @property
    def abandon_key(self):
        """Return its place among those that wait for a late turn."""
        return self.abandon_ms, self.urgency, self.gateway_id, self.number


def order(waiting, *, now_ms, since_turn_count):
    """Return the waiting requests of one service in order.

    :param since_turn_count: placements since the last late turn.
    """
    ordered = sorted(waiting, key=lambda one: one.key(now_ms))
    late = [one for one in ordered if one.is_late(now_ms)]
    if late:
        soonest = min(late, key=lambda one: one.abandon_key)
        turn = max(0, queue.LATE_TURN_INTERVAL - 1 - since_turn_count)
        if ordered.index(soonest) > turn:
            ordered.remove(soonest)
            ordered.insert(turn, soonest)
    return ordered
