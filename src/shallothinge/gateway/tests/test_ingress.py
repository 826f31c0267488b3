"""Tests that a request which was read gets an answer before its placement."""

import unittest
from unittest import mock

import attrs

from shallothinge.gateway import readiness
from shallothinge.gateway import stall_timer
from shallothinge.gateway.tests import rig
from shallothinge.platform import dialect
from shallothinge.platform import routes
from shallothinge.platform.tests import samples
from shallothinge.routes import lookup

BOOKING = '/book/1'
STREAM = '/lohu930/1'
# Each step between a request's arrival and its placement, as an object and
# the attribute that raises an exception.
STEPS = (
    ('lease', rig.FakeLeaseHolder, 'is_valid'),
    ('route', lookup.RouteIndex, 'find_route'),
    ('workspace', lookup.RouteIndex, 'find_workspace'),
    ('split', lookup, 'choose_service'),
    ('service', lookup.RouteIndex, 'find_service'),
)


def fault():
    """Return a patch value that raises an exception."""
    return mock.Mock(side_effect=RuntimeError('injected'))


class OwnedRequestTest(unittest.TestCase):
    """A request has an owner before it is placed."""

    def setUp(self):
        self.rig = rig.Rig()

    def assert_refused_unrun(self, exchange):
        self.assertEqual(503, exchange.status)
        self.assertTrue(exchange.is_whole)
        self.assertEqual([], self.rig.caller.calls)
        self.assertEqual([], self.rig.reactor.getDelayedCalls())

    def test_caller_that_leaves_while_the_lease_is_missing_is_logged(self):
        self.rig.holder.is_leased = False
        exchange = self.rig.request(BOOKING)
        self.rig.advance(100)
        with self.assertLogs('shallothinge.gateway.ingress') as logs:
            exchange.on_disconnect()
        (record,) = logs.records
        self.assertEqual(rig.REQUEST_ID, record.request_id)
        self.assertEqual('caller_gone', record.outcome)
        self.assertEqual(100, record.total_ms)
        self.assertEqual([], self.rig.reactor.getDelayedCalls())

    def test_new_request_is_refused_while_memory_is_short(self):
        self.rig.parts.process.memory.is_short = True
        self.assert_refused_unrun(self.rig.request(BOOKING))
        self.rig.parts.process.memory.is_short = False
        self.assertIsNone(self.rig.request(BOOKING).status)

    def test_exception_while_waiting_for_the_lease_is_answered(self):
        for name, place, attribute in STEPS:
            with self.subTest(name):
                self.rig = rig.Rig()
                self.rig.holder.is_leased = False
                exchange = self.rig.request(BOOKING)
                self.rig.advance(20)
                self.assertIsNone(exchange.status)
                self.rig.holder.is_leased = True
                with (
                    mock.patch.object(place, attribute, fault()),
                    self.assertLogs(level='ERROR') as logs,
                ):
                    self.rig.advance(20)
                self.assert_refused_unrun(exchange)
                self.assertIn('injected', logs.output[0])

    def test_exception_at_arrival_is_answered(self):
        for name, place, attribute in (
            *STEPS,
            ('head', dialect.PlatformDialect, 'read_request'),
        ):
            with self.subTest(name):
                self.rig = rig.Rig()
                with (
                    mock.patch.object(place, attribute, fault()),
                    self.assertLogs(level='ERROR'),
                ):
                    exchange = self.rig.request(BOOKING)
                self.assert_refused_unrun(exchange)

    def test_request_is_answered_even_if_the_answer_can_not_be_written(self):
        self.rig.holder.is_leased = False
        exchange = self.rig.request(BOOKING)
        with (
            mock.patch.object(dialect.PlatformDialect, 'write_error', fault()),
            self.assertLogs(level='ERROR'),
        ):
            self.rig.advance(2000)
        self.assertTrue(exchange.is_cut)

    def test_exception_as_forwarding_starts_ends_the_attempt(self):
        for has_waited in (False, True):
            with self.subTest(has_waited=has_waited):
                self.rig = rig.Rig()
                self.rig.holder.is_leased = not has_waited
                with (
                    mock.patch.object(
                        stall_timer.StallTimer, 'expect_within', fault()
                    ),
                    self.assertLogs(level='ERROR'),
                ):
                    exchange = self.rig.request(STREAM)
                    self.rig.holder.is_leased = True
                    self.rig.advance(20)
                self.assertEqual(500, exchange.status)
                self.assertTrue(exchange.is_whole)
                self.assertTrue(self.rig.caller.calls[0].is_cancelled)
                self.assertEqual({}, self.rig.load.loads())


class UnreadableRoutesTest(unittest.TestCase):
    """A gateway that can't read the newest routes refuses requests."""

    DOCUMENTS = (
        ('not compressed', b'{}'),
        ('empty', b''),
        ('of a newer release', routes.pack(b'{"version": 8, "kinds": []}')),
    )

    def setUp(self):
        self.rig = rig.Rig()

    def put(self, document, *, version=8):
        self.rig.holder.config = attrs.evolve(
            self.rig.holder.config,
            routes_version=version,
            routes_document=document,
        )

    def test_requests_are_refused_unrun_until_routes_are_readable(self):
        for name, document in self.DOCUMENTS:
            with self.subTest(name):
                self.rig = rig.Rig()
                with self.assertLogs(level='ERROR') as logs:
                    self.put(document)
                    refused = [self.rig.request(BOOKING) for _ in range(3)]
                self.assertEqual(1, len(logs.output))
                for exchange in refused:
                    self.assertEqual(503, exchange.status)
                    self.assertIn(b'no_lease', exchange.received)
                self.rig.configure(samples.configuration(version=9))
                self.assertIsNone(self.rig.request(BOOKING).status)

    def test_no_route_of_an_older_version_is_used(self):
        self.rig.request(BOOKING)
        with self.assertLogs(level='ERROR'):
            self.put(b'{}')
            self.rig.request(STREAM)
        self.assertEqual(1, len(self.rig.caller.calls))

    def test_gateway_is_not_ready(self):
        ready = readiness.Readiness(
            holder=self.rig.holder, ingress=self.rig.ingress
        )
        self.assertIsNone(ready.refusal())
        with self.assertLogs(level='ERROR'):
            self.put(b'{}')
            self.assertIsNotNone(ready.refusal())

    def test_limits_of_the_last_readable_table_remain(self):
        self.assertEqual(1000, self.rig.ingress.limits.body_bytes)
        with self.assertLogs(level='ERROR'):
            self.put(b'{}')
            self.assertEqual(1000, self.rig.ingress.limits.body_bytes)
