"""Where a request runs, and which backend servers help to read its prompt.

Answers the load of prompts of very unlike lengths on one fleet: a read of a
long prompt holds up every stream that is written on the same backend server
and every short prompt behind it, and is itself too slow on one server alone.
So each way to spread the read is priced by what it does to the request and
to those that are under way, and the cheapest is taken.

Prices are in units of one short request that comes late.
"""

import random

import attrs

from shallothinge.placement import fleet
from shallothinge.routes import model

# A request of this many tokens weighs twice as much as an empty one: what
# its caller loses by a late answer grows with the prompt.
WEIGHT_TOKENS = 10_000
# Part of an objective that may pass before lateness becomes likely; the rest
# is for what is not modelled (lag of reports, load of other gateways).
SAFE_SHARE = 0.5
# A first event is worth a little more the sooner it comes.
SPEED_PRICE = 0.05
# Opening an idle server for a short prompt takes it from the long ones.
OPENING_PRICE = 0.2
# Each request beyond this share of the slots makes a full server likelier.
CROWDED_SHARE = 0.75
CROWDED_PRICE = 0.2
# Bytes between zones cost a little, less than any loss of service.
OTHER_ZONE_PRICE = 0.02
# A server that starts is slow for some seconds.
COLD_PRICE = 1.0
# Requests that may wait at a plain service's server, in multiples of its
# slots.
QUEUE_TURNS = 3
# A helper's part costs its server a pass, however small it is.
HELPER_PRICE = 0.02
MAX_HELPERS = 15
# Own reads wait for all parts for others, also for those that come later: a
# part costs them more than the one delay that can be foreseen.
OWN_READ_FACTOR = 2.0
# Part of an engine's memory that is planned with: reports lag, and an answer
# may hold a little more than its tokens.
USABLE_MEMORY = 0.98
# Reads below this are not worth a helper.
SPLIT_READ_MS = 100.0
# What a late answer loses of its value, the rest goes as it gets later
# still: callers give up after some multiples of the objective.
LATE_LOSS = 0.6
LATE_SCALE = 3.0
LATE_SCALE_MS = 3000.0
PASSES_WITH_WRITERS = 2.5
PASSES_ALONE = 1.0
JITTER = 0.01


@attrs.frozen(kw_only=True)
class Demand:
    """A request to be placed on servers of one service.

    ``objective_ms`` is what is left until its first event or answer is due.
    ``answer_tokens`` is the longest that the answer may be.
    """

    service: model.Service
    tokens: int
    answer_tokens: int = 0
    objective_ms: float
    pause_objective_ms: int
    zone: str


@attrs.frozen(kw_only=True)
class Candidate:
    """A backend server that may get the request."""

    server_id: str
    zone: str
    slots: int
    is_cold: bool
    load: fleet.ServerLoad = fleet.ServerLoad()


@attrs.frozen(kw_only=True)
class Share:
    """Memory to be reserved at a helper for a part of a prompt."""

    server_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Placement:
    """The server of a request, and those that help to read its prompt.

    ``part_ms`` is how long each of them reads, ``first_event_ms`` when the
    first event or answer is expected. ``load`` is what the server was
    thought to have under way. ``shares`` are needed where the server's own
    memory is not enough.
    """

    server_id: str
    helper_ids: tuple[str, ...]
    part_ms: float
    first_event_ms: float
    load: fleet.ServerLoad
    shares: tuple[Share, ...] = ()


@attrs.frozen(kw_only=True)
class NoRoom:
    """No server can take the request now.

    ``free_in_ms`` is when one is likely to have room.
    """

    free_in_ms: int


@attrs.frozen(kw_only=True)
class _Part:
    """What it costs to have a part of the prompt read on one server."""

    candidate: Candidate
    price: float
    ready_ms: float


