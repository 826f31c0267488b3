"""One request to a backend server, on a connection of its own.

A kept connection may be closed by the other side just as a request is
written to it, and an answer to an earlier request may still arrive on it. A
new connection for each request rules out both, and nothing here sends a
request a second time by itself.

A backend server in trouble may send without end, so all that is read of an
answer is bounded here: its head, what frames its body, and the body itself
unless its owner reads it as a stream.
"""

from collections.abc import Callable
import enum
import socket
from typing import Protocol

import attrs
import h11
from twisted.internet import error as net_errors
from twisted.internet import protocol

from shallothinge import clock as clocks
from shallothinge.http1 import messages

# Unacknowledged bytes or unanswered probes for this long mean that the host
# is dead or behind a cut; a closed port answers at once.
DEAD_PEER_MS = 2000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# The usual limit of servers for a head; applies to each line or block that
# is not complete, also of a chunk or a trailer.
HEAD_BYTES = 16 * 1024
# Heads, also of interim answers, and what frames chunks may be so much, and
# more with a longer body: no answer comes in chunks of a few bytes only, but
# an event of a stream may be as short as the frame of its chunk.
FRAMING_BYTES = 64 * 1024
ANSWER_BYTES_PER_FRAMING = 8
STREAM_BYTES_PER_FRAMING = 1
# Four times what a caller may send by the usual limits of the platform.
BODY_BYTES = 16 * 1024 * 1024
# Bodies that are being read, in all answers together: sixteen of the longest.
# Beyond this the longest is given up.
HELD_BYTES = 16 * BODY_BYTES
# Other connections get their turn after so much of an answer: 1,365 chunks of
# one byte, some milliseconds.
READ_BYTES = 8 * 1024
# What h11 says of a head, a chunk's frame or a trailer that is too long.
TOO_LONG_HINT = 431
# Of what a server sent, so much goes into the log.
DETAIL_CHARACTERS = 120


class FailureKind(enum.Enum):
    """How an exchange failed."""

    NOT_CONNECTED = 'not_connected'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    ENDLESS = 'endless'
    LATE = 'late'


@attrs.frozen(kw_only=True)
class Failure:
    """Why there is no whole answer.

    ``was_sent`` is False only if not one byte of the request left.
    """

    kind: FailureKind
    was_sent: bool
    detail: str = ''


class Listener(Protocol):
    """What the owner of an exchange is told."""

    def on_head(self, head: messages.ResponseHead) -> None:
        """The head of the answer has arrived."""

    def on_data(self, data: bytes) -> None:
        """A piece of the body has arrived."""

    def on_end(self) -> None:
        """The answer is complete."""

    def on_failure(self, failure: Failure) -> None:
        """There will be no whole answer."""


class Held:
    """How much of the bodies of unfinished answers a process holds."""

    def __init__(self):
        self._bytes: dict['ClientExchange', int] = {}
        self._total_bytes = 0

    def add(self, exchange: 'ClientExchange', count_bytes: int) -> None:
        """Note more of a body; give up the longest if it is too much."""
        self._bytes[exchange] = self._bytes.get(exchange, 0) + count_bytes
        self._total_bytes += count_bytes
        if self._total_bytes > HELD_BYTES:
            longest = max(self._bytes, key=self._bytes.__getitem__)
            longest.give_up(f'answers hold over {HELD_BYTES} bytes')

    def drop(self, exchange: 'ClientExchange') -> None:
        """Forget a body that is handed over or given up."""
        self._total_bytes -= self._bytes.pop(exchange, 0)


