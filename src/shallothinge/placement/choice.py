"""Where a request runs, and which backend servers help to read its prompt.

Answers the load of prompts of very unlike lengths on one fleet: a read of a
long prompt holds up every stream that is written on the same backend server
and every short prompt behind it, and is itself too slow on one server alone.
So each way to spread the read is priced by what it does to the request and
to those that are under way (``pricing``), and the cheapest is taken.

A long prompt waits until its servers have read what they were given before:
they read the newest share first, so sending it sooner would only swap its
delay for that of the others (``waiting``).

All gateways agree on an order of the servers of a zone. Short prompts gather
on the first of them, so that most servers write no short streams and can
read long prompts without holding up any.
"""

import hashlib
import random

import attrs

from shallothinge.placement import fleet
from shallothinge.placement import pricing
from shallothinge.placement import spread
from shallothinge.placement.spread import Candidate
from shallothinge.routes import model

# An idle server is better kept for a long prompt, if nothing else differs.
OPENING_PRICE = 0.05
# What the last server of a zone costs a short prompt more than the first:
# less than a late answer, more than bytes between zones.
RANK_PRICE = 0.6
# Another gateway may take a slot at the same moment, and a request that finds
# none waits for a stream to end: the least price of the last free slot, and
# what is left of it with each further free one. Where servers have only their
# last slots left, gateways choose at random, so that they choose differently.
LAST_SLOT_PRICE = 0.3
NEXT_SLOT_FACTOR = 0.4
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
# Part of an engine's memory that is planned with: reports lag, and an answer
# may hold a little more than its tokens.
USABLE_MEMORY = 0.98
# Reads below this are not worth a helper.
SPLIT_READ_MS = 100.0
# Reads from here on wait for their servers; shorter ones hold nobody up for
# longer than streams may pause.
LONG_READ_MS = 200.0
PASSES_WITH_WRITERS = 2.5
PASSES_ALONE = 1.0
JITTER = 0.01
# With servers full of streams a slot becomes free about each time that the
# next of them ends; without servers it takes a heartbeat.
FREE_SLOT_MS = 500
NEXT_HEARTBEAT_MS = 1000


@attrs.frozen(kw_only=True)
class Demand:
    """A request to be placed on servers of one service.

    ``objective_ms`` is what is left until its first event or answer is due,
    0 or less if it is late already, ``patience_ms`` what is left until its
    caller leaves, None if that is not known.
    ``answer_tokens`` is the longest that the answer may be.
    ``is_resumed`` tells that the caller has a part of the answer.
    """

    service: model.Service
    tokens: int
    answer_tokens: int = 0
    objective_ms: float
    patience_ms: float | None = None
    pause_objective_ms: int
    zone: str
    is_resumed: bool = False

    @property
    def waits_for_reads(self) -> bool:
        """Return whether it is sent only to servers that have read all."""
        engine = self.service.engine
        return (
            engine is not None
            and not self.is_resumed
            and engine.read_ms(self.tokens) >= LONG_READ_MS
        )


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
class NotYet:
    """The best servers for a long prompt have something to read before it.

    ``start_in_ms`` is when they are expected to have done so.
    """

    start_in_ms: float


def works_of(placement: Placement, work: fleet.Work) -> list[fleet.Work]:
    """Return what a placed request gives each server to do, its own first.

    :param work: that of the request's own server.
    """
    memory_tokens = {one.server_id: one.tokens for one in placement.shares}
    count = 1 + len(placement.helper_ids)
    own = attrs.evolve(work, is_divided=count > 1)
    return [own] + [
        attrs.evolve(
            own,
            server_id=helper_id,
            is_helping=True,
            weight=own.weight * pricing.share_weight(count),
            memory_tokens=memory_tokens.get(helper_id, 0),
        )
        for helper_id in placement.helper_ids
    ]


