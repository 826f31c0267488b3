"""Results of the choice of servers for a request."""

import attrs

from shallothinge.placement import pricing
from shallothinge.placement import server_queue


@attrs.frozen(kw_only=True)
class MemoryShare:
    """Memory, in tokens, to reserve at a helper for a part of a request."""

    server_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Placement:
    """The server selected for a request, and the helpers for its prompt.

    ``part_ms`` is how long each of these servers reads, ``first_event_ms``
    the expected time to the first event or answer, and ``pass_ms`` the
    duration of a pass (0 without an engine), all by the cost model. A slow
    server is not given more time than others: its pace only counts in the
    choice. ``load`` is the estimated load of the server at that time.
    ``shares`` is the memory to reserve at helpers if the server's own memory
    is not sufficient.
    """

    server_id: str
    helper_ids: tuple[str, ...]
    part_ms: float
    first_event_ms: float
    load: server_queue.ServerLoad
    shares: tuple[MemoryShare, ...] = ()
    pass_ms: float = 0.0


@attrs.frozen(kw_only=True)
class NoCapacity:
    """No server has capacity for the request at present.

    ``free_in_ms`` is the estimated time until one has. ``lacks_memory`` is
    whether there are slots to take, but not enough free memory for a request
    that needs more than that of one slot.
    """

    free_in_ms: int
    lacks_memory: bool = False


@attrs.frozen(kw_only=True)
class PlacementDeferred:
    """The best servers for a long prompt still have earlier reads to finish.

    ``start_in_ms`` is the expected time until they have finished them.
    """

    start_in_ms: float


def build_works(
    placement: Placement, work: server_queue.Work
) -> list[server_queue.Work]:
    """Return the work of a placed request at each of its servers.

    The work of the request's own server comes first, then that of helpers.

    :param work: the work at the request's own server.
    """
    memory_tokens = {
        share.server_id: share.tokens for share in placement.shares
    }
    count = 1 + len(placement.helper_ids)
    primary_work = attrs.evolve(work, is_divided=count > 1)
    return [primary_work] + [
        attrs.evolve(
            primary_work,
            server_id=helper_id,
            is_helping=True,
            weight=primary_work.weight * pricing.share_weight(count),
            memory_tokens=memory_tokens.get(helper_id, 0),
        )
        for helper_id in placement.helper_ids
    ]
