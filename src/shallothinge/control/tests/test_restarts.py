"""Tests of what restarted processes know of servers and keys at first.

A server that has left, or a key that was taken away, must not be in use again
after the restart of a gateway, at a new leader, or at a control host that has
its state from a snapshot.
"""

import itertools
import json
import unittest

from shallothinge.control import state
from shallothinge.control.tests import test_departures
from shallothinge.gateway import current_routes
from shallothinge.platform import dialect
from shallothinge.platform import routes as documents
from shallothinge.platform.tests import samples
from shallothinge.routes import messages as routes

# All orders of up to three restarts.
RESTARTS = ('gateway', 'leader', 'snapshot')
SERIES = tuple(
    series
    for length in (1, 2, 3)
    for series in itertools.permutations(RESTARTS, length)
)
KEPT, TAKEN = 'kept', 'taken'


class RestartTest(test_departures.DepartureTest):
    """Restarts after a departure, or after the removal of a key."""

    def restart(self, what):
        """Restart a gateway, elect a leader, or restore a snapshot."""
        if what == 'gateway':
            self.gateway = test_departures.Gateway(self.bench, 'e2')
        elif what == 'snapshot':
            restored = state.ControlState()
            restored.restore(self.bench.machine.snapshot())
            self.bench.machine.data = restored.data
            self.elect()
        else:
            self.elect()

    def test_server_that_left_gets_nothing_after_restarts(self):
        for message in (
            test_departures.beat(3, leaving=True),
            test_departures.gone(),
        ):
            for series in SERIES:
                name = type(message).__name__
                with self.subTest(message=name, series=series):
                    self.setUp()
                    self.list_server()
                    self.leave(message, renewing=[self.gateway])
                    for what in series:
                        self.restart(what)
                        self.gateway.renew()
                        self.assertFalse(self.gateway.may_send())
                        # It was late, or its host heard of it late.
                        self.send(test_departures.beat(2))
                        self.gateway.renew()
                        self.assertFalse(self.gateway.may_send())

    def test_other_start_of_a_server_that_left_serves_after_restarts(self):
        # If its clock has been set back meanwhile, gateways keep it out for as
        # long as heartbeats may be late, from when they learn who has left.
        for started_ms, wait_ms in (
            (test_departures.STARTED_MS + 100, 0),
            (test_departures.STARTED_MS - 1, 10_000),
        ):
            for series in SERIES:
                with self.subTest(started_ms=started_ms, series=series):
                    self.setUp()
                    self.list_server()
                    self.leave(test_departures.gone(), renewing=[self.gateway])
                    for what in series:
                        self.restart(what)
                        self.gateway.renew()
                    self.bench.clock.advance(duration_ms=wait_ms)
                    beat = test_departures.beat(1, started_ms=started_ms)
                    self.send(beat)
                    self.gateway.renew()
                    self.assertTrue(self.gateway.may_send())
                    self.send(test_departures.beat(9))
                    self.gateway.renew()
                    [listed] = self.bench.server._current().members.servers()
                    self.assertEqual(started_ms, listed.started_ms)

    def store(self, version, keys):
        """Put a route table with these keys in force."""
        table = samples.with_keys(
            keys, version=version, routes=[], services=[]
        )
        document = documents.pack(json.dumps(table).encode())
        order = routes.StoreRoutes(
            request_id=f'r{version}', version=version, document=document
        )
        self.bench.ask(order, role='control', process_id='c2')

    def passes(self, key):
        """Return whether the gateway lets a caller with a key pass."""
        index = current_routes.CurrentRoutes(
            dialect=dialect.PlatformDialect(), holder=self.gateway.holder
        ).index()
        return index is not None and index.find_workspace(key) is not None

    def test_key_that_was_taken_away_is_refused_after_restarts(self):
        for series in SERIES:
            with self.subTest(series=series):
                self.setUp()
                self.store(1, [KEPT, TAKEN])
                self.gateway.renew()
                self.assertTrue(self.passes(TAKEN))
                self.store(2, [KEPT])
                self.gateway.renew()
                for what in series:
                    self.restart(what)
                    # The operator's order of before arrives once more.
                    self.store(1, [KEPT, TAKEN])
                    self.assertFalse(self.passes(TAKEN))
                    self.gateway.renew()
                    self.assertTrue(self.passes(KEPT))
                    self.assertFalse(self.passes(TAKEN))


def load_tests(loader, tests, pattern):
    """Leave out the tests that the base class runs in its own module."""
    del tests, pattern
    names = [name for name in vars(RestartTest) if name.startswith('test_')]
    return unittest.TestSuite(map(RestartTest, names))
