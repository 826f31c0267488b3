"""Finds the cheapest set of servers, of a given size, to read a prompt."""

from collections.abc import Callable
import heapq

import attrs

from shallothinge.placement import server_queue


@attrs.frozen(kw_only=True)
class Candidate:
    """A backend server that may get the request.

    ``rank`` is its position in the order of the servers of its zone, from 0
    for the first to below 1 for the last. ``is_rate_limited`` is whether it
    limits the rate of requests that it takes. ``is_last_slot_own`` is whether
    this gateway is the one to prefer its last free slot, ``free_ms`` for
    how long it has had a free slot, and ``turn_in_ms`` the time
    until this gateway may take a slot for which others wait, too. ``pace`` is
    the time that it takes as a multiple of what the cost model expects.
    """

    server_id: str
    zone: str
    slots: int
    is_cold: bool
    rank: float = 0.0
    load: server_queue.ServerLoad = server_queue.ServerLoad()
    is_rate_limited: bool = False
    is_last_slot_own: bool = True
    free_ms: int = 0
    turn_in_ms: int = 0
    pace: float = 1.0


@attrs.frozen(kw_only=True)
class Part:
    """A part of a prompt on one server, and the price of reading it there.

    ``ready_ms`` is the expected time until it has been read, ``free_tokens``
    the server's memory that is not known to be in use. ``primary_price`` is
    an additional price that is due if the server generates the answer.
    """

    candidate: Candidate
    price: float
    ready_ms: float
    free_tokens: int
    primary_price: float = 0.0


@attrs.frozen(kw_only=True)
class Spread:
    """A prompt divided among servers.

    ``price`` includes that of the prompt's own delay. ``ready_ms`` is the
    time until the slowest part, and thus the whole prompt, has been read.
    """

    parts: tuple[Part, ...]
    price: float
    ready_ms: float


def find_cheapest(
    parts: list[Part], *, count: int, price_delay: Callable[[float], float]
) -> Spread | None:
    """Return the cheapest set of parts, None if there are not enough.

    A cheap but slow server delays the whole set, so servers can't be selected
    by their own prices alone. Instead, for each time at which the slowest
    part may end, the cheapest parts that are ready by then are considered.

    :param count: size of the set.
    :param price_delay: returns the price of a first event after a time in ms.
    """
    kept: list[tuple[float, int, Part]] = []
    total = 0.0
    best = None
    for index, part in enumerate(sorted(parts, key=_ready_ms)):
        heapq.heappush(kept, (-part.price, index, part))
        total += part.price
        if len(kept) > count:
            total += heapq.heappop(kept)[0]
        if len(kept) < count:
            continue
        price = total + price_delay(part.ready_ms)
        if best is None or price < best.price:
            best = Spread(
                parts=tuple(each[2] for each in kept),
                price=price,
                ready_ms=max(each[2].ready_ms for each in kept),
            )
    return best


def find_cheapest_including(
    eligible: list[Part],
    parts: list[Part],
    *,
    count: int,
    price_delay: Callable[[float], float],
) -> Spread | None:
    """Return a cheap set with at least one part from ``eligible``.

    If the cheapest set has no such part, the eligible part that is cheapest
    by itself is combined with the cheapest set of the others.

    :param eligible: some of ``parts``.
    :returns: None if there are not enough parts, or none is eligible.
    """
    spread = find_cheapest(parts, count=count, price_delay=price_delay)
    eligible_ids = {id(part) for part in eligible}
    if spread is None or any(
        id(part) in eligible_ids for part in spread.parts
    ):
        return spread
    if not eligible:
        return None
    required = min(
        eligible, key=lambda part: part.price + price_delay(part.ready_ms)
    )
    chosen = (required,)
    if count > 1:
        others = [part for part in parts if part is not required]
        rest = find_cheapest(others, count=count - 1, price_delay=price_delay)
        if rest is None:
            return None
        chosen = (required, *rest.parts)
    ready_ms = max(part.ready_ms for part in chosen)
    return Spread(
        parts=chosen,
        price=sum(part.price for part in chosen) + price_delay(ready_ms),
        ready_ms=ready_ms,
    )


def _ready_ms(part: Part) -> float:
    return part.ready_ms
