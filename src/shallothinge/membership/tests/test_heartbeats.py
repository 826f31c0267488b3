"""Tests of heartbeats that arrive late or out of order."""

import unittest

from shallothinge import clock
from shallothinge.membership import departures
from shallothinge.membership import heartbeats
from shallothinge.membership import table
from shallothinge.membership.tests import samples


class HeartbeatFilterTest(unittest.TestCase):
    """Outdated and repeated heartbeats change nothing."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.members = table.MemberTable(
            clock=self.clock, epoch='e', silence_ms=4000
        )
        self.departures = departures.Departures()
        self.log = heartbeats.HeartbeatFilter(
            clock=self.clock,
            members=self.members,
            read_departures=lambda: self.departures,
        )

    def assertOutdated(self, taken):
        self.assertIs(heartbeats.HeartbeatResult.OUTDATED, taken)

    def assertApplied(self, taken):
        self.assertIs(heartbeats.HeartbeatResult.CHANGED, taken)

    def gone(self, server_id):
        """Record a departure under the last known incarnation."""
        self.departures.record(
            server_id=server_id,
            incarnation=self.log.incarnation_of(server_id),
            index=1,
            now_ms=self.clock.now_ms(),
        )
        self.log.remove(server_id)

    def listed(self):
        return {
            server.server_id: server.leaving
            for server in self.members.servers()
        }

    def test_late_heartbeat_does_not_undo_leaving(self):
        self.log.apply(samples.heartbeat('i', sequence=3, leaving=True))
        self.assertOutdated(self.log.apply(samples.heartbeat('i', sequence=2)))
        self.assertEqual({'i': True}, self.listed())

    def test_late_heartbeat_does_not_restore_a_departed_server(self):
        self.log.apply(samples.heartbeat('i', sequence=3))
        self.gone('i')
        self.assertOutdated(self.log.apply(samples.heartbeat('i', sequence=4)))
        self.assertEqual({}, self.listed())

    def test_departure_before_a_new_leader_gets_a_heartbeat(self):
        self.gone('i')
        self.assertOutdated(self.log.apply(samples.heartbeat('i', sequence=4)))
        self.assertEqual(('i',), self.members.preliminary_update().left)
        self.clock.advance(
            duration_ms=departures.UNKNOWN_INCARNATION_RETENTION_MS + 1
        )
        self.departures.forget_old(now_ms=self.clock.now_ms())
        self.assertApplied(
            self.log.apply(samples.heartbeat('i', started_ms=9))
        )

    def test_resent_heartbeat_is_not_outdated(self):
        self.log.apply(samples.heartbeat('i', sequence=3))
        for sequence, taken in (
            (3, heartbeats.HeartbeatResult.REPEATED),
            (4, heartbeats.HeartbeatResult.REPEATED),
            (2, heartbeats.HeartbeatResult.OUTDATED),
        ):
            self.assertIs(
                taken,
                self.log.apply(samples.heartbeat('i', sequence=sequence)),
            )

    def test_heartbeat_after_restart_under_the_same_id_is_applied(self):
        self.log.apply(samples.heartbeat('i', started_ms=5, sequence=9))
        self.gone('i')
        self.assertApplied(
            self.log.apply(samples.heartbeat('i', started_ms=8, sequence=1))
        )
        self.assertOutdated(
            self.log.apply(samples.heartbeat('i', started_ms=5, sequence=10))
        )
        self.assertEqual({'i': False}, self.listed())

    def test_newer_server_at_an_address_replaces_the_older_one(self):
        self.log.apply(samples.heartbeat('old', started_ms=5))
        self.assertApplied(
            self.log.apply(samples.heartbeat('new', started_ms=8))
        )
        self.assertEqual({'new': False}, self.listed())
        self.assertOutdated(
            self.log.apply(samples.heartbeat('old', started_ms=5, sequence=7))
        )
        self.assertEqual({'new': False}, self.listed())
