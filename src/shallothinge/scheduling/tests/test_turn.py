"""Tests of the decision to send a waiting request."""

import unittest

from shallothinge import clock as clocks
from shallothinge.scheduling import turn

YIELD_MS = turn.MAX_YIELD_MS


class MaySendTest(unittest.TestCase):
    """The first requests are sent, others once the first have failed to."""

    def test_rank_and_free_slots_decide_until_the_yield_ends(self):
        # Rank, free slots, time for which some have been free.
        rows = (
            ('first', 0, 1, 0, True),
            ('last that has a slot', 2, 3, 0, True),
            ('first without a slot', 3, 3, 0, False),
            ('nothing is free', 0, 0, None, False),
            ('no slot, said to be free for long', 0, 0, 1000, False),
            ('yields to the last moment', 3, 1, YIELD_MS - 1, False),
            ('has yielded', 3, 1, YIELD_MS, True),
        )
        for name, rank, free, free_for_ms, expected in rows:
            with self.subTest(name):
                since_ms = None if free_for_ms is None else 5000 - free_for_ms
                self.assertEqual(
                    expected,
                    turn.may_send(
                        rank=rank,
                        free_slots=free,
                        free_since_ms=since_ms,
                        now_ms=5000,
                    ),
                )

    def test_yield_restarts_only_when_nothing_is_free(self):
        # Numbers of free slots at intervals, time until the yield ends.
        rows = (
            ('never free', (), None),
            ('free once', (1,), YIELD_MS - 20),
            ('one taken, one left', (2, 1), YIELD_MS - 40),
            ('all taken', (2, 0), None),
            ('free again', (2, 0, 1), YIELD_MS - 20),
            ('long free', (1, 1, 1, 1), 0),
        )
        for name, counts, expected in rows:
            with self.subTest(name):
                now = clocks.ManualClock(start_ms=0)
                free = turn.FreeSlots(clock=now)
                for count in counts:
                    free.record('chat', count)
                    now.advance(duration_ms=20)
                self.assertEqual(expected, free.yield_ends_in_ms('chat'))
                self.assertEqual(
                    expected == 0, free.may_send('chat', rank=100)
                )
                self.assertFalse(free.may_send('other', rank=0))
