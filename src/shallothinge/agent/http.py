"""HTTP requests to the backend server, each sent at most once.

Each request has a connection of its own, unless the client is made for
polls. A request that did not leave this process fails with ``NotSent``;
any other failure leaves open whether the backend server ran it.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

CONNECT_TIMEOUT_MS = 2000
IDLE_CONNECTION_MS = 10_000
MAX_BODY_BYTES = 16 * 1024 * 1024


class NotSent(Exception):
    """The request did not leave this process."""


class BodyTooLarge(Exception):
    """The answer's body exceeds the size limit."""


@attrs.frozen(kw_only=True)
class Answer:
    """A whole HTTP answer; ``retry_after_ms`` is 0 if it names none."""

    status: int
    content_type: str
    retry_after_ms: int
    body: bytes


class BodyReceiver(Protocol):
    """Takes the body of an answer piece by piece."""

    def received(self, data: bytes) -> None:
        """Take the next bytes of the body."""

    def ended(self) -> None:
        """Learn that no more bytes follow, for whatever reason."""


def always() -> bool:
    """Return that a request may be sent."""
    return True


@implementer(interfaces.IStreamClientEndpoint)
class _GuardedEndpoint:
    """Asks for permission after connecting, right before the request.

    A process may be frozen while it connects, so that a check made before
    the connection says nothing about the moment of sending.
    """

    def __init__(self, *, endpoint, may_send: Callable[[], bool]):
        self._endpoint = endpoint
        self._may_send = may_send

    def connect(self, factory) -> defer.Deferred:
        """Connect; fails with ``NotSent`` only."""
        connected = self._endpoint.connect(factory)
        connected.addCallbacks(self._check, self._fail)
        return connected

    def _check(self, connected):
        if not self._may_send():
            connected.transport.abortConnection()
            raise NotSent('the permission to send ended')
        return connected

    def _fail(self, failure):
        raise NotSent(failure.getErrorMessage())


@implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Makes guarded TCP endpoints."""

    def __init__(self, *, reactor, may_send: Callable[[], bool]):
        self._reactor = reactor
        self._may_send = may_send

    def endpointForURI(self, uri):
        """Return the endpoint to connect to for an address."""
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=CONNECT_TIMEOUT_MS / 1000,
        )
        return _GuardedEndpoint(endpoint=endpoint, may_send=self._may_send)


@implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a body that is in memory."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer) -> defer.Deferred:
        """Write the whole body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body is written already."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written already."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written already."""


class _BodyProtocol(protocol.Protocol):
    """Hands the body to a receiver."""

    def __init__(self, receiver: BodyReceiver):
        self._receiver = receiver

    def dataReceived(self, data: bytes) -> None:
        """Pass the bytes on."""
        self._receiver.received(data)

    def connectionLost(self, reason) -> None:
        """Tell the receiver that the body ended."""
        self._receiver.ended()


class _Collector(protocol.Protocol):
    """Collects a body of bounded size."""

    def __init__(self):
        self._parts = []
        self._size_bytes = 0
        self.collected = defer.Deferred(self._cancel)

    def dataReceived(self, data: bytes) -> None:
        """Keep the bytes, up to the limit."""
        self._parts.append(data)
        self._size_bytes += len(data)
        if self._size_bytes > MAX_BODY_BYTES:
            self._finish(BodyTooLarge('the answer exceeds the size limit'))
            self._abort()

    def connectionLost(self, reason) -> None:
        """Give the body if it is whole, else the failure."""
        if reason.check(client.ResponseDone):
            self._finish(b''.join(self._parts))
        else:
            self._finish(reason)

    def _finish(self, result) -> None:
        collected, self.collected = self.collected, None
        if collected is None:
            return
        if isinstance(result, bytes):
            collected.callback(result)
        else:
            collected.errback(result)

    def _cancel(self, deferred) -> None:
        self.collected = None
        self._abort()

    def _abort(self) -> None:
        abort_connection(self.transport)


def abort_connection(transport) -> None:
    """Drop the connection under a body, if there is one."""
    if transport is None:
        return
    abort = getattr(transport, 'abortConnection', None)
    if abort is None:
        abort = transport.loseConnection
    abort()


def _retry_after_ms(headers: http_headers.Headers) -> int:
    values = headers.getRawHeaders('Retry-After', ['0'])
    try:
        return max(0, int(float(values[0]) * 1000))
    except ValueError:
        return 0


@defer.inlineCallbacks
def _collect(response):
    collector = _Collector()
    collected = collector.collected
    response.deliverBody(collector)
    body = yield collected
    types = response.headers.getRawHeaders('Content-Type', [''])
    return Answer(
        status=response.code,
        content_type=types[0],
        retry_after_ms=_retry_after_ms(response.headers),
        body=body,
    )


def collect(*, response, reactor, timeout_ms: int) -> defer.Deferred:
    """Collect the rest of a response; fires with an ``Answer``."""
    collected = _collect(response)
    collected.addTimeout(timeout_ms / 1000, reactor)
    return collected


class HttpClient:
    """Sends requests to one backend server.

    :param url: address of the backend server.
    :param persistent: whether to keep connections for further requests;
        only for polls, since the other end may drop a kept connection
        while a request is on its way.
    """

    def __init__(self, *, reactor, url: str, persistent: bool = False):
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._pool = client.HTTPConnectionPool(reactor, persistent=persistent)
        self._asked: set[defer.Deferred] = set()
        self._pool.retryAutomatically = False
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_MS / 1000

    def open(
        self,
        *,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] = always,
    ) -> defer.Deferred:
        """Send a request.

        :param may_send: asked right before the request is written.
        :returns: fires with the response as soon as its headers are there;
            fails with ``NotSent`` if the request never left.
        """
        factory = _EndpointFactory(reactor=self._reactor, may_send=may_send)
        agent = client.Agent.usingEndpointFactory(
            self._reactor, factory, self._pool
        )
        fields = http_headers.Headers()
        for name, value in (headers or {}).items():
            fields.addRawHeader(name, value)
        try:
            return agent.request(
                method.encode(),
                (self._url + path).encode(),
                fields,
                _BytesProducer(body) if body else None,
            )
        except ValueError as error:
            return defer.fail(NotSent(str(error)))

    @defer.inlineCallbacks
    def _ask(self, **request):
        response = yield self.open(**request)
        answer = yield _collect(response)
        return answer

    def ask(self, *, timeout_ms: int, **request) -> defer.Deferred:
        """Send a request and collect the whole answer.

        :param timeout_ms: time for all of it, in milliseconds.
        :param request: as for ``open``.
        :returns: fires with an ``Answer``.
        """
        asked = self._ask(**request)
        asked.addTimeout(timeout_ms / 1000, self._reactor)
        self._asked.add(asked)
        asked.addBoth(self._forget, asked)
        return asked

    def _forget(self, result, asked: defer.Deferred):
        self._asked.discard(asked)
        return result

    def close(self) -> defer.Deferred:
        """Give up what is asked and drop the kept connections."""
        for asked in list(self._asked):
            asked.cancel()
        return self._pool.closeCachedConnections()


def deliver_body(*, response, receiver: BodyReceiver) -> protocol.Protocol:
    """Hand a response's body to a receiver as it arrives.

    :returns: the protocol whose transport can be aborted.
    """
    body = _BodyProtocol(receiver)
    response.deliverBody(body)
    return body
