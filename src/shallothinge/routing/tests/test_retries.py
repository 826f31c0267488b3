"""Tests of the retry budget and of the delays between retries."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge.routing import retries

PERCENT = 10
BURST = 20
RETRIES_PER_REQUEST = 5


class BudgetTest(unittest.TestCase):
    """Retries in proportion to first attempts."""

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(events=st.lists(st.booleans(), max_size=400))
    def test_retries_stay_within_their_share(self, events):
        budget = retries.RetryBudget(percent=PERCENT, burst=BURST)
        for is_fresh in events:
            if is_fresh:
                budget.fresh()
            else:
                budget.take()
            allowed = BURST + budget.fresh_count * PERCENT / 100
            self.assertLessEqual(budget.retry_count, allowed)

    def test_full_outage_causes_no_retry_storm(self):
        budget = retries.RetryBudget(percent=PERCENT, burst=BURST)
        sent = 0
        for _ in range(10_000):
            budget.fresh()
            sent += 1
            for _ in range(RETRIES_PER_REQUEST):
                sent += budget.take()
        self.assertLessEqual(sent, 10_000 * 1.1 + BURST)

    def test_idle_time_saves_no_more_than_the_burst(self):
        budget = retries.RetryBudget(percent=PERCENT, burst=BURST)
        for _ in range(100_000):
            budget.fresh()
        taken = sum(budget.take() for _ in range(1000))
        self.assertEqual(BURST, taken)


class HedgeCreditTest(unittest.TestCase):
    """Hedges leave most of the credit to requests that have failed."""

    def test_hedges_alone_take_their_share_at_most(self):
        for percent, burst in ((16, 1), (16, 10), (3, 50)):
            with self.subTest(percent=percent, burst=burst):
                budget = retries.RetryBudget(percent=percent, burst=burst)
                taken = 0
                for _ in range(10_000):
                    budget.fresh()
                    taken += budget.take_hedge()
                share = retries.HEDGE_PERCENT / 100
                allowed = share * percent * 100 + max(1, share * burst)
                self.assertLessEqual(taken, allowed)
                self.assertGreater(taken, 0.9 * allowed)
                self.assertEqual(taken, budget.retry_count)

    def test_hedges_and_retries_together_keep_the_budget(self):
        budget = retries.RetryBudget(percent=16, burst=10)
        for _ in range(10_000):
            budget.fresh()
            budget.take_hedge()
            budget.take()
        self.assertLessEqual(budget.retry_count, 1610)

    def test_no_hedge_without_credit_for_a_retry(self):
        budget = retries.RetryBudget(percent=16, burst=10)
        while budget.take():
            pass
        self.assertFalse(budget.take_hedge())

    def test_smaller_burst_limits_saved_hedges(self):
        budget = retries.RetryBudget(percent=16, burst=10)
        budget.limit_burst(1)
        self.assertEqual(1, sum(budget.take_hedge() for _ in range(10)))


class DelayTest(unittest.TestCase):
    """Delays with full jitter, and the deadline check."""

    def test_delay_is_spread_from_zero_to_a_growing_ceiling(self):
        rng = random.Random(1)
        for failures in range(0, 40, 4):
            with self.subTest(failures=failures):
                delays = [
                    retries.delay_ms(failures=failures, rng=rng)
                    for _ in range(500)
                ]
                ceiling = min(
                    retries.MAX_DELAY_MS, retries.BASE_DELAY_MS << failures
                )
                self.assertGreaterEqual(min(delays), 1)
                self.assertLessEqual(max(delays), ceiling)
                self.assertLess(min(delays), ceiling / 4)
                self.assertGreater(max(delays), ceiling * 3 / 4)

    def test_retry_never_starts_past_the_deadline(self):
        self.assertFalse(
            retries.starts_before_deadline(delay_ms=10, remaining_ms=10)
        )
        self.assertTrue(
            retries.starts_before_deadline(delay_ms=9, remaining_ms=10)
        )