class Chooser:
    """Chooses servers by price."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, demand: Demand, candidates: tuple[Candidate, ...]
    ) -> Placement | NoRoom:
        """Return the cheapest placement.

        :param candidates: the servers that may be sent to at present.
        """
        has_engine = demand.service.engine is not None
        with_room = [
            one for one in candidates if _has_room(one, has_engine=has_engine)
        ]
        if with_room and not has_engine:
            return self._choose_plain(demand, with_room)
        if with_room:
            placed = self._choose_engine(demand, with_room)
            if placed is not None:
                return placed
        return NoRoom(free_in_ms=_free_in_ms(candidates))

    def _choose_plain(self, demand, candidates) -> Placement:
        def price(one: Candidate) -> float:
            other_zone = OTHER_ZONE_PRICE * (one.zone != demand.zone)
            cold = COLD_PRICE * one.is_cold
            jitter = JITTER * self._rng.random()
            return one.load.active / one.slots + other_zone + cold + jitter

        best = min(candidates, key=price)
        return Placement(
            server_id=best.server_id,
            helper_ids=(),
            part_ms=0.0,
            first_event_ms=0.0,
            load=best.load,
        )

    def _choose_engine(self, demand, candidates) -> Placement | None:
        """Return the cheapest placement, None if no memory is free."""
        engine = demand.service.engine
        read_ms = engine.read_ms(demand.tokens)
        most = 1
        if read_ms >= SPLIT_READ_MS:
            most = min(MAX_HELPERS + 1, len(candidates))
        best = None
        best_price = 0.0
        needed = demand.tokens + demand.answer_tokens
        for count in range(1, most + 1):
            parts = self._cheapest_parts(
                demand, candidates, part_ms=read_ms / count, count=count
            )
            if len(parts) < count:
                break
            if not _has_memory(engine, parts, needed):
                continue
            ready_ms = max(part.ready_ms for part in parts)
            price = sum(part.price for part in parts)
            price += weight_of(demand.tokens) * delay_price(
                ready_ms, demand.objective_ms
            )
            if best is None or price < best_price:
                best = (parts, read_ms / count, ready_ms)
                best_price = price
        if best is None:
            return None
        parts, part_ms, ready_ms = best
        first = self._first_of(engine, parts, needed)
        helpers = [part for part in parts if part is not first]
        return Placement(
            server_id=first.candidate.server_id,
            helper_ids=tuple(part.candidate.server_id for part in helpers),
            part_ms=part_ms,
            first_event_ms=ready_ms,
            load=first.candidate.load,
            shares=_shares(engine, first, helpers, needed),
        )

    def _first_of(self, engine, parts, needed) -> _Part:
        """Return the part whose server writes: the least busy one.

        Where none has the memory, it is the one with the most.
        """
        able = [part for part in parts if _free(engine, part) >= needed]
        if not able:
            return max(parts, key=lambda part: _free(engine, part))
        return min(able, key=lambda part: part.candidate.load.active)

    def _cheapest_parts(self, demand, candidates, *, part_ms, count):
        parts = [
            self._price_part(demand, one, part_ms=part_ms, count=count)
            for one in candidates
            if count == 1 or one.load.helping < one.slots
        ]
        if count == 1:
            engine = demand.service.engine
            needed = demand.tokens + demand.answer_tokens
            weight = weight_of(demand.tokens)

            def total(part: _Part) -> float:
                return part.price + weight * delay_price(
                    part.ready_ms, demand.objective_ms
                )

            able = [part for part in parts if _free(engine, part) >= needed]
            return [min(able or parts, key=total)]
        parts.sort(key=lambda part: part.price + part.ready_ms / 1000)
        return parts[:count]

    def _price_part(self, demand, one, *, part_ms, count) -> _Part:
        load = one.load
        pass_ms = demand.service.engine.pass_ms
        is_alone = count == 1
        ahead_ms = load.backlog_ms if is_alone else load.helping_ms
        price = JITTER * self._rng.random()
        price += _price_for_writers(load, part_ms + pass_ms)
        if is_alone:
            price += OPENING_PRICE * (not load.active)
        else:
            price += HELPER_PRICE + _price_for_reads(load, part_ms)
        crowded = load.active + 1 - CROWDED_SHARE * one.slots
        price += CROWDED_PRICE * max(0.0, crowded) / one.slots
        price += OTHER_ZONE_PRICE * (one.zone != demand.zone)
        price += COLD_PRICE * one.is_cold
        return _Part(
            candidate=one,
            price=price,
            ready_ms=ahead_ms + part_ms + _passes(load) * pass_ms,
        )


def _free(engine: model.EngineCost, part: _Part) -> int:
    """Return the memory of a part's server that nothing is known to hold."""
    usable = int(engine.memory_tokens * USABLE_MEMORY)
    return max(0, usable - part.candidate.load.memory_tokens)


