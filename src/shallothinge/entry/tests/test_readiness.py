"""Tests of what the balancer is told."""

import unittest
from unittest import mock

from shallothinge import clock
from shallothinge.entry import readiness
from shallothinge.entry.tests import fakes
from shallothinge.errors import ErrorKind


class ReadinessTest(unittest.TestCase):
    """An entry is ready once it can serve what the bundle names."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.holder = mock.Mock()
        self.holder.config.bundle = fakes.make_bundle()
        self.known = set()
        self.readiness = readiness.Readiness(
            clock=self.clock,
            holder=self.holder,
            knows=lambda need: (need.model or need.service) in self.known,
        )

    def _know_all(self):
        bundle = self.holder.config.bundle
        self.known.update(f'{one.name}@{one.version}' for one in bundle.models)
        self.known.update(one.name for one in bundle.services)

    def test_not_ready_before_a_service_is_known(self):
        self._know_all()
        self.known.discard(self.holder.config.bundle.services[0].name)
        self.assertEqual(ErrorKind.NO_BACKEND_SERVER, self.readiness.refusal())
        self._know_all()
        self.assertIsNone(self.readiness.refusal())

    def test_missing_backend_server_does_not_hold_it_for_ever(self):
        self.readiness.refusal()
        self.clock.advance(duration_ms=readiness.LEARN_MS)
        self.assertIsNone(self.readiness.refusal())

    def test_stays_ready_when_a_backend_server_is_lost_later(self):
        self._know_all()
        self.readiness.refusal()
        self.known.clear()
        self.assertIsNone(self.readiness.refusal())

    def test_not_ready_without_lease_or_when_stopping(self):
        self._know_all()
        self.holder.is_valid.return_value = False
        self.assertEqual(ErrorKind.NO_LEASE, self.readiness.refusal())
        self.readiness.is_stopping = True
        self.assertEqual(ErrorKind.STOPPING, self.readiness.refusal())
