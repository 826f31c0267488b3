"""What backend servers say of themselves in the answers that they give.

A server that leaves, or that wants nothing for some time, says so to the
gateways that it answers, which may hear it long before control's list tells
them, or without being in touch with control at all.
"""

import logging

from shallothinge import clock as clocks
from shallothinge.membership.model import BackendServer

LOG = logging.getLogger(__name__)

# A list that still names a server that has left is older than this at most:
# a late heartbeat may be held up by a cut link for most of a minute.
LEAVING_KEPT_MS = 60_000
# A longer pause is taken for a mistake of the server, which would get no
# request again until its next start.
MAX_PAUSE_MS = 600_000

# A server's id and incarnation.
ServerKey = tuple[str, str]


def key_of(server: BackendServer) -> ServerKey:
    """Return what names one start of a server."""
    return server.server_id, server.incarnation


class ServerNotices:
    """Servers that leave or have asked for a pause, by their own words.

    A notice holds for one incarnation. A pause is asked of this gateway
    alone; that a server leaves is told to the other gateways.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._leaving_ms: dict[ServerKey, int] = {}
        self._paused_until_ms: dict[ServerKey, int] = {}

    def leaves(self, key: ServerKey) -> bool:
        """Note that a server leaves.

        :returns: whether that is news.
        """
        if key in self._leaving_ms:
            return False
        self._leaving_ms[key] = self._clock.now_ms()
        LOG.info(
            'a backend server says that it leaves',
            extra={'server_id': key[0], 'incarnation': key[1]},
        )
        return True

    def asks_for_pause(self, key: ServerKey, pause_ms: int) -> None:
        """Note that a server wants nothing from this gateway for a time.

        A shorter pause does not end a longer one that was asked for before.
        """
        until_ms = self._clock.now_ms() + min(pause_ms, MAX_PAUSE_MS)
        if until_ms > self._paused_until_ms.get(key, 0):
            self._paused_until_ms[key] = until_ms
            LOG.info(
                'a backend server asks for a pause',
                extra={'server_id': key[0], 'pause_ms': pause_ms},
            )

    def has_left(self, key: ServerKey) -> bool:
        """Return whether a server has said that it leaves."""
        return key in self._leaving_ms

    def pause_ms(self, key: ServerKey) -> int:
        """Return how long a server still wants nothing, 0 if it may get."""
        until_ms = self._paused_until_ms.get(key)
        if until_ms is None:
            return 0
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            del self._paused_until_ms[key]
            return 0
        return left_ms

    def forget_unlisted(self, listed: set[ServerKey]) -> None:
        """Forget what old notices say of servers that are not listed."""
        oldest_ms = self._clock.now_ms() - LEAVING_KEPT_MS
        for key, since_ms in list(self._leaving_ms.items()):
            if key not in listed and since_ms < oldest_ms:
                del self._leaving_ms[key]
        for key in set(self._paused_until_ms) - listed:
            self.pause_ms(key)
