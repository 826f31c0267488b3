"""Counts the free slots of servers."""

import attrs

from shallothinge.placement import demand
from shallothinge.placement import memory
from shallothinge.placement import spread
from shallothinge.routes import model

# Requests that a server of a service without an engine may hold, running and
# queued, in multiples of its slots.
MAX_REQUESTS_PER_SLOT = 3


@attrs.frozen(kw_only=True)
class FreeSlots:
    """Free slots of a service.

    ``count`` is their number, ``own_count`` that of those for which this
    gateway has the turn,
    ``next_turn_in_ms`` the time until it has that for another one, and
    ``oldest_ms`` the time for which the first of them has been free. Both are
    None if there is none.
    """

    count: int
    own_count: int
    next_turn_in_ms: int | None
    oldest_ms: int | None


def find(
    request: demand.Demand, candidates: tuple[spread.Candidate, ...]
) -> FreeSlots:
    """Return the free slots that a request may take.

    Where a long prompt holds most of the memory, slots stay free that are of
    no use to others.
    """
    engine = request.service.engine
    min_tokens = 0 if request.is_large else request.needed_tokens
    found = [
        (candidate, count)
        for candidate in candidates
        if (count := _count(candidate, has_engine=engine is not None))
        and (
            engine is None
            or memory.free_tokens(candidate.load, engine) >= min_tokens
        )
    ]
    return FreeSlots(
        count=sum(count for _, count in found),
        own_count=sum(
            count for candidate, count in found if not candidate.turn_in_ms
        ),
        next_turn_in_ms=min(
            (one.turn_in_ms for one, _ in found if one.turn_in_ms),
            default=None,
        ),
        oldest_ms=max((one.free_ms for one, _ in found), default=None),
    )


def has_room(candidate: spread.Candidate, *, has_engine: bool) -> bool:
    """Return whether a server may get another request."""
    return _count(candidate, has_engine=has_engine) > 0


def _count(candidate: spread.Candidate, *, has_engine: bool) -> int:
    """Return how many more requests a server may get.

    A full engine has a free slot only when a stream ends, so requests are
    not queued there. A server of a service without an engine completes
    several requests per slot within one request's objective.
    """
    factor = _requests_per_slot(has_engine=has_engine)
    return max(0, factor * candidate.slots - candidate.load.active)


def requests_per_slot(service: model.Service) -> int:
    """Return how many requests a server may hold, by slot."""
    return _requests_per_slot(has_engine=service.engine is not None)


def _requests_per_slot(*, has_engine: bool) -> int:
    return 1 if has_engine else MAX_REQUESTS_PER_SLOT
