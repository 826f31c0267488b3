"""Fake transports and listeners that record what happens."""

import struct

from twisted.internet.testing import StringTransport


class Transport(StringTransport):
    """An in-memory connection.

    :ivar acked_bytes: number of bytes that the peer has acknowledged, None if
        the kernel does not report it.
    :ivar tcp_state: state of the connection in the kernel.
    """

    acked_bytes = 0
    tcp_state = 1
    was_aborted = False
    was_half_closed = False

    def setTcpNoDelay(self, enabled):
        """Take the option without effect."""

    def getHandle(self):
        """Return this object, which also stands for the socket."""
        return self

    def fileno(self):
        """Fail, since there is no descriptor."""
        raise OSError('not a socket')

    def setsockopt(self, *arguments):
        """Take the option without effect."""

    def getsockopt(self, level, option, length):
        """Return a ``struct tcp_info`` with the acknowledged bytes."""
        if self.acked_bytes is None:
            raise OSError('not supported')
        info = struct.pack('=B119xQ', self.tcp_state, self.acked_bytes)
        return info[:length]

    def abortConnection(self):
        """Record that the connection was reset."""
        self.was_aborted = True
        self.disconnecting = True

    def loseWriteConnection(self):
        """Record that the write side was closed."""
        self.was_half_closed = True


class Listener:
    """Records the callbacks of an exchange."""

    def __init__(self):
        self.head = None
        self.body = b''
        self.end = None
        self.failure = None

    @property
    def has_ended(self):
        """Return whether the answer is complete."""
        return self.end is not None

    def on_head(self, head):
        """Record the head."""
        self.head = head

    def on_data(self, data):
        """Record a piece of the body."""
        self.body += data

    def on_end(self, end):
        """Record the end."""
        self.end = end

    def on_failure(self, failure):
        """Record the failure."""
        self.failure = failure
