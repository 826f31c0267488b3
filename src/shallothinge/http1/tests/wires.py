"""In-memory connections to backend servers that a test simulates."""

import json

import attrs
from twisted.internet import error as net_errors
from twisted.internet import task
from twisted.python import failure

from shallothinge.http1.tests import fakes

DONE = failure.Failure(net_errors.ConnectionDone())
LOST = failure.Failure(net_errors.ConnectionLost())
READ_BYTES = 64 * 1024


@attrs.define(kw_only=True, eq=False)
class Wire:
    """One connection to a backend server.

    :ivar poured_bytes: number of bytes that the client has accepted.
    """

    address: str
    protocol: object
    transport: fakes.Transport
    poured_bytes: int = 0

    @property
    def request(self):
        """Return the bytes that the client has sent."""
        return self.transport.value()

    @property
    def target(self):
        """Return the target of the request."""
        return self.request.split(b' ', 2)[1].decode()

    @property
    def order(self):
        """Return the fields of a JSON order in the body, or {}."""
        body = self.request.partition(b'\r\n\r\n')[2]
        return json.loads(body) if body.startswith(b'{') else {}

    @property
    def is_read(self):
        """Return whether the client still reads from the connection."""
        return (
            not self.transport.disconnecting
            and self.transport.producerState == 'producing'
        )

    def send(self, data):
        """Send bytes in pieces, as a kernel delivers them."""
        for start in range(0, len(data), READ_BYTES):
            if not self.is_read:
                return
            piece = data[start : start + READ_BYTES]
            self.poured_bytes += len(piece)
            self.protocol.dataReceived(piece)

    def close(self):
        """Close the connection."""
        self.protocol.connectionLost(DONE)

    def close_badly(self):
        """Reset the connection."""
        self.protocol.connectionLost(LOST)

    def pour(self, first, again, *, most_bytes):
        """Send the first bytes, then repeat others up to a limit.

        :param most_bytes: limit for all bytes on this connection.
        :returns: whether the client stopped reading before the limit.
        """
        self.send(first)
        piece = again * max(1, READ_BYTES // len(again))
        while self.is_read and self.poured_bytes < most_bytes:
            self.send(piece)
        return not self.is_read


class Reactor(task.Clock):
    """A reactor with a manual clock and in-memory connections."""

    def __init__(self):
        super().__init__()
        self.wires = []

    def connectTCP(self, host, port, factory, timeout, bindAddress=None):
        """Connect in the next iteration."""
        self.callLater(0, self._connect, f'{host}:{port}', factory)

    def _connect(self, address, factory):
        wire = Wire(
            address=address,
            protocol=factory.buildProtocol(None),
            transport=fakes.Transport(),
        )
        self.wires.append(wire)
        wire.protocol.makeConnection(wire.transport)
