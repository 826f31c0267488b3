"""Tests of usage tables, forecasts and plots."""

import unittest

from shallothinge.allowances.messages import UsageRecord
from shallothinge.operators import usage
from shallothinge.operators import usage_plot

PNG_START = b'\x89PNG'


def make_view(*, allowance_tokens):
    """Return the view of a workspace that uses 1,000 tokens a day."""
    rows = tuple(
        UsageRecord(
            workspace='tenants',
            model='small@1',
            day=f'2026-11-{day:02}',
            requests=1,
            prompt_tokens=900,
            cached_tokens=0,
            generated_tokens=100,
        )
        for day in range(1, 16)
    )
    spending = usage.Spending(
        workspace='tenants',
        allowance_tokens=allowance_tokens,
        spent_tokens=15_000,
        held_tokens=500,
    )
    return usage.UsageView(
        month='2026-11',
        today='2026-11-16',
        rows=rows,
        workspaces=(spending,),
    )


class UsageTest(unittest.TestCase):
    """What an operator sees of a steady month."""

    def test_usage_table(self):
        for allowance_tokens, wanted in ((60_000, '25.0 %'), (0, '-')):
            with self.subTest(allowance_tokens=allowance_tokens):
                view = make_view(allowance_tokens=allowance_tokens)
                line = usage.format_usage(view).splitlines()[-1]
                self.assertEqual(wanted, line.split('  ')[-1].strip())

    def test_steady_use_is_forecast_for_the_whole_month(self):
        forecasts = usage.build(make_view(allowance_tokens=60_000))
        self.assertEqual({'', 'small@1'}, {each.model for each in forecasts})
        for each in forecasts:
            self.assertEqual(30_000, each.forecast_tokens)
            self.assertEqual(15_000, each.month_to_date_tokens)
        self.assertIn('50.0 %', usage.format_forecasts(forecasts))

    def test_plot(self):
        for allowance_tokens in (60_000, 0):
            view = make_view(allowance_tokens=allowance_tokens)
            image = usage_plot.draw(usage.build(view))
            self.assertTrue(image.startswith(PNG_START))
            self.assertIn('&lt;b&gt;', usage_plot.page(image, table='<b>'))
        self.assertTrue(usage_plot.draw(()).startswith(PNG_START))
