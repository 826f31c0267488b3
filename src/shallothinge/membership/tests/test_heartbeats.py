"""Tests of heartbeats that arrive late or out of order."""

import unittest

import attrs

from shallothinge import clock
from shallothinge.membership import departures
from shallothinge.membership import heartbeats
from shallothinge.membership import messages
from shallothinge.membership import table
from shallothinge.membership.tests import samples


class HeartbeatFilterTest(unittest.TestCase):
    """Outdated and repeated heartbeats change nothing."""

    def setUp(self):
        self.clock = clock.ManualClock(start_ms=7)
        self.members = table.MemberTable(
            clock=self.clock, epoch='e', silence_ms=4000
        )
        self.departures = departures.Departures()
        self.log = heartbeats.HeartbeatFilter(
            clock=self.clock,
            members=self.members,
            find_departure=lambda server: self.departures.find(
                server=server, now_ms=self.clock.now_ms()
            ),
        )

    def assertOutdated(self, taken):
        self.assertIs(heartbeats.HeartbeatResult.OUTDATED, taken)

    def assertApplied(self, taken):
        self.assertIs(heartbeats.HeartbeatResult.CHANGED, taken)

    def gone(self, server_id):
        """Record a departure now."""
        now_ms = self.clock.now_ms()
        order = messages.ServerGone(
            request_id='g', server_id=server_id, asked_ms=now_ms
        )
        self.departures.record(
            self.log.apply_departure(order, now_ms=now_ms),
            index=1,
            now_ms=now_ms,
        )

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
        started_ms = self.clock.now_ms() + 1
        self.assertApplied(
            self.log.apply(samples.heartbeat('i', started_ms=started_ms))
        )

    def test_server_whose_start_a_former_release_left_out_is_listed_with_it(
        self,
    ):
        beat = samples.heartbeat('i', started_ms=9)
        server = attrs.evolve(beat.server, started_ms=0)
        self.log.apply(attrs.evolve(beat, server=server))
        self.assertEqual((beat.server,), self.members.servers())

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
