"""HTTP requests to the backend server, each sent at most once.

Each request has a connection of its own. A request that did not leave this
process fails with ``NotSent``; any other failure leaves open whether the
backend server ran it. What is read of an answer is bounded by
``http1/client.py``.
"""

from collections.abc import Callable
from typing import Protocol
import urllib.parse

import attrs
from twisted.internet import defer

from shallothinge import memory
from shallothinge.http1 import client
from shallothinge.http1 import messages

CONNECT_TIMEOUT_MS = 2000
DEFAULT_PORT = 80


class NotSent(Exception):
    """The request did not leave this process."""


class Broken(Exception):
    """There is no whole answer."""


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


class _Collector:
    """Collects a body and fires with it if it is whole."""

    def __init__(self, *, cancel: Callable[[], None]):
        self._body = bytearray()
        self.collected = defer.Deferred(lambda _: cancel())

    def received(self, data: bytes) -> None:
        """Keep the bytes."""
        self._body += data

    def ended(self, why_not: str = '') -> None:
        """Give the body, or the failure."""
        body, self._body = self._body, bytearray()
        if why_not:
            self.collected.errback(Broken(why_not))
        else:
            self.collected.callback(bytes(body))


class Response:
    """An answer whose head is there, with its body to come.

    :ivar opened: fires with this as soon as the head is there.
    """

    def __init__(self):
        self._exchange: client.ClientExchange | None = None
        self._head: messages.ResponseHead | None = None
        self._early = bytearray()
        self._receiver = None
        self._why_not: str | None = None
        self.opened = defer.Deferred(self._cancel_opening)

    @property
    def code(self) -> int:
        """Return the status."""
        return self._head.status

    def follow(self, exchange: client.ClientExchange) -> None:
        """Keep the exchange that this is the answer of."""
        self._exchange = exchange

    def deliver(self, receiver: BodyReceiver) -> None:
        """Hand the body on as it arrives, for as long as it goes on."""
        self._exchange.read_as_stream()
        self._deliver(receiver, lambda why_not: receiver.ended())

    def collect(self) -> defer.Deferred:
        """Collect a bounded body; fires with an ``Answer``."""
        collector = _Collector(cancel=self.abort)
        self._deliver(collector, collector.ended)
        return collector.collected.addCallback(self._answer)

    def abort(self) -> None:
        """Drop the connection; nothing more is told."""
        self._exchange.cancel()

    def on_head(self, head: messages.ResponseHead) -> None:
        """Tell that the answer has begun."""
        self._head = head
        self.opened.callback(self)

    def on_data(self, data: bytes) -> None:
        """Pass the bytes on."""
        if self._receiver is None:
            self._early += data
        else:
            self._receiver.received(data)

    def on_end(self, end: client.AnswerEnd) -> None:
        """Tell the end, if it is one that a broken server does not make."""
        is_framed = end is client.AnswerEnd.FRAMING
        self._end('' if is_framed else 'the body has no end')

    def on_failure(self, failure: client.Failure) -> None:
        """Tell that there is no whole answer."""
        detail = f'{failure.kind.value}: {failure.detail}'
        self._early.clear()
        if self._head is not None:
            self._end(detail)
        elif failure.was_sent:
            self.opened.errback(Broken(detail))
        else:
            self.opened.errback(NotSent(detail))

    def _deliver(self, receiver, tell_end: Callable[[str], None]) -> None:
        self._receiver = receiver
        self._tell_end = tell_end
        if self._early:
            receiver.received(bytes(self._early))
            self._early.clear()
        if self._why_not is not None:
            tell_end(self._why_not)

    def _end(self, why_not: str) -> None:
        self._why_not = why_not
        if self._receiver is not None:
            self._tell_end(why_not)

    def _answer(self, body: bytes) -> Answer:
        return Answer(
            status=self._head.status,
            content_type=self._head.get('content-type'),
            retry_after_ms=_retry_after_ms(self._head.get('retry-after')),
            body=body,
        )

    def _cancel_opening(self, opened: defer.Deferred) -> None:
        was_sent = self._exchange.was_sent
        self.abort()
        if not was_sent:
            opened.errback(NotSent('given up before it was sent'))


def _retry_after_ms(value: str) -> int:
    try:
        return max(0, int(float(value or 0) * 1000))
    except (ValueError, OverflowError):
        return 0


def collect(*, response: Response, reactor, timeout_ms: int) -> defer.Deferred:
    """Collect the rest of a response; fires with an ``Answer``."""
    collected = response.collect()
    collected.addTimeout(timeout_ms / 1000, reactor)
    return collected


class HttpClient:
    """Sends requests to one backend server.

    :param url: address of the backend server.
    :param bodies: memory for the bodies of unfinished answers.
    """

    def __init__(
        self, *, reactor, url: str, bodies: memory.Share | None = None
    ):
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._caller = client.HttpClient(
            reactor=reactor,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            bodies=bodies,
        )
        self._asked: set[defer.Deferred] = set()

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
        response = Response()
        url = urllib.parse.urlsplit(self._url)
        fields = {'Host': url.netloc, **(headers or {})}
        response.follow(
            self._caller.call(
                address=f'{url.hostname}:{url.port or DEFAULT_PORT}',
                head=messages.RequestHead(
                    method=method,
                    target=url.path + path,
                    headers=tuple(
                        (name, value.encode().decode('latin-1'))
                        for name, value in fields.items()
                    ),
                ),
                body=body,
                listener=response,
                may_send=may_send,
            )
        )
        return response.opened

    @defer.inlineCallbacks
    def _ask(self, **request):
        response = yield self.open(**request)
        answer = yield response.collect()
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

    def close(self) -> None:
        """Give up what is asked."""
        for asked in list(self._asked):
            asked.cancel()
