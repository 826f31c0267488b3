"""Usage and forecasts as an operator reads them."""

import datetime

import attrs

from shallothinge.allowances.messages import UsageRecord
from shallothinge.ledger import forecast

NONE = '-'
ALL_MODELS = '(all)'


@attrs.frozen(kw_only=True)
class Spending:
    """A workspace's month; an allowance of 0 is no limit."""

    workspace: str
    allowance_tokens: int
    spent_tokens: int
    held_tokens: int


@attrs.frozen(kw_only=True)
class UsageView:
    """The view ``usage`` of control."""

    month: str
    today: str
    rows: tuple[UsageRecord, ...]
    workspaces: tuple[Spending, ...]


def build(view: UsageView) -> tuple[forecast.Forecast, ...]:
    """Return the forecasts of each workspace and model."""
    return forecast.build_forecasts(
        rows=view.rows,
        today=datetime.date.fromisoformat(view.today),
        allowances={
            each.workspace: each.allowance_tokens for each in view.workspaces
        },
    )


def format_usage(view: UsageView) -> str:
    """Return a table of the month to date."""
    rows = [('workspace', 'spent', 'held by entries', 'allowance', 'share')]
    for each in view.workspaces:
        limit = each.allowance_tokens
        rows.append(
            (
                each.workspace,
                f'{each.spent_tokens:,}',
                f'{each.held_tokens:,}',
                f'{limit:,}' if limit else NONE,
                _share(each.spent_tokens, limit),
            )
        )
    title = f'tokens of {view.month or view.today[:7]} until {view.today}'
    return f'{title} (UTC)\n{format_table(rows)}'


def format_forecasts(forecasts: tuple[forecast.Forecast, ...]) -> str:
    """Return a table of forecasts."""
    rows = [
        (
            'workspace',
            'model',
            'to date',
            'a day',
            'trend a day',
            'forecast',
            'error',
            'allowance',
            'share',
        )
    ]
    for each in forecasts:
        limit = each.allowance_tokens
        error = each.error_percent
        rows.append(
            (
                each.workspace,
                each.model or ALL_MODELS,
                f'{each.month_to_date_tokens:,}',
                f'{each.daily_mean_tokens:,}',
                f'{each.trend_tokens_per_day:+,}',
                f'{each.forecast_tokens:,}',
                NONE if error is None else f'{error:.1f} %',
                f'{limit:,}' if limit else NONE,
                _share(each.forecast_tokens, limit),
            )
        )
    return format_table(rows)


def format_table(rows: list[tuple[str, ...]]) -> str:
    """Return rows as text columns, the first column to the left."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        for cell, width in zip(row[1:], widths[1:], strict=True):
            cells.append(cell.rjust(width))
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines)


def _share(tokens: int, limit: int) -> str:
    return f'{100 * tokens / limit:.1f} %' if limit else NONE
