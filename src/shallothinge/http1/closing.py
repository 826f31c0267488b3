"""The end of a connection whose peer may still read what was written."""

import logging
import socket

from shallothinge import clock as clocks
from shallothinge.http1 import tcp_info

LOG = logging.getLogger(__name__)

# A peer that has everything gets this long to stop sending, so that it can
# read the answer (RFC 9112, section 9.6). Also how often it is looked whether
# a slow peer has taken more.
LINGER_MS = 1000
# Where ``struct tcp_info`` of Linux holds the bytes that were acknowledged,
# since version 4.1.
_ACKED_FORMAT = '=Q'
_ACKED_OFFSET = 120


class GentleClose:
    """Closes a connection once its peer has all that was written to it.

    A reset drops what the kernel has not sent yet, and a peer that reads
    slowly may have megabytes to come. So the connection stays as long as the
    peer's kernel acknowledges more, and is reset only when it takes nothing.

    :param written_bytes: all that was written to the connection.
    :param stalled_ms: how long the peer may take nothing.
    """

    def __init__(
        self, *, transport, reactor, written_bytes: int, stalled_ms: int
    ):
        self._transport = transport
        self._reactor = reactor
        self._written_bytes = written_bytes
        self._stalled_ms = stalled_ms
        self._acked_bytes: int | None = None
        self._still_ms = 0
        self._has_left = False
        self._timer = None

    def start(self) -> None:
        """Close the writing side behind what is still to be written."""
        self._acked_bytes = acked_bytes(self._transport.getHandle())
        self._look_later()
        self._transport.loseWriteConnection()

    def all_has_left(self) -> None:
        """Note that the kernel holds whatever the peer has not got yet."""
        self._has_left = True
        self.stop()
        self._look_later()

    def stop(self) -> None:
        """Forget the connection, which has ended."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _look_later(self) -> None:
        self._timer = self._reactor.callLater(
            LINGER_MS / clocks.MS_PER_SECOND, self._look
        )

    def _look(self) -> None:
        """Close, wait on, or give a peer up that takes nothing."""
        self._timer = None
        before = self._acked_bytes
        now = acked_bytes(self._transport.getHandle())
        self._acked_bytes = now
        if self._has_left and (now is None or now >= self._written_bytes):
            self._transport.loseConnection()
            return
        self._still_ms = 0 if now != before else self._still_ms + LINGER_MS
        if self._still_ms < self._stalled_ms:
            self._look_later()
            return
        LOG.warning(
            'a caller takes no more of its answer; the connection is reset',
            extra={
                'lost_bytes': now and self._written_bytes - now,
                'still_ms': self._still_ms,
            },
        )
        self._transport.abortConnection()


def acked_bytes(handle: socket.socket) -> int | None:
    """Return how many bytes the peer's kernel has acknowledged.

    :returns: None where the kernel does not tell.
    """
    return tcp_info.read_field(
        handle, offset=_ACKED_OFFSET, layout=_ACKED_FORMAT
    )
