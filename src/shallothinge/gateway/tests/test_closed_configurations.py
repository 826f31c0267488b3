"""Tests that a configuration without any key lets no request pass."""

import json
import unittest

from twisted.internet import defer

from shallothinge import protocol
from shallothinge.control import state
from shallothinge.control.tests import fakes
from shallothinge.gateway.tests import rig
from shallothinge.http1 import messages
from shallothinge.leases import holder as holders
from shallothinge.platform import control_api
from shallothinge.platform import dialect
from shallothinge.platform import routes
from shallothinge.platform.tests import samples
from shallothinge.routes import messages as route_messages

BOOKING = '/book/1'
ABSENT = object()


class StoredOrders:
    """Stores configurations with a control host."""

    def __init__(self, *, bench):
        self._bench = bench

    def store_routes(self, *, version, document):
        """Store a configuration; it is kept by a snapshot and a restart."""
        order = route_messages.StoreRoutes(
            request_id='r', version=version, document=document
        )
        answer = self._bench.ask(order, role='control')
        restored = state.ControlState()
        restored.restore(self._bench.machine.snapshot())
        self._bench.machine.data = restored.data
        return defer.succeed(answer)


class ClosedConfigurationTest(unittest.TestCase):
    """From the operator's bytes to a gateway that has just started."""

    def setUp(self):
        self.bench = fakes.Bench()
        self.bench.log.member_ids = ('c1',)
        self.api = control_api.ControlApi(
            orders=StoredOrders(bench=self.bench),
            http_port='1',
            clock=self.bench.clock,
        )

    def put(self, fields):
        """Send a configuration; return the status."""
        exchange = rig.Exchange(
            head=messages.RequestHead(
                method='PUT', target='/configuration', headers=()
            ),
            body=json.dumps(fields).encode(),
        )
        self.api.handle(exchange)
        return exchange.status

    def start_gateway(self):
        """Return a gateway with the configuration that its lease brings."""
        holder = holders.LeaseHolder(
            clock=self.bench.clock,
            holder_id='e1',
            incarnation='1',
            role='entry',
            wants_members=True,
        )
        request = holder.next_request()
        grant = self.bench.ask(request, role='entry', process_id='e1')
        codec = protocol.build_codec()
        holder.apply_grant(codec.decode(codec.encode(grant)))
        gateway = rig.Rig()
        gateway.holder.config = holder.config
        return gateway

    def status_of(self, api_key):
        """Return the status of a booking; None if it was sent to a server."""
        gateway = self.start_gateway()
        return gateway.request(BOOKING, credential=api_key).status

    def test_a_key_passes_only_if_it_is_held(self):
        # tenants, status for a held key, for another one, and without a key
        held = [{'name': 'w', 'api-keys': ['k1']}]
        rows = (
            (ABSENT, 401, 401, None),
            (held, None, 401, 401),
            ([], 401, 401, 401),
            ([{'name': 'w', 'api-keys': []}], 401, 401, 401),
        )
        for version, row in enumerate(rows, start=8):
            tenants, *expected = row
            with self.subTest(tenants=tenants):
                self.setUp()
                fields = {**samples.configuration(), 'version': version}
                fields['tenants'] = tenants
                if tenants is ABSENT:
                    del fields['tenants']
                self.assertEqual(200, self.put(fields))
                found = [self.status_of(key) for key in ('k1', 'other', '')]
                self.assertEqual(expected, found)

    def test_key_stays_revoked_when_a_later_version_lists_no_tenants(self):
        fields = samples.configuration()
        self.assertEqual(200, self.put(fields))
        self.assertIsNone(self.status_of('k1'))
        del fields['tenants']
        self.assertEqual(200, self.put({**fields, 'version': 9}))
        self.assertEqual(401, self.status_of('k1'))
        self.assertIsNone(self.status_of(''))

    def test_unreadable_tenants_leave_the_former_ones_in_force(self):
        fields = samples.configuration()
        self.assertEqual(200, self.put(fields))
        for tenants in (None, {}, '', 0, False):
            with self.subTest(tenants=tenants):
                odd = {**fields, 'version': 9, 'tenants': tenants}
                self.assertEqual(400, self.put(odd))
                self.assertIsNone(self.status_of('k1'))
                self.assertEqual(401, self.status_of('other'))

    def test_stored_document_of_a_former_release_is_closed_too(self):
        content = json.dumps({**samples.configuration(), 'tenants': []})
        gateway = rig.Rig()
        document = routes.pack(content.encode())
        table = dialect.PlatformDialect().read_routes(document)
        self.assertTrue(table.is_closed)
        gateway.configure({**samples.configuration(), 'tenants': []})
        self.assertEqual(401, gateway.request(BOOKING).status)
