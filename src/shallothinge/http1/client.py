"""Sends requests to backend servers, each on its own connection.

The server may close a persistent connection just as a request is written to
it, and the answer to an earlier request may still arrive on it. A new
connection for each request rules out both. This module never retries a
request by itself.

A faulty backend server may send data without end. All parts of an answer are
therefore limited in size: the head, the framing of the body, and the body
itself unless its owner reads it as a stream.
"""

from collections.abc import Callable
import enum
import socket
from typing import Protocol

import attrs
import h11
from twisted.internet import error as net_errors
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

from shallothinge import clock as clocks
from shallothinge import memory
from shallothinge.http1 import answer_close
from shallothinge.http1 import messages

# If bytes stay unacknowledged or probes unanswered for this long, the host
# counts as dead or unreachable. A closed port answers at once.
DEAD_PEER_TIMEOUT_MS = 2000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# The usual limit of HTTP servers for a head. Applies to each incomplete line
# or block, including chunk headers and trailers.
MAX_HEAD_BYTES = 16 * 1024
# Limit for heads, including those of interim answers, and for the framing of
# chunks. It grows with the body, by one byte for each of the numbers below. A
# whole answer does not come in chunks of only a few bytes, but an event of a
# stream may be as short as the framing of its chunk.
FRAMING_ALLOWANCE_BYTES = 64 * 1024
BODY_BYTES_PER_FRAMING_BYTE = 8
STREAM_BYTES_PER_FRAMING_BYTE = 1
# Four times the default limit for the body of a request.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Of the share of memory for all bodies, what one of them may take.
ONE_BODY_PART = 0.5
# Bytes of an answer that the kernel keeps until they are read.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Bytes to read from a connection before others get their turn. They hold up
# to 1,365 chunks of one byte, which take some milliseconds.
READ_BYTES = 8 * 1024
# Statuses above have no class that would tell a success from a failure.
MAX_STATUS = 599
# The status that h11 suggests if a head, a chunk header or a trailer is too
# long.
TOO_LONG_HINT = 431
# Fields that state where a body ends.
_FRAMING_FIELDS = frozenset((b'content-length', b'transfer-encoding'))
ENDED = 'the connection ended too soon'
# Error details are logged and may quote what a server sent, so they are cut
# to this length.
DETAIL_CHARACTERS = 120


class FailureKind(enum.Enum):
    """How an exchange failed."""

    NOT_CONNECTED = 'not_connected'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    ENDLESS = 'endless'
    LATE = 'late'


class AnswerEnd(enum.Enum):
    """What marked the end of a complete answer.

    ``FRAMING`` is its length, its last chunk or a status without a body;
    ``CLOSE`` is the close of a connection whose answer has neither, which a
    server that breaks off may cause, too.
    """

    FRAMING = 'framing'
    CLOSE = 'close'


@attrs.frozen(kw_only=True)
class Failure:
    """Why an exchange failed to get a complete answer.

    ``was_sent`` is False only if no byte of the request was sent.
    """

    kind: FailureKind
    was_sent: bool
    detail: str = ''


class Listener(Protocol):
    """Callbacks to the owner of an exchange."""

    def on_head(self, head: messages.ResponseHead) -> None:
        """The head of the answer has arrived."""

    def on_data(self, data: bytes) -> None:
        """A piece of the body has arrived."""

    def on_end(self, end: AnswerEnd) -> None:
        """The answer is complete."""

    def on_failure(self, failure: Failure) -> None:
        """The exchange has failed; the answer will not be complete."""


