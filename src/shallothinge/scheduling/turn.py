"""Decides whether a waiting request may take a free slot now."""

# A gateway that has not used a slot after this time is likely to have failed
# or been partitioned, and no request yields to it any longer.
MAX_YIELD_MS = 60
# The request that has a late turn takes any free slot, as soon as a report of
# it arrives.
LATE_TURN_YIELD_MS = 20


def wait_ms(
    *,
    position: int,
    yield_ms: int,
    own_count: int,
    next_turn_in_ms: int | None,
    oldest_ms: int | None,
) -> int | None:
    """Return how long a request leaves the free slots to others.

    The first requests of a gateway take the slots for which it has the turn.
    A request that yields leaves all slots to another gateway's, for a while.

    :param position: number of requests of this gateway ahead of it.
    :param yield_ms: for how long it leaves a free slot to a request that goes
        first at another gateway.
    :param own_count: number of free slots for which this gateway has the turn.
    :param next_turn_in_ms: time until it has that for another free slot, None
        if there is no other.
    :param oldest_ms: time for which one of the slots has been free, None
        without a free slot.
    :returns: milliseconds, 0 if it may be sent now, None if it has to wait
        for a free slot.
    """
    if oldest_ms is None:
        return None
    if oldest_ms < yield_ms:
        return yield_ms - oldest_ms
    if position < own_count:
        return 0
    return next_turn_in_ms
