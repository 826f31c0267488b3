"""The connecting end of a connection, watched for silence."""

from collections.abc import Callable
import logging
import secrets

import zmq

from shallothinge import clock
from shallothinge import wire
from shallothinge.transport import endpoint
from shallothinge.transport import keys
from shallothinge.transport import messages
from shallothinge.transport import reader
from shallothinge.transport import traffic as traffics

LOG = logging.getLogger(__name__)

CHECK_MS = 500
# Checks that come later than this show that this process stood still.
LATE_CHECK_MS = 2 * CHECK_MS
PING_MS = 1000
SILENCE_MS = 2500
ROUTE_BYTES = 12


class Link:
    """A connection to one endpoint that is replaced when it goes silent.

    Each replacement is a new connection under a new route; ``on_reset`` is
    called then, and when the other end was restarted, so that the owner can
    resume what was under way.

    :param server_key: public key that the endpoint must prove to hold.
    :param on_message: called with each message of the endpoint.
    :param on_reset: called when the other end may have lost messages.
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
        self._counted_silent_ms = 0
        self._replaced_count = 0
        self._greeted = False
        self._greeted_again_ms = clock.now_ms() - PING_MS
        self._connect()
        self._timer = reactor.callLater(
            CHECK_MS / 1000, self._check_for_silence
        )

    @property
    def silent_ms(self) -> int:
        """Return how long nothing was heard, in milliseconds.

        Counts on through replacements: a new connection is no sign of life.
        Leaves out the time for which this process itself stood still.
        """
        checked_ms = self._clock.now_ms() - self._checked_ms
        return self._counted_silent_ms + min(checked_ms, LATE_CHECK_MS)

    def send(self, message: object) -> bool:
        """Send without waiting and without queueing while unconnected.

        :returns: False if the message did not leave this process.
        """
        if not self._greet():
            return False
        return self._reader.send([self._codec.encode(message)])

    def close(self) -> None:
        """Drop the connection."""
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
        self._greeted = False
        self._quiet_since_ms = self._clock.now_ms()
        self._reader = reader.SocketReader(
            reactor=self._reactor,
            socket=socket,
            on_frames=self._receive,
            traffic=self.traffic,
        )

    def _greet(self) -> bool:
        if not self._greeted:
            self._greeted = self._reader.send(
                [self._codec.encode(self._hello)]
            )
        return self._greeted

    def _receive(self, frames) -> None:
        self._note_heard()
        try:
            message = self._codec.decode(frames[-1].bytes)
        except wire.WireError:
            LOG.warning('dropped a malformed message from an endpoint')
            return
        if isinstance(message, messages.HelloRequested):
            self._greet_again()
        elif not isinstance(message, messages.Pong):
            self._on_message(message)

    def _greet_again(self) -> None:
        """Greet the process that took the place of the one greeted before.

        The socket connects again by itself when its peer is restarted, so
        there was no silence to notice. Several messages may have been
        answered so before the greeting arrives; the first one counts.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._greeted_again_ms < PING_MS:
            return
        self._greeted_again_ms = now_ms
        self._greeted = False
        self._greet()
        self._tell_reset()

    def _check_for_silence(self) -> None:
        if self._closed:
            return
        now_ms = self._clock.now_ms()
        self._counted_silent_ms = self.silent_ms
        self._checked_ms = now_ms
        if now_ms - self._quiet_since_ms > SILENCE_MS:
            self._replace()
        if now_ms - self._quiet_since_ms >= PING_MS:
            self.send(messages.Ping())
        self._timer = self._reactor.callLater(
            CHECK_MS / 1000, self._check_for_silence
        )

    def _replace(self) -> None:
        """Open a new connection, logging it at 1, 2, 4, 8, ... in a row."""
        self._replaced_count += 1
        if _is_power_of_two(self._replaced_count):
            LOG.info(
                'connection is silent; opening a new one',
                extra={
                    'address': self._address,
                    'silent_ms': self.silent_ms,
                    'replaced_count': self._replaced_count,
                },
            )
        self._reader.close()
        self._connect()
        self._tell_reset()

    def _note_heard(self) -> None:
        if self._replaced_count:
            LOG.info(
                'a silent connection is heard again',
                extra={
                    'address': self._address,
                    'silent_ms': self.silent_ms,
                    'replaced_count': self._replaced_count,
                },
            )
        self._replaced_count = 0
        self._quiet_since_ms = self._clock.now_ms()
        self._checked_ms = self._quiet_since_ms
        self._counted_silent_ms = 0

    def _tell_reset(self) -> None:
        if self._on_reset is not None:
            self._on_reset()


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
