"""HTTP connections of callers, with limits on size and time.

A request that breaks a limit is answered with the error's JSON body, and
its connection is closed; other connections go on.
"""

import io

from twisted.web import http
from twisted.web import server

from shallothinge import errors
from shallothinge import memory
from shallothinge.entry import answers
from shallothinge.errors import ErrorKind
from shallothinge.settings.model import HttpSettings

LINGER_MS = 1000
IDLE_MS = 75_000


class CallerRequest(server.Request):
    """A request whose body is kept in memory, up to the size limit."""

    def gotLength(self, length):
        """Refuse a body that is announced as too large."""
        self.content = io.BytesIO()
        if length is not None:
            self.channel.check_body_bytes(length)

    def handleContentChunk(self, data):
        """Keep a part of the body, unless it becomes too large."""
        total_bytes = self.content.tell() + len(data)
        if self.channel.check_body_bytes(total_bytes, len(data)):
            super().handleContentChunk(data)


class CallerChannel(http.HTTPChannel):
    """One connection of a caller; the site sets its limits."""

    def __init__(self):
        super().__init__()
        self.limits = HttpSettings(address='')
        self.bodies = memory.divide().requests
        self._rejected = False
        self._receiving = None
        self._lingering = None

    def apply_limits(
        self, limits: HttpSettings, *, bodies: memory.Share
    ) -> None:
        """Set the limits, before the first byte is read.

        :param bodies: memory for the bodies of requests until they are
            answered.
        """
        self.limits = limits
        self.bodies = bodies
        self.totalHeadersSize = limits.max_header_bytes
        self.MAX_LENGTH = limits.max_header_bytes

    def dataReceived(self, data):
        """Take bytes; the first ones start the time of a request."""
        if self._rejected:
            return
        if self._receiving is None and not self._handlingRequest:
            self._receiving = self.callLater(
                self.limits.request_timeout_ms / 1000, self._too_slow
            )
        super().dataReceived(data)

    def rawDataReceived(self, data):
        """Take bytes of the body, unless the request was refused."""
        if not self._rejected:
            super().rawDataReceived(data)

    def allContentReceived(self):
        """Hand the whole request over, unless it was refused."""
        self._stop_timer()
        if not self._rejected:
            super().allContentReceived()

    def connectionLost(self, reason):
        """Stop the timers."""
        self._stop_timer()
        self.bodies.drop(self)
        _cancel(self._lingering)
        super().connectionLost(reason)

    def requestDone(self, request):
        """Go on after an answer; the request's body is no longer held."""
        self.bodies.drop(self)
        super().requestDone(request)

    def check_body_bytes(self, total_bytes: int, count_bytes: int = 0) -> bool:
        """Return whether a body size is allowed; refuse if it is not.

        :param count_bytes: bytes of it that have just arrived.
        """
        if total_bytes <= self.limits.max_body_bytes:
            if self.bodies.add(self, count_bytes) is None:
                return True
            self.reject(
                kind=ErrorKind.OVERLOADED, detail='memory for bodies is full'
            )
            return False
        self.reject(
            kind=ErrorKind.BODY_TOO_LARGE,
            detail=f'allowed are {self.limits.max_body_bytes} bytes',
        )
        return False

    def lineLengthExceeded(self, line):
        """Refuse a header line that is too long."""
        self._reject_headers()

    def lineReceived(self, line):
        """Take a header line, up to the size limit of all headers."""
        if self._rejected:
            return
        total_bytes = self._receivedHeaderSize + len(line)
        if total_bytes > self.limits.max_header_bytes:
            self._reject_headers()
            return
        super().lineReceived(line)

    def _reject_headers(self) -> None:
        self.reject(
            kind=ErrorKind.BAD_REQUEST,
            detail=(
                'the headers exceed ' f'{self.limits.max_header_bytes} bytes'
            ),
        )

    def _respondToBadRequestAndDisconnect(self):
        self.reject(
            kind=ErrorKind.BAD_REQUEST, detail='this is not valid HTTP/1.1'
        )

    def _too_slow(self) -> None:
        self._receiving = None
        self.reject(
            kind=ErrorKind.SLOW_CALLER,
            detail=(
                'a whole request must arrive within '
                f'{self.limits.request_timeout_ms} ms'
            ),
        )

    def reject(self, *, kind: ErrorKind, detail: str) -> None:
        """Answer a request that was not taken, and close.

        What the caller still sends is read and dropped for a while, so
        that the answer is not lost with the connection.
        """
        if self._rejected:
            return
        self._rejected = True
        self.bodies.drop(self)
        self._stop_timer()
        reply = answers.error_reply(
            error=errors.ServingError(kind=kind, detail=detail),
            request_id='',
        )
        self.transport.write(_response_bytes(reply))
        self._lingering = self.callLater(
            LINGER_MS / 1000, self.transport.loseConnection
        )

    def _stop_timer(self) -> None:
        timer, self._receiving = self._receiving, None
        _cancel(timer)


def _cancel(timer) -> None:
    if timer is not None and timer.active():
        timer.cancel()


def _response_bytes(reply: answers.ErrorReply) -> bytes:
    reason = http.RESPONSES.get(reply.http_status, b'Error').decode()
    lines = [
        f'HTTP/1.1 {reply.http_status} {reason}',
        'Content-Type: application/json',
        f'Content-Length: {len(reply.body)}',
        'Connection: close',
    ]
    if reply.retry_after_s:
        lines.append(f'Retry-After: {reply.retry_after_s}')
    return '\r\n'.join((*lines, '', '')).encode() + reply.body


class CallerSite(server.Site):
    """Listens for callers; HTTP/1.1 only."""

    protocol = CallerChannel

    def __init__(
        self,
        *,
        root,
        limits: HttpSettings,
        reactor,
        bodies: memory.Share | None = None,
    ):
        super().__init__(
            root,
            requestFactory=CallerRequest,
            timeout=IDLE_MS / 1000,
            reactor=reactor,
            parsePOSTFormSubmission=False,
        )
        self._limits = limits
        self._bodies = bodies or memory.divide().requests

    def buildProtocol(self, addr):
        """Return a connection with the limits applied."""
        channel = super().buildProtocol(addr)
        channel.callLater = self.reactor.callLater
        channel.apply_limits(self._limits, bodies=self._bodies)
        return channel

    def acceptableProtocols(self):
        """Return the protocols offered in a TLS handshake."""
        return [b'http/1.1']
