"""Server side of connections: one bound socket with many peers."""

from collections.abc import Callable
import logging

import attrs
from twisted.internet import task
import zmq

from shallothinge import periodic
from shallothinge import wire
from shallothinge.transport import authenticator
from shallothinge.transport import keys
from shallothinge.transport import messages
from shallothinge.transport import reader
from shallothinge.transport import traffic as traffics

LOG = logging.getLogger(__name__)

QUEUE_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
HANDSHAKE_MS = 3000
PEER_RETENTION_S = 60
# If a peer loses power, only TCP keepalive probes or the time-out on
# unacknowledged data (TCP_USER_TIMEOUT) end its connection. The peer closes
# a silent connection after 2.5 s and opens a new one.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 1000 * (
    KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
)


@attrs.frozen(kw_only=True)
class Peer:
    """The other end of one connection.

    ``route`` is unique for each connection; ``role`` comes from the key
    that the peer proved to hold; the ids come from its ``Hello``.
    """

    route: bytes
    role: str
    process_id: str
    incarnation: str


class Endpoint:
    """Accepts connections of peers whose keys are trusted.

    :param on_message: called with the peer and each message, except those
        of ``transport.messages``.
    """

    def __init__(
        self,
        *,
        reactor,
        context: zmq.Context,
        address: str,
        key_pair: keys.KeyPair,
        trust: keys.Trust,
        codec: wire.Codec,
        on_message: Callable[[Peer, object], None],
        traffic: traffics.Traffic | None = None,
    ):
        self.traffic = traffic or traffics.Traffic()
        self._codec = codec
        self._trust = trust
        self._on_message = on_message
        self._reactor = reactor
        self._peers: dict[bytes, Peer] = {}
        self._last_received_s: dict[bytes, float] = {}
        self._peer_expiry = task.LoopingCall(
            periodic.run, self._remove_silent_peers
        )
        self._peer_expiry.clock = reactor
        socket = context.socket(zmq.ROUTER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.SNDHWM, QUEUE_MESSAGES)
        socket.set(zmq.RCVHWM, QUEUE_MESSAGES)
        socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.set(zmq.ROUTER_MANDATORY, 1)
        socket.set(zmq.TCP_KEEPALIVE, 1)
        socket.set(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
        socket.set(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
        socket.set(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
        socket.set(zmq.TCP_MAXRT, USER_TIMEOUT_MS)
        socket.set(zmq.CURVE_SERVER, 1)
        socket.set(zmq.CURVE_SECRETKEY, key_pair.secret.encode())
        socket.set(zmq.CURVE_PUBLICKEY, key_pair.public.encode())
        socket.set(zmq.ZAP_DOMAIN, authenticator.DOMAIN.encode())
        socket.bind(address)
        self.address = socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._reader = reader.SocketReader(
            reactor=reactor,
            socket=socket,
            on_frames=self._receive,
            traffic=self.traffic,
        )
        self._peer_expiry.start(PEER_RETENTION_S, now=False)

    def send(self, *, route: bytes, message: object) -> bool:
        """Send a message on one connection without blocking.

        :returns: False if the peer is disconnected or its queue is full.
        """
        return self._reader.send([route, self._codec.encode(message)])

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._peer_expiry.running:
            self._peer_expiry.stop()
        self._reader.close()

    def _receive(self, frames) -> None:
        route = frames[0].bytes
        role = self._role_of(frames[-1])
        if not role:
            return
        try:
            message = self._codec.decode(frames[-1].bytes)
        except wire.WireError:
            LOG.warning('dropped a malformed message', extra={'role_of': role})
            return
        self._handle(route, role, message)

    def _handle(self, route: bytes, role: str, message: object) -> None:
        if isinstance(message, messages.Hello):
            self._peers[route] = Peer(
                route=route,
                role=role,
                process_id=message.process_id,
                incarnation=message.incarnation,
            )
        peer = self._peers.get(route)
        if peer is None:
            self.send(route=route, message=messages.HelloRequested())
            return
        self._last_received_s[route] = self._reactor.seconds()
        if isinstance(message, messages.Ping):
            self.send(route=route, message=messages.Pong())
        elif not isinstance(message, messages.Hello):
            self._on_message(peer, message)

    def _remove_silent_peers(self) -> None:
        """Remove peers that sent nothing for ``PEER_RETENTION_S``."""
        now_s = self._reactor.seconds()
        for route, received_s in list(self._last_received_s.items()):
            if now_s - received_s > PEER_RETENTION_S:
                del self._last_received_s[route]
                del self._peers[route]

    def _role_of(self, frame: zmq.Frame) -> str:
        try:
            public = frame.get('User-Id')
        except zmq.ZMQError:
            return ''
        return self._trust.role_of(public=public)
