"""Tests of heartbeats and configurations that another writer has left."""

import json
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from twisted.internet import defer

from shallothinge import clock
from shallothinge import protocol
from shallothinge.gateway.tests import rig
from shallothinge.http1 import messages
from shallothinge.membership import messages as membership
from shallothinge.platform import control_api
from shallothinge.platform.tests import samples
from shallothinge.routes import messages as route_messages

NESTED = b'[' * 100_000
MISSING = object()
# Fields of a heartbeat, each with values that name no server to use.
ODD_FIELDS = {
    'service': (MISSING, None, '', 1, [], '\ud800', 'x' * 1_000_000),
    'zone': (MISSING, None, '', {}, '\ud800', 'x' * 1_000_000),
    'address': (
        MISSING,
        None,
        '',
        7,
        '10.0.0.9',
        '10.0.0.9:',
        '10.0.0.9:0',
        '10.0.0.9:65536',
        '10.0.0.9:-1',
        '10.0.0.9:99999999999999999999',
        '10.0.0.9:' + '9' * 5000,
        '0.0.0.0:80',
        '255.255.255.255:80',
        '224.0.0.1:80',
        'host:80',
        '10.0.0.\u0669:80',
        '10.0.0.9:\u0668\u0660',
        '10.0.0.9: 80',
        '10.0.0.9:8_0',
    ),
    'slots': (MISSING, None, '8', 1.5, True, -1, 2**31, 2**63, -(2**70), []),
    'sequence': (MISSING, None, '4', 1.5, True, -1, 2**63, 2**70, {}),
    'born': (None, '1', 1.5, True, -1, 2**63, -(2**70)),
    'cold-remaining-ms': ('1', True, -1, 2**63, 1e300, [], float('inf')),
    'state': (MISSING, None, '', 'gone', [], {}, 1),
}
ODD_BODIES = (
    b'',
    b'[]',
    b'"text"',
    b'null',
    b'1',
    b'\xff\xfe',
    b'{"service":',
    NESTED,
    b'{"service": ' + NESTED,
    json.dumps(samples.HEARTBEAT).encode() + b'x',
    b'{"sequence": 1e400}',
    b'{"sequence": ' + b'9' * 5000 + b'}',
)


def changed(name, value):
    """Return the body of a heartbeat with one changed field."""
    fields = dict(samples.HEARTBEAT)
    if value is MISSING:
        del fields[name]
    else:
        fields[name] = value
    return json.dumps(fields).encode()


class OddEntriesTest(unittest.TestCase):
    """What becomes of them: they are refused and named to nobody."""

    def setUp(self):
        self.codec = protocol.build_codec()
        self.orders = mock.Mock()
        self.orders.forward_heartbeat.side_effect = self.forward
        self.orders.store_routes.side_effect = self.store
        self.api = control_api.ControlApi(
            orders=self.orders, http_port='1', clock=clock.ManualClock()
        )

    def forward(self, *, server, started_ms, sequence):
        beat = membership.Heartbeat(
            request_id='r',
            server=server,
            started_ms=started_ms,
            sequence=sequence,
        )
        self.assertEqual(beat, self.codec.decode(self.codec.encode(beat)))
        return defer.succeed(
            membership.HeartbeatTaken(request_id='r', leader_id='')
        )

    def store(self, *, version, document):
        stored = route_messages.RoutesStored(request_id='r', version=version)
        self.assertEqual(stored, self.codec.decode(self.codec.encode(stored)))
        return defer.succeed(stored)

    def put(self, target, body):
        exchange = rig.Exchange(
            head=messages.RequestHead(method='PUT', target=target, headers=()),
            body=body,
        )
        self.api.handle(exchange)
        return exchange.status

    def test_odd_heartbeats_name_no_server(self):
        rows = [
            *(
                (f'{name} {value!r:.40}', changed(name, value))
                for name, values in ODD_FIELDS.items()
                for value in values
            ),
            *((f'{body!r:.40}', body) for body in ODD_BODIES),
        ]
        for name, body in rows:
            with self.subTest(name):
                self.assertEqual(400, self.put('/instances/i-1', body))
        self.orders.forward_heartbeat.assert_not_called()

    def test_heartbeats_of_odd_ids_name_no_server(self):
        body = json.dumps(samples.HEARTBEAT).encode()
        for server_id in ('', 'x' * 10_000):
            with self.subTest(length=len(server_id)):
                target = f'/instances/{server_id}'
                self.assertEqual(400, self.put(target, body))

    def test_heartbeats_at_the_limits_are_taken(self):
        rows = (
            ('cold-remaining-ms', None),
            ('cold-remaining-ms', 0.5),
            ('cold-remaining-ms', MISSING),
            ('born', MISSING),
            ('born', 2**42),
            ('slots', 0),
            ('slots', 10_000),
            ('sequence', 0),
            ('sequence', 2**31),
            ('address', '10.0.0.9:65535'),
            ('address', '127.0.0.1:1'),
            ('address', '[::1]:80'),
        )
        for name, value in rows:
            with self.subTest(f'{name} {value!r}'):
                body = changed(name, value)
                self.assertEqual(200, self.put('/instances/i-1', body))

    def test_odd_configurations_are_refused(self):
        sample = samples.configuration()
        route = sample['routes'][0]
        rows = (
            NESTED,
            b'{"version": ' + NESTED,
            b'{"version": ' + b'9' * 5000 + b'}',
            *(
                json.dumps(one).encode()
                for one in (
                    {**sample, 'version': 2**63},
                    {**sample, 'version': 1e400},
                    {**sample, 'version': -1},
                    {**sample, 'routes': [{**route, 'name': []}]},
                    {**sample, 'routes': [{**route, 'host': '\ud800'}]},
                    {**sample, 'routes': [{**route, 'timeout-ms': 2**70}]},
                    {**sample, 'routes': [{**route, 'attempts': 2**70}]},
                    {**sample, 'limits': []},
                    {**sample, 'limits': {'body-bytes': 2**70}},
                )
            ),
        )
        for body in rows:
            with self.subTest(body[-60:]):
                self.assertEqual(400, self.put('/configuration', body))
        self.orders.store_routes.assert_not_called()

    @settings(max_examples=300, deadline=None)
    @given(
        name=strategies.sampled_from(sorted(samples.HEARTBEAT)),
        value=strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=8),
            lambda inner: strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=3), inner, max_size=3
            ),
            max_leaves=6,
        ),
    )
    def test_any_heartbeat_is_taken_or_refused(self, name, value):
        status = self.put('/instances/i-1', changed(name, value))
        self.assertIn(status, (200, 400))