class Chooser:
    """Chooses servers by price."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, demand: Demand, candidates: tuple[Candidate, ...]
    ) -> Placement | NoRoom | NotYet:
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

    def _choose_engine(self, demand, candidates) -> Placement | NotYet | None:
        """Return the cheapest placement, None if no memory is free."""
        engine = demand.service.engine
        read_ms = engine.read_ms(demand.tokens)
        most = 1
        if read_ms >= SPLIT_READ_MS:
            most = min(MAX_HELPERS + 1, len(candidates))
        best = None
        best_count = 0
        for count in range(1, most + 1):
            found = self._spread(
                demand, candidates, read_ms=read_ms, count=count
            )
            if found is not None and (
                best is None or found.price < best.price
            ):
                best, best_count = found, count
        if best is None:
            return None
        start_in_ms = max(
            part.candidate.load.backlog_ms for part in best.parts
        )
        if demand.waits_for_reads and start_in_ms >= fleet.OVERDUE_READ_MS:
            return NotYet(start_in_ms=start_in_ms)
        needed = _memory_of(demand)
        first = _first_of(best.parts, needed)
        helpers = [part for part in best.parts if part is not first]
        return Placement(
            server_id=first.candidate.server_id,
            helper_ids=tuple(part.candidate.server_id for part in helpers),
            part_ms=read_ms / best_count,
            first_event_ms=best.ready_ms,
            load=first.candidate.load,
            shares=_shares(first, helpers, needed),
        )

    def _spread(
        self, demand, candidates, *, read_ms: float, count: int
    ) -> spread.Spread | None:
        """Return the cheapest way to read on ``count`` servers.

        One of them must have the memory for the request, unless none
        could ever have it; shares are then reserved at the others.
        """
        is_behind = count == 1 or demand.waits_for_reads
        parts = [
            self._price_part(
                demand,
                one,
                part_ms=read_ms / count,
                count=count,
                is_behind=is_behind,
            )
            for one in candidates
            if count == 1 or one.load.helping < one.slots
        ]
        weight = pricing.weight_of(demand.tokens)
        needed = _memory_of(demand)

        def price_delay(ready_ms: float) -> float:
            return weight * pricing.delay_price(
                ready_ms, demand.objective_ms, demand.patience_ms
            )

        if needed <= usable_memory(demand.service.engine):
            able = [part for part in parts if part.free_tokens >= needed]
            return spread.find_cheapest_with(
                able, parts, count=count, price_delay=price_delay
            )
        found = spread.find_cheapest(
            parts, count=count, price_delay=price_delay
        )
        if found is None:
            return None
        free_tokens = sum(part.free_tokens for part in found.parts)
        return found if free_tokens >= needed else None

    def _price_part(
        self, demand, one, *, part_ms, count, is_behind
    ) -> spread.Part:
        """Return what a part of a prompt costs on one server.

        :param is_behind: whether it is read after all that is read there.
        """
        engine = demand.service.engine
        load = one.load
        is_alone = count == 1
        price = JITTER * self._rng.random()
        if load.writers:
            price += pricing.price_for_writers(
                load, read_ms=part_ms, pass_ms=engine.pass_ms
            )
        if is_alone:
            price += OPENING_PRICE * (not load.active)
        else:
            price += HELPER_PRICE
        if not is_behind:
            price += pricing.price_for_reads(load, part_ms)
        spare_slots = one.slots - load.active - 1
        if not spare_slots:
            price += LAST_SLOT_PRICE * (1 + self._rng.random())
        else:
            price += LAST_SLOT_PRICE * NEXT_SLOT_FACTOR**spare_slots
            if part_ms * count < SPLIT_READ_MS:
                price += RANK_PRICE * one.rank
        price += OTHER_ZONE_PRICE * (one.zone != demand.zone)
        price += COLD_PRICE * one.is_cold
        # Shares of divided prompts are read at once, the newest first.
        ahead_ms = load.backlog_ms if is_behind else 0.0
        return spread.Part(
            candidate=one,
            price=price,
            ready_ms=ahead_ms + part_ms + _passes(load) * engine.pass_ms,
            free_tokens=max(0, usable_memory(engine) - load.memory_tokens),
        )


def least_ms(service: model.Service, tokens: int) -> float:
    """Return the least time to the first event of a prompt on a free fleet."""
    engine = service.engine
    if engine is None or not tokens:
        return 0.0
    return engine.read_ms(tokens) / (MAX_HELPERS + 1) + engine.pass_ms


def _memory_of(demand: Demand) -> int:
    """Return the tokens that a request holds in memory at most."""
    return demand.tokens + demand.answer_tokens


def usable_memory(engine: model.EngineCost) -> int:
    """Return the tokens of an engine's memory that are planned with."""
    return int(engine.memory_tokens * USABLE_MEMORY)


def _first_of(parts: tuple[spread.Part, ...], needed: int) -> spread.Part:
    """Return the part whose server writes: the least busy one.

    Where none has the memory, it is the one with the most.
    """
    able = [part for part in parts if part.free_tokens >= needed]
    if not able:
        return max(parts, key=lambda part: part.free_tokens)
    return min(able, key=lambda part: part.candidate.load.active)


def _shares(
    first: spread.Part, helpers: list[spread.Part], needed: int
) -> tuple[Share, ...]:
    """Return what to reserve at helpers, those with most memory first."""
    left = needed - first.free_tokens
    shares = []
    for part in sorted(helpers, key=lambda one: -one.free_tokens):
        if left <= 0:
            break
        tokens = min(left, part.free_tokens)
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


def _has_room(one: Candidate, *, has_engine: bool) -> bool:
    """Return whether a server may get another request.

    An engine that is full takes a stream's time to have room again; a plain
    service has several turns within a request's objective.
    """
    if has_engine:
        return one.load.active < one.slots
    return one.load.active < QUEUE_TURNS * one.slots


def _free_in_ms(candidates: tuple[Candidate, ...]) -> int:
    """Return when a slot is likely to be free."""
    return FREE_SLOT_MS if candidates else NEXT_HEARTBEAT_MS


def rank_servers(server_ids) -> dict[str, float]:
    """Return the place of each server of a zone, from 0 to below 1.

    The order is one of hashes, so all gateways agree on it, and a server
    that comes or goes moves the others by one place at most.
    """
    ordered = sorted(server_ids, key=_hash_of)
    return {
        server_id: index / len(ordered)
        for index, server_id in enumerate(ordered)
    }


def _hash_of(server_id: str) -> bytes:
    return hashlib.blake2b(server_id.encode(), digest_size=8).digest()
