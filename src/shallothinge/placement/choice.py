"""Selects the server of a request and the helpers that read its prompt.

Prompts of very different lengths share one fleet. Reading (prefilling) a long
prompt delays every stream that the same backend server generates and every
short prompt queued behind it, and takes too long on a single server. The
chooser therefore prices each way to divide the read by its effect on the
request and on the requests in progress (``pricing``), and selects the
cheapest.

A long prompt waits until its servers have finished their earlier reads.
Servers read the newest share first, so sending the prompt sooner would only
shift its delay to the other prompts (``waiting``).

All gateways rank the servers of a zone in the same order. Short prompts are
concentrated on the servers that rank first, so that most servers generate no
short streams and can read long prompts without delaying any.
"""

from collections.abc import Callable
import random

import attrs

from shallothinge.placement import free_slots
from shallothinge.placement import memory
from shallothinge.placement import pricing
from shallothinge.placement import server_queue
from shallothinge.placement import spread
from shallothinge.placement.demand import Demand
from shallothinge.placement.demand import SPLIT_READ_MS
from shallothinge.placement.result import MemoryShare
from shallothinge.placement.result import NoCapacity
from shallothinge.placement.result import Placement
from shallothinge.placement.result import PlacementDeferred
from shallothinge.placement.spread import Candidate
from shallothinge.routes import model

# Price of using an idle server: other things being equal, it is better kept
# free for a long prompt.
IDLE_SERVER_PRICE = 0.05
# Additional price of the last-ranked server of a zone over the first for a
# short prompt: less than a late answer, more than traffic between zones.
RANK_PRICE = 0.6
# Another gateway may take a slot at the same moment, and a request that finds
# no free slot waits until a stream ends. LAST_SLOT_PRICE is the minimum price
# of a server's last free slot; each further free slot multiplies the price by
# NEXT_SLOT_FACTOR. A gateway prefers the last slots that it owns. The price of
# the others is randomized, so that gateways choose different servers.
LAST_SLOT_PRICE = 0.3
OTHERS_LAST_SLOT_FACTOR = 1.5
NEXT_SLOT_FACTOR = 0.4
# Traffic between zones costs a little, but less than any loss of service.
OTHER_ZONE_PRICE = 0.02
# A server is slow for some seconds after its start.
COLD_PRICE = 1.0
# A server that limits the rate of its requests is idle because of that, and
# yet short of capacity.
RATE_LIMITED_PRICE = 0.5
# Each part costs its helper a pass, however small the part is.
HELPER_PRICE = 0.02
MAX_HELPERS = 15
# Passes to the first event in addition to the read itself, on a server that
# generates streams and on one that does not.
PASSES_WITH_WRITERS = 2.5
PASSES_WITHOUT_WRITERS = 1.0
# Upper bound of the random price that breaks ties.
JITTER = 0.01
# Estimated time until a slot becomes free. On full servers that is when the
# next stream ends; if there is no server, the next heartbeat may bring one.
FREE_SLOT_MS = 500
NEXT_HEARTBEAT_MS = 1000


def _find_no_gateways() -> tuple[str, ...]:
    return ()


