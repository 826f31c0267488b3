"""Chooses the servers whose memory large prompts take.

Several gateways place prompts at the same moment, and a server whose requests
exceed its memory crashes. Gateways therefore prefer different first servers
for prompts that need more than the memory of one slot.
"""

from collections.abc import Iterable
import functools
import hashlib

from shallothinge.placement import demand
from shallothinge.placement import server_queue
from shallothinge.placement import spread
from shallothinge.routes import model

# Fraction of an engine's memory that placement may use: load reports lag, and
# an answer may occupy a little more memory than its tokens.
USABLE_MEMORY = 0.98
# Another gateway may place a large prompt at the same moment. Two on one
# server may exceed its memory, and the server crashes. OTHERS_SERVER_PRICE is
# the maximum additional price, for the first server of such a prompt, of one
# that other gateways prefer; SCARCE_MEMORY_PRICE is that of one without
# memory for a second prompt of this size, and UNCONFIRMED_MEMORY_PRICE that
# of one where work of a silent gateway may still hold the memory. Their sum
# is less than the price of a late answer.
OTHERS_SERVER_PRICE = 0.2
SCARCE_MEMORY_PRICE = 0.1
UNCONFIRMED_MEMORY_PRICE = 0.3
MAX_PRIMARY_PRICE = (
    OTHERS_SERVER_PRICE + SCARCE_MEMORY_PRICE + UNCONFIRMED_MEMORY_PRICE
)
# Pairs of gateway and server of which the hash is cached.
MAX_CACHED_HASHES = 20_000


def usable_memory(engine: model.EngineCost) -> int:
    """Return how many tokens of an engine's memory placement may use."""
    return int(engine.memory_tokens * USABLE_MEMORY)


def free_tokens(
    load: server_queue.ServerLoad, engine: model.EngineCost
) -> int:
    """Return how many tokens more a server may hold."""
    return max(0, usable_memory(engine) - load.memory_tokens)


def price_primaries(
    request: demand.Demand,
    candidates: Iterable[spread.Candidate],
    *,
    gateway_id: str,
    gateway_ids: tuple[str, ...],
) -> dict[str, float]:
    """Return the additional price of each server as the first server.

    Servers without the memory and those with pending reads are left out,
    as a prompt is not to wait for the sake of other gateways.

    :param gateway_id: id of this gateway.
    :param gateway_ids: ids of all known gateways, including this one.
    :returns: price by server id, empty if this is the only gateway.
    """
    if len(gateway_ids) < 2:
        return {}
    engine = request.service.engine
    needed = request.needed_tokens
    memory_prices = {
        candidate.server_id: _memory_price(candidate.load, engine, needed)
        for candidate in candidates
        if candidate.load.backlog_ms < server_queue.OVERDUE_READ_MS
        and free_tokens(candidate.load, engine) >= needed
    }
    claims = _claim_servers(memory_prices, gateway_ids)
    return {
        server_id: memory_price
        + OTHERS_SERVER_PRICE
        * _contention(
            server_id=server_id,
            claimant_id=claims.get(server_id),
            gateway_id=gateway_id,
            gateway_ids=gateway_ids,
        )
        for server_id, memory_price in memory_prices.items()
    }


def _memory_price(
    load: server_queue.ServerLoad, engine: model.EngineCost, needed: int
) -> float:
    """Return the price of the risk that a server's memory is exceeded."""
    left_tokens = free_tokens(load, engine)
    is_scarce = left_tokens < 2 * needed
    is_unconfirmed = left_tokens - load.unconfirmed_tokens < needed
    return (
        SCARCE_MEMORY_PRICE * is_scarce
        + UNCONFIRMED_MEMORY_PRICE * is_unconfirmed
    )


def _claim_servers(
    server_ids: Iterable[str], gateway_ids: tuple[str, ...]
) -> dict[str, str]:
    """Return a different server for each gateway, as long as there are any.

    Each gateway in turn gets the server that comes first by the rendezvous
    hash of both. Gateways that know of each other and see the same servers
    agree on the result, and most of it holds if one sees a server more.

    :returns: id of the gateway by id of the server.
    """
    unclaimed = set(server_ids)
    claims = {}
    for gateway_id in sorted(gateway_ids):
        if not unclaimed:
            break
        first = min(
            unclaimed,
            key=lambda server_id: _rendezvous_hash(gateway_id, server_id),
        )
        unclaimed.remove(first)
        claims[first] = gateway_id
    return claims


def _contention(
    *,
    server_id: str,
    claimant_id: str | None,
    gateway_id: str,
    gateway_ids: tuple[str, ...],
) -> float:
    """Return how far a gateway leaves a server to the others, from 0 to 1.

    Of the servers that it has not claimed, a gateway prefers unclaimed ones,
    and those where few gateways precede it by the rendezvous hash.

    :param claimant_id: the gateway that has claimed the server, if any.
    """
    if claimant_id == gateway_id:
        return 0.0
    own_hash = _rendezvous_hash(gateway_id, server_id)
    preceding = sum(
        _rendezvous_hash(other_id, server_id) < own_hash
        for other_id in gateway_ids
    )
    rank = preceding / len(gateway_ids)
    return (rank + (claimant_id is not None)) / 2


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def _rendezvous_hash(gateway_id: str, server_id: str) -> bytes:
    return hash_of(f'{gateway_id} {server_id}')


def hash_of(text: str) -> bytes:
    """Return a hash that all gateways agree on."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
