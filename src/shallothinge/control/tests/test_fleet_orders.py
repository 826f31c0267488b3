"""Tests of requests that control hosts forward from their HTTP API."""

import unittest

from shallothinge.control.tests import fakes
from shallothinge.leases import holder as holders
from shallothinge.membership import messages as membership
from shallothinge.membership.tests import samples
from shallothinge.operators import messages as operators
from shallothinge.routes import messages as routes


class FleetOrdersTest(unittest.TestCase):
    """Requests from a control host, trusted without an operator's key."""

    def setUp(self):
        self.bench = fakes.Bench()
        self.bench.log.member_ids = ('10.0.0.1:7000',)
        self.holder = holders.LeaseHolder(
            clock=self.bench.clock,
            holder_id='e1',
            incarnation='1',
            role='entry',
            wants_members=True,
            address='tcp://10.0.0.9:7001',
        )

    def ask(self, message):
        return self.bench.ask(
            message, role='control', process_id='10.0.0.1:7000'
        )

    def lease(self):
        self.bench.lease(self.holder)

    def test_zone_is_taken_out_for_a_control_host(self):
        for is_out, zones in ((True, ('z1',)), (False, ())):
            order = operators.SetZone(
                order_id=f'o{is_out}', operator='api', zone='z1', out=is_out
            )
            self.assertIsNone(self.ask(order).kind)
            self.lease()
            self.assertEqual(zones, self.holder.config.zones_out)

    def test_unknown_operators_terminal_is_still_refused(self):
        order = operators.SetZone(
            order_id='o', operator='api', zone='z1', out=True
        )
        answer = self.bench.ask(order, role='operator')
        self.assertIsNotNone(answer.kind)

    def test_routes_reach_holders_once_and_stay(self):
        order = routes.StoreRoutes(request_id='r', version=4, document=b'4')
        self.assertEqual(4, self.ask(order).version)
        older = routes.StoreRoutes(request_id='s', version=3, document=b'3')
        self.assertEqual(4, self.ask(older).version)
        self.lease()
        self.assertEqual(b'4', self.holder.config.routes_document)
        self.ask(
            operators.SetZone(
                order_id='o', operator='api', zone='z1', out=True
            )
        )
        self.lease()
        self.assertEqual(('z1',), self.holder.config.zones_out)
        self.assertEqual(b'4', self.holder.config.routes_document)
        fetched = self.ask(routes.FetchRoutes(request_id='f'))
        self.assertEqual((4, b'4'), (fetched.version, fetched.document))

    def test_heartbeat_lists_a_server_until_it_is_gone(self):
        beat = samples.heartbeat(sequence=1)
        self.assertIsInstance(self.ask(beat), membership.HeartbeatTaken)
        self.lease()
        self.assertEqual({'i': beat.server}, self.holder.members)
        self.ask(membership.ServerGone(request_id='g', server_id='i'))
        self.lease()
        self.assertEqual({}, self.holder.members)

    def test_only_heartbeats_with_news_are_logged(self):
        rows = (
            (samples.heartbeat(sequence=1), 'changed'),
            (samples.heartbeat(sequence=2), None),
            (samples.heartbeat(sequence=4, leaving=True), 'changed'),
            (samples.heartbeat(sequence=3), 'outdated'),
        )
        for beat, outcome in rows:
            with self.subTest(sequence=beat.sequence):
                if outcome is None:
                    with self.assertNoLogs('shallothinge.control'):
                        self.ask(beat)
                    continue
                with self.assertLogs('shallothinge.control') as logs:
                    self.ask(beat)
                line = logs.records[0]
                self.assertEqual(outcome, line.outcome)
                self.assertEqual(beat.server.leaving, line.leaving)
                self.assertEqual('1-0', line.members_epoch)

    def test_holder_learns_peers_and_control_hosts(self):
        self.lease()
        self.assertEqual(('tcp://10.0.0.9:7001',), self.holder.peers)
        self.lease()
        self.assertEqual(('tcp://10.0.0.9:7001',), self.holder.peers)