def _has_memory(engine: model.EngineCost, parts, needed: int) -> bool:
    """Return whether servers have the memory for a request together.

    One is enough if it can hold the request; shares are kept for requests
    that no server could.
    """
    free = [_free(engine, part) for part in parts]
    if needed <= engine.memory_tokens * USABLE_MEMORY:
        return max(free) >= needed
    return sum(free) >= needed


def _shares(engine, first: _Part, helpers, needed: int) -> tuple[Share, ...]:
    """Return what to reserve at helpers, those with most memory first."""
    left = needed - _free(engine, first)
    shares = []
    for part in sorted(helpers, key=lambda one: -_free(engine, one)):
        if left <= 0:
            break
        tokens = min(left, _free(engine, part))
        shares.append(Share(server_id=part.candidate.server_id, tokens=tokens))
        left -= tokens
    return tuple(shares)


def _passes(load: fleet.ServerLoad) -> float:
    """Return the passes that a first event takes beside the read itself.

    A server without streams begins at once and writes in the next pass;
    with streams the pass under way has to end first, and the read is over
    only with its own pass.
    """
    return PASSES_WITH_WRITERS if load.writers else PASSES_ALONE


def _price_for_writers(load: fleet.ServerLoad, pause_ms: float) -> float:
    """Return what a pause costs the streams that are being written.

    Where a read is under way they pause already.
    """
    price = sum(
        writer.weight * lateness(pause_ms, writer.pause_ms)
        for writer in load.writers
    )
    return price / 2 if load.backlog_ms > pause_ms else price


def _price_for_reads(load: fleet.ServerLoad, part_ms: float) -> float:
    """Return what a part for another server costs the own reads behind."""
    return OWN_READ_FACTOR * sum(
        read.weight
        * (
            lateness(read.ends_in_ms + part_ms, read.due_in_ms)
            - lateness(read.ends_in_ms, read.due_in_ms)
        )
        for read in load.reads
    )


def weight_of(tokens: int) -> float:
    """Return how much a late answer to a prompt weighs."""
    return 1.0 + tokens / WEIGHT_TOKENS


def lateness(expected_ms: float, objective_ms: float) -> float:
    """Return what is likely lost by missing an objective, 0 to 1.

    A late answer loses part of its value, and more the later it is.
    """
    if objective_ms <= 0:
        much = min(1.0, expected_ms / LATE_SCALE_MS)
        return LATE_LOSS + (1 - LATE_LOSS) * much
    used = expected_ms / objective_ms
    likely = min(1.0, max(0.0, (used - SAFE_SHARE) / (1 - SAFE_SHARE)))
    much = min(1.0, max(0.0, (used - 1.0) / LATE_SCALE))
    return LATE_LOSS * likely + (1 - LATE_LOSS) * much


def delay_price(expected_ms: float, objective_ms: float) -> float:
    """Return what a first event's time costs its own request.

    Of two times that are both safe the sooner is better.
    """
    used = expected_ms / max(objective_ms, 1.0)
    return lateness(expected_ms, objective_ms) + SPEED_PRICE * min(used, 1.0)


def _has_room(one: Candidate, *, has_engine: bool) -> bool:
    """Return whether a server may get another request.

    An engine that is full takes a stream's time to have room again; a plain
    service has several turns within a request's objective.
    """
    if has_engine:
        return one.load.active < one.slots
    return one.load.active < QUEUE_TURNS * one.slots


def _free_in_ms(candidates: tuple[Candidate, ...]) -> int:
    """Return when a slot is likely to be free.

    With servers full of streams a slot becomes free about each time that
    the next of them ends; without servers it takes a heartbeat.
    """
    return 500 if candidates else 1000
