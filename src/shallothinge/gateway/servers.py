"""Tracks the listed backend servers and their availability to a gateway."""

import logging

import attrs

from shallothinge import clock as clocks
from shallothinge.gateway import absence
from shallothinge.gateway import cold_rate_limiter
from shallothinge.gateway import model
from shallothinge.gateway import notices
from shallothinge.gateway import server_slots
from shallothinge.leases import holder as holders
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import ServerKey
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import pace
from shallothinge.placement import server_queue
from shallothinge.routes import model as routes
from shallothinge.routing import breaker
from shallothinge.server_limits import state as server_limits

LOG = logging.getLogger(__name__)

# A single failure opens the breaker, since other servers are available.
FAILURES_TO_AVOID = 1
AVOID_MS = 400
MAX_AVOID_MS = 4000
# A server that sent data to this gateway within this period is working, and a
# request that stalls there is queued. With all slots taken this is no failure,
# and avoiding the server would overload the others. An engine pass that reads
# a long prompt takes up to about this long.
RECENT_ACTIVITY_MS = 1000
# Limit on server ids per log field; the first list may hold thousands.
MAX_LOGGED_IDS = 20

NO_LOAD = server_queue.ServerLoad()


@attrs.define(kw_only=True)
class _ServerEntry:
    """A listed server and what this gateway observed of it."""

    server: BackendServer
    cold_until_ms: int
    breaker: breaker.CircuitBreaker
    last_activity_ms: int | None = None


