"""Tests of measuring the pace of servers."""

import unittest

import attrs

from shallothinge import clock
from shallothinge.placement import pace

KEY = ('s', '1')
SLOW = pace.FirstEvent(measured_ms=400, expected_ms=100, read_ms=30)
SOUND = attrs.evolve(SLOW, measured_ms=110)


class ServerPacesTest(unittest.TestCase):
    """The pace by the recent measurements of a server."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.paces = pace.ServerPaces(clock=self.clock)

    def record(self, first_event=SLOW, *, count=pace.MIN_MEASUREMENTS):
        for _ in range(count):
            self.paces.record(KEY, first_event)

    def test_pace_is_the_median_of_recent_measurements(self):
        for name, measured_ms, expected_pace in (
            ('none', (), 1.0),
            ('too few', (400,) * (pace.MIN_MEASUREMENTS - 1), 1.0),
            ('enough', (400,) * pace.MIN_MEASUREMENTS, 4.0),
            ('one is far off', (300, 300, 9000, 300, 300), 3.0),
            ('fast', (10,) * pace.MIN_MEASUREMENTS, 1.0),
            ('as much as sound servers vary', (140,) * 9, 1.0),
            ('endless', (10**9,) * 9, pace.MAX_PACE),
            ('slow of late', (100,) * 20 + (400,) * 5, 4.0),
        ):
            self.setUp()
            for each_ms in measured_ms:
                self.record(attrs.evolve(SLOW, measured_ms=each_ms), count=1)
            with self.subTest(name):
                self.assertEqual(expected_pace, self.paces.pace(KEY))

    def test_event_that_says_little_of_the_server_is_left_out(self):
        for name, fields, is_slow in (
            ('short prompt', {}, True),
            ('few other reads', {'other_reads_ms': 10.0}, True),
            ('divided prompt', {'is_divided': True}, False),
            ('long prompt', {'read_ms': 101.0}, False),
            ('long reads beside it', {'other_reads_ms': 500.0}, False),
            ('waited for a connection', {'sent_after_ms': 300}, False),
            ('no engine', {'read_ms': 0.0, 'expected_ms': 0.0}, False),
        ):
            self.setUp()
            self.record(attrs.evolve(SLOW, **fields))
            with self.subTest(name):
                self.assertEqual(is_slow, self.paces.pace(KEY) > 1)

    def test_other_reads_belong_to_the_expected_time(self):
        self.record(attrs.evolve(SLOW, measured_ms=200, other_reads_ms=50.0))
        self.assertEqual(1.0, self.paces.pace(KEY))

    def test_pauses_count_once_in_an_interval(self):
        # Guards against servers that count as slow because the gateway was
        # held up once, with several of their streams.
        for interval_ms, is_slow in (
            (0, False),
            (pace.PAUSE_INTERVAL_MS // 2, False),
            (pace.PAUSE_INTERVAL_MS, True),
        ):
            self.setUp()
            for _ in range(pace.MIN_MEASUREMENTS):
                self.paces.record_pause(KEY, measured_ms=180, pass_ms=45)
                self.clock.advance(duration_ms=interval_ms)
            with self.subTest(interval_ms=interval_ms):
                self.assertEqual(is_slow, self.paces.pace(KEY) > 1)

    def test_slow_server_is_tried_again(self):
        # Guards against a server that is never used again, as it gets no
        # requests and therefore no new measurements.
        self.record()
        for now_ms, expected_pace in (
            (0, 4.0),
            (pace.RETEST_INTERVAL_MS - 1, 4.0),
            (pace.RETEST_INTERVAL_MS, 1.0),
            (pace.RETEST_INTERVAL_MS + pace.RETEST_WINDOW_MS, 4.0),
            (2 * pace.RETEST_INTERVAL_MS, 1.0),
            (pace.MEASUREMENT_TTL_MS - 1, 4.0),
            (pace.MEASUREMENT_TTL_MS, 1.0),
            (pace.MEASUREMENT_TTL_MS + pace.RETEST_INTERVAL_MS - 1, 1.0),
        ):
            self.clock.advance(duration_ms=now_ms - self.clock.now_ms())
            with self.subTest(now_ms=now_ms):
                self.assertEqual(expected_pace, self.paces.pace(KEY))

    def test_one_measurement_of_a_retest_decides(self):
        for first_event, expected_pace in ((SLOW, 4.0), (SOUND, 1.0)):
            self.setUp()
            self.record()
            self.clock.advance(duration_ms=pace.RETEST_INTERVAL_MS)
            self.record(first_event, count=1)
            with self.subTest(measured_ms=first_event.measured_ms):
                self.assertEqual(expected_pace, self.paces.pace(KEY))

    def test_old_measurements_expire(self):
        self.record(count=pace.MIN_MEASUREMENTS - 1)
        self.clock.advance(duration_ms=pace.MEASUREMENT_TTL_MS + 1)
        self.record(count=1)
        self.assertEqual(1.0, self.paces.pace(KEY))

    def test_pace_is_that_of_one_incarnation(self):
        self.record()
        self.assertEqual(1.0, self.paces.pace(('s', '2')))
        self.paces.forget_unlisted({KEY})
        self.assertEqual(4.0, self.paces.pace(KEY))
        self.paces.forget_unlisted({('s', '2')})
        self.assertEqual(1.0, self.paces.pace(KEY))


if __name__ == '__main__':
    unittest.main()
