"""Adapter that lets the Twisted reactor read a zmq socket."""

from collections.abc import Callable
import logging

from twisted.internet import interfaces
import zmq
from zope.interface import implementer

from shallothinge.transport import traffic as traffics

LOG = logging.getLogger(__name__)

MESSAGES_PER_TURN = 200


@implementer(interfaces.IReadDescriptor)
class SocketReader:
    """Passes each message of a zmq socket to a callback.

    The descriptor of a zmq socket is edge-triggered, so the socket is
    drained after each event and checked again after each send.

    :param on_frames: called with the frames of each message.
    :param traffic: counts messages and bytes sent and received.
    """

    def __init__(
        self,
        *,
        reactor,
        socket: zmq.Socket,
        on_frames: Callable[[list[zmq.Frame]], None],
        traffic: traffics.Traffic,
    ):
        self._traffic = traffic
        self._reactor = reactor
        self._socket = socket
        self._on_frames = on_frames
        self._descriptor = socket.getsockopt(zmq.FD)
        self._scheduled = None
        self._closed = False
        reactor.addReader(self)
        self._schedule()

    def fileno(self) -> int:
        """Return the descriptor that the reactor watches."""
        return self._descriptor

    def logPrefix(self) -> str:
        """Return the name under which the reactor logs."""
        return 'zmq'

    def connectionLost(self, reason) -> None:
        """Close the socket when the reactor stops."""
        self.close()

    def doRead(self) -> None:
        """Deliver pending messages, up to ``MESSAGES_PER_TURN`` at a time."""
        for _ in range(MESSAGES_PER_TURN):
            if self._closed:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            except zmq.ZMQError:
                LOG.exception('failed to read from a zmq socket')
                return
            self._deliver(frames)
        self._schedule()

    def send(self, frames: list[bytes]) -> bool:
        """Send a message without blocking.

        :returns: whether the message was queued for a connected peer.
        """
        if self._closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._schedule()
        self._traffic.count_sent(size_bytes=len(frames[-1]))
        return True

    def close(self) -> None:
        """Close the socket and discard its queued messages."""
        if self._closed:
            return
        self._closed = True
        self._reactor.removeReader(self)
        if self._scheduled is not None and self._scheduled.active():
            self._scheduled.cancel()
        self._socket.close(linger=0)

    def _schedule(self) -> None:
        if self._scheduled is None and not self._closed:
            self._scheduled = self._reactor.callLater(0, self._read_again)

    def _read_again(self) -> None:
        self._scheduled = None
        self.doRead()

    def _deliver(self, frames) -> None:
        self._traffic.count_received(size_bytes=len(frames[-1]))
        try:
            self._on_frames(frames)
        except Exception:
            LOG.exception('failed to handle a message')