class Servers:
    """Selects candidates for requests from the server list of control.

    :param load: work in progress of all gateways.
    :param cold: limits the rate of requests to cold servers.
    :param notices: leave and pause notices received from servers.
    :param limits: limits that servers have named.
    :param address: address of this gateway, as it is listed.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        holder: holders.LeaseHolder,
        load: fleet.FleetLoad,
        cold: cold_rate_limiter.ColdRateLimiter,
        notices: notices.ServerNotices,
        limits: server_limits.ServerLimits,
        address: str = '',
    ):
        self._clock = clock
        self._holder = holder
        self._load = load
        self._cold = cold
        self._notices = notices
        self._limits = limits
        self._paces = pace.ServerPaces(clock=clock)
        self._entries: dict[str, _ServerEntry] = {}
        self._slots = server_slots.ServerSlots(
            holder=holder, load=load, address=address
        )
        load.on_failed = self._on_peer_failure_report
        load.on_leaving = notices.mark_leaving

    def find(self, server_id: str) -> BackendServer | None:
        """Return a listed server, or None if the id is not listed."""
        entry = self._entries.get(server_id)
        return None if entry is None else entry.server

    def candidates(
        self,
        *,
        service: str,
        tried_ids: frozenset[str],
        requests_per_slot: int = 1,
    ) -> tuple[choice.Candidate, ...]:
        """Return the servers of a service that may get a request now.

        Servers that failed recently are left out unless all of them did.

        :param tried_ids: servers to leave out.
        :param requests_per_slot: how many requests a server may hold.
        """
        self.sync_members()
        has_limits = self._limits.count > 0
        listed = [
            entry
            for entry in self._entries.values()
            if service in entry.server.services
            and entry.server.server_id not in tried_ids
            and self._may_get_work(entry.server)
            and not (has_limits and self._limit_wait_ms(entry.server))
        ]
        healthy = [entry for entry in listed if entry.breaker.allows_request()]
        loads = self._load.loads()
        usable_slots = self._slots.usable_slots(loads)
        now_ms = self._clock.now_ms()
        return tuple(
            self._slots.build_candidate(
                entry.server,
                slots=usable_slots(entry.server),
                requests_per_slot=requests_per_slot,
                load=loads.get(entry.server.server_id, NO_LOAD),
                is_cold=entry.cold_until_ms > now_ms,
                is_rate_limited=has_limits
                and self._is_rate_limited(entry.server),
                pace=self._paces.pace(notices.key_of(entry.server)),
            )
            for entry in healthy or listed
        )

    def take_permit(self, *, server_id: str, service: routes.Service) -> bool:
        """Take a permit if the rate limits of a server admit a request.

        Call this once for each request that is then sent.

        :returns: whether the request may be sent; always for a warm server
            that names no limit.
        """
        server = self.find(server_id)
        return self._take_cold_permit(server_id, service) and (
            server is None or self._limits.take(notices.key_of(server))
        )

    def _take_cold_permit(
        self, server_id: str, service: routes.Service
    ) -> bool:
        entry = self._entries.get(server_id)
        if entry is None or service.cold_requests_per_s <= 0:
            return True
        if entry.cold_until_ms <= self._clock.now_ms():
            return True
        return self._cold.take(
            server_id=server_id,
            rate_per_s=service.cold_requests_per_s,
            gateway_count=max(1, len(self._holder.peers)),
        )

    def may_send(self, server_id: str, *, placed_ms: int) -> bool:
        """Return whether a server may be sent a request at this moment.

        If the server has named a limit since the request was placed, the
        request takes a permit.

        :param placed_ms: instant at which the server was chosen for it.
        """
        self.sync_members()
        server = self.find(server_id)
        if server is None or not self._may_get_work(server):
            return False
        key = notices.key_of(server)
        since_ms = self._limits.since_ms(key)
        if since_ms is None or since_ms < placed_ms:
            return True
        return self._limits.take(key)

    def permit_wait_ms(
        self, *, service: str, tried_ids: frozenset[str]
    ) -> int | None:
        """Return the time until a limit permits a request to a service.

        :param tried_ids: servers to leave out.
        :returns: milliseconds, 0 if a request is permitted now; None unless
            all servers that accept requests limit their rate.
        """
        keys = self._limited_keys(service, tried_ids)
        return min(map(self._limits.wait_ms, keys), default=None)

    def permit_interval_ms(
        self, *, service: str, tried_ids: frozenset[str]
    ) -> float:
        """Return the expected time between this gateway's permits.

        Call this only while ``permit_wait_ms`` returns a time.
        """
        keys = self._limited_keys(service, tried_ids)
        return self._limits.own_interval_ms(keys)

    def _limited_keys(
        self, service: str, tried_ids: frozenset[str]
    ) -> list[ServerKey]:
        """Return the servers of a service if all of them are limited."""
        if not self._limits.count:
            return []
        self.sync_members()
        keys = [
            notices.key_of(entry.server)
            for entry in self._entries.values()
            if service in entry.server.services
            and entry.server.server_id not in tried_ids
            and self._may_get_work(entry.server)
        ]
        is_limited = all(
            self._limits.limit_per_s(key) is not None for key in keys
        )
        return keys if is_limited else []

    def _limit_wait_ms(self, server: BackendServer) -> int:
        return self._limits.wait_ms(notices.key_of(server))

    def _is_rate_limited(self, server: BackendServer) -> bool:
        return self._limits.limit_per_s(notices.key_of(server)) is not None

    def is_in_service(self, server_id: str) -> bool:
        """Return whether a server is listed and neither leaves nor is out."""
        server = self.find(server_id)
        return server is not None and self._is_serving(server)

    def record_activity(self, server_id: str) -> None:
        """Record that a server sent data just now."""
        if server_id in self._entries:
            self._entries[server_id].last_activity_ms = self._clock.now_ms()

    def record_first_event(
        self, server: BackendServer, first_event: pace.FirstEvent
    ) -> None:
        """Record how long a server took to the first event of a stream."""
        self._paces.record(notices.key_of(server), first_event)

    def record_pause(
        self, server: BackendServer, *, measured_ms: float, pass_ms: float
    ) -> None:
        """Record the time between two events of a stream.

        See ``ServerPaces.record_pause``.
        """
        self._paces.record_pause(
            notices.key_of(server), measured_ms=measured_ms, pass_ms=pass_ms
        )

    def record_notices(
        self, server: BackendServer, *, is_leaving: bool, pause_ms: int
    ) -> None:
        """Record the notices of a server; report a leaving server to peers.

        :param pause_ms: for how long the server wants no requests, or 0.
        """
        key = notices.key_of(server)
        if is_leaving and self._notices.mark_leaving(key):
            self._load.server_leaves(key)
        if pause_ms:
            self._notices.record_pause(key, pause_ms)

    def record_limit(
        self,
        server: BackendServer,
        *,
        answer: model.AnswerHead,
        sent_ms: int,
    ) -> None:
        """Record what a server's answer to a request says of its limit.

        :param sent_ms: instant at which the request was sent.
        """
        if answer.is_misdirected:
            return
        if answer.unreadable_limit:
            LOG.warning(
                'limit of a backend server can not be read',
                extra={
                    'server_id': server.server_id,
                    'text': answer.unreadable_limit,
                },
            )
            return
        self._limits.record_answer(
            notices.key_of(server), per_s=answer.limit_per_s, sent_ms=sent_ms
        )

    def pause_ms(
        self, *, service: str, tried_ids: frozenset[str] = frozenset()
    ) -> int | None:
        """Return the time until a server of a service accepts requests.

        :param tried_ids: servers to leave out.
        :returns: milliseconds until the first pause ends, or None unless all
            available servers have requested a pause.
        """
        pauses_ms = [
            self._notices.pause_ms(notices.key_of(entry.server))
            for entry in self._entries.values()
            if service in entry.server.services
            and entry.server.server_id not in tried_ids
            and self._is_serving(entry.server)
        ]
        return min(pauses_ms, default=0) or None

    def absence_of(self, service: str) -> absence.Absence:
        """Return what keeps requests from the servers of a service."""
        listed = [
            entry.server
            for entry in self._entries.values()
            if service in entry.server.services
        ]
        present = [server for server in listed if not self._leaves(server)]
        serving = [server for server in present if self._is_serving(server)]
        pauses_ms = [
            self._notices.pause_ms(notices.key_of(server))
            for server in serving
        ]
        return absence.Absence(
            listed_count=len(listed),
            leaving_count=len(listed) - len(present),
            out_count=len(present) - len(serving),
            paused_count=sum(pause_ms > 0 for pause_ms in pauses_ms),
            first_pause_ms=min(filter(None, pauses_ms), default=None),
        )

    def record_stall(self, server_id: str) -> None:
        """Record a stalled request; a failure if the server is silent."""
        entry = self._entries.get(server_id)
        if entry is None:
            return
        oldest_ms = self._clock.now_ms() - RECENT_ACTIVITY_MS
        if (
            entry.last_activity_ms is None
            or entry.last_activity_ms < oldest_ms
        ):
            self.record_failure(server_id)

    def record_success(self, server_id: str) -> None:
        """Record a successful answer of a server."""
        if server_id in self._entries:
            self._entries[server_id].breaker.record_success()

    def record_failure(self, server_id: str) -> None:
        """Record a failure of a server and report it to the peers."""
        entry = self._entries.get(server_id)
        if entry is not None and _open_breaker(entry):
            self._load.server_failed(server_id)

    def record_failure_at(self, address: str) -> None:
        """Record a failure of the server at an address; report it to peers."""
        for server_id, entry in self._entries.items():
            if entry.server.address == address and _open_breaker(entry):
                self._load.server_failed(server_id)

    def _on_peer_failure_report(self, server_id: str) -> None:
        """Record a failure reported by a peer unless it is known already."""
        self.sync_members()
        entry = self._entries.get(server_id)
        if entry is not None and _open_breaker(entry):
            LOG.info(
                'peer reported a backend server failure',
                extra={'server_id': server_id},
            )

    def _may_get_work(self, server: BackendServer) -> bool:
        pause_ms = self._notices.pause_ms(notices.key_of(server))
        return self._is_serving(server) and not pause_ms

    def _is_serving(self, server: BackendServer) -> bool:
        """Return whether a server is in service, paused or not."""
        config = self._holder.config
        return not (
            self._leaves(server)
            or server.zone in config.zones_out
            or server.server_id in config.servers_out
        )

    def _leaves(self, server: BackendServer) -> bool:
        return (
            server.leaving
            or self._holder.has_left(server)
            or self._notices.has_left(notices.key_of(server))
        )

    @property
    def count(self) -> int:
        """Return how many servers are listed."""
        return len(self._entries)

    @property
    def leaving_count(self) -> int:
        """Return how many listed servers are leaving."""
        return sum(entry.server.leaving for entry in self._entries.values())

    def sync_members(self) -> None:
        """Update the servers from the lease holder's list.

        Called for each placement, so it returns early if nothing has changed.
        """
        members = self._holder.members
        left = self._entries.keys() - members.keys()
        changed = [
            server
            for server in members.values()
            if not self._is_current(server)
        ]
        if not left and not changed:
            return
        joined = members.keys() - self._entries.keys()
        leaving = {
            server.server_id
            for server in changed
            if self._started_leaving(server)
        }
        if joined or left:
            self._slots.rank(members.values())
        for server_id in left:
            del self._entries[server_id]
        for server in changed:
            self._update_entry(server)
        self._cold.forget(known_ids=set(members))
        listed = {notices.key_of(server) for server in members.values()}
        self._notices.forget_unlisted(listed)
        self._limits.forget_unlisted(listed)
        if joined or left:
            self.update_slot_turns()
        self._paces.forget_unlisted(listed)
        self._log_changes(joined=joined, left=left, leaving=leaving)

    def update_slot_turns(self) -> None:
        """Follow the list of gateways; call this periodically."""
        self._slots.update_turns(self._entries)

    def _is_current(self, server: BackendServer) -> bool:
        entry = self._entries.get(server.server_id)
        return entry is not None and entry.server is server

    def _started_leaving(self, server: BackendServer) -> bool:
        entry = self._entries.get(server.server_id)
        was_leaving = entry is not None and entry.server.leaving
        return server.leaving and not was_leaving

    def _update_entry(self, server: BackendServer) -> None:
        entry = self._entries.get(server.server_id)
        is_new = entry is None or (
            entry.server.incarnation != server.incarnation
        )
        self._entries[server.server_id] = _ServerEntry(
            server=server,
            cold_until_ms=self._clock.now_ms() + server.cold_ms,
            breaker=self._new_breaker() if is_new else entry.breaker,
            last_activity_ms=None if is_new else entry.last_activity_ms,
        )

    def _log_changes(
        self, *, joined: set[str], left: set[str], leaving: set[str]
    ) -> None:
        if joined or left or leaving:
            LOG.info(
                'backend server list changed',
                extra={
                    'joined': sorted(joined)[:MAX_LOGGED_IDS],
                    'left': sorted(left)[:MAX_LOGGED_IDS],
                    'leaving': sorted(leaving)[:MAX_LOGGED_IDS],
                    'server_count': self.count,
                    'members_epoch': self._holder.members_epoch,
                    'members_version': self._holder.members_version,
                },
            )

    def _new_breaker(self) -> breaker.CircuitBreaker:
        return breaker.CircuitBreaker(
            clock=self._clock,
            failures_to_open=FAILURES_TO_AVOID,
            open_ms=AVOID_MS,
            max_open_ms=MAX_AVOID_MS,
        )


def _open_breaker(entry: _ServerEntry) -> bool:
    """Open a server's breaker, once for all requests that fail together.

    :returns: False if it is open already.
    """
    if not entry.breaker.allows_request():
        return False
    entry.breaker.record_failure()
    return True
