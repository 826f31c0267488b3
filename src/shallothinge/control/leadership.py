"""Soft state of one leadership term: leases and announced backend servers."""

from collections.abc import Callable
import hashlib

import attrs

from shallothinge import clock
from shallothinge.bundles.model import ServingConfig
from shallothinge.control import revisions
from shallothinge.control import state
from shallothinge.errors import ErrorKind
from shallothinge.leases import messages
from shallothinge.leases import table
from shallothinge.membership import fences
from shallothinge.membership import heartbeats
from shallothinge.membership import table as members
from shallothinge.membership.model import Departure
from shallothinge.membership.model import MembershipUpdate
from shallothinge.settings import model

DIGEST_HEX_DIGITS = 12


@attrs.frozen(kw_only=True)
class FenceNeeded:
    """A fencing number that must be committed before a lease is granted."""

    server_id: str
    incarnation: str


class Leadership:
    """Grants leases while this host is the leader.

    :param epoch: unique name of this leadership term.
    :param elected_ms: when this host was elected, on ``clock``.
    :param read_control_ids: returns the ids of the control hosts.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        wall_clock: clock.Clock,
        machine: state.ControlState,
        settings: model.LeaseSettings,
        epoch: str,
        elected_ms: int,
        read_control_ids: Callable[[], tuple[str, ...]] = tuple,
    ):
        self._clock = clock
        self._read_control_ids = read_control_ids
        self._machine = machine
        self.epoch = epoch
        self._agents_config = ServingConfig()
        self._address_of_holder: dict[messages.Holder, str] = {}
        self._members_complete_ms = elected_ms + settings.member_silence_ms
        self.revisions = revisions.Revisions(epoch=epoch)
        self.leases = table.LeaseTable(
            clock=clock,
            duration_ms=settings.duration_ms,
            elected_ms=elected_ms,
        )
        self.members = members.MemberTable(
            clock=clock, epoch=epoch, silence_ms=settings.member_silence_ms
        )
        self.heartbeats = heartbeats.HeartbeatFilter(
            clock=clock,
            members=self.members,
            find_departure=lambda server: machine.data.departures.find(
                server=server, now_ms=wall_clock.now_ms()
            ),
        )

    def fence_needed(
        self, request: messages.LeaseRequest
    ) -> FenceNeeded | None:
        """Return the fence to commit before the request can be granted.

        :returns: None if nothing has to be committed first.
        """
        if request.server is None:
            return None
        standing = self._standing_of(request)
        if standing is not fences.IncarnationStatus.NEW:
            return None
        return FenceNeeded(
            server_id=request.holder_id, incarnation=request.incarnation
        )

    def answer(
        self, request: messages.LeaseRequest
    ) -> messages.LeaseGranted | messages.LeaseRefused:
        """Answer a lease request.

        Call this only after a majority has confirmed that this host is
        the leader. The confirmation must have begun after the request
        arrived.
        """
        if request.server is not None:
            kind = self._server_refusal(request)
            if kind is not None:
                return messages.LeaseRefused(
                    sequence=request.sequence, kind=kind
                )
        config = self._machine.data.config
        duration_ms = self.leases.grant(
            request=request, config_version=config.state_version
        )
        if request.server is not None:
            self._announce(request)
        if request.server is not None:
            config = self._config_for_agents()
        is_behind = request.config_version < config.state_version
        keeps_bundle = is_behind and _holds_bundle(request, config)
        if keeps_bundle:
            config = attrs.evolve(config, bundle=None)
        keeps_routes = is_behind and _holds_routes(request, config)
        if keeps_routes:
            config = attrs.evolve(config, routes_document=b'')
        self._record_address(request)
        digest = self._peers_digest() if request.address else ''
        knows_peers = request.peers_digest == digest
        return messages.LeaseGranted(
            sequence=request.sequence,
            duration_ms=duration_ms,
            state_version=config.state_version,
            fence=self._fence_of(request),
            config=config if is_behind else None,
            members_epoch=self.epoch,
            members=self._members_for(request),
            keeps_bundle=keeps_bundle,
            keeps_routes=keeps_routes,
            peers=() if knows_peers else tuple(sorted(self._addresses())),
            control_ids=() if knows_peers else self._read_control_ids(),
            peers_digest='' if knows_peers else digest,
            departures=self._departures_for(request) if is_behind else (),
            is_settled=self.is_membership_complete(),
        )

    def _departures_for(self, request) -> tuple[Departure, ...]:
        if request.members_version < 0:
            return ()
        return self._machine.data.departures.since(
            index=request.config_version
        )

    def _record_address(self, request: messages.LeaseRequest) -> None:
        if request.address:
            holder = table.holder_of(request)
            self._address_of_holder[holder] = request.address

    def _addresses(self) -> set[str]:
        """Return the addresses of the holders whose leases may be valid."""
        known = set(self.leases.holders())
        for holder in list(self._address_of_holder):
            if holder not in known:
                del self._address_of_holder[holder]
        return set(self._address_of_holder.values())

    def _peers_digest(self) -> str:
        known = [*sorted(self._addresses()), *self._read_control_ids()]
        text = ' '.join(known)
        return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]

    def _config_for_agents(self) -> ServingConfig:
        """Return the configuration without the hashes of API keys.

        Agents don't check API keys and so don't need the hashes.
        """
        config = self._machine.data.config
        if self._agents_config.state_version != config.state_version:
            self._agents_config = _without_key_hashes(config)
        return self._agents_config

    def remove_expired(self) -> None:
        """Remove expired leases, silent backend servers and old heartbeats."""
        self.leases.remove_expired()
        self.members.drop_silent()
        self.heartbeats.forget_old()

    def _standing_of(self, request) -> fences.IncarnationStatus:
        return self._machine.data.fences.status_of(
            server_id=request.holder_id, incarnation=request.incarnation
        )

    def _fence_of(self, request) -> int:
        if request.server is None:
            return 0
        return self._machine.data.fences.fence_of(server_id=request.holder_id)

    def _server_refusal(self, request) -> ErrorKind | None:
        """Return why an agent is refused a lease, or None to grant it.

        A replaced incarnation is always refused. The newest incarnation
        is refused until its predecessor's lease has expired, unless its
        request carries the newest fencing number: then it was granted a
        lease before and needn't wait.
        """
        if self._standing_of(request) is not fences.IncarnationStatus.CURRENT:
            return ErrorKind.STALE_FENCE
        if request.fence == self._fence_of(request):
            return None
        if not self.leases.is_settled:
            return ErrorKind.NO_LEASE
        if self.leases.predecessor_may_act(request):
            return ErrorKind.NO_LEASE
        return None

    def _announce(self, request: messages.LeaseRequest) -> None:
        server = request.server
        if request.leaving:
            server = attrs.evolve(server, leaving=True)
        self.members.announce(server=server)

    def is_membership_complete(self) -> bool:
        """Return whether each backend server had time to announce itself."""
        return self._clock.now_ms() >= self._members_complete_ms

    def _members_for(self, request) -> MembershipUpdate | None:
        """Return the membership changes that a holder lacks.

        A new leader doesn't know all backend servers yet. Until it does,
        holders add the servers that it knows to the list from the
        previous leader.
        """
        if request.members_version < 0:
            return None
        is_new_epoch = request.members_epoch != self.epoch
        if (
            request.members_epoch
            and is_new_epoch
            and not self.is_membership_complete()
        ):
            return self.members.preliminary_update()
        return self.members.update_since(
            version=request.members_version, epoch=request.members_epoch
        )


def _holds_bundle(
    request: messages.LeaseRequest, config: ServingConfig
) -> bool:
    """Return whether the holder has the bundle in force.

    The version in force never decreases, so a version identifies one
    bundle.
    """
    if config.bundle is None:
        return False
    return request.bundle_version == config.bundle.version


def _holds_routes(
    request: messages.LeaseRequest, config: ServingConfig
) -> bool:
    """Return whether the holder has the route table in force."""
    if not config.routes_version:
        return False
    return request.routes_version == config.routes_version


def _without_key_hashes(config: ServingConfig) -> ServingConfig:
    if config.bundle is None:
        return config
    workspaces = tuple(
        attrs.evolve(workspace, key_hashes=())
        for workspace in config.bundle.workspaces
    )
    bundle = attrs.evolve(config.bundle, workspaces=workspaces)
    return attrs.evolve(config, bundle=bundle)
