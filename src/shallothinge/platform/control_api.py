"""HTTP API of control hosts for the platform's operator and servers."""

import json
import logging

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.control import fleet
from shallothinge.http1 import exchange as exchanges
from shallothinge.platform import fields
from shallothinge.platform import heartbeats
from shallothinge.platform import names
from shallothinge.platform import routes

LOG = logging.getLogger(__name__)

JSON = (('content-type', 'application/json'),)


class _WaitingCaller:
    """The sender of a request that has not been answered yet."""

    def __init__(self, *, exchange: exchanges.Exchange, clock: clocks.Clock):
        self._exchange = exchange
        self._clock = clock

    def waited_ms(self) -> int:
        """Return how long ago the kernel received the request."""
        return self._clock.now_ms() - self._exchange.received_ms

    def is_waiting(self) -> bool:
        """Return whether the connection is open and the answer due."""
        return not self._exchange.is_ended


class ControlApi:
    """Translates HTTP requests into orders for the leader.

    :param http_port: port of this API on every control host.
    :param clock: clock of the exchanges.
    """

    def __init__(
        self,
        *,
        orders: fleet.FleetOrders,
        http_port: str,
        clock: clocks.Clock,
    ):
        self._orders = orders
        self._clock = clock
        self._http_port = http_port

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one request."""
        method, target = exchange.head.method, exchange.head.target
        path = target.partition('?')[0]
        if path == names.CONFIGURATION and method == 'PUT':
            self._put_configuration(exchange)
        elif path == names.CONFIGURATION and method == 'GET':
            self._get_configuration(exchange)
        elif path.startswith(names.SERVERS) and method == 'PUT':
            self._take_heartbeat(exchange, path[len(names.SERVERS) :])
        elif path.startswith(names.SERVERS) and method == 'DELETE':
            self._take_gone(exchange, path[len(names.SERVERS) :])
        elif path.startswith(names.EVACUATION) and method in (
            'POST',
            'DELETE',
        ):
            zone = path[len(names.EVACUATION) :]
            self._set_zone(exchange, zone, is_out=method == 'POST')
        else:
            _answer(exchange, 404, {'error': 'no such path'})

    def _put_configuration(self, exchange) -> None:
        try:
            table = routes.read(exchange.body)
        except routes.InvalidConfiguration as error:
            LOG.warning(
                'refused an invalid configuration',
                extra={'detail': str(error)},
            )
            _answer(exchange, 400, {'error': str(error)})
            return
        done = self._orders.store_routes(
            version=table.version,
            document=routes.pack(exchange.body, is_closed=table.is_closed),
        )

        def stored(answer):
            LOG.info(
                'configuration acknowledged',
                extra={
                    'routes_version': table.version,
                    'in_force_version': answer.version,
                },
            )
            _answer(exchange, 200, {'version': answer.version})

        self._finish(exchange, done, stored)

    def _get_configuration(self, exchange) -> None:
        def fetched(answer):
            if not answer.version:
                _answer(exchange, 503, {'error': 'no configuration yet'})
            else:
                exchange.respond(
                    status=200,
                    headers=JSON,
                    body=routes.unpack(answer.document),
                )

        self._finish(exchange, self._orders.fetch_routes(), fetched)

    def _take_heartbeat(self, exchange, server_id: str) -> None:
        try:
            beat = heartbeats.read(server_id=server_id, content=exchange.body)
        except heartbeats.InvalidHeartbeat as error:
            LOG.warning(
                'ignored a malformed heartbeat',
                extra={
                    'server_id': server_id[: fields.MAX_TEXT_CHARACTERS],
                    'detail': str(error),
                },
            )
            _answer(exchange, 400, {'error': 'malformed heartbeat'})
            return
        done = self._orders.forward_heartbeat(
            server=beat.server,
            started_ms=beat.started_ms,
            sequence=beat.sequence,
        )

        def taken(answer):
            if beat.server.leaving:
                LOG.info(
                    'leaving acknowledged',
                    extra={
                        'server_id': server_id,
                        'started_ms': beat.started_ms,
                        'sequence': beat.sequence,
                        'leader_id': answer.leader_id,
                    },
                )
            self._acknowledge(exchange, answer)

        self._finish(exchange, done, taken)

    def _take_gone(self, exchange, server_id: str) -> None:
        def taken(answer):
            LOG.info(
                'departure acknowledged',
                extra={'server_id': server_id, 'leader_id': answer.leader_id},
            )
            self._acknowledge(exchange, answer)

        removed = self._orders.remove_server(
            server_id=server_id, caller=self._caller_of(exchange)
        )
        self._finish(exchange, removed, taken)

    def _caller_of(self, exchange) -> _WaitingCaller:
        return _WaitingCaller(exchange=exchange, clock=self._clock)

    def _acknowledge(self, exchange, answer) -> None:
        """Name the leader's address, which saves a hop later on."""
        host = answer.leader_id.rpartition(':')[0]
        content = {}
        if host:
            content[names.LEADER_ADDRESS] = f'{host}:{self._http_port}'
        _answer(exchange, 200, content)

    def _set_zone(self, exchange, zone: str, *, is_out: bool) -> None:
        def done(answer):
            if answer.kind is not None:
                raise errors.ServingError(
                    kind=answer.kind, detail=answer.detail
                )
            LOG.info(
                'zone ordered out' if is_out else 'zone ordered back',
                extra={'of_zone': zone, 'state_version': answer.state_version},
            )
            _answer(exchange, 200, {})

        ordered = self._orders.set_zone(
            zone=zone, is_out=is_out, caller=self._caller_of(exchange)
        )
        self._finish(exchange, ordered, done)

    def _finish(self, exchange, deferred, answer) -> None:
        """Answer once the leader has, or that it can't be reached."""

        def refuse(failure):
            LOG.warning(
                'an order got no answer from the leader',
                extra={
                    'method': exchange.head.method,
                    'target': exchange.head.target,
                    'cause': failure.getErrorMessage(),
                },
            )
            if not failure.check(errors.ServingError):
                LOG.error(
                    'answering failed', extra={'trace': failure.getTraceback()}
                )
            _answer(exchange, 503, {'error': 'no leader answered'})

        deferred.addCallback(answer)
        deferred.addErrback(refuse)


def _answer(exchange, status: int, content: dict) -> None:
    exchange.respond(
        status=status, headers=JSON, body=json.dumps(content).encode()
    )
