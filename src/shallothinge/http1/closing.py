"""Close of connections whose peers may still be reading, and of ports."""

import logging
import socket

from shallothinge import clock as clocks
from shallothinge.http1 import tcp_info

LOG = logging.getLogger(__name__)

# A peer that has received everything gets this long to stop sending, so that
# it can read the answer (RFC 9112, section 9.6). Also the interval at which
# the progress of a slow peer is checked.
LINGER_MS = 1000
# Format and position of ``tcpi_bytes_acked`` in ``struct tcp_info``; Linux has
# it since version 4.1.
_ACKED_FORMAT = '=Q'
_ACKED_OFFSET = 120
# Format and position of ``tcpi_state``, and its value after the end.
_STATE_FORMAT = '=B'
_STATE_OFFSET = 0
_TCP_CLOSE = 7


class LingeringClose:
    """Closes a connection once its peer has acknowledged all data.

    A reset discards what the kernel has not sent yet, which may be megabytes
    for a peer that reads slowly. The connection therefore stays open as long
    as the peer's kernel acknowledges more data, and is reset only if the peer
    makes no progress.

    :param written_bytes: number of bytes written to the connection.
    :param stall_timeout_ms: how long the peer may acknowledge nothing.
    :param is_idle: the peer waits for no answer. What it sends after the
        close is then left unread, so that the kernel resets the connection
        and the peer learns that nobody took its request.
    """

    def __init__(
        self,
        *,
        transport,
        reactor,
        written_bytes: int,
        stall_timeout_ms: int,
        is_idle: bool = False,
    ):
        self._transport = transport
        self._reactor = reactor
        self._written_bytes = written_bytes
        self._stall_timeout_ms = stall_timeout_ms
        self._is_idle = is_idle
        self._acked_bytes: int | None = None
        self._stalled_ms = 0
        self._is_write_side_closed = False
        self._timer = None

    def start(self) -> None:
        """Close the write side after the data that is still buffered."""
        self._acked_bytes = acked_bytes(self._transport.getHandle())
        self._schedule_check()
        self._transport.loseWriteConnection()

    def on_write_side_closed(self) -> None:
        """Note that all data was handed to the kernel."""
        self._is_write_side_closed = True
        self.stop()
        if self._is_idle:
            self._transport.pauseProducing()
            if self._has_peer_all(acked_bytes(self._transport.getHandle())):
                self._transport.loseConnection()
                return
        self._schedule_check()

    def stop(self) -> None:
        """Cancel the checks, since the connection has ended."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _schedule_check(self) -> None:
        self._timer = self._reactor.callLater(
            LINGER_MS / clocks.MS_PER_SECOND, self._check_progress
        )

    def _check_progress(self) -> None:
        """Close the connection, wait on, or reset it if the peer stalls."""
        self._timer = None
        before = self._acked_bytes
        now = acked_bytes(self._transport.getHandle())
        self._acked_bytes = now
        if self._is_write_side_closed and (
            self._has_peer_all(now) or self._has_peer_left()
        ):
            self._transport.loseConnection()
            return
        self._stalled_ms = 0 if now != before else self._stalled_ms + LINGER_MS
        if self._stalled_ms < self._stall_timeout_ms:
            self._schedule_check()
            return
        LOG.warning(
            'a caller stopped reading its answer; resetting the connection',
            extra={
                'lost_bytes': now and self._written_bytes - now,
                'still_ms': self._stalled_ms,
            },
        )
        self._transport.abortConnection()

    def _has_peer_all(self, count_bytes: int | None) -> bool:
        return count_bytes is None or count_bytes >= self._written_bytes

    def _has_peer_left(self) -> bool:
        """Return whether the connection has ended, also if it isn't read."""
        return is_closed(self._transport.getHandle())


def acked_bytes(handle: socket.socket) -> int | None:
    """Return how many bytes the peer's kernel has acknowledged.

    :returns: None if the kernel does not report it.
    """
    return tcp_info.read_field(
        handle, offset=_ACKED_OFFSET, layout=_ACKED_FORMAT
    )


def is_closed(handle: socket.socket) -> bool:
    """Return whether a connection has ended in both directions.

    One that this side has not closed was reset. The kernel reports an error
    only once, which may be lost, but the state stays.
    """
    state = tcp_info.read_field(
        handle, offset=_STATE_OFFSET, layout=_STATE_FORMAT
    )
    return state == _TCP_CLOSE


def close_port(port, *, reactor) -> None:
    """Accept the connections that wait in the kernel, and close the port.

    The kernel resets those that were not accepted, although their callers may
    have sent their requests. Both steps run in the next iteration of the
    reactor, one directly after the other.
    """
    reactor.callLater(0, _accept_waiting, port)
    port.stopListening()


def _accept_waiting(port) -> None:
    accepted = None
    while accepted != port.sessionno:
        accepted = port.sessionno
        port.doRead()
