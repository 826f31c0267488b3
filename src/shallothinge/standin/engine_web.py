"""HTTP face of the stand-in engine, and the timer that steps it."""

import json
import logging
import time

import attrs
from twisted.internet import defer
from twisted.web import client
from twisted.web import server

from shallothinge.standin import batch
from shallothinge.standin import engine as engines
from shallothinge.standin import model
from shallothinge.standin import web

LOG = logging.getLogger(__name__)

PART_CHECK_MS = 500
PART_TIMEOUT_S = 2
STORE_TIMEOUT_S = 10


@attrs.define(kw_only=True, eq=False)
class _Reader:
    """One connection that receives a stream's tokens."""

    request: server.Request
    stream: batch.Stream
    next_offset: int


def _event(body: object) -> bytes:
    return b'data: ' + json.dumps(body).encode() + b'\n\n'


def _refused(error: model.EngineRefused) -> web.Answer:
    headers = ()
    if error.retry_after_s:
        headers = (('Retry-After', str(error.retry_after_s)),)
    return web.Answer(
        status=model.HTTP_STATUSES[error.kind],
        body={'error': error.kind.value, 'detail': error.detail},
        headers=headers,
    )


class EngineResource(web.JsonResource):
    """Serves one engine."""

    def __init__(
        self, *, reactor, engine: engines.Engine, options: model.EngineOptions
    ):
        super().__init__()
        self._reactor = reactor
        self._engine = engine
        self._options = options
        self._readers: list[_Reader] = []
        self._agent = client.Agent(reactor, connectTimeout=PART_TIMEOUT_S)
        self._timer = None
        self._part_timer = None
        self._routes = {
            ('GET', 'health'): self._health,
            ('POST', 'v1', 'completions'): self._complete,
            ('GET', 'v1', 'streams'): self._list_streams,
            ('POST', 'v1', 'reservations'): self._reserve,
            ('GET', 'v1', 'reservations'): self._list_reservations,
            ('POST', 'v1', 'kv', 'exports'): self._export,
            ('GET', 'v1', 'kv', 'exports'): self._list_exports,
            ('POST', 'v1', 'kv', 'imports'): self._import,
            ('GET', 'v1', 'load'): self._load,
            ('GET', 'v1', 'cache', 'events'): self._cache_events,
            ('GET', 'v1', 'cache'): self._cache,
            ('POST', 'v1', 'orders'): self._order,
            ('POST', 'faults'): self._faults,
            ('GET', 'counters'): self._counters,
        }
        self._item_routes = {
            ('GET', 'v1', 'streams'): self._read_stream,
            ('DELETE', 'v1', 'streams'): self._cancel,
            ('DELETE', 'v1', 'reservations'): self._release,
            ('DELETE', 'v1', 'kv', 'exports'): self._release_export,
        }

    def handle(self, request: server.Request) -> web.Answer | None:
        """Answer one request."""
        route = (request.method.decode(), *web.path_of(request))
        try:
            if route in self._routes:
                return self._routes[route](request)
            if route[:-1] in self._item_routes:
                return self._item_routes[route[:-1]](request, route[-1])
        except model.EngineRefused as error:
            return _refused(error)
        finally:
            self._flush()
        return web.Answer(status=404, body={'error': 'not_found'})

    def _health(self, request):
        return web.Answer(
            body={
                'incarnation': self._engine.incarnation,
                'ready': self._engine.ready,
            }
        )

    def _complete(self, request):
        wanted = web.read_body(request, model.CompletionRequest)
        others = [
            part for part in wanted.parts if part.url != self._options.own_url
        ]
        if others:
            checked = defer.gatherResults(
                [self._check_part(part) for part in others]
            )
            checked.addCallback(self._start_checked, request, wanted)
            return None
        self._start(request, wanted)
        return None

    def _start(self, request, wanted) -> None:
        stream = self._engine.start(wanted)
        self._add_reader(request, stream, next_offset=stream.first_offset)
        self._keep_stepping()
        if wanted.parts:
            self._keep_checking_parts()

    def _start_checked(self, held, request, wanted) -> None:
        try:
            if not all(held):
                raise model.EngineRefused(
                    kind=model.Refusal.MEMORY_FULL,
                    detail='a part is not reserved on its engine',
                )
            self._start(request, wanted)
        except model.EngineRefused as error:
            request.write(web.send(request, _refused(error)))
            request.finish()
        self._flush()

    def _add_reader(self, request, stream, *, next_offset: int) -> None:
        reader = _Reader(
            request=request, stream=stream, next_offset=next_offset
        )
        request.setHeader('Content-Type', 'text/event-stream')
        request.write(b': accepted\n\n')
        self._readers.append(reader)
        gone = request.notifyFinish()
        gone.addBoth(lambda _: self._forget(reader))

    def _forget(self, reader: _Reader) -> None:
        if reader in self._readers:
            self._readers.remove(reader)

    def _keep_stepping(self) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(
                self._options.step_ms / 1000, self._step
            )

    def _step(self) -> None:
        self._timer = None
        self._engine.step()
        self._flush()
        if not self._engine.idle:
            self._keep_stepping()

    def _flush(self) -> None:
        for reader in list(self._readers):
            self._send_tokens(reader)
            stream = reader.stream
            known = self._engine.streams.get(stream.request_id)
            if stream.state is batch.StreamState.FINISHED:
                self._send_end(reader)
            elif known is not stream:
                self._forget(reader)
                reader.request.loseConnection()
        if self._part_timer is not None and self._engine.idle:
            self._part_timer.cancel()
            self._part_timer = None

    def _send_tokens(self, reader: _Reader) -> None:
        stream = reader.stream
        if stream.offset <= reader.next_offset:
            return
        start = reader.next_offset - stream.first_offset
        body = {
            'offset': reader.next_offset,
            'tokens': stream.generated[start:],
        }
        reader.request.write(_event(body))
        reader.next_offset = stream.offset

    def _send_end(self, reader: _Reader) -> None:
        stream = reader.stream
        self._forget(reader)
        body = {
            'finish_reason': stream.finish_reason,
            'offset': stream.offset,
            'prompt_tokens': stream.prompt_tokens,
            'cached_tokens': stream.cached_tokens,
            'generated_tokens': len(stream.generated),
        }
        reader.request.write(_event(body) + b'data: [DONE]\n\n')
        reader.request.finish()

    def _list_streams(self, request):
        listing = [
            {
                'request_id': stream.request_id,
                'held_tokens': self._engine.memory.tokens_of(stream.owner),
                'offset': stream.offset,
                'state': stream.state.value,
            }
            for stream in self._engine.streams.values()
        ]
        return web.Answer(body=listing)

    def _read_stream(self, request, request_id):
        stream = self._engine.streams.get(request_id)
        offset = web.number_argument(request, 'offset')
        if stream is None:
            raise model.EngineRefused(kind=model.Refusal.NOT_FOUND)
        if not stream.first_offset <= offset <= stream.offset:
            raise model.EngineRefused(
                kind=model.Refusal.BAD_REQUEST,
                detail=f'has {stream.first_offset} to {stream.offset}',
            )
        self._add_reader(request, stream, next_offset=offset)
        return None

    def _cancel(self, request, request_id):
        return self._ended(self._engine.cancel(request_id))

    def _ended(self, known: bool):
        if not known:
            raise model.EngineRefused(kind=model.Refusal.NOT_FOUND)
        return web.Answer(status=204)

    def _reserve(self, request):
        part = web.read_body(request, Reservation)
        self._engine.reserve(
            reservation_id=part.reservation_id, reserved_tokens=part.tokens
        )
        return web.Answer(status=201, body=attrs.asdict(part))

    def _list_reservations(self, request):
        listing = [
            {'reservation_id': name, 'tokens': held}
            for name, held in self._engine.reservations.items()
        ]
        return web.Answer(body=listing)

    def _release(self, request, reservation_id):
        return self._ended(self._engine.release_reservation(reservation_id))

    def _check_part(self, part: model.Part) -> defer.Deferred:
        asked = self._get_json(part.url + '/v1/reservations')
        asked.addCallback(
            lambda listing: any(
                held['reservation_id'] == part.reservation_id
                and held['tokens'] >= part.tokens
                for held in listing
            )
        )
        asked.addErrback(lambda failure: False)
        return asked

    def _get_json(self, url: str) -> defer.Deferred:
        asked = self._agent.request(b'GET', url.encode())
        asked.addCallback(client.readBody)
        asked.addCallback(json.loads)
        return asked.addTimeout(PART_TIMEOUT_S, self._reactor)

    def _keep_checking_parts(self) -> None:
        if self._part_timer is None:
            self._part_timer = self._reactor.callLater(
                PART_CHECK_MS / 1000, self._check_parts
            )

    def _check_parts(self) -> None:
        self._part_timer = None
        for stream in list(self._engine.streams.values()):
            finished = stream.state is batch.StreamState.FINISHED
            if not stream.request.parts or finished:
                continue
            self._keep_checking_parts()
            for part in stream.request.parts:
                if part.url != self._options.own_url:
                    checked = self._check_part(part)
                    checked.addCallback(self._part_checked, stream)

    def _part_checked(self, held: bool, stream: batch.Stream) -> None:
        known = self._engine.streams.get(stream.request_id)
        finished = stream.state is batch.StreamState.FINISHED
        if not held and known is stream and not finished:
            self._engine.fail(stream)
            self._flush()

    def _export(self, request):
        wanted = web.read_body(request, ExportRequest)
        export_id = f'{self._engine.incarnation}-{wanted.request_id}'
        exported = self._engine.export(
            request_id=wanted.request_id, export_id=export_id
        )
        return web.Answer(body={'export_id': export_id, 'tokens': exported})

    def _list_exports(self, request):
        listing = [
            {
                'export_id': export_id,
                'tokens': self._engine.memory.tokens_of(f'export:{export_id}'),
                'blocks': list(blocks),
            }
            for export_id, blocks in self._engine.exports.items()
        ]
        return web.Answer(body=listing)

    def _release_export(self, request, export_id):
        return self._ended(self._engine.release_export(export_id))

    def _import(self, request):
        wanted = web.read_body(request, ImportRequest)
        asked = self._get_json(wanted.url + '/v1/kv/exports')
        asked.addCallback(self._take_import, wanted.export_id)
        asked.addErrback(
            lambda failure: web.Answer(
                status=503, body={'error': 'not_ready', 'detail': 'no answer'}
            )
        )
        asked.addCallback(self._finish, request)
        return None

    def _take_import(self, listing, export_id: str) -> web.Answer:
        for exported in listing:
            if exported['export_id'] == export_id:
                self._engine.memory.add_cached(tuple(exported['blocks']))
                return web.Answer(status=201, body={'export_id': export_id})
        return web.Answer(status=404, body={'error': 'not_found'})

    def _finish(self, answer: web.Answer, request) -> None:
        request.write(web.send(request, answer))
        request.finish()

    def _load(self, request):
        return web.Answer(body=attrs.asdict(self._engine.load()))

    def _cache_events(self, request):
        after = web.number_argument(request, 'after')
        listing = [
            attrs.asdict(event) for event in self._engine.events.after(after)
        ]
        return web.Answer(body={'events': listing})

    def _cache(self, request):
        return web.Answer(
            body={
                'sequence': self._engine.events.sequence,
                'blocks': list(self._engine.memory.cached_blocks),
            }
        )

    def _order(self, request):
        order = web.read_body(request, model.OrderRequest)
        self._engine.check_fence(order.fence)
        if order.order != 'load_model' or not self._options.weight_store_url:
            self._engine.order(order)
            return web.Answer(body={'order': order.order})
        url = f'{self._options.weight_store_url}/v1/weights/{order.model}'
        asked = self._agent.request(b'GET', url.encode())
        asked.addTimeout(STORE_TIMEOUT_S, self._reactor)
        asked.addCallback(self._take_weights, order)
        asked.addErrback(
            lambda failure: _refused(
                model.EngineRefused(
                    kind=model.Refusal.WEIGHT_STORE_BUSY,
                    detail=failure.getErrorMessage(),
                    retry_after_s=1,
                )
            )
        )
        asked.addCallback(self._finish, request)
        return None

    def _take_weights(self, response, order) -> defer.Deferred:
        if response.code == 200:
            self._engine.order(order)
            answer = web.Answer(body={'order': order.order})
        else:
            headers = response.headers.getRawHeaders(b'Retry-After', [b'1'])
            answer = _refused(
                model.EngineRefused(
                    kind=model.Refusal.WEIGHT_STORE_BUSY,
                    retry_after_s=int(headers[0]),
                )
            )
        return client.readBody(response).addCallback(lambda _: answer)

    def _faults(self, request):
        faults = web.read_body(request, model.Faults)
        if faults.drop_events is not None:
            self._engine.events.dropping = faults.drop_events
        if faults.refuse_all is not None:
            self._engine.refuse_all = faults.refuse_all
        if faults.fail_after_tokens is not None:
            self._engine.batch.fail_after_tokens = faults.fail_after_tokens
        if faults.turn_cold:
            self._engine.turn_cold()
        if faults.crash:
            self._engine.restart()
        if faults.freeze_ms:
            self._reactor.callLater(0, time.sleep, faults.freeze_ms / 1000)
        return web.Answer(body={})

    def _counters(self, request):
        counters = attrs.asdict(self._engine.counters)
        counters['held_tokens'] = self._engine.memory.held_tokens
        counters['cold'] = self._engine.cold
        counters['incarnation'] = self._engine.incarnation
        return web.Answer(body=counters)


@attrs.frozen(kw_only=True)
class Reservation:
    """Body of ``POST /v1/reservations``."""

    reservation_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class ExportRequest:
    """Body of ``POST /v1/kv/exports``."""

    request_id: str


@attrs.frozen(kw_only=True)
class ImportRequest:
    """Body of ``POST /v1/kv/imports``."""

    export_id: str
    url: str
