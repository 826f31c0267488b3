"""Tests of the HTTP API for the platform's operator and servers."""

import json
import unittest
from unittest import mock

from twisted.internet import defer

from shallothinge import clock
from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.gateway.tests import rig
from shallothinge.http1 import messages
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.platform import control_api
from shallothinge.platform import routes
from shallothinge.platform.tests import samples
from shallothinge.routes import messages as route_messages

START_MS = 5000


class ControlApiTest(unittest.TestCase):
    """What the platform asks, and what it is answered."""

    def setUp(self):
        self.orders = mock.Mock()
        self.clock = clock.ManualClock(start_ms=START_MS)
        self.api = control_api.ControlApi(
            orders=self.orders, http_port='8229', clock=self.clock
        )

    def ask(self, method, target, body=b'', *, received_ms=START_MS):
        exchange = rig.Exchange(
            head=messages.RequestHead(
                method=method, target=target, headers=()
            ),
            body=body,
            received_ms=received_ms,
        )
        self.api.handle(exchange)
        return exchange

    def put(self, fields):
        return self.ask('PUT', '/configuration', json.dumps(fields).encode())

    def test_configuration_is_acknowledged_when_stored(self):
        stored = defer.Deferred()
        self.orders.store_routes.return_value = stored
        exchange = self.put(samples.CONFIGURATION)
        self.assertIsNone(exchange.status)
        stored.callback(route_messages.RoutesStored(request_id='r', version=7))
        self.assertEqual(200, exchange.status)

    def test_invalid_configuration_is_refused_and_not_stored(self):
        exchange = self.put(samples.configuration(routes=None))
        self.assertEqual(400, exchange.status)
        self.orders.store_routes.assert_not_called()

    def test_configuration_is_read_back_as_it_was_sent(self):
        content = json.dumps(samples.CONFIGURATION).encode()
        self.orders.fetch_routes.return_value = defer.succeed(
            route_messages.RoutesFetched(
                request_id='r', version=7, document=routes.pack(content)
            )
        )
        exchange = self.ask('GET', '/configuration')
        self.assertEqual((200, content), (exchange.status, exchange.received))

    def test_without_a_leader_nothing_is_acknowledged(self):
        failed = errors.ServingError(kind=ErrorKind.NO_LEASE)
        for name in (
            'store_routes',
            'fetch_routes',
            'set_zone',
            'remove_server',
        ):
            getattr(self.orders, name).side_effect = lambda **_: defer.fail(
                failed
            )
        for method, target, body in (
            ('PUT', '/configuration', json.dumps(samples.CONFIGURATION)),
            ('GET', '/configuration', ''),
            ('POST', '/evacuation/z1', ''),
            ('DELETE', '/instances/i-1', ''),
        ):
            exchange = self.ask(method, target, body.encode())
            self.assertEqual(503, exchange.status)

    def test_refused_evacuation_is_not_acknowledged(self):
        for kind, status in ((None, 200), (ErrorKind.FORBIDDEN, 503)):
            self.orders.set_zone.return_value = defer.succeed(
                operators.OrderAnswered(order_id='o', kind=kind)
            )
            exchange = self.ask('POST', '/evacuation/z1')
            self.assertEqual(status, exchange.status)
        self.orders.set_zone.assert_called_with(
            zone='z1', is_out=True, caller=mock.ANY
        )

    def test_caller_waits_until_it_disconnects(self):
        exchange = self.ask('POST', '/evacuation/z1')
        caller = self.orders.set_zone.call_args.kwargs['caller']
        self.assertTrue(caller.is_waiting())
        exchange.abort()
        self.assertFalse(caller.is_waiting())

    def test_order_that_was_not_carried_out_is_refused_as_not_run(self):
        # An order that was accepted before must never get a 4xx.
        for kind in (ErrorKind.CANCELLED, ErrorKind.VERSION_CONFLICT):
            with self.subTest(kind=kind):
                failed = errors.ServingError(kind=kind)
                self.orders.set_zone.return_value = defer.fail(failed)
                exchange = self.ask('DELETE', '/evacuation/z1')
                self.assertEqual(503, exchange.status)

    def test_departure_is_dated_by_its_arrival(self):
        # A host that was blocked reads it late.
        self.ask('DELETE', '/instances/i-1', received_ms=START_MS - 700)
        given = self.orders.remove_server.call_args.kwargs
        self.assertEqual('i-1', given['server_id'])
        self.assertEqual(700, given['caller'].waited_ms())

    def test_heartbeat_is_decoded_once(self):
        self.orders.forward_heartbeat.return_value = defer.succeed(
            membership.HeartbeatTaken(
                request_id='r', leader_id='10.0.0.1:7340'
            )
        )
        exchange = self.ask(
            'PUT', '/instances/i-1', json.dumps(samples.HEARTBEAT).encode()
        )
        self.assertEqual(
            {'heartbeat-address': '10.0.0.1:8229'},
            json.loads(exchange.received),
        )
        given = self.orders.forward_heartbeat.call_args.kwargs
        self.assertEqual((1700, 4), (given['started_ms'], given['sequence']))
        self.assertEqual(('llm',), given['server'].services)
        self.assertEqual(120, given['server'].cold_ms)
        self.assertFalse(given['server'].leaving)

    def test_malformed_heartbeats_name_no_server(self):
        cases = (
            b'\xff\xfe',
            b'[]',
            json.dumps({**samples.HEARTBEAT, 'state': 'other'}).encode(),
            json.dumps({**samples.HEARTBEAT, 'slots': '8'}).encode(),
            json.dumps({**samples.HEARTBEAT, 'sequence': None}).encode(),
            json.dumps({**samples.HEARTBEAT, 'address': 7}).encode(),
            json.dumps({**samples.HEARTBEAT, 'address': '10.0.0.9'}).encode(),
            json.dumps(
                {**samples.HEARTBEAT, 'address': '10.0.0.9:x'}
            ).encode(),
            json.dumps(
                {**samples.HEARTBEAT, 'address': '10.0.0.9:0'}
            ).encode(),
            json.dumps({**samples.HEARTBEAT, 'born': 'then'}).encode(),
            json.dumps({'state': 'ready'}).encode(),
        )
        for body in cases:
            with self.subTest(body=body):
                exchange = self.ask('PUT', '/instances/i-1', body)
                self.assertEqual(400, exchange.status)
        self.orders.forward_heartbeat.assert_not_called()
