"""Typed requests to a model engine."""

from collections.abc import Callable
import json
import urllib.parse

import attrs
from twisted.internet import defer

from shallothinge import memory
from shallothinge.agent import http
from shallothinge.agent import model

POLL_TIMEOUT_MS = 1000
CONTROL_TIMEOUT_MS = 5000
JSON_HEADERS = {'Content-Type': 'application/json'}


@attrs.frozen(kw_only=True)
class SpanReference:
    """Memory that is reserved for a prompt on some engine."""

    reservation_id: str
    url: str
    tokens: int


@attrs.frozen(kw_only=True)
class Completion:
    """Body of ``POST /v1/completions``."""

    request_id: str
    model: str
    adapter: str
    prompt: str
    delivered: tuple[str, ...]
    max_tokens: int
    priority: int
    fence: int
    parts: tuple[SpanReference, ...] = ()


@attrs.frozen(kw_only=True)
class EngineOrder:
    """Body of ``POST /v1/orders``."""

    order: str
    model: str = ''
    adapter: str = ''
    role: str = ''
    fence: int = 0


@attrs.frozen(kw_only=True)
class Reserve:
    """Body of ``POST /v1/reservations``."""

    reservation_id: str
    tokens: int


def _encode(body: object) -> bytes:
    return json.dumps(attrs.asdict(body)).encode()


def _quote(identifier: str) -> str:
    return urllib.parse.quote(identifier, safe='')


class EngineClient:
    """One model engine over HTTP.

    Polls have connections of their own, so that a silent stream says
    nothing about them.
    """

    def __init__(
        self, *, reactor, url: str, bodies: memory.Share | None = None
    ):
        self._http = http.HttpClient(reactor=reactor, url=url, bodies=bodies)

    def start(
        self, *, completion: Completion, may_send: Callable[[], bool]
    ) -> defer.Deferred:
        """Start a stream; fires with the response."""
        return self._http.open(
            method='POST',
            path='/v1/completions',
            body=_encode(completion),
            headers=JSON_HEADERS,
            may_send=may_send,
        )

    def resume(self, *, stream_id: str, offset: int) -> defer.Deferred:
        """Read a stream from an offset on; fires with the response."""
        path = f'/v1/streams/{_quote(stream_id)}?offset={offset}'
        return self._http.open(method='GET', path=path)

    def delete(
        self,
        *,
        collection: str,
        identifier: str,
        may_send: Callable[[], bool] = http.always,
    ) -> defer.Deferred:
        """End a stream, reservation or export; fires with the answer."""
        return self._http.ask(
            method='DELETE',
            path=f'/v1/{collection}/{_quote(identifier)}',
            timeout_ms=CONTROL_TIMEOUT_MS,
            may_send=may_send,
        )

    def reserve(
        self, *, reserve: Reserve, may_send: Callable[[], bool]
    ) -> defer.Deferred:
        """Reserve memory; fires with the answer."""
        return self._http.ask(
            method='POST',
            path='/v1/reservations',
            body=_encode(reserve),
            headers=JSON_HEADERS,
            timeout_ms=CONTROL_TIMEOUT_MS,
            may_send=may_send,
        )

    def order(
        self,
        *,
        order: EngineOrder,
        may_send: Callable[[], bool],
        timeout_ms: int,
    ) -> defer.Deferred:
        """Give an order; fires with the answer."""
        return self._http.ask(
            method='POST',
            path='/v1/orders',
            body=_encode(order),
            headers=JSON_HEADERS,
            timeout_ms=timeout_ms,
            may_send=may_send,
        )

    def health(self) -> defer.Deferred:
        """Fires with ``EngineHealth``."""
        return self._poll('/health', model.EngineHealth)

    def load(self) -> defer.Deferred:
        """Fires with ``EngineLoad``."""
        return self._poll('/v1/load', model.EngineLoad)

    def streams(self) -> defer.Deferred:
        """Fires with a tuple of ``EngineStream``."""
        return self._poll('/v1/streams', tuple[model.EngineStream, ...])

    def reservations(self) -> defer.Deferred:
        """Fires with a tuple of ``EngineReservation``."""
        shape = tuple[model.EngineReservation, ...]
        return self._poll('/v1/reservations', shape)

    def exports(self) -> defer.Deferred:
        """Fires with a tuple of ``EngineExport``."""
        return self._poll('/v1/kv/exports', tuple[model.EngineExport, ...])

    def cache_events(self, *, after: int) -> defer.Deferred:
        """Fires with ``CacheEvents`` after a sequence number."""
        path = f'/v1/cache/events?after={after}'
        return self._poll(path, model.CacheEvents)

    def cache(self) -> defer.Deferred:
        """Fires with ``CacheListing``."""
        return self._poll('/v1/cache', model.CacheListing)

    def close(self) -> None:
        """Give up what is asked."""
        self._http.close()

    @defer.inlineCallbacks
    def _poll(self, path: str, shape: type):
        answer = yield self._http.ask(
            method='GET', path=path, timeout_ms=POLL_TIMEOUT_MS
        )
        if answer.status != 200:
            raise model.BadAnswer(f'{path} answered {answer.status}')
        return model.read_json(answer.body, shape)