@implementer(interfaces.IHalfCloseableProtocol)
class ClientExchange(protocol.Protocol):
    """Sends one request and reads one answer.

    An answer may have neither a length nor chunks and end with its connection.
    It is complete if the server has taken the whole request and does not
    reset the connection.

    The size of the body is limited unless ``read_as_stream`` was called.

    :param may_send: called once the connection is established, since the
        process may have been paused in the meantime; the request is sent only
        if it returns True.
    :param bodies: memory for the bodies of all exchanges of a process.
    """

    def __init__(
        self,
        *,
        head: messages.RequestHead,
        body: bytes,
        listener: Listener,
        may_send: Callable[[], bool] = lambda: True,
        bodies: memory.Share | None = None,
    ):
        self._bodies = bodies or memory.divide().answers
        self._may_send = may_send
        self._head = head
        self._body = body
        self._listener = listener
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._was_sent = False
        self._is_done = False
        self._is_closed = False
        self._is_stream = False
        self._is_paused = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._sent_bytes = 0
        self._is_unframed = False
        self._reactor = None
        self._close_check: answer_close.CloseCheck | None = None
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
        handle = self.transport.getHandle()
        _enable_dead_peer_detection(handle)
        handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
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
        self._sent_bytes = len(data)
        self.transport.write(data)
        if self._is_paused:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; ignore bytes after its end."""
        if self._is_done:
            return
        self._received_bytes += len(data)
        self._feed(data)
        self._bound_framing()

    def readConnectionLost(self) -> None:
        """Find out whether the end of the bytes is the end of the answer."""
        if self._is_done or self._close_check is not None:
            return
        if not self._is_unframed or self._reactor is None:
            self._end_bytes(ENDED)
            return
        self._close_check = answer_close.CloseCheck(
            transport=self.transport,
            reactor=self._reactor,
            sent_bytes=self._sent_bytes,
            has_body=bool(self._body),
            on_result=self._on_close_checked,
        )
        self._close_check.start()

    def writeConnectionLost(self) -> None:
        """Do nothing: this side never closes its direction alone."""

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Complete an answer that is framed by the close, or fail."""
        if self._is_done:
            return
        if reason.check(net_errors.ConnectionDone):
            self._end_bytes(reason.getErrorMessage())
        else:
            self._fail(FailureKind.BROKEN, reason.getErrorMessage())

    def _on_close_checked(self, cut: str) -> None:
        if cut:
            self._fail(FailureKind.BROKEN, cut)
        else:
            self._end_bytes(ENDED)

    def _end_bytes(self, detail: str) -> None:
        """Complete the answer if the end of the bytes is its end, or fail."""
        self._is_closed = True
        self._feed(b'')
        self._fail(FailureKind.BROKEN, detail)

    def not_connected(self, detail: str) -> None:
        """Fail because no connection was established and nothing sent."""
        self._fail(FailureKind.NOT_CONNECTED, detail)

    @property
    def was_sent(self) -> bool:
        """Return whether some of the request may have been sent."""
        return self._was_sent

    def read_as_stream(self) -> None:
        """Lift the limit on the body, because the owner keeps none of it."""
        self._is_stream = True
        self._bodies.drop(self)

    def pause(self) -> None:
        """Stop reading; data that was already read is still delivered."""
        self._is_paused = True
        if self.transport is not None and not self._is_done:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading."""
        self._is_paused = False
        if self.transport is not None and not self._is_done:
            self.transport.resumeProducing()

    def check_close(self, *, reactor) -> None:
        """Look for a reset where an answer ends with its connection."""
        self._reactor = reactor

    def set_timeout(self, *, reactor, duration_ms: int) -> None:
        """Fail unless the answer is complete within this time."""
        self._timer = reactor.callLater(
            duration_ms / clocks.MS_PER_SECOND, self._on_timeout
        )

    def cancel(self) -> None:
        """Abort the exchange without any further callback."""
        self._finish()
        if self.transport is not None:
            self.transport.abortConnection()

    def give_up(self, detail: str) -> None:
        """Fail because the answer is too long."""
        self._fail(FailureKind.ENDLESS, detail)

    def _on_timeout(self) -> None:
        self._timer = None
        self._fail(FailureKind.LATE, 'no whole answer in time')

    def _bound_framing(self) -> None:
        """Fail if an answer consists mostly of framing."""
        framing_bytes = self._received_bytes - self._body_bytes
        bytes_per_framing_byte = (
            STREAM_BYTES_PER_FRAMING_BYTE
            if self._is_stream
            else BODY_BYTES_PER_FRAMING_BYTE
        )
        allowed_bytes = (
            FRAMING_ALLOWANCE_BYTES
            + self._body_bytes // bytes_per_framing_byte
        )
        if framing_bytes > allowed_bytes:
            self.give_up(
                f'{framing_bytes} bytes frame {self._body_bytes} of body'
            )

    def _bound_body(self, count_bytes: int) -> None:
        if self._is_stream:
            return
        most_bytes = min(
            MAX_BODY_BYTES, int(ONE_BODY_PART * self._bodies.limit_bytes)
        )
        if self._body_bytes > most_bytes:
            self.give_up(f'the body exceeds {most_bytes} bytes')
            return
        longest = self._bodies.add(self, count_bytes)
        if longest is not None:
            longest.give_up(
                f'answers hold over {self._bodies.limit_bytes} bytes'
            )

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
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            # h11 also reports a close before the end of the body as a
            # protocol error; either way the answer is incomplete.
            kind = FailureKind.MALFORMED if data else FailureKind.BROKEN
            if error.error_status_hint == TOO_LONG_HINT:
                kind = FailureKind.ENDLESS
            self._fail(kind, str(error))

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                # No client knows what such an answer means.
                self._fail(
                    FailureKind.MALFORMED, f'status {event.status_code}'
                )
                return
            self._is_unframed = not _FRAMING_FIELDS.intersection(
                name for name, _ in event.headers
            )
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
            self._listener.on_end(
                AnswerEnd.CLOSE if self._is_closed else AnswerEnd.FRAMING
            )

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
        """Mark the exchange as done, so that no more callbacks follow."""
        self._is_done = True
        self._bodies.drop(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self._close_check is not None:
            self._close_check.stop()


class _Factory(protocol.ClientFactory):
    """Creates the connection of one exchange."""

    noisy = False

    def __init__(self, *, exchange: ClientExchange):
        self._exchange = exchange

    def buildProtocol(self, addr) -> ClientExchange:
        """Return the exchange."""
        return self._exchange

    def clientConnectionFailed(self, connector, reason) -> None:
        """Fail the exchange; nothing was sent."""
        self._exchange.not_connected(reason.getErrorMessage())


class HttpClient:
    """Sends requests to backend servers.

    :param connect_timeout_ms: time limit for establishing a connection.
    :param bodies: memory for the bodies of unfinished answers; over its
        limit, the exchange with the longest body fails.
    """

    def __init__(
        self,
        *,
        reactor,
        connect_timeout_ms: int,
        bodies: memory.Share | None = None,
    ):
        self._reactor = reactor
        self._connect_timeout_ms = connect_timeout_ms
        self._bodies = bodies or memory.divide().answers

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

        :param within_ms: time limit for the whole exchange; None if the owner
            watches the time itself.
        :returns: the exchange, which the owner may cancel.
        """
        exchange = ClientExchange(
            head=head,
            body=body,
            listener=listener,
            may_send=may_send,
            bodies=self._bodies,
        )
        exchange.check_close(reactor=self._reactor)
        if within_ms is not None:
            exchange.set_timeout(reactor=self._reactor, duration_ms=within_ms)
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


def _enable_dead_peer_detection(handle: socket.socket) -> None:
    """Let the kernel close the connection if the host is unreachable."""
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT_MS
    )
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S
    )
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
