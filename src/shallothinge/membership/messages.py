"""Commands and messages about backend servers."""

import attrs

from shallothinge.membership.model import BackendServer


@attrs.frozen(kw_only=True)
class FenceServer:
    """Make an incarnation of a backend server's agent the newest one."""

    server_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class RecordDeparture:
    """Note that an incarnation of a backend server leaves; '' for any."""

    server_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class ForgetDepartures:
    """Forget backend servers that left long ago."""


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A backend server without an agent announces itself.

    ``started_ms`` tells its incarnations apart and ``sequence`` orders the
    heartbeats of one incarnation.
    """

    request_id: str
    server: BackendServer
    started_ms: int
    sequence: int


@attrs.frozen(kw_only=True)
class ServerGone:
    """A backend server without an agent says that it is gone."""

    request_id: str
    server_id: str


@attrs.frozen(kw_only=True)
class HeartbeatTaken:
    """Answer to both; ``leader_id`` is the control host that leads."""

    request_id: str
    leader_id: str


COMMANDS = (FenceServer, RecordDeparture, ForgetDepartures)
MESSAGES = (Heartbeat, ServerGone, HeartbeatTaken)