class ClientExchange(protocol.Protocol):
    """Sends one request and reads one answer.

    The body is bounded unless ``read_as_stream`` was called.

    :param may_send: asked once the connection stands, since the process may
        have been paused meanwhile.
    :param held: shared by the exchanges of a process.
    """

    def __init__(
        self,
        *,
        head: messages.RequestHead,
        body: bytes,
        listener: Listener,
        may_send: Callable[[], bool] = lambda: True,
        held: Held | None = None,
    ):
        self._held = held or Held()
        self._may_send = may_send
        self._head = head
        self._body = body
        self._listener = listener
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_BYTES
        )
        self._was_sent = False
        self._is_done = False
        self._is_stream = False
        self._is_paused = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._timer = None

    def connectionMade(self) -> None:
        """Send the request."""
        if self._is_done:
            self.transport.abortConnection()
            return
        if not self._may_send():
            self.not_connected('no right to send any more')
            return
        self.transport.bufferSize = READ_BYTES
        self.transport.setTcpNoDelay(True)
        _watch_for_dead_peer(self.transport.getHandle())
        fields = messages.encode(
            (
                *self._head.headers,
                ('connection', 'close'),
                *_length_fields(self._head.method, self._body),
            )
        )
        request = h11.Request(
            method=self._head.method, target=self._head.target, headers=fields
        )
        data = self._http.send(request)
        if self._body:
            data += self._http.send(h11.Data(data=self._body))
        data += self._http.send(h11.EndOfMessage())
        self._was_sent = True
        self.transport.write(data)
        if self._is_paused:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; bytes after its end belong to nothing."""
        if self._is_done:
            return
        self._received_bytes += len(data)
        self._feed(data)
        self._bound_framing()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """End an answer that lasts until its connection closes."""
        if self._is_done:
            return
        if reason.check(net_errors.ConnectionDone):
            self._feed(b'')
        self._fail(FailureKind.BROKEN, reason.getErrorMessage())

    def not_connected(self, detail: str) -> None:
        """There is no connection, so nothing was sent."""
        self._fail(FailureKind.NOT_CONNECTED, detail)

    @property
    def was_sent(self) -> bool:
        """Return whether some of the request may have left."""
        return self._was_sent

    def read_as_stream(self) -> None:
        """Let the body go on: its owner keeps none of it."""
        self._is_stream = True
        self._held.drop(self)

    def pause(self) -> None:
        """Read no more for now; what was read before is still told."""
        self._is_paused = True
        if self.transport is not None and not self._is_done:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        self._is_paused = False
        if self.transport is not None and not self._is_done:
            self.transport.resumeProducing()

    def expect_within(self, *, reactor, duration_ms: int) -> None:
        """Fail unless the answer is whole within a time."""
        self._timer = reactor.callLater(
            duration_ms / clocks.MS_PER_SECOND, self._on_late
        )

    def cancel(self) -> None:
        """Drop the exchange; nothing more is told."""
        self._finish()
        if self.transport is not None:
            self.transport.abortConnection()

    def give_up(self, detail: str) -> None:
        """Drop an answer that is too long."""
        self._fail(FailureKind.ENDLESS, detail)

    def _on_late(self) -> None:
        self._timer = None
        self._fail(FailureKind.LATE, 'no whole answer in time')

    def _bound_framing(self) -> None:
        """Give up an answer of which next to nothing is body."""
        framing_bytes = self._received_bytes - self._body_bytes
        body_per_framing = (
            STREAM_BYTES_PER_FRAMING
            if self._is_stream
            else ANSWER_BYTES_PER_FRAMING
        )
        allowed_bytes = FRAMING_BYTES + self._body_bytes // body_per_framing
        if framing_bytes > allowed_bytes:
            self.give_up(
                f'{framing_bytes} bytes frame {self._body_bytes} of body'
            )

    def _bound_body(self, count_bytes: int) -> None:
        if self._is_stream:
            return
        if self._body_bytes > BODY_BYTES:
            self.give_up(f'the body exceeds {BODY_BYTES} bytes')
        else:
            self._held.add(self, count_bytes)

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while not self._is_done:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return
                if event is h11.PAUSED or isinstance(
                    event, h11.ConnectionClosed
                ):
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            # A close before the end of the body also counts as malformed
            # to h11; both mean that the answer is not whole.
            kind = FailureKind.MALFORMED if data else FailureKind.BROKEN
            if error.error_status_hint == TOO_LONG_HINT:
                kind = FailureKind.ENDLESS
            self._fail(kind, str(error))

    def _take(self, event) -> None:
        if isinstance(event, h11.Response):
            self._listener.on_head(
                messages.ResponseHead(
                    status=event.status_code,
                    headers=messages.decode(event.headers),
                )
            )
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            self._bound_body(len(event.data))
            if not self._is_done:
                self._listener.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
            self.transport.loseConnection()
            self._listener.on_end()

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if self._is_done:
            return
        self._finish()
        if self.transport is not None:
            self.transport.abortConnection()
        self._listener.on_failure(
            Failure(
                kind=kind,
                was_sent=self._was_sent,
                detail=detail[:DETAIL_CHARACTERS],
            )
        )

    def _finish(self) -> None:
        """Tell nothing more."""
        self._is_done = True
        self._held.drop(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class _Factory(protocol.ClientFactory):
    """Connects one exchange."""

    noisy = False

    def __init__(self, *, exchange: ClientExchange):
        self._exchange = exchange

    def buildProtocol(self, addr) -> ClientExchange:
        """Return the exchange."""
        return self._exchange

    def clientConnectionFailed(self, connector, reason) -> None:
        """Tell that nothing was sent."""
        self._exchange.not_connected(reason.getErrorMessage())


class Caller:
    """Sends requests to backend servers.

    :param connect_timeout_ms: how long a connection may take.
    """

    def __init__(self, *, reactor, connect_timeout_ms: int):
        self._reactor = reactor
        self._connect_timeout_ms = connect_timeout_ms
        self._held = Held()

    def call(
        self,
        *,
        address: str,
        head: messages.RequestHead,
        body: bytes,
        listener: Listener,
        may_send: Callable[[], bool] = lambda: True,
        within_ms: int | None = None,
    ) -> ClientExchange:
        """Send a request to ``IP:PORT``.

        :param within_ms: time for all of it; None if the owner keeps it.
        :returns: the exchange, to cancel it.
        """
        exchange = ClientExchange(
            head=head,
            body=body,
            listener=listener,
            may_send=may_send,
            held=self._held,
        )
        if within_ms is not None:
            exchange.expect_within(
                reactor=self._reactor, duration_ms=within_ms
            )
        host, _, port = address.rpartition(':')
        self._reactor.connectTCP(
            host,
            int(port),
            _Factory(exchange=exchange),
            timeout=self._connect_timeout_ms / clocks.MS_PER_SECOND,
        )
        return exchange


def _length_fields(method: str, body: bytes) -> messages.Headers:
    if not body and method in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
        return ()
    return (('content-length', str(len(body))),)


def _watch_for_dead_peer(handle: socket.socket) -> None:
    """Let the kernel end a connection to a host that is gone."""
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_MS
    )
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S
    )
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
