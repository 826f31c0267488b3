"""Tests of when a gateway reports what waits there for a slot."""

import unittest
from unittest import mock

from twisted.internet import task

from shallothinge import clock as clocks
from shallothinge import periodic
from shallothinge.gateway import demand_reports
from shallothinge.gateway import room
from shallothinge.placement import fleet
from shallothinge.scheduling import demand
from shallothinge.scheduling import messages
from shallothinge.scheduling import model

START_MS = 1000
SERVICE = 'llm'


class DemandReportsTest(unittest.TestCase):
    """The reports of one gateway."""

    def setUp(self):
        self.reactor = task.Clock()
        self.clock = clocks.ManualClock(start_ms=START_MS)
        self.room = room.RoomQueue(
            clock=self.clock,
            reactor=self.reactor,
            load=fleet.FleetLoad(clock=self.clock),
            own_id='0',
        )
        self.sent = []
        self.reports = demand_reports.DemandReports(
            reactor=self.reactor,
            reporter=self.room.reporter,
            send=self.send,
        )
        self.room.queue.on_change = self.reports.notify_change
        self.room.peer_demand.on_change = self.reports.schedule
        self._sequence = 0
        patcher = mock.patch.object(periodic, 'FAILURES', periodic.Failures())
        patcher.start()
        self.addCleanup(patcher.stop)

    @property
    def now_ms(self):
        """Return the time since the start."""
        return self.clock.now_ms() - START_MS

    def send(self, report):
        """Record a report and its time."""
        self.sent.append((self.now_ms, report))

    @property
    def times_ms(self):
        """Return the times of the reports."""
        return [at_ms for at_ms, _ in self.sent]

    def pass_ms(self, duration_ms):
        """Let time pass in steps of 1 ms."""
        for _ in range(duration_ms):
            self.clock.advance(duration_ms=1)
            self.reactor.advance(0.001)

    def join(self):
        """Let a request wait; return its id."""
        return self.room.join(
            model.WaitingRequest(
                service=SERVICE,
                urgency=1,
                workspace='w1',
                due_ms=START_MS + 5000,
                abandon_ms=START_MS + 9000,
                min_service_ms=10.0,
            )
        )

    def report_peer_demand(self, *waiting):
        """Receive the report of a peer."""
        self._sequence += 1
        self.room.peer_demand.apply_report(
            messages.DemandReported(sequence=self._sequence, waiting=waiting),
            peer_id='peer',
        )

    def test_nothing_is_reported_without_waiting_requests(self):
        self.room.occupy(service=SERVICE, workspace='w1')
        self.pass_ms(1000)
        self.assertEqual([], self.sent)
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_change_is_reported_soon_and_repeated(self):
        self.join()
        self.pass_ms(350)
        first_ms = demand_reports.CHANGE_DELAY_MS
        self.assertEqual(
            [
                first_ms + count * demand.REPEAT_INTERVAL_MS
                for count in range(4)
            ],
            self.times_ms,
        )
        sequences = [report.sequence for _, report in self.sent]
        self.assertEqual([1, 2, 3, 4], sequences)

    def test_change_between_repeated_reports_is_not_delayed(self):
        self.join()
        self.pass_ms(50)
        self.join()
        self.pass_ms(demand_reports.CHANGE_DELAY_MS)
        self.assertEqual([2, 52], self.times_ms)
        self.assertEqual(2, len(self.sent[-1][1].waiting))

    def test_frequent_changes_share_reports(self):
        waiting_id = self.join()
        for _ in range(100):
            self.room.leave(waiting_id)
            waiting_id = self.join()
            self.pass_ms(1)
        gaps_ms = [
            after - before
            for before, after in zip(
                self.times_ms, self.times_ms[1:], strict=False
            )
        ]
        self.assertEqual({demand.MIN_REPORT_INTERVAL_MS}, set(gaps_ms))
        self.assertEqual(5, len(self.sent))

    def test_last_request_that_leaves_is_reported_once(self):
        waiting_id = self.join()
        self.pass_ms(30)
        self.room.leave(waiting_id)
        self.pass_ms(1000)
        self.assertEqual([2, 32], self.times_ms)
        self.assertEqual((), self.sent[-1][1].waiting)
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_slots_in_use_are_reported_while_requests_wait_at_a_peer(self):
        self.room.occupy(service=SERVICE, workspace='w1')
        self.report_peer_demand((SERVICE, 1, False, 500, 5000, 1))
        self.pass_ms(150)
        self.assertEqual([2, 102], self.times_ms)
        self.assertEqual(((SERVICE, 'w1', 1, False),), self.sent[-1][1].in_use)
        self.report_peer_demand()
        self.pass_ms(1000)
        self.assertEqual((), self.sent[-1][1].in_use)
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_reports_go_on_after_an_exception(self):
        # Guards against peers that hear nothing until the next change.
        for place, name in ((self.room.queue, 'summary'), (self, 'send')):
            with self.subTest(name):
                self.join()
                raises = mock.Mock(side_effect=RuntimeError('injected'))
                reports = self.reports
                if name == 'send':
                    patched = mock.patch.object(reports, '_send', raises)
                else:
                    patched = mock.patch.object(place, name, raises)
                with patched, self.assertLogs(level='ERROR'):
                    periodic.FAILURES.count = 0
                    self.pass_ms(20)
                # A lasting fault must not keep the process busy.
                self.assertLessEqual(raises.call_count, 1)
                self.sent.clear()
                self.pass_ms(demand.REPEAT_INTERVAL_MS)
                self.assertEqual(1, len(self.sent))


if __name__ == '__main__':
    unittest.main()
