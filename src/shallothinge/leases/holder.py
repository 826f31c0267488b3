"""The holder's side of a lease: what may be done, and until when."""

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
PENDING_REQUESTS = 16
# A new leader lists only the holders that have renewed their leases with it;
# the others do so within a lease and an election.
PEER_KEPT_MS = 5000


class LeaseHolder:
    """Lease, configuration and membership of one process.

    The lease counts from the holder's own send time, less an allowance for
    clock drift, so that it never outlives what control believes.

    ``lapses`` counts how often the lease had run out before a renewal:
    what control handed out under the lease, such as slices of allowances,
    is void after a lapse.

    :param wants_members: whether to ask for the list of backend servers.
    :param address: zmq address that other holders of the role may use.
    :ivar on_peers_changed: called when control lists other holders.
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
        # When a server's departure was heard of, by id and incarnation.
        self._left_ms: dict[tuple[str, str], int] = {}
        self._listed_peers: tuple[str, ...] = ()
        self._took_partial_list = False
        self._list_taken_ms = clock.now_ms()
        self.on_peers_changed: Callable[[], None] | None = None
        self.fence = 0
        self.lapses = 0
        self.server: BackendServer | None = None
        self.leaving = False

    @property
    def remaining_ms(self) -> int:
        """Return for how long the holder may still act, 0 if not at all."""
        if self._ends_ms is None:
            return 0
        return max(0, self._ends_ms - self._clock.now_ms())

    @property
    def members_version(self) -> int:
        """Return the version of the list of backend servers held."""
        return self._members_version

    @property
    def members_epoch(self) -> str:
        """Return the leadership that gave the list of backend servers."""
        return self._members_epoch

    @property
    def is_list_partial(self) -> bool:
        """Return whether all that is known of the servers is partial.

        It is, if nothing was known of them before a new leader told of those
        that it had heard so far.
        """
        return self._took_partial_list and not self.is_settled

    @property
    def list_age_ms(self) -> int:
        """Return for how long the list of servers has been built upon."""
        return self._clock.now_ms() - self._list_taken_ms

    def is_valid(self) -> bool:
        """Return whether the holder may act now."""
        return self.remaining_ms > 0

    def is_behind(self, nudge: messages.LeaseNudge) -> bool:
        """Return whether a nudge tells of something that is not held.

        Versions of the list of backend servers count within a leadership.
        """
        if nudge.state_version > self.config.state_version:
            return True
        if not self._wants_members:
            return False
        if nudge.members_epoch != self._members_epoch:
            return True
        return nudge.members_version > self._members_version

    def next_request(self) -> messages.LeaseRequest:
        """Return the request to send now; its send time is noted."""
        self._sequence += 1
        self._sent_ms[self._sequence] = self._clock.now_ms()
        self._sent_ms.pop(self._sequence - PENDING_REQUESTS, None)
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

    def granted(self, grant: messages.LeaseGranted) -> bool:
        """Take a grant into account.

        A grant for a configuration older than the one held is ignored, as
        is one for a newer configuration that it does not carry.

        :returns: whether the lease was renewed.
        """
        sent_ms = self._sent_ms.pop(grant.sequence, None)
        if sent_ms is None:
            return False
        if grant.config is not None:
            self._take_config(grant)
        self._take_departures(grant.departures)
        if grant.state_version != self.config.state_version:
            return False
        if self._ends_ms is not None and not self.is_valid():
            self.lapses += 1
        drift_ms = grant.duration_ms // DRIFT_DIVISOR
        ends_ms = sent_ms + grant.duration_ms - drift_ms
        self._ends_ms = max(ends_ms, self._ends_ms or 0)
        self.fence = max(self.fence, grant.fence)
        self.is_settled = grant.is_settled
        if grant.peers_digest:
            self._take_peers(grant)
        if grant.sequence > self._members_sequence:
            self._members_sequence = grant.sequence
            self._take_members(grant.members, epoch=grant.members_epoch)
        return True

    def has_left(self, server: BackendServer) -> bool:
        """Return whether a server has left, whatever the list says of it.

        The list comes from one leader's memory, which may have heard of the
        server late or not at all; a departure is recorded by a majority.
        """
        return any(
            (server.server_id, incarnation) in self._left_ms
            for incarnation in ('', server.incarnation)
        )

    def _take_departures(self, left: tuple[Departure, ...]) -> None:
        now_ms = self._clock.now_ms()
        for one in left:
            key = (one.server_id, one.incarnation)
            self._left_ms.setdefault(key, now_ms)
        for (server_id, incarnation), since_ms in list(self._left_ms.items()):
            kept_ms = departures.kept_ms(incarnation)
            if since_ms < now_ms - kept_ms:
                del self._left_ms[server_id, incarnation]

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the holders that are listed or were so until lately.

        Whoever shares a limit with them may count some twice, not forget one.
        """
        oldest_ms = self._clock.now_ms() - PEER_KEPT_MS
        unlisted = (
            address
            for address, since_ms in self._unlisted_ms.items()
            if since_ms >= oldest_ms
        )
        return (*self._listed_peers, *unlisted)

    def _take_peers(self, grant: messages.LeaseGranted) -> None:
        now_ms = self._clock.now_ms()
        is_changed = set(self._listed_peers) != set(grant.peers)
        for address in set(self._listed_peers) - set(grant.peers):
            self._unlisted_ms[address] = now_ms
        for address in grant.peers:
            self._unlisted_ms.pop(address, None)
        for address, since_ms in list(self._unlisted_ms.items()):
            if since_ms < now_ms - PEER_KEPT_MS:
                del self._unlisted_ms[address]
        self._listed_peers = grant.peers
        self._peers_digest = grant.peers_digest
        if is_changed and self.on_peers_changed is not None:
            self.on_peers_changed()

    def _bundle_version(self) -> int:
        bundle = self.config.bundle
        return 0 if bundle is None else bundle.version

    def _take_config(self, grant: messages.LeaseGranted) -> None:
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

    def _take_members(
        self, update: MembershipUpdate | None, *, epoch: str
    ) -> None:
        if update is None:
            return
        if update.preliminary:
            self._add_members(update)
            return
        if update.complete:
            self.members = {}
            self._took_partial_list = not self.is_settled
            self._list_taken_ms = self._clock.now_ms()
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

    def _add_members(self, update: MembershipUpdate) -> None:
        """Add what a new leader has heard so far.

        A late heartbeat may make it list a server that is leaving as ready;
        one that leaves stays so in that incarnation.
        """
        for server in update.joined:
            known = self.members.get(server.server_id)
            is_late = (
                known is not None
                and known.leaving
                and known.incarnation == server.incarnation
            )
            if not is_late:
                self.members[server.server_id] = server
        for server_id in update.left:
            self.members.pop(server_id, None)


@attrs.frozen(kw_only=True)
class HolderState:
    """A holder's state, for dumps."""

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
