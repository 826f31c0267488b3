"""Tests of adding up what all gateways have under way."""

import unittest

from shallothinge import clock
from shallothinge import protocol
from shallothinge.placement import fleet


def work(server_id='s', **fields):
    return fleet.Work(
        **{'server_id': server_id, 'read_ms': 100.0, 'started_ms': 0, **fields}
    )


class FleetLoadTest(unittest.TestCase):
    """Own work and the peers' reports."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.one = fleet.FleetLoad(clock=self.clock)
        self.other = fleet.FleetLoad(clock=self.clock)
        self.codec = protocol.build_codec()

    def tell(self, *, complete=False):
        report = self.one.report(complete=complete)
        self.other.heard(
            peer='one', report=self.codec.decode(self.codec.encode(report))
        )

    def test_peer_learns_of_start_first_event_and_end(self):
        self.tell(complete=True)
        work_id = self.one.start(work(due_ms=300, pause_ms=250, weight=1.5))
        self.tell()
        self.assertEqual(self.one.loads(), self.other.loads())
        self.assertEqual(100, self.other.loads()['s'].backlog_ms)
        self.one.first_event(work_id)
        self.tell()
        load = self.other.loads()['s']
        self.assertEqual(0, load.backlog_ms)
        self.assertEqual(
            (fleet.Writer(pause_ms=250, weight=1.5),), load.writers
        )
        self.one.end(work_id)
        self.tell()
        self.assertEqual({}, self.other.loads())

    def test_complete_report_makes_good_a_lost_one(self):
        self.tell(complete=True)
        work_id = self.one.start(work())
        self.tell()
        self.one.end(work_id)
        self.one.report(complete=False)
        self.one.start(work('t'))
        self.tell()
        self.assertEqual(0, self.other.peer_count)
        self.tell(complete=True)
        self.assertEqual({'t'}, set(self.other.loads()))
        self.assertEqual(1, self.other.peer_count)

    def test_repeated_report_is_ignored(self):
        self.tell(complete=True)
        self.one.start(work())
        report = self.one.report(complete=False)
        self.other.heard(peer='one', report=report)
        self.other.heard(peer='one', report=report)
        self.assertEqual(1, self.other.loads()['s'].active)

    def test_silent_peer_is_forgotten(self):
        self.one.start(work())
        self.tell(complete=True)
        self.clock.advance(duration_ms=fleet.REPORT_KEPT_MS + 1)
        self.other.forget_silent()
        self.assertEqual({}, self.other.loads())


class LoadOfTest(unittest.TestCase):
    """Parts for others go before a server's own reads."""

    def test_own_reads_end_behind_parts_for_others(self):
        works = [
            work(read_ms=500.0, started_ms=0, due_ms=900, weight=2.0),
            work(read_ms=300.0, started_ms=100, is_helping=True),
        ]
        load = fleet.load_of(works, 200)
        self.assertEqual((1, 1), (load.active, load.helping))
        self.assertEqual(100, load.helping_ms)
        self.assertEqual(600, load.backlog_ms)
        self.assertEqual(
            (fleet.PendingRead(ends_in_ms=600, due_in_ms=700, weight=2.0),),
            load.reads,
        )

    def test_overdue_read_is_thought_to_end_soon(self):
        load = fleet.load_of([work(read_ms=50.0)], 400)
        self.assertEqual(fleet.OVERDUE_READ_MS, load.backlog_ms)
