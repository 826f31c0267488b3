"""Tests of the rate of placements."""

import unittest

from shallothinge.scheduling import grants

WINDOW_MS = grants.RATE_WINDOW_MS


class GrantHistoryTest(unittest.TestCase):
    """The rate from which waits are expected."""

    def test_rate_is_that_of_the_window(self):
        # Times and numbers of placements, time of asking, rate.
        rows = (
            ('none', (), 1000, None),
            ('steady', ((0, 1), (100, 1), (200, 1), (300, 1)), 400, 0.01),
            ('reported together', ((0, 2), (200, 2)), 400, 0.01),
            ('burst', ((0, 5),), 1, 5 / grants.MIN_RATE_SPAN_MS),
            ('ceased', ((0, 1), (100, 1)), 4000, 2 / 4000),
            ('at the edge of the window', ((0, 5),), WINDOW_MS, 5 / WINDOW_MS),
            ('older than the window', ((0, 5),), WINDOW_MS + 1, None),
        )
        for name, placements, now_ms, expected in rows:
            with self.subTest(name):
                history = grants.GrantHistory()
                for at_ms, count in placements:
                    history.record(now_ms=at_ms, count=count)
                self.assertEqual(expected, history.rate_per_ms(now_ms))
                history.forget_recent()
                self.assertIsNone(history.rate_per_ms(now_ms))
