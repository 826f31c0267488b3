"""Data that a backend server's agent announces."""

import attrs

# Heartbeats are late by some seconds at most. After that, a server that still
# reports has started since, whatever its clock says.
STARTS_COVERED_MS = 10_000

# A server's id and incarnation.
ServerKey = tuple[str, str]


@attrs.frozen(kw_only=True)
class BackendServer:
    """One backend server as its agent announces it.

    ``incarnation`` is new at each start of the agent. ``address`` is the
    agent's zmq address and ``server_key`` its public key. ``models`` holds
    ``name@version`` of each model loaded, ``services`` the plain services.
    ``engine_url`` is the backend server's own HTTP address, for other
    engines that hold a part of the same prompt. A backend server without
    an agent announces itself: ``address`` is then its ``IP:PORT``,
    ``slots`` the number of requests that it runs concurrently,
    ``cold_ms`` the remaining time for which it is cold, and ``started_ms``
    the Unix time at which it started, by its own clock; 0 if not stated.
    """

    server_id: str
    incarnation: str
    address: str
    zone: str
    host: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    memory_tokens: int = 0
    checks_fencing: bool = False
    leaving: bool = False
    engine_url: str = ''
    cold_ms: int = 0
    slots: int = 0
    started_ms: int = 0


@attrs.frozen(kw_only=True)
class Departure:
    """Departure of a backend server, which gets no more work.

    It covers ``incarnation``, '' if the leader did not know it, and for
    ``STARTS_COVERED_MS`` every incarnation that started at or before
    ``started_to_ms``. ``index`` is the index of the log entry that recorded
    the departure, ``at_ms`` the leader's time in Unix milliseconds.
    """

    server_id: str
    incarnation: str
    index: int
    at_ms: int
    started_to_ms: int = 0

    @property
    def covered_to_ms(self) -> int:
        """Return the latest start that is covered, in Unix milliseconds.

        A former release recorded no such time; a server whose incarnation it
        did not know had started before the departure was recorded.
        """
        if self.started_to_ms or self.incarnation:
            return self.started_to_ms
        return self.at_ms

    def covers(self, server: BackendServer, *, age_ms: int) -> bool:
        """Return whether an incarnation of the server has left.

        :param age_ms: time since the departure was recorded or received.
        """
        if server.server_id != self.server_id:
            return False
        if server.incarnation == self.incarnation:
            return True
        if age_ms >= STARTS_COVERED_MS:
            return False
        if not server.started_ms:
            return not self.incarnation
        return server.started_ms <= self.covered_to_ms


@attrs.frozen(kw_only=True)
class MembershipUpdate:
    """Changes of the membership since the reader's version.

    ``complete`` means that ``joined`` lists every backend server.
    ``preliminary`` means that a new leader lists the servers known to it so
    far: the reader merges them into its list, whose version stays.
    """

    version: int
    complete: bool
    preliminary: bool = False
    joined: tuple[BackendServer, ...] = ()
    left: tuple[str, ...] = ()
