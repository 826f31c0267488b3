"""Commands and messages about backend servers."""

import attrs

from shallothinge.membership.model import BackendServer


@attrs.frozen(kw_only=True)
class FenceServer:
    """Record an incarnation of a backend server's agent as the newest."""

    server_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class RecordDeparture:
    """Record that incarnations of a server have left.

    These are ``incarnation``, '' if it is not known, and all that started at
    or before ``started_to_ms``, a Unix time.
    """

    server_id: str
    incarnation: str
    started_to_ms: int = 0


@attrs.frozen(kw_only=True)
class ForgetDepartures:
    """Remove departures whose retention period has ended."""


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A backend server without an agent announces itself.

    ``started_ms`` orders its incarnations, and ``sequence`` orders the
    heartbeats of one incarnation.
    """

    request_id: str
    server: BackendServer
    started_ms: int
    sequence: int


@attrs.frozen(kw_only=True)
class ServerGone:
    """A backend server without an agent announces that it has left.

    ``asked_ms`` is the Unix time at which it did; 0 from a former release.
    ``incarnation`` is the one that the leader knew then, '' if none.
    """

    request_id: str
    server_id: str
    asked_ms: int = 0
    incarnation: str = ''


@attrs.frozen(kw_only=True)
class HeartbeatTaken:
    """Answer to ``Heartbeat`` and ``ServerGone``, naming the leader."""

    request_id: str
    leader_id: str


COMMANDS = (FenceServer, RecordDeparture, ForgetDepartures)
MESSAGES = (Heartbeat, ServerGone, HeartbeatTaken)
