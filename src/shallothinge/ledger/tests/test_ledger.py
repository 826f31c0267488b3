"""Tests of the ledger and of forecasts."""

import datetime
import unittest

from hypothesis import given
from hypothesis import strategies

from shallothinge.allowances import messages
from shallothinge.ledger import forecast
from shallothinge.ledger import state

JULY_MS = 1_783_000_000_000
TODAY = datetime.date(2026, 7, 16)


def record(*, day='2026-07-02', tokens=1, model='m@1'):
    """Return a usage record of one workspace."""
    return messages.UsageRecord(
        workspace='w',
        model=model,
        day=day,
        requests=1,
        prompt_tokens=tokens,
        cached_tokens=0,
        generated_tokens=0,
    )


def report(sequence, *, entry_id='e1', **fields):
    """Return a report with one record."""
    return messages.UsageReported(
        entry_id=entry_id,
        entry_incarnation='1',
        sequence=sequence,
        records=(record(**fields),),
    )


class LedgerTest(unittest.TestCase):
    """What is counted, and for how long."""

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('e1', 'e2')),
                strategies.integers(1, 6),
            )
        )
    )
    def test_each_report_counts_once_in_any_order(self, sent):
        ledger = state.Ledger()
        for entry_id, sequence in sent:
            ledger.add(
                report=report(sequence, entry_id=entry_id), now_ms=JULY_MS
            )
        counted = sum(row.requests for row in ledger.rows())
        self.assertEqual(len(set(sent)), counted)

    def test_old_days_are_summed_up_by_month(self):
        ledger = state.Ledger()
        later_ms = JULY_MS + 120 * 24 * 3600 * 1000
        ledger.add(report=report(1, day='2026-07-02'), now_ms=JULY_MS)
        ledger.add(report=report(2, day='2026-07-03'), now_ms=JULY_MS)
        ledger.add(report=report(3, day='2026-10-30'), now_ms=later_ms)
        self.assertEqual(
            [('2026-07', 2), ('2026-10-30', 1)],
            [(row.day, row.requests) for row in ledger.rows()],
        )


class ForecastTest(unittest.TestCase):
    """Forecasts of series whose future is known."""

    def _forecast(self, tokens_of, *, first=datetime.date(2026, 6, 1)):
        count = (TODAY - first).days
        days = [first + datetime.timedelta(days=n) for n in range(count)]
        rows = [
            record(day=day.isoformat(), tokens=tokens_of(day)) for day in days
        ]
        forecasts = forecast.build_forecasts(
            rows=rows, today=TODAY, allowances={'w': 100_000}
        )
        self.assertEqual(['', 'm@1'], [each.model for each in forecasts])
        return forecasts[0]

    def test_series_without_noise_are_met(self):
        month = [datetime.date(2026, 7, n) for n in range(1, 32)]
        rows = (
            ('constant', lambda day: 1000),
            ('weekends', lambda day: 200 if day.weekday() > 4 else 1000),
            (
                'growth',
                lambda day: 1000 + 10 * (day - TODAY).days,
            ),
        )
        for name, tokens_of in rows:
            with self.subTest(name=name):
                found = self._forecast(tokens_of)
                expected = sum(tokens_of(day) for day in month)
                self.assertAlmostEqual(
                    expected, found.forecast_tokens, delta=expected // 500
                )
                self.assertLess(found.error_percent, 1)

    def test_change_that_could_not_be_known_shows_as_error(self):
        jump = datetime.date(2026, 7, 10)
        found = self._forecast(lambda day: 5000 if day >= jump else 1000)
        self.assertGreater(found.error_percent, 20)

    def test_first_days_give_a_forecast_without_error(self):
        found = self._forecast(
            lambda day: 700, first=datetime.date(2026, 7, 15)
        )
        self.assertEqual(700 * 17, found.forecast_tokens)
        self.assertAlmostEqual(11.9, found.allowance_percent)
        self.assertEqual(15, sum(1 for day in found.days if not day.tokens))
        self.assertIsNone(found.error_percent)
