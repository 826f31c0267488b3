"""Tests of what a process tells of its being held up."""

import unittest
from unittest import mock

from twisted.internet import task

from shallothinge import clock as clocks
from shallothinge import holdups


class HoldUpWatchTest(unittest.TestCase):
    """A watch whose process is held up by the test."""

    def setUp(self):
        self.reactor = task.Clock()
        self.clock = clocks.ManualClock()
        self.spent = holdups.Spent(ran_ms=0, ready_ms=0)
        self.watch = holdups.HoldUpWatch(
            reactor=self.reactor,
            clock=self.clock,
            read_spent=lambda: self.spent,
        )
        self.watch.start()
        self.addCleanup(self.watch.stop)

    def pass_time(self, duration_ms):
        """Let time pass after which the reactor runs again."""
        self.clock.advance(duration_ms=duration_ms)
        self.reactor.advance(duration_ms / clocks.MS_PER_SECOND)

    def test_late_tick_tells_what_the_time_was_spent_on(self):
        for case, ran_ms, ready_ms in (
            ('computes', 2000, 40),
            ('gets no processor', 30, 1970),
            ('is stopped', 0, 0),
            ('kernel does not tell', 0, None),
        ):
            with self.subTest(case=case):
                self.spent = holdups.Spent(ran_ms=0, ready_ms=0)
                self.pass_time(holdups.TICK_MS)
                self.spent = holdups.Spent(ran_ms=ran_ms, ready_ms=ready_ms)
                with self.assertLogs(holdups.LOG, 'WARNING') as logs:
                    self.pass_time(2000)
                [record] = logs.records
                self.assertEqual(2000 - holdups.TICK_MS, record.late_ms)
                self.assertEqual(ran_ms, record.ran_ms)
                self.assertEqual(ready_ms, record.ready_ms)

    def test_ticks_that_are_a_little_late_are_not_told(self):
        with self.assertNoLogs(holdups.LOG, 'WARNING'):
            for _ in range(50):
                self.pass_time(holdups.TICK_MS + holdups.LATE_MS - 1)

    def test_watch_goes_on_after_a_tick_that_raised_an_exception(self):
        # The loop ended, and no later hold-up was told.
        fault = mock.Mock(side_effect=ValueError('injected'))
        with mock.patch.object(self.watch, '_read_spent', fault):
            self.pass_time(holdups.TICK_MS)
        fault.assert_called_once()
        with self.assertLogs(holdups.LOG, 'WARNING'):
            self.pass_time(60_000)

    def test_long_hold_up_is_told_once(self):
        with self.assertLogs(holdups.LOG, 'WARNING') as logs:
            self.pass_time(60_000)
            for _ in range(20):
                self.pass_time(holdups.TICK_MS)
        self.assertEqual(1, len(logs.records))


class ReadingTest(unittest.TestCase):
    """What the kernel tells of this process."""

    def test_processor_time_is_told(self):
        before = holdups.read_spent()
        while holdups.read_spent().ran_ms < before.ran_ms + 20:
            sum(range(1000))
        fields = holdups.read_spent().fields_since(before)
        self.assertGreaterEqual(fields['ran_ms'], 20)

    def test_age_of_the_process_is_told(self):
        age_ms = holdups.read_age_ms()
        self.assertGreater(age_ms, 0)
        self.assertLessEqual(age_ms, holdups.read_age_ms())
