"""Client side of a connection, which is reopened if it goes silent."""

from collections.abc import Callable
import logging
import secrets

import zmq

from shallothinge import clock
from shallothinge import periodic
from shallothinge import wire
from shallothinge.transport import endpoint
from shallothinge.transport import keys
from shallothinge.transport import messages
from shallothinge.transport import reader
from shallothinge.transport import traffic as traffics

LOG = logging.getLogger(__name__)

CHECK_MS = 500
# A longer interval between checks means that this process was paused.
LATE_CHECK_MS = 2 * CHECK_MS
PING_MS = 1000
SILENCE_MS = 2500
ROUTE_BYTES = 12


class Link:
    """A connection to one endpoint that is replaced when it goes silent.

    Each replacement is a new connection with a new route. ``on_reset`` is
    called after a replacement and after a restart of the endpoint, so that
    the owner can resume operations in progress.

    :param server_key: public key that the endpoint must authenticate with.
    :param on_message: called with each message from the endpoint, except
        ``Pong`` and ``HelloRequested``.
    :param on_reset: called when messages may have been lost.
    """

    def __init__(
        self,
        *,
        reactor,
        context: zmq.Context,
        address: str,
        server_key: str,
        key_pair: keys.KeyPair,
        hello: messages.Hello,
        codec: wire.Codec,
        clock: clock.Clock,
        on_message: Callable[[object], None],
        on_reset: Callable[[], None] | None = None,
        traffic: traffics.Traffic | None = None,
    ):
        self.traffic = traffic or traffics.Traffic()
        self._reactor = reactor
        self._context = context
        self._address = address
        self._server_key = server_key
        self._key_pair = key_pair
        self._hello = hello
        self._codec = codec
        self._clock = clock
        self._on_message = on_message
        self._on_reset = on_reset
        self._closed = False
        self._reader = None
        self._checked_ms = clock.now_ms()
        self._accumulated_silent_ms = 0
        self._reconnect_count = 0
        self._hello_sent = False
        self._hello_resent_ms = clock.now_ms() - PING_MS
        self._connect()
        self._timer = reactor.callLater(
            CHECK_MS / 1000, self._check_for_silence
        )

    @property
    def silent_ms(self) -> int:
        """Return the time since the last received message, in milliseconds.

        Reconnecting does not reset it, because a new connection does not
        show that the endpoint is alive. Time for which this process itself
        was paused is not counted.
        """
        checked_ms = self._clock.now_ms() - self._checked_ms
        return self._accumulated_silent_ms + min(checked_ms, LATE_CHECK_MS)

    def send(self, message: object) -> bool:
        """Send a message without blocking; nothing is queued if unconnected.

        :returns: False if the message could not be queued for the endpoint.
        """
        if not self._send_hello():
            return False
        return self._reader.send([self._codec.encode(message)])

    def close(self) -> None:
        """Close the connection."""
        if self._closed:
            return
        self._closed = True
        if self._timer.active():
            self._timer.cancel()
        self._reader.close()

    def _connect(self) -> None:
        socket = self._context.socket(zmq.DEALER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.SNDHWM, endpoint.QUEUE_MESSAGES)
        socket.set(zmq.RCVHWM, endpoint.QUEUE_MESSAGES)
        socket.set(zmq.MAXMSGSIZE, endpoint.MAX_MESSAGE_BYTES)
        socket.set(zmq.HANDSHAKE_IVL, endpoint.HANDSHAKE_MS)
        socket.set(zmq.RECONNECT_IVL, 100)
        socket.set(zmq.RECONNECT_IVL_MAX, 1000)
        socket.set(zmq.ROUTING_ID, secrets.token_bytes(ROUTE_BYTES))
        socket.set(zmq.CURVE_SERVERKEY, self._server_key.encode())
        socket.set(zmq.CURVE_PUBLICKEY, self._key_pair.public.encode())
        socket.set(zmq.CURVE_SECRETKEY, self._key_pair.secret.encode())
        socket.connect(self._address)
        self._hello_sent = False
        self._silent_since_ms = self._clock.now_ms()
        self._reader = reader.SocketReader(
            reactor=self._reactor,
            socket=socket,
            on_frames=self._receive,
            traffic=self.traffic,
        )

    def _send_hello(self) -> bool:
        if not self._hello_sent:
            self._hello_sent = self._reader.send(
                [self._codec.encode(self._hello)]
            )
        return self._hello_sent

    def _receive(self, frames) -> None:
        self._record_received()
        try:
            message = self._codec.decode(frames[-1].bytes)
        except wire.WireError:
            LOG.warning('dropped a malformed message from an endpoint')
            return
        if isinstance(message, messages.HelloRequested):
            self._resend_hello()
        elif not isinstance(message, messages.Pong):
            self._on_message(message)

    def _resend_hello(self) -> None:
        """Send ``Hello`` to a process that replaced the previous endpoint.

        The zmq socket reconnects by itself when its peer restarts, so the
        silence check may not notice. Several messages may be answered with
        ``HelloRequested`` before the new ``Hello`` arrives, so requests
        within ``PING_MS`` of the first one are ignored.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._hello_resent_ms < PING_MS:
            return
        self._hello_resent_ms = now_ms
        self._hello_sent = False
        self._send_hello()
        self._notify_reset()

    def _check_for_silence(self) -> None:
        if self._closed:
            return
        periodic.run(self._ping_or_reconnect)
        self._timer = self._reactor.callLater(
            CHECK_MS / 1000, self._check_for_silence
        )

    def _ping_or_reconnect(self) -> None:
        now_ms = self._clock.now_ms()
        self._accumulated_silent_ms = self.silent_ms
        self._checked_ms = now_ms
        if now_ms - self._silent_since_ms > SILENCE_MS:
            self._reconnect()
        if now_ms - self._silent_since_ms >= PING_MS:
            self.send(messages.Ping())

    def _reconnect(self) -> None:
        """Open a new connection.

        Logs only the 1st, 2nd, 4th, 8th, ... reconnection in a row.
        """
        self._reconnect_count += 1
        if _is_power_of_two(self._reconnect_count):
            LOG.info(
                'no message from the endpoint; opening a new connection',
                extra={
                    'address': self._address,
                    'silent_ms': self.silent_ms,
                    'replaced_count': self._reconnect_count,
                },
            )
        self._reader.close()
        self._connect()
        self._notify_reset()

    def _record_received(self) -> None:
        if self._reconnect_count:
            LOG.info(
                'the endpoint is responding again',
                extra={
                    'address': self._address,
                    'silent_ms': self.silent_ms,
                    'replaced_count': self._reconnect_count,
                },
            )
        self._reconnect_count = 0
        self._silent_since_ms = self._clock.now_ms()
        self._checked_ms = self._silent_since_ms
        self._accumulated_silent_ms = 0

    def _notify_reset(self) -> None:
        if self._on_reset is not None:
            self._on_reset()


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
