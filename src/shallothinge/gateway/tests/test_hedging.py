"""Tests of the time after which a call is sent to a second server."""

import random
import unittest

from shallothinge import clock
from shallothinge.gateway import hedging
from shallothinge.routes import model as routes

ROUTE = 'r'


def route(*, objective_ms=200, timeout_ms=400):
    return routes.Route(
        name=ROUTE,
        host='a.example',
        path_prefix='/search/',
        kind=routes.RequestKind.SAFE,
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        split=(routes.Split(service='desk', weight=1),),
    )


class AnswerTimesTest(unittest.TestCase):
    """The memory of recent answers is bounded, and old ones are dropped."""

    def setUp(self):
        self.clock = clock.ManualClock(start_ms=1000)
        self.times = hedging.AnswerTimes(clock=self.clock)

    def record(self, *durations_ms):
        for duration_ms in durations_ms:
            self.times.record(ROUTE, duration_ms=duration_ms)
        self.clock.advance(duration_ms=hedging.ESTIMATE_MS)

    def test_estimate_needs_some_answers(self):
        self.assertIsNone(self.times.estimate(ROUTE))
        self.record(*[50] * (hedging.MIN_ANSWERS - 1))
        self.assertIsNone(self.times.estimate(ROUTE))
        self.record(90)
        self.assertEqual(
            hedging.Estimate(
                count=hedging.MIN_ANSWERS, quick_ms=50, usual_ms=88
            ),
            self.times.estimate(ROUTE),
        )

    def test_route_that_becomes_slower_is_followed(self):
        self.record(*[50] * hedging.MAX_ANSWERS)
        self.record(*[250] * hedging.MAX_ANSWERS)
        found = self.times.estimate(ROUTE)
        self.assertEqual((250, 250), (found.quick_ms, found.usual_ms))
        self.assertEqual(hedging.MAX_ANSWERS, found.count)

    def test_answers_are_forgotten(self):
        self.record(*[50] * hedging.MAX_ANSWERS)
        self.clock.advance(duration_ms=hedging.MAX_AGE_MS)
        self.assertIsNone(self.times.estimate(ROUTE))

    def test_routes_are_bounded(self):
        for number in range(hedging.MAX_ROUTES + 10):
            self.times.record(str(number), duration_ms=1)
        self.assertEqual(hedging.MAX_ROUTES, self.times.count)

    def test_one_of_twenty_sound_calls_is_overdue_at_most(self):
        """An early hedge spends the budget that failures need."""
        rng = random.Random(7)
        makers = {
            'even': lambda: rng.uniform(20, 120),
            'long tail': lambda: 40 * rng.lognormvariate(0, 0.6),
            'two speeds': lambda: rng.choice([50] * 9 + [180]),
        }
        for name, make in makers.items():
            for remaining_ms in (260, 400, 1500):
                with self.subTest(name, remaining_ms=remaining_ms):
                    self.setUp()
                    early_count = 0
                    for _ in range(2000):
                        timing = hedging.decide_timing(
                            route=route(timeout_ms=1500),
                            estimate=self.times.estimate(ROUTE),
                            expected_ms=0.0,
                            remaining_ms=remaining_ms,
                        )
                        duration_ms = round(make())
                        early_count += (
                            timing is not None
                            and timing.leaves_time
                            and duration_ms > timing.delay_ms
                        )
                        self.record(duration_ms)
                    self.assertLessEqual(early_count, 2000 // 18)


class TimingTest(unittest.TestCase):
    """Calls are hedged neither too early nor too late."""

    def test_delay_follows_answers_and_time_limit(self):
        rows = (
            # quick, usual, expected, remaining, delay, latest, leaves time
            (40, 80, 0.0, 400, 120, 280, True),
            (40, 80, 0.0, 220, 100, 100, True),
            (40, 80, 0.0, 130, 80, 80, True),
            (40, 80, 0.0, 120, 80, 80, False),
            (2, 3, 0.0, 400, 60, 340, True),
            (100, 200, 0.0, 400, 200, 200, True),
            (100, 299, 0.0, 400, 299, 299, True),
            (100, 300, 0.0, 400, 300, 300, False),
            (100, 400, 0.0, 400, None, None, False),
            (10, 20, 100.0, 5000, 450, 4550, True),
            (None, None, 0.0, 400, 200, 200, True),
            (None, None, 0.0, 390, 200, 200, True),
            (None, None, 0.0, 300, 200, 200, False),
            (None, None, 0.0, 200, None, None, False),
        )
        for quick, usual, expected, remaining, *decided in rows:
            delay, latest, leaves_time = decided
            with self.subTest(quick=quick, usual=usual, left=remaining):
                estimate = None
                if quick is not None:
                    estimate = hedging.Estimate(
                        count=50, quick_ms=quick, usual_ms=usual
                    )
                timing = hedging.decide_timing(
                    route=route(),
                    estimate=estimate,
                    expected_ms=expected,
                    remaining_ms=remaining,
                )
                if delay is None:
                    self.assertIsNone(timing)
                    continue
                self.assertEqual(
                    (delay, latest), (timing.delay_ms, timing.latest_ms)
                )
                self.assertIs(leaves_time, timing.leaves_time)
                self.assertIs(estimate, timing.estimate)

    def test_routes_bound_holds_until_answers_are_known(self):
        for objective_ms, timeout_ms, delay_ms in (
            (150, 400, 150),
            (300, 400, 200),
            (400, 1500, 400),
        ):
            with self.subTest(objective_ms=objective_ms):
                timing = hedging.decide_timing(
                    route=route(
                        objective_ms=objective_ms, timeout_ms=timeout_ms
                    ),
                    estimate=None,
                    expected_ms=0.0,
                    remaining_ms=timeout_ms,
                )
                self.assertEqual(delay_ms, timing.delay_ms)
