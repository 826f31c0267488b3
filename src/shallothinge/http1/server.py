"""HTTP/1.1 server: accepts connections and ends them at a stop."""

from collections.abc import Callable
import logging
import socket

from twisted.internet import protocol

from shallothinge import memory
from shallothinge.http1 import connection as connections
from shallothinge.http1 import early
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1 import messages

LOG = logging.getLogger(__name__)


class Site(protocol.Factory):
    """Passes requests to a handler and tracks the open connections.

    :param handle: called with each ``Exchange``.
    :param refusal: returns the headers and the body of an error answer for a
        status, if a request is refused here or its handler fails.
    :param bodies: memory for the bodies of requests until they are answered;
        over its limit, the request that exceeds it is refused.
    :ivar is_stopping: answers announce that their connections close.
    :ivar is_ended: the process ends and cuts the open connections.
    """

    def __init__(
        self,
        *,
        reactor,
        clock,
        handle: Callable[[exchanges.Exchange], None],
        refusal: Callable[[int], tuple[messages.Headers, bytes]],
        limits: messages.Limits = messages.Limits(),
        bodies: memory.Share | None = None,
    ):
        self.bodies = bodies or memory.divide().requests
        self.reactor = reactor
        self.clock = clock
        self.handle = handle
        self.refusal = refusal
        self.limits = limits
        self.is_stopping = False
        self.is_ended = False
        self.connections: set[connections.ServerConnection] = set()

    def buildProtocol(self, addr) -> connections.ServerConnection:
        """Return the protocol of a new connection."""
        connection = connections.ServerConnection(site=self)
        connection.factory = self
        self.connections.add(connection)
        return connection

    def close_idle(self, *, fresh_ms: int = 0) -> None:
        """Close the connections on which no request is in progress.

        :param fresh_ms: leave new ones open for so long, see ``is_fresh``.
        """
        for connection in list(self.connections):
            if not connection.is_fresh(fresh_ms):
                connection.close_if_idle()

    def end(self) -> None:
        """Answer or cut what is in progress, as the process ends.

        Answers are written afterwards, so leave the reactor some time.
        """
        in_progress = [one for one in self.connections if not one.is_idle]
        LOG.warning(
            'stop limit reached; ending the requests in progress',
            extra={'connection_count': len(in_progress)},
        )
        self.is_ended = True
        for connection in in_progress:
            connection.end()

    def is_drained(self, *, fresh_ms: int = 0) -> bool:
        """Return whether the process may exit without truncating an answer.

        Call ``close_idle`` first, so that idle connections are closed.

        :param fresh_ms: wait for the requests of new connections for so long.
        """
        return not any(
            connection.has_pending_output or connection.is_fresh(fresh_ms)
            for connection in self.connections
        )


def listen(
    *,
    site: Site,
    address: str,
    reactor,
    opened: socket.socket | None = None,
):
    """Listen on ``IP:PORT``; return the listening port.

    :param opened: a socket that already listens on the address, if any.
    :raises CannotListenError: if the address is in use.
    """
    if opened is not None:
        with opened:
            return reactor.adoptStreamPort(
                opened.fileno(), socket.AF_INET, site
            )
    host, _, port = address.rpartition(':')
    return reactor.listenTCP(
        int(port), site, interface=host, backlog=early.BACKLOG
    )
