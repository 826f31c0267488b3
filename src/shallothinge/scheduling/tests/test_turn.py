"""Tests of when a waiting request may take a free slot."""

import unittest

from shallothinge.scheduling import turn

FREE_MS = turn.MAX_YIELD_MS


class WaitTest(unittest.TestCase):
    """Guards against slots taken twice, and against slots that stay free."""

    def test_wait_by_position_and_turn(self):
        for name, position, own_count, next_ms, oldest_ms, expected_ms in (
            ('no slot is free', 0, 0, None, None, None),
            ('first, with the turn', 0, 1, None, 0, 0),
            ('second, one slot', 1, 1, None, 0, None),
            ('second, two slots', 1, 2, None, 0, 0),
            ('others have the turn', 0, 0, 30, 0, 30),
            ('second, its turn is next', 1, 1, 20, 5, 20),
        ):
            with self.subTest(name=name):
                found_ms = turn.wait_ms(
                    position=position,
                    yield_ms=0,
                    own_count=own_count,
                    next_turn_in_ms=next_ms,
                    oldest_ms=oldest_ms,
                )
                self.assertEqual(expected_ms, found_ms)

    def test_request_yields_for_a_while(self):
        for oldest_ms, expected_ms in (
            (None, None),
            (0, FREE_MS),
            (FREE_MS - 1, 1),
            (FREE_MS, 0),
            (10 * FREE_MS, 0),
        ):
            with self.subTest(oldest_ms=oldest_ms):
                found_ms = turn.wait_ms(
                    position=0,
                    yield_ms=FREE_MS,
                    own_count=1,
                    next_turn_in_ms=None,
                    oldest_ms=oldest_ms,
                )
                self.assertEqual(expected_ms, found_ms)
