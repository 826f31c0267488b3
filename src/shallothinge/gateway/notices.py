"""Leave and pause notices in the answers of backend servers.

A server that is leaving, or that wants no requests for some time, states this
in its answers. A gateway may thus learn it long before the server list of
control shows it, or while it has no contact with control at all.
"""

import logging

from shallothinge import clock as clocks
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import ServerKey

LOG = logging.getLogger(__name__)

# How long a leave notice is kept for an unlisted server. A list that still
# names the server is at most this old: a broken link may delay a heartbeat for
# most of a minute.
LEAVING_RETENTION_MS = 60_000
# A longer pause is treated as a mistake of the server, which would otherwise
# get no requests until its next start.
MAX_PAUSE_MS = 600_000


def key_of(server: BackendServer) -> ServerKey:
    """Return the key of one incarnation of a server."""
    return server.server_id, server.incarnation


class ServerNotices:
    """Servers that have announced that they leave, or requested a pause.

    A notice applies to one incarnation. A pause applies to this gateway only,
    while leave notices are passed on to the other gateways.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._leaving_ms: dict[ServerKey, int] = {}
        self._paused_until_ms: dict[ServerKey, int] = {}

    def mark_leaving(self, key: ServerKey) -> bool:
        """Record that a server is leaving.

        :returns: False if this was recorded already.
        """
        if key in self._leaving_ms:
            return False
        self._leaving_ms[key] = self._clock.now_ms()
        LOG.info(
            'backend server announced that it is leaving',
            extra={'server_id': key[0], 'incarnation': key[1]},
        )
        return True

    def record_pause(self, key: ServerKey, pause_ms: int) -> None:
        """Record that a server wants no requests from this gateway.

        A shorter pause does not end a longer one that was requested before.

        :param pause_ms: duration; limited to ``MAX_PAUSE_MS``.
        """
        until_ms = self._clock.now_ms() + min(pause_ms, MAX_PAUSE_MS)
        if until_ms > self._paused_until_ms.get(key, 0):
            self._paused_until_ms[key] = until_ms
            LOG.info(
                'backend server requested a pause',
                extra={'server_id': key[0], 'pause_ms': pause_ms},
            )

    def has_left(self, key: ServerKey) -> bool:
        """Return whether a server has announced that it is leaving."""
        return key in self._leaving_ms

    def pause_ms(self, key: ServerKey) -> int:
        """Return the milliseconds left of a server's pause, or 0."""
        until_ms = self._paused_until_ms.get(key)
        if until_ms is None:
            return 0
        remaining_ms = until_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            del self._paused_until_ms[key]
            return 0
        return remaining_ms

    def forget_unlisted(self, listed: set[ServerKey]) -> None:
        """Remove outdated notices of servers that are not listed."""
        oldest_ms = self._clock.now_ms() - LEAVING_RETENTION_MS
        for key, since_ms in list(self._leaving_ms.items()):
            if key not in listed and since_ms < oldest_ms:
                del self._leaving_ms[key]
        for key in set(self._paused_until_ms) - listed:
            self.pause_ms(key)
