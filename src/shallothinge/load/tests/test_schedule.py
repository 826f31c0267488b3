"""Tests of request schedules."""

import unittest

from shallothinge import tokens
from shallothinge.load import profile
from shallothinge.load import schedule


def _plan(callers, seed=7):
    return list(
        schedule.plan(
            callers=callers, rate_per_s=50, duration_ms=60_000, seed=seed
        )
    )


class ScheduleTest(unittest.TestCase):
    """Same seed, same schedule; classes independent of each other."""

    def test_same_seed_gives_same_schedule(self):
        self.assertEqual(
            _plan(profile.MAKAZI_BORA), _plan(profile.MAKAZI_BORA)
        )

    def test_leaving_long_prompts_out_changes_no_short_one(self):
        mixed = _plan(profile.TAN_PHAT)
        short_only = _plan(profile.TAN_PHAT.without_long_prompts())
        kept = [
            (one.at_ms, one.prompt_tokens)
            for one in mixed
            if one.prompt_tokens <= profile.LONG_PROMPT_TOKENS
        ]
        self.assertEqual(
            kept, [(one.at_ms, one.prompt_tokens) for one in short_only]
        )
        self.assertLess(len(short_only), len(mixed))

    def test_prompt_has_planned_length(self):
        for planned in _plan(profile.MAKAZI_BORA)[:20]:
            with self.subTest(number=planned.number):
                text = planned.prompt(shared_prefix_tokens=1024)
                self.assertEqual(
                    planned.prompt_tokens, tokens.count_tokens(text)
                )

    def test_one_prompt_in_fifty_is_long(self):
        share = sum(
            kind.share
            for kind in profile.MAKAZI_BORA.prompt_classes
            if kind.min_prompt_tokens > profile.LONG_PROMPT_TOKENS
        )
        self.assertAlmostEqual(1 / 50, share)
