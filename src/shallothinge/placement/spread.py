"""Which servers read a prompt together: the cheapest set of a given size."""

from collections.abc import Callable
import heapq

import attrs

from shallothinge.placement import fleet


@attrs.frozen(kw_only=True)
class Candidate:
    """A backend server that may get the request.

    ``rank`` is its place in the order of its zone, from 0 for the first to
    below 1 for the last.
    """

    server_id: str
    zone: str
    slots: int
    is_cold: bool
    rank: float = 0.0
    load: fleet.ServerLoad = fleet.ServerLoad()


@attrs.frozen(kw_only=True)
class Part:
    """What it costs to have a part of a prompt read on one server.

    ``ready_ms`` is when it is read, ``free_tokens`` the server's memory that
    nothing is known to hold.
    """

    candidate: Candidate
    price: float
    ready_ms: float
    free_tokens: int


@attrs.frozen(kw_only=True)
class Spread:
    """A prompt divided among servers.

    ``price`` includes what the prompt's own delay costs. The prompt is read
    after ``ready_ms``, once the slowest part is.
    """

    parts: tuple[Part, ...]
    price: float
    ready_ms: float


def find_cheapest(
    parts: list[Part], *, count: int, price_delay: Callable[[float], float]
) -> Spread | None:
    """Return the cheapest set of parts, None if there are not enough.

    A server that is slow but does little harm spoils the whole set, so
    prices can't be weighed server by server: for each time at which the
    slowest part may end, the cheapest of those that are ready are taken.

    :param count: size of the set.
    :param price_delay: price of a first event after some milliseconds.
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


def find_cheapest_with(
    able: list[Part],
    parts: list[Part],
    *,
    count: int,
    price_delay: Callable[[float], float],
) -> Spread | None:
    """Return the cheapest set of which at least one part is in ``able``."""
    spread = find_cheapest(parts, count=count, price_delay=price_delay)
    able_ids = {id(part) for part in able}
    if spread is None or any(id(part) in able_ids for part in spread.parts):
        return spread
    if not able:
        return None
    first = min(able, key=lambda part: part.price + price_delay(part.ready_ms))
    chosen = (first,)
    if count > 1:
        others = [part for part in parts if part is not first]
        rest = find_cheapest(others, count=count - 1, price_delay=price_delay)
        if rest is None:
            return None
        chosen = (first, *rest.parts)
    ready_ms = max(part.ready_ms for part in chosen)
    return Spread(
        parts=chosen,
        price=sum(part.price for part in chosen) + price_delay(ready_ms),
        ready_ms=ready_ms,
    )


def _ready_ms(part: Part) -> float:
    return part.ready_ms
