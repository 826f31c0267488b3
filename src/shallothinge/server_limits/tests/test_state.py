"""Tests of the limits that backend servers name."""

import unittest

from shallothinge import clock
from shallothinge.server_limits import state

KEY = ('s', '1')


def build(now):
    """Return the limits at the only gateway."""
    alone = state.Gateways(heard_ids=('0',), listed_count=1)
    return state.ServerLimits(
        clock=now, own_id='0', find_gateways=lambda: alone
    )


class BeliefTest(unittest.TestCase):
    """What a gateway takes for a server's limit after its answers."""

    def test_newest_answer_to_a_later_request_counts(self):
        # Each answer: when its request was sent, when it came, its limit.
        rows = (
            ('named', ((0, 10, 2.0),), 2.0),
            ('not named', ((0, 10, None),), None),
            ('repeated', ((0, 10, 2.0), (5, 20, 2.0)), 2.0),
            ('smaller, overtaken', ((0, 10, 2.0), (5, 20, 1.0)), 1.0),
            ('larger, overtaken', ((0, 10, 2.0), (5, 20, 4.0)), 2.0),
            ('ended, overtaken', ((0, 10, 2.0), (10, 20, None)), 2.0),
            ('larger, sent later', ((0, 10, 2.0), (11, 20, 4.0)), 4.0),
            ('ended, sent later', ((0, 10, 2.0), (11, 20, None)), None),
            (
                'ended, repeated since',
                ((0, 10, 2.0), (0, 15, 2.0), (11, 20, None)),
                2.0,
            ),
            (
                'ended and named again',
                ((0, 10, 2.0), (11, 20, None), (12, 30, 1.0)),
                1.0,
            ),
            ('zero', ((0, 10, 0.0),), 0.0),
        )
        for name, answers, expected in rows:
            with self.subTest(name):
                now = clock.ManualClock(start_ms=0)
                limits = build(now)
                for sent_ms, at_ms, per_s in answers:
                    now.advance(duration_ms=at_ms - now.now_ms())
                    limits.record_answer(KEY, per_s=per_s, sent_ms=sent_ms)
                self.assertEqual(expected, limits.limit_per_s(KEY))
                self.assertEqual(expected is not None, limits.count)

    def test_limit_is_of_one_incarnation(self):
        limits = build(clock.ManualClock(start_ms=0))
        limits.record_answer(KEY, per_s=2.0, sent_ms=0)
        self.assertIsNone(limits.limit_per_s(('s', '2')))
