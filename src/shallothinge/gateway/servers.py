"""The backend servers that a gateway may send to at present."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import logging

import attrs

from shallothinge import clock as clocks
from shallothinge.gateway import coldshare
from shallothinge.gateway import notices
from shallothinge.leases import holder as holders
from shallothinge.membership.model import BackendServer
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.routes import model as routes
from shallothinge.routing import breaker

LOG = logging.getLogger(__name__)

# One failure is enough to look elsewhere first: there are other servers.
FAILURES_TO_AVOID = 1
AVOID_MS = 400
MAX_AVOID_MS = 4000
# A server that sent something to this gateway within this time is at work, and
# a request that stands still there waits for its turn: with all slots taken
# that is no failure, and avoiding the server would crowd the others. A pass
# with a long read takes up to about this long.
AT_WORK_MS = 1000
# A gateway that was restarted knows the others with its second lease, and
# has heard of their work some round trips later.
PEERS_KNOWN_MS = 400
# Ids of servers in one log line; a first list may hold thousands.
LOGGED_IDS = 20
# What a server runs at once if it doesn't say.
DEFAULT_SLOTS = 1


@attrs.define(kw_only=True)
class _Known:
    """A listed server and what this gateway saw of it."""

    server: BackendServer
    cold_until_ms: int
    breaker: breaker.Breaker
    heard_ms: int | None = None


class Servers:
    """Candidates for requests, from the list that control keeps.

    :param load: work under way, of all gateways.
    :param cold: this gateway's share of cold servers' rates.
    :param notices: what servers said of themselves.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        holder: holders.LeaseHolder,
        load: fleet.FleetLoad,
        cold: coldshare.ColdShare,
        notices: notices.ServerNotices,
    ):
        self._clock = clock
        self._holder = holder
        self._load = load
        self._cold = cold
        self._notices = notices
        self._known: dict[str, _Known] = {}
        self._ranks: dict[str, float] = {}
        load.on_failed = self._failed_elsewhere
        load.on_leaving = notices.leaves

    def find(self, server_id: str) -> BackendServer | None:
        """Return a listed server."""
        known = self._known.get(server_id)
        return None if known is None else known.server

    def candidates(
        self, *, service: str, tried_ids: frozenset[str]
    ) -> tuple[choice.Candidate, ...]:
        """Return the servers of a service that may get a request now.

        Servers that failed of late are left out while others are there.
        """
        self.follow_list()
        listed = [
            known
            for known in self._known.values()
            if service in known.server.services
            and known.server.server_id not in tried_ids
            and self._may_get_work(known.server)
        ]
        sound = [known for known in listed if known.breaker.allows()]
        loads = self._load.loads()
        shared_slots = self._shared_slots(loads)
        now_ms = self._clock.now_ms()
        return tuple(
            choice.Candidate(
                server_id=known.server.server_id,
                zone=known.server.zone,
                slots=shared_slots(known.server),
                is_cold=known.cold_until_ms > now_ms,
                rank=self._ranks[known.server.server_id],
                load=loads.get(known.server.server_id, fleet.ServerLoad()),
            )
            for known in sound or listed
        )

    def _shared_slots(
        self, loads: dict[str, fleet.ServerLoad]
    ) -> Callable[[BackendServer], int]:
        """Return a function that tells how many slots of a server to count on.

        A new leader knows few servers at first, and all gateways have
        requests that waited for it. They would fill these servers at the same
        moment, before they hear of each other; so each counts on its share,
        and on one slot until it knows how many gateways there are.
        """
        if not self._holder.is_list_partial:
            return _slots_of
        gateway_count = max(1, len(self._holder.peers))
        knows_peers = self._holder.list_age_ms >= PEERS_KNOWN_MS
        own = self._load.own_active()

        def share_of(server: BackendServer) -> int:
            slots = _slots_of(server)
            load = loads.get(server.server_id, fleet.ServerLoad())
            of_others = load.active - own[server.server_id]
            share = max(1, slots // gateway_count) if knows_peers else 1
            return min(slots, of_others + share)

        return share_of

    def may_send(self, *, server_id: str, service: routes.Service) -> bool:
        """Return whether a server's cold limit lets a request through.

        To be called once for each request that is then sent.
        """
        known = self._known.get(server_id)
        if known is None or service.cold_requests_per_s <= 0:
            return True
        if known.cold_until_ms <= self._clock.now_ms():
            return True
        return self._cold.take(
            server_id=server_id,
            rate_per_s=service.cold_requests_per_s,
            gateway_count=max(1, len(self._holder.peers)),
        )

    def may_get_work(self, server_id: str) -> bool:
        """Return whether a server may be sent a request at this moment."""
        self.follow_list()
        server = self.find(server_id)
        return server is not None and self._may_get_work(server)

    def heard(self, server_id: str) -> None:
        """Note that a server sent something."""
        if server_id in self._known:
            self._known[server_id].heard_ms = self._clock.now_ms()

    def told(
        self, server: BackendServer, *, is_leaving: bool, pause_ms: int
    ) -> None:
        """Note what a server said of itself; tell the peers if it leaves."""
        key = notices.key_of(server)
        if is_leaving and self._notices.leaves(key):
            self._load.server_leaves(key)
        if pause_ms:
            self._notices.asks_for_pause(key, pause_ms)

    def pause_ms(self, *, service: str) -> int | None:
        """Return when the first server of a service may get requests again.

        :returns: None unless all that could get requests want a pause.
        """
        pauses_ms = [
            self._notices.pause_ms(notices.key_of(known.server))
            for known in self._known.values()
            if service in known.server.services and self._is_open(known.server)
        ]
        return min(pauses_ms, default=0) or None

    def stalled(self, server_id: str) -> None:
        """Note a request that stands still: a failure of a silent server."""
        known = self._known.get(server_id)
        if known is None:
            return
        oldest_ms = self._clock.now_ms() - AT_WORK_MS
        if known.heard_ms is None or known.heard_ms < oldest_ms:
            self.failed(server_id)

    def answered(self, server_id: str) -> None:
        """Note an answer that speaks for a server."""
        if server_id in self._known:
            self._known[server_id].breaker.succeeded()

    def failed(self, server_id: str) -> None:
        """Note a failure that speaks against a server; tell the peers."""
        known = self._known.get(server_id)
        if known is not None and _avoid(known):
            self._load.server_failed(server_id)

    def failed_at(self, address: str) -> None:
        """Note a failure of the server at an address."""
        for server_id, known in self._known.items():
            if known.server.address == address and _avoid(known):
                self._load.server_failed(server_id)

    def _failed_elsewhere(self, server_id: str) -> None:
        """Note a failure that a peer saw, unless it is noted already."""
        self.follow_list()
        known = self._known.get(server_id)
        if known is not None and _avoid(known):
            LOG.info(
                'a peer saw a backend server fail',
                extra={'server_id': server_id},
            )

    def _may_get_work(self, server: BackendServer) -> bool:
        pause_ms = self._notices.pause_ms(notices.key_of(server))
        return self._is_open(server) and not pause_ms

    def _is_open(self, server: BackendServer) -> bool:
        """Return whether a server serves, though it may want a pause."""
        config = self._holder.config
        return not (
            server.leaving
            or server.zone in config.zones_out
            or server.server_id in config.servers_out
            or self._holder.has_left(server)
            or self._notices.has_left(notices.key_of(server))
        )

    @property
    def count(self) -> int:
        """Return how many servers are listed."""
        return len(self._known)

    @property
    def leaving_count(self) -> int:
        """Return how many listed servers are leaving."""
        return sum(known.server.leaving for known in self._known.values())

    def follow_list(self) -> None:
        """Take over the holder's list.

        Called for each placement, so that it does little when nothing has
        changed.
        """
        members = self._holder.members
        left = self._known.keys() - members.keys()
        changed = [
            server for server in members.values() if not self._holds(server)
        ]
        if not left and not changed:
            return
        joined = members.keys() - self._known.keys()
        leaving = {
            server.server_id for server in changed if self._leaves_now(server)
        }
        if joined or left:
            self._ranks = _rank_by_zone(members.values())
        for server_id in left:
            del self._known[server_id]
        for server in changed:
            self._take(server)
        self._cold.forget(known_ids=set(members))
        self._notices.forget_unlisted(
            {notices.key_of(server) for server in members.values()}
        )
        self._log_changes(joined=joined, left=left, leaving=leaving)

    def _holds(self, server: BackendServer) -> bool:
        known = self._known.get(server.server_id)
        return known is not None and known.server is server

    def _leaves_now(self, server: BackendServer) -> bool:
        known = self._known.get(server.server_id)
        was_leaving = known is not None and known.server.leaving
        return server.leaving and not was_leaving

    def _take(self, server: BackendServer) -> None:
        known = self._known.get(server.server_id)
        is_new = known is None or (
            known.server.incarnation != server.incarnation
        )
        self._known[server.server_id] = _Known(
            server=server,
            cold_until_ms=self._clock.now_ms() + server.cold_ms,
            breaker=self._new_breaker() if is_new else known.breaker,
            heard_ms=None if is_new else known.heard_ms,
        )

    def _log_changes(
        self, *, joined: set[str], left: set[str], leaving: set[str]
    ) -> None:
        if joined or left or leaving:
            LOG.info(
                'backend servers changed',
                extra={
                    'joined': sorted(joined)[:LOGGED_IDS],
                    'left': sorted(left)[:LOGGED_IDS],
                    'leaving': sorted(leaving)[:LOGGED_IDS],
                    'server_count': self.count,
                    'members_epoch': self._holder.members_epoch,
                    'members_version': self._holder.members_version,
                },
            )

    def _new_breaker(self) -> breaker.Breaker:
        return breaker.Breaker(
            clock=self._clock,
            failures_to_open=FAILURES_TO_AVOID,
            open_ms=AVOID_MS,
            max_open_ms=MAX_AVOID_MS,
        )


def _rank_by_zone(listed: Iterable[BackendServer]) -> dict[str, float]:
    """Return the place of each server among its service's in its zone."""
    groups = collections.defaultdict(list)
    for server in listed:
        groups[server.zone, server.services].append(server.server_id)
    ranks = {}
    for server_ids in groups.values():
        ranks.update(choice.rank_servers(server_ids))
    return ranks


def _slots_of(server: BackendServer) -> int:
    return server.slots or DEFAULT_SLOTS


def _avoid(known: _Known) -> bool:
    """Open a server's breaker, once for all that fails with it.

    :returns: False if it is open already.
    """
    if not known.breaker.allows():
        return False
    known.breaker.failed()
    return True
