"""The holder's side of a lease: whether the process may act, and how long."""

from collections.abc import Callable

import attrs

from shallothinge import clock
from shallothinge.bundles.model import ServingConfig
from shallothinge.leases import messages
from shallothinge.membership import departures
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import Departure
from shallothinge.membership.model import MembershipUpdate

DRIFT_DIVISOR = 50
MAX_PENDING_REQUESTS = 16
# No lease lasts longer for its holder, whatever a grant says: until its end,
# control waits for the holder with each change of the configuration.
MAX_LEASE_MS = 60_000
# A new leader lists only the holders that have renewed their leases with it.
# The others renew within the duration of a lease plus an election.
UNLISTED_PEER_RETENTION_MS = 5000


class LeaseHolder:
    """Lease, configuration and membership of one process.

    The lease starts at the time at which the holder sent the request, and is
    shortened by an allowance for clock drift, so that it always ends before
    control considers it ended.

    ``lapses`` counts how often the lease had expired before it was renewed.
    Whatever control granted under the lease, such as slices of allowances,
    is void after a lapse.

    :param wants_members: whether to ask for the list of backend servers.
    :param address: zmq address that other holders of the role may use.
    :ivar on_peers_changed: called when the list of other holders changes.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        holder_id: str,
        incarnation: str,
        role: str,
        wants_members: bool,
        address: str = '',
    ):
        self._clock = clock
        self._holder_id = holder_id
        self._incarnation = incarnation
        self._role = role
        self._wants_members = wants_members
        self._address = address
        self._peers_digest = ''
        self._unlisted_ms: dict[str, int] = {}
        self.is_settled = False
        self._sequence = 0
        self._sent_ms = {}
        self._ends_ms = None
        self._members_version = 0
        self._members_epoch = ''
        self._members_sequence = 0
        self.config = ServingConfig()
        self.members: dict[str, BackendServer] = {}
        # Recorded departures by server id, with their receive times.
        self._departures: dict[str, dict[Departure, int]] = {}
        self._listed_peers: tuple[str, ...] = ()
        self._accepted_partial_list = False
        self._list_received_ms = clock.now_ms()
        self.on_peers_changed: Callable[[], None] | None = None
        self.fence = 0
        self.lapses = 0
        self.server: BackendServer | None = None
        self.leaving = False

    @property
    def remaining_ms(self) -> int:
        """Return the remaining time of the lease, 0 if it has expired."""
        if self._ends_ms is None:
            return 0
        return max(0, self._ends_ms - self._clock.now_ms())

    @property
    def members_version(self) -> int:
        """Return the version of the current list of backend servers."""
        return self._members_version

    @property
    def members_epoch(self) -> str:
        """Return the epoch of the leader that sent the current list."""
        return self._members_epoch

    @property
    def is_member_list_partial(self) -> bool:
        """Return whether the list of backend servers may be incomplete.

        It may, if the last complete list came from a new leader that had not
        heard from every server yet, until control reports itself settled.
        """
        return self._accepted_partial_list and not self.is_settled

    @property
    def member_list_age_ms(self) -> int:
        """Return the time since the last complete list was received."""
        return self._clock.now_ms() - self._list_received_ms

    def is_valid(self) -> bool:
        """Return whether the holder may act now."""
        return self.remaining_ms > 0

    def is_behind(self, nudge: messages.LeaseNudge) -> bool:
        """Return whether a nudge announces a version newer than the current.

        Versions of the list of backend servers are comparable only within
        an epoch.
        """
        if nudge.state_version > self.config.state_version:
            return True
        if not self._wants_members:
            return False
        if nudge.members_epoch != self._members_epoch:
            return True
        return nudge.members_version > self._members_version

    def next_request(self) -> messages.LeaseRequest:
        """Return the next lease request and record its send time."""
        self._sequence += 1
        self._sent_ms[self._sequence] = self._clock.now_ms()
        self._sent_ms.pop(self._sequence - MAX_PENDING_REQUESTS, None)
        version = self._members_version if self._wants_members else -1
        return messages.LeaseRequest(
            holder_id=self._holder_id,
            incarnation=self._incarnation,
            role=self._role,
            sequence=self._sequence,
            config_version=self.config.state_version,
            members_version=version,
            members_epoch=self._members_epoch,
            server=self.server,
            leaving=self.leaving,
            fence=self.fence,
            bundle_version=self._bundle_version(),
            routes_version=self.config.routes_version,
            address=self._address,
            peers_digest=self._peers_digest,
        )

    def apply_grant(self, grant: messages.LeaseGranted) -> bool:
        """Apply a grant.

        The lease is not renewed by a grant for an older configuration than
        the current one, nor by a grant for a newer one without its content.

        :returns: whether the lease was renewed.
        """
        sent_ms = self._sent_ms.pop(grant.sequence, None)
        if sent_ms is None or _contradicts_itself(grant):
            return False
        if grant.config is not None:
            self._apply_config(grant)
        self._apply_departures(grant.departures)
        if grant.state_version != self.config.state_version:
            return False
        if self._ends_ms is not None and not self.is_valid():
            self.lapses += 1
        duration_ms = min(grant.duration_ms, MAX_LEASE_MS)
        ends_ms = sent_ms + duration_ms - duration_ms // DRIFT_DIVISOR
        self._ends_ms = max(ends_ms, self._ends_ms or 0)
        self.fence = max(self.fence, grant.fence)
        self.is_settled = grant.is_settled
        if grant.peers_digest:
            self._apply_peers(grant)
        if grant.sequence > self._members_sequence:
            self._members_sequence = grant.sequence
            self._apply_members(grant.members, epoch=grant.members_epoch)
        return True

    def has_left(self, server: BackendServer) -> bool:
        """Return whether a server has left, even if it is still listed.

        The list is one leader's soft state and may miss the departure or
        reflect it late; a recorded departure is committed by a majority.
        """
        known = self._departures.get(server.server_id)
        if known is None:
            return False
        now_ms = self._clock.now_ms()
        return any(
            departure.covers(server, age_ms=now_ms - since_ms)
            for departure, since_ms in known.items()
        )

    def _apply_departures(self, left: tuple[Departure, ...]) -> None:
        now_ms = self._clock.now_ms()
        for departure in left:
            known = self._departures.setdefault(departure.server_id, {})
            known.setdefault(departure, now_ms)
        for server_id, known in list(self._departures.items()):
            kept = {
                departure: since_ms
                for departure, since_ms in known.items()
                if since_ms >= now_ms - departures.retention_ms(departure)
            }
            if kept:
                self._departures[server_id] = kept
            else:
                del self._departures[server_id]

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the holders that are listed or were until recently.

        Callers share limits among these holders: counting one twice is safe,
        missing one is not.
        """
        oldest_ms = self._clock.now_ms() - UNLISTED_PEER_RETENTION_MS
        unlisted = (
            address
            for address, since_ms in self._unlisted_ms.items()
            if since_ms >= oldest_ms
        )
        return (*self._listed_peers, *unlisted)

    def _apply_peers(self, grant: messages.LeaseGranted) -> None:
        now_ms = self._clock.now_ms()
        is_changed = set(self._listed_peers) != set(grant.peers)
        for address in set(self._listed_peers) - set(grant.peers):
            self._unlisted_ms[address] = now_ms
        for address in grant.peers:
            self._unlisted_ms.pop(address, None)
        for address, since_ms in list(self._unlisted_ms.items()):
            if since_ms < now_ms - UNLISTED_PEER_RETENTION_MS:
                del self._unlisted_ms[address]
        self._listed_peers = grant.peers
        self._peers_digest = grant.peers_digest
        if is_changed and self.on_peers_changed is not None:
            self.on_peers_changed()

    def _bundle_version(self) -> int:
        bundle = self.config.bundle
        return 0 if bundle is None else bundle.version

    def _apply_config(self, grant: messages.LeaseGranted) -> None:
        config = grant.config
        if config.state_version <= self.config.state_version:
            return
        if grant.keeps_bundle:
            config = attrs.evolve(config, bundle=self.config.bundle)
        if grant.keeps_routes:
            config = attrs.evolve(
                config, routes_document=self.config.routes_document
            )
        self.config = config

    def _apply_members(
        self, update: MembershipUpdate | None, *, epoch: str
    ) -> None:
        if update is None:
            return
        if update.preliminary:
            self._merge_preliminary(update)
            return
        if update.complete:
            self.members = {}
            self._accepted_partial_list = not self.is_settled
            self._list_received_ms = self._clock.now_ms()
        elif epoch != self._members_epoch:
            return
        elif update.version < self._members_version:
            return
        for server in update.joined:
            self.members[server.server_id] = server
        for server_id in update.left:
            self.members.pop(server_id, None)
        self._members_version = update.version
        self._members_epoch = epoch

    def _merge_preliminary(self, update: MembershipUpdate) -> None:
        """Merge the preliminary list of a new leader.

        A delayed heartbeat may make the leader list a leaving server as
        ready; a server stays leaving for the rest of its incarnation.
        """
        for server in update.joined:
            known = self.members.get(server.server_id)
            is_stale = (
                known is not None
                and known.leaving
                and known.incarnation == server.incarnation
            )
            if not is_stale:
                self.members[server.server_id] = server
        for server_id in update.left:
            self.members.pop(server_id, None)


def _contradicts_itself(grant: messages.LeaseGranted) -> bool:
    """Return whether a grant carries another configuration than it names.

    No later grant would match its version, if that is too high.
    """
    config = grant.config
    return config is not None and config.state_version != grant.state_version


@attrs.frozen(kw_only=True)
class HolderState:
    """A holder's state, as shown in dumps."""

    remaining_ms: int
    config: ServingConfig
    members: tuple[BackendServer, ...]
    fence: int


def describe(holder: LeaseHolder) -> HolderState:
    """Return the state of a holder for a dump."""
    return HolderState(
        remaining_ms=holder.remaining_ms,
        config=holder.config,
        members=tuple(holder.members.values()),
        fence=holder.fence,
    )