class Chooser:
    """Selects the servers with the lowest price.

    :param gateway_id: id of this gateway.
    :param find_gateways: returns the ids of all known gateways, including
        this one. Unless there are several, nothing is done to choose other
        servers than they do.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        gateway_id: str = '',
        find_gateways: Callable[[], tuple[str, ...]] = _find_no_gateways,
    ):
        self._rng = rng
        self._gateway_id = gateway_id
        self._find_gateways = find_gateways

    def choose(
        self,
        *,
        demand: Demand,
        candidates: tuple[Candidate, ...],
        is_contended: bool = False,
        min_free_ms: int = 0,
    ) -> Placement | NoCapacity | PlacementDeferred:
        """Return the cheapest placement, or why there is none at present.

        :param candidates: the servers that accept requests at present.
        :param is_contended: whether other requests wait for a slot, so that
            this one takes only a slot for which this gateway has the turn.
        :param min_free_ms: for how long that slot must have been free.
        :returns: ``NoCapacity`` if no server has capacity,
            ``PlacementDeferred`` if a long prompt has to wait for earlier
            reads.
        """
        has_engine = demand.service.engine is not None
        with_room = [
            candidate
            for candidate in candidates
            if free_slots.has_room(candidate, has_engine=has_engine)
        ]
        if is_contended and not demand.is_divisible:
            with_room = [
                one
                for one in with_room
                if not one.turn_in_ms and one.free_ms >= min_free_ms
            ]
        if with_room and not has_engine:
            return self._choose_plain(demand, with_room)
        if with_room:
            placed = self._choose_engine(demand, with_room)
            if placed is not None:
                return placed
        return NoCapacity(
            free_in_ms=_free_in_ms(candidates),
            lacks_memory=bool(with_room) and demand.is_large,
        )

    def _choose_plain(self, demand, candidates) -> Placement:
        def price(candidate: Candidate) -> float:
            other_zone = OTHER_ZONE_PRICE * (candidate.zone != demand.zone)
            jitter = JITTER * self._rng.random()
            return (
                candidate.load.active / candidate.slots
                + other_zone
                + _impairment_price(candidate)
                + jitter
            )

        best = min(candidates, key=price)
        return Placement(
            server_id=best.server_id,
            helper_ids=(),
            part_ms=0.0,
            first_event_ms=0.0,
            load=best.load,
        )

    def _choose_engine(
        self, demand, candidates
    ) -> Placement | PlacementDeferred | None:
        """Return the cheapest placement, None if memory is insufficient."""
        engine = demand.service.engine
        read_ms = engine.read_ms(demand.tokens)
        max_count = 1
        if demand.is_divisible:
            max_count = min(MAX_HELPERS + 1, len(candidates))
        best = None
        best_count = 0
        primary_prices = {}
        if demand.is_large:
            primary_prices = memory.price_primaries(
                demand,
                candidates,
                gateway_id=self._gateway_id,
                gateway_ids=self._find_gateways(),
            )
        for count in range(1, max_count + 1):
            found = self._spread(
                demand,
                candidates,
                read_ms=read_ms,
                count=count,
                primary_prices=primary_prices,
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
        if (
            demand.waits_for_reads
            and start_in_ms >= server_queue.OVERDUE_READ_MS
        ):
            return PlacementDeferred(start_in_ms=start_in_ms)
        needed = demand.needed_tokens
        primary = _select_primary(best.parts, needed)
        helpers = [part for part in best.parts if part is not primary]
        return Placement(
            server_id=primary.candidate.server_id,
            helper_ids=tuple(part.candidate.server_id for part in helpers),
            part_ms=read_ms / best_count,
            first_event_ms=max(
                part.ready_ms / part.candidate.pace for part in best.parts
            ),
            load=primary.candidate.load,
            shares=_memory_shares(primary, helpers, needed),
            pass_ms=engine.pass_ms,
        )

    def _spread(
        self,
        demand,
        candidates,
        *,
        read_ms: float,
        count: int,
        primary_prices: dict[str, float],
    ) -> spread.Spread | None:
        """Return the cheapest way to read the prompt on ``count`` servers.

        One of the servers must have enough free memory for the whole request.
        If the request exceeds the usable memory of a single server, memory is
        reserved at several, and their total must be sufficient.
        """
        is_after_backlog = count == 1 or demand.waits_for_reads
        parts = [
            self._price_part(
                demand,
                candidate,
                part_ms=read_ms / count,
                count=count,
                is_after_backlog=is_after_backlog,
                primary_price=primary_prices.get(
                    candidate.server_id,
                    memory.MAX_PRIMARY_PRICE if primary_prices else 0.0,
                ),
            )
            for candidate in candidates
            if count == 1 or _may_share(candidate)
        ]
        weight = pricing.weight_of(demand.tokens)
        needed = demand.needed_tokens

        def price_delay(ready_ms: float) -> float:
            return weight * pricing.delay_price(
                ready_ms, demand.objective_ms, demand.patience_ms
            )

        if needed <= memory.usable_memory(demand.service.engine):
            eligible = [part for part in parts if part.free_tokens >= needed]
            found = spread.find_cheapest_including(
                eligible, parts, count=count, price_delay=price_delay
            )
            if found is None or not primary_prices:
                return found
            preferred = spread.find_cheapest_including(
                _select_preferred(eligible, primary_prices),
                parts,
                count=count,
                price_delay=price_delay,
            )
            return min(
                (
                    _add_primary_price(each, needed)
                    for each in (found, preferred)
                    if each is not None
                ),
                key=lambda each: each.price,
            )
        found = spread.find_cheapest(
            parts, count=count, price_delay=price_delay
        )
        if found is None:
            return None
        free_tokens = sum(part.free_tokens for part in found.parts)
        return found if free_tokens >= needed else None

    def _price_part(
        self,
        demand,
        candidate,
        *,
        part_ms,
        count,
        is_after_backlog,
        primary_price,
    ) -> spread.Part:
        """Return the price of reading a part of a prompt on one server.

        :param part_ms: duration of the read.
        :param count: number of servers that read the prompt.
        :param is_after_backlog: whether the server reads the part after all
            its pending reads.
        :param primary_price: additional price if the server is the first one.
        """
        engine = demand.service.engine
        load = candidate.load
        paced_ms = candidate.pace * part_ms
        paced_pass_ms = candidate.pace * engine.pass_ms
        is_alone = count == 1
        price = JITTER * self._rng.random()
        if load.writers:
            price += pricing.price_for_writers(
                load, read_ms=paced_ms, pass_ms=paced_pass_ms
            )
        if is_alone:
            price += IDLE_SERVER_PRICE * (not load.active)
        else:
            price += HELPER_PRICE
        if not is_after_backlog:
            price += pricing.price_for_reads(load, paced_ms)
        spare_slots = candidate.slots - load.active - 1
        if not spare_slots:
            price += self._last_slot_price(candidate)
        else:
            price += LAST_SLOT_PRICE * NEXT_SLOT_FACTOR**spare_slots
            if part_ms * count < SPLIT_READ_MS:
                price += RANK_PRICE * candidate.rank
        price += OTHER_ZONE_PRICE * (candidate.zone != demand.zone)
        price += _impairment_price(candidate)
        # A share of a divided prompt is read before all pending reads, as
        # servers read the newest share first.
        ahead_ms = load.backlog_ms if is_after_backlog else 0.0
        ahead_ms *= candidate.pace
        return spread.Part(
            candidate=candidate,
            price=price,
            ready_ms=ahead_ms
            + paced_ms
            + _passes_to_first_event(load) * paced_pass_ms,
            free_tokens=memory.free_tokens(load, engine),
            primary_price=primary_price,
        )

    def _last_slot_price(self, candidate: Candidate) -> float:
        if candidate.is_last_slot_own:
            return LAST_SLOT_PRICE
        factor = OTHERS_LAST_SLOT_FACTOR + 0.5 * self._rng.random()
        return LAST_SLOT_PRICE * factor


def _impairment_price(candidate: Candidate) -> float:
    return (
        COLD_PRICE * candidate.is_cold
        + RATE_LIMITED_PRICE * candidate.is_rate_limited
    )


def _may_share(candidate: Candidate) -> bool:
    """Return whether a server may read a part of a divided prompt."""
    return (
        not candidate.is_rate_limited
        and candidate.load.helping < candidate.slots
    )


def min_first_event_ms(service: model.Service, tokens: int) -> float:
    """Return the minimum time in ms to a first event on an idle fleet."""
    engine = service.engine
    if engine is None or not tokens:
        return 0.0
    return engine.read_ms(tokens) / (MAX_HELPERS + 1) + engine.pass_ms


def busy_first_event_ms(service: model.Service, tokens: int) -> float:
    """Return the time in ms to a first event where all servers are busy.

    A prompt that is not divided is read beside the streams of its server.
    """
    engine = service.engine
    if engine is None or not tokens:
        return 0.0
    read_ms = engine.read_ms(tokens)
    if read_ms >= SPLIT_READ_MS:
        return min_first_event_ms(service, tokens)
    return read_ms + PASSES_WITH_WRITERS * engine.pass_ms


def _select_primary(
    parts: tuple[spread.Part, ...], needed: int
) -> spread.Part:
    """Return the part whose server is to generate the answer.

    Among the servers with enough free memory, this is the one with the lowest
    price as the first server, and then the fewest active requests. If none
    has enough, it is the one with the most free memory.
    """
    eligible = [part for part in parts if part.free_tokens >= needed]
    if not eligible:
        return max(
            parts, key=lambda part: (part.free_tokens, -part.primary_price)
        )
    return min(
        eligible,
        key=lambda part: (part.primary_price, part.candidate.load.active),
    )


def _select_preferred(
    eligible: list[spread.Part], primary_prices: dict[str, float]
) -> list[spread.Part]:
    """Return the parts whose servers are the cheapest as the first server."""
    least = min(primary_prices.values())
    return [
        part
        for part in eligible
        if primary_prices.get(part.candidate.server_id) == least
    ]


def _add_primary_price(found: spread.Spread, needed: int) -> spread.Spread:
    """Return a spread whose price includes that of its first server."""
    primary = _select_primary(found.parts, needed)
    return attrs.evolve(found, price=found.price + primary.primary_price)


def _memory_shares(
    primary: spread.Part, helpers: list[spread.Part], needed: int
) -> tuple[MemoryShare, ...]:
    """Return the memory to reserve at helpers, most free memory first."""
    missing_tokens = needed - primary.free_tokens
    shares = []
    for part in sorted(helpers, key=lambda part: -part.free_tokens):
        if missing_tokens <= 0:
            break
        tokens = min(missing_tokens, part.free_tokens)
        shares.append(
            MemoryShare(server_id=part.candidate.server_id, tokens=tokens)
        )
        missing_tokens -= tokens
    return tuple(shares)


def _passes_to_first_event(load: server_queue.ServerLoad) -> float:
    """Return the passes to a first event in addition to the read itself.

    A server without streams starts to read at once and generates the first
    event in the next pass. On a server with streams, the current pass has to
    end first, and the read completes only at the end of its own pass.
    """
    return PASSES_WITH_WRITERS if load.writers else PASSES_WITHOUT_WRITERS


def _free_in_ms(candidates: tuple[Candidate, ...]) -> int:
    """Return the estimated time in ms until a slot is free."""
    return FREE_SLOT_MS if candidates else NEXT_HEARTBEAT_MS


def rank_servers(server_ids) -> dict[str, float]:
    """Return the rank of each server of a zone, from 0 to below 1.

    Servers are ordered by the hash of their ids. All gateways therefore agree
    on the order, and a server that is added or removed moves the others by
    one position at most.
    """
    ordered = sorted(server_ids, key=memory.hash_of)
    return {
        server_id: index / len(ordered)
        for index, server_id in enumerate(ordered)
    }
