"""Messages between a lease holder and the control group."""

import attrs

from shallothinge.bundles.model import ServingConfig
from shallothinge.errors import ErrorKind
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import Departure
from shallothinge.membership.model import MembershipUpdate


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Holder to control: grant or renew a lease.

    ``sequence`` pairs the answer with the holder's send time, from which
    the lease counts. ``config_version`` is the newest configuration that
    the holder has, ``peers_digest`` names the list of peers that it has.
    """

    holder_id: str
    incarnation: str
    role: str
    sequence: int
    config_version: int
    members_version: int = -1
    members_epoch: str = ''
    server: BackendServer | None = None
    leaving: bool = False
    fence: int = 0
    bundle_version: int = 0
    routes_version: int = 0
    address: str = ''
    peers_digest: str = ''


@attrs.frozen(kw_only=True)
class LeaseGranted:
    """Control to holder: act for ``duration_ms`` from the send time.

    ``config`` is present if it is newer than the holder's; if its bundle is
    the one that the holder has, ``keeps_bundle`` stands for it. ``fence`` is a
    number from the log, larger than any granted before to this holder's
    backend server under another incarnation. ``members_epoch`` names the
    leader whose membership versions count. ``peers`` are the addresses of
    the holders that may be written to, ``control_ids`` the control hosts;
    both are present if ``peers_digest`` is, which names them.
    ``departures`` are the backend servers that left since the version that
    the holder had; one that takes note of a version takes note of them. Until
    ``is_settled`` a new leader may not have heard of every backend server.
    """

    sequence: int
    duration_ms: int
    state_version: int
    fence: int = 0
    config: ServingConfig | None = None
    members_epoch: str = ''
    members: MembershipUpdate | None = None
    keeps_bundle: bool = False
    keeps_routes: bool = False
    peers: tuple[str, ...] = ()
    control_ids: tuple[str, ...] = ()
    peers_digest: str = ''
    departures: tuple[Departure, ...] = ()
    is_settled: bool = True


@attrs.frozen(kw_only=True)
class LeaseNudge:
    """Control to holder: renew now, something has changed.

    ``members_version`` is the version of the list of backend servers in the
    leadership that ``members_epoch`` names.
    """

    state_version: int
    members_epoch: str = ''
    members_version: int = 0


@attrs.frozen(kw_only=True)
class LeaseRefused:
    """Control to holder: no lease from this host now.

    ``leader_id`` names the control host to ask, if one is known.
    """

    sequence: int
    kind: ErrorKind
    leader_id: str = ''


@attrs.frozen(kw_only=True)
class ControlRefused:
    """Control to any asker: this host did not take the request.

    ``request_id`` repeats the id of the request (claim, slice, order or
    query). ``leader_id`` names the control host to ask, if known.
    """

    request_id: str
    kind: ErrorKind
    leader_id: str = ''
    detail: str = ''


@attrs.frozen(kw_only=True)
class Holder:
    """One start of a process that acts under leases."""

    holder_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class EndHolders:
    """Command of the log: the leases of these holders have run out."""

    holders: tuple[Holder, ...]


COMMANDS = (EndHolders,)

MESSAGES = (
    LeaseRequest,
    LeaseGranted,
    LeaseNudge,
    LeaseRefused,
    ControlRefused,
)
