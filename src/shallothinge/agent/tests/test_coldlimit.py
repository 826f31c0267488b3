"""Tests of the limit of engines that may be cold."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge import clock
from shallothinge.agent import coldlimit
from shallothinge.agent import gate

COLD_TOKENS = 8000
FULL_TOKENS = 128_000
WARM_PACE_MS = 10.0
COLD_PACE_MS = 40.0
ENTRIES = 3
SIZES_TOKENS = (500, 2000, 4000, 8000, 16_000, 120_000)
LAG_MS = coldlimit.COLD_REPORT_LAG_MS + 1


def make_limit(*, manual_clock) -> coldlimit.ColdLimit:
    """Return the limit of an engine that has just started."""
    limit = coldlimit.ColdLimit(
        clock=manual_clock,
        cold_tokens=COLD_TOKENS,
        full_tokens=FULL_TOKENS,
        full_streams=64,
    )
    limit.saw_incarnation('first')
    return limit


def warm_up(limit: coldlimit.ColdLimit) -> None:
    """Finish work at the usual pace until the limit is full."""
    while not limit.is_full:
        limit.finished(tokens=limit.tokens)
    for _ in range(coldlimit.RECENT_SAMPLES):
        limit.saw_pace(ms_per_token=WARM_PACE_MS)


def turn_slow(limit: coldlimit.ColdLimit) -> None:
    """Let the pace fall without any other sign."""
    for _ in range(coldlimit.RECENT_SAMPLES):
        limit.saw_pace(ms_per_token=COLD_PACE_MS)


class ColdLimitTest(unittest.TestCase):
    """Growth and cuts of the limit."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.limit = make_limit(manual_clock=self.clock)

    def test_limit_doubles_when_as_much_work_has_finished(self):
        self.limit.finished(tokens=COLD_TOKENS - 1)
        self.assertEqual(COLD_TOKENS, self.limit.tokens)
        self.limit.finished(tokens=1)
        self.assertEqual(COLD_TOKENS * 2, self.limit.tokens)

    def test_each_sign_of_cold_cuts_the_limit(self):
        signs = {
            'restart': lambda: self.limit.saw_incarnation('second'),
            'report': lambda: self.limit.saw_load(
                cold=True, incarnation='first'
            ),
            'pace': lambda: turn_slow(self.limit),
        }
        for name, show in signs.items():
            with self.subTest(sign=name):
                self.setUp()
                warm_up(self.limit)
                show()
                self.assertEqual(COLD_TOKENS, self.limit.tokens)

    def test_report_about_an_earlier_start_is_ignored(self):
        warm_up(self.limit)
        self.limit.saw_load(cold=True, incarnation='older')
        self.assertTrue(self.limit.is_full)

    def test_no_growth_while_cold(self):
        rows = {
            'reported': lambda: self.limit.saw_load(
                cold=True, incarnation='first'
            ),
            'slow': lambda: turn_slow(self.limit),
        }
        for name, show in rows.items():
            with self.subTest(sign=name):
                self.setUp()
                warm_up(self.limit)
                show()
                self.limit.finished(tokens=FULL_TOKENS)
                self.assertEqual(COLD_TOKENS, self.limit.tokens)

    def test_growth_goes_on_at_the_usual_pace(self):
        warm_up(self.limit)
        turn_slow(self.limit)
        for _ in range(coldlimit.RECENT_SAMPLES):
            self.limit.saw_pace(ms_per_token=WARM_PACE_MS)
        self.limit.finished(tokens=COLD_TOKENS)
        self.assertEqual(COLD_TOKENS * 2, self.limit.tokens)

    def test_late_tokens_ask_for_care(self):
        self.assertFalse(self.limit.is_overdue(silent_ms=1000))
        warm_up(self.limit)
        self.assertFalse(
            self.limit.is_overdue(silent_ms=coldlimit.MIN_OVERDUE_MS)
        )
        self.assertTrue(
            self.limit.is_overdue(silent_ms=coldlimit.MIN_OVERDUE_MS + 1)
        )

    def test_lasting_pace_becomes_the_expected_one(self):
        warm_up(self.limit)
        turn_slow(self.limit)
        for _ in range(coldlimit.RELEARN_FACTOR + 1):
            turn_slow(self.limit)
            self.limit.finished(tokens=COLD_TOKENS)
        self.assertEqual(COLD_TOKENS * 2, self.limit.tokens)


class ThreeEntries(stateful.RuleBasedStateMachine):
    """Three entries send work at once to an engine that turns cold.

    The engine carries, while cold, its cold limit and as much as it has
    worked off since. Work that it had before it turned cold counts as
    carried, but not as worked off since.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.limit = make_limit(manual_clock=self.clock)
        self.gate = gate.Gate(limit=self.limit, memory_tokens=FULL_TOKENS)
        self.starts = 1
        self.cold = True
        self.worked = 0
        self.work = {}
        self.earlier = set()
        self.next_key = 0

    @stateful.initialize(warm=strategies.booleans())
    def begin(self, warm):
        """Begin with an engine that has just started, or a warm one."""
        if warm:
            self.cold = False
            warm_up(self.limit)

    @stateful.rule(
        sizes=strategies.lists(
            strategies.sampled_from(SIZES_TOKENS), min_size=1, max_size=9
        )
    )
    def submit(self, sizes):
        """Submit work of three entries in turn; check what is carried."""
        for tokens in sizes:
            self.next_key += 1
            key = (self.next_key % ENTRIES, self.next_key)
            answer = self.gate.admit(key=key, work=gate.Work(tokens=tokens))
            if isinstance(answer, gate.Admitted):
                self.work[key] = tokens
                self._check()

    def _check(self):
        carried = sum(self.work.values())
        assert carried <= FULL_TOKENS
        if self.cold:
            assert carried <= COLD_TOKENS + self.worked

    @stateful.precondition(lambda self: self.work)
    @stateful.rule(data=strategies.data())
    def finish(self, data):
        """Finish some work at the pace that the engine has."""
        key = data.draw(strategies.sampled_from(sorted(self.work)))
        tokens = self.work.pop(key)
        if key not in self.earlier:
            self.worked += tokens
        pace = COLD_PACE_MS if self.cold else WARM_PACE_MS
        self.limit.saw_pace(ms_per_token=pace)
        self.gate.release(key=key)
        self.limit.finished(tokens=tokens)

    @stateful.rule(sign=strategies.sampled_from(('restart', 'load', 'pace')))
    def turn_cold(self, sign):
        """Turn cold; one sign shows it before the next work comes."""
        if sign == 'pace' and (self.cold or self.limit.baseline_ms is None):
            return
        self.cold = True
        self.worked = 0
        if sign == 'restart':
            self._restart()
        elif sign == 'load':
            self.limit.saw_load(cold=True, incarnation=self.limit.incarnation)
        else:
            turn_slow(self.limit)
        self.earlier = set(self.work)

    def _restart(self):
        for key in list(self.work):
            self.gate.release(key=key)
        self.work.clear()
        self.starts += 1
        self.limit.saw_incarnation(f'start-{self.starts}')

    @stateful.rule(duration_ms=strategies.sampled_from((100, LAG_MS)))
    def pass_time(self, duration_ms):
        """Let time pass; a lagged report says that the engine is warm."""
        self.clock.advance(duration_ms=duration_ms)
        if self.worked >= FULL_TOKENS:
            self.cold = False
        if not self.cold:
            self.limit.saw_load(cold=False, incarnation=self.limit.incarnation)


ThreeEntriesTest = ThreeEntries.TestCase
ThreeEntriesTest.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None
)
