"""The slots of servers that a gateway may place requests on."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from shallothinge.leases import holder as holders
from shallothinge.membership.model import BackendServer
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import server_queue
from shallothinge.placement import slot_turns

# A restarted gateway learns its peers with its second lease, and receives
# their load reports some round trips later.
PEERS_KNOWN_MS = 400
# Concurrent requests assumed for a server that does not report its slots.
DEFAULT_SLOTS = 1


class ServerSlots:
    """Decides which slots of a server this gateway may take, and when.

    :param load: work in progress of all gateways.
    :param address: address of this gateway, as it is listed.
    """

    def __init__(
        self,
        *,
        holder: holders.LeaseHolder,
        load: fleet.FleetLoad,
        address: str,
    ):
        self._holder = holder
        self._load = load
        self._ranks: dict[str, float] = {}
        self._slot_turns = slot_turns.SlotTurns(own_id=address)

    def rank(self, listed: Iterable[BackendServer]) -> None:
        """Rank the servers anew after some have joined or left."""
        self._ranks = _rank_by_zone(listed)

    def update_turns(self, server_ids: Iterable[str]) -> None:
        """Follow the lists of gateways and servers."""
        self._slot_turns.update(
            gateway_ids=self._holder.peers, server_ids=server_ids
        )

    def build_candidate(
        self,
        server: BackendServer,
        *,
        slots: int,
        requests_per_slot: int,
        load: server_queue.ServerLoad,
        is_cold: bool,
        is_rate_limited: bool,
        pace: float,
    ) -> choice.Candidate:
        """Return a server that may get a request now, for the choice.

        :param slots: its slots that this gateway may place requests on.
        :param requests_per_slot: how many requests it may hold.
        """
        server_id = server.server_id
        free_slots = requests_per_slot * slots - load.active
        free_ms = 0
        turn_in_ms = 0
        if free_slots > 0:
            free_ms = self._load.free_ms(server_id, free_slots=free_slots)
            turn_in_ms = self._turn_in_ms(server_id, free_slots)
        return choice.Candidate(
            server_id=server_id,
            zone=server.zone,
            slots=slots,
            is_cold=is_cold,
            rank=self._ranks[server_id],
            load=load,
            is_rate_limited=is_rate_limited,
            pace=pace,
            is_last_slot_own=self._slot_turns.is_first(server_id),
            free_ms=free_ms,
            turn_in_ms=turn_in_ms,
        )

    def _turn_in_ms(self, server_id: str, free_slots: int) -> int:
        """Return the time until this gateway may take a contended slot.

        While the list is partial, each gateway has slots of its own.
        """
        if (
            self._holder.is_member_list_partial
            or self._load.has_unreported_end(server_id)
        ):
            return 0
        return self._slot_turns.wait_ms(
            server_id,
            free_slots=free_slots,
            unchanged_ms=self._load.unchanged_ms(server_id),
            own_start_ms=self._load.own_start_ms(server_id),
        )

    def usable_slots(
        self, loads: dict[str, server_queue.ServerLoad]
    ) -> Callable[[BackendServer], int]:
        """Return a function that gives the slots of a server to place on.

        A new leader knows only a few servers at first, while all gateways
        hold requests that waited for it. They would fill these servers at the
        same moment, before they receive each other's load reports. So each
        gateway uses only its share of the slots, and a single slot until it
        knows how many gateways there are.
        """
        if not self._holder.is_member_list_partial:
            return _slots_of
        gateway_count = max(1, len(self._holder.peers))
        knows_peers = self._holder.member_list_age_ms >= PEERS_KNOWN_MS
        own = self._load.own_active()

        def usable_slots_of(server: BackendServer) -> int:
            slots = _slots_of(server)
            load = loads.get(server.server_id, server_queue.ServerLoad())
            others_active = load.active - own[server.server_id]
            share = max(1, slots // gateway_count) if knows_peers else 1
            return min(slots, others_active + share)

        return usable_slots_of


def _slots_of(server: BackendServer) -> int:
    return server.slots or DEFAULT_SLOTS


def _rank_by_zone(listed: Iterable[BackendServer]) -> dict[str, float]:
    """Rank each server among those of its zone with the same services."""
    groups = collections.defaultdict(list)
    for server in listed:
        groups[server.zone, server.services].append(server.server_id)
    ranks = {}
    for server_ids in groups.values():
        ranks.update(choice.rank_servers(server_ids))
    return ranks
