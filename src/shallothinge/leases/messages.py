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

    ``sequence`` matches the answer to the holder's send time, at which the
    lease starts. ``config_version`` is the newest configuration that the
    holder has, ``peers_digest`` the digest of its list of peers.
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
    """Control to holder: the lease lasts ``duration_ms`` from the send time.

    ``config`` is present if it is newer than the holder's. It is sent without
    its bundle if ``keeps_bundle`` is set, and without its routes document if
    ``keeps_routes`` is set: the holder keeps its own. ``fence`` is a log
    index, larger than any granted before to this holder's backend server
    under another incarnation. ``members_epoch`` identifies the leadership in
    which the membership versions are comparable. ``peers`` are the addresses
    of the holders that may be written to, ``control_ids`` the control hosts;
    both are present if ``peers_digest``, their digest, is.
    ``departures`` are the backend servers that left since the version that
    the holder had; a holder that confirms a version has applied them. Until
    ``is_settled``, a new leader may not have heard from every backend server.
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
    """Control to holder: renew now, because something has changed.

    ``members_version`` is the version of the list of backend servers within
    ``members_epoch``.
    """

    state_version: int
    members_epoch: str = ''
    members_version: int = 0


@attrs.frozen(kw_only=True)
class LeaseRefused:
    """Control to holder: this host does not grant a lease now.

    ``leader_id`` names the control host to ask, if one is known.
    """

    sequence: int
    kind: ErrorKind
    leader_id: str = ''


@attrs.frozen(kw_only=True)
class ControlRefused:
    """Control to any client: this host did not accept the request.

    ``request_id`` repeats the id of the request (claim, slice, order or
    query). ``leader_id`` names the control host to ask, if known.
    """

    request_id: str
    kind: ErrorKind
    leader_id: str = ''
    detail: str = ''


@attrs.frozen(kw_only=True)
class Holder:
    """One incarnation of a process that acts under leases."""

    holder_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class EndHolders:
    """Log command: the leases of these holders have expired."""

    holders: tuple[Holder, ...]


COMMANDS = (EndHolders,)

MESSAGES = (
    LeaseRequest,
    LeaseGranted,
    LeaseNudge,
    LeaseRefused,
    ControlRefused,
)
