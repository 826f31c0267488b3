"""Forecast of a month's usage from the days so far.

Each day still to come is forecast by the mean of recent days of the same
weekday, moved by the trend of the recent weeks. The error shown is that of
the same forecast made on past days for the day after.
"""

from collections.abc import Iterable
import datetime

import attrs

from shallothinge.allowances.messages import UsageRecord
from shallothinge.allowances.slices import charged_tokens

RECENT_DAYS = 28
DAYS_PER_WEEK = 7
TESTED_DAYS = 14
PERCENT = 100
ALL_MODELS = ''

Day = datetime.date
DailyTokens = dict[Day, int]


@attrs.frozen(kw_only=True)
class DayTokens:
    """Tokens of one day."""

    day: str
    tokens: int


@attrs.frozen(kw_only=True)
class Forecast:
    """A workspace's month for one model, or for all if ``model`` is ''.

    ``trend_tokens_per_day`` is by how much a day's usage grows each day.
    ``error_percent`` is the mean error of forecasts of past days, None if
    there are too few. ``allowance_tokens`` is 0 without a limit.
    ``days`` are the measured days of the month and ``forecast_days`` the
    days to come, today's rest included.
    """

    workspace: str
    model: str
    month: str
    month_to_date_tokens: int
    daily_mean_tokens: int
    trend_tokens_per_day: int
    forecast_tokens: int
    error_percent: float | None
    allowance_tokens: int
    days: tuple[DayTokens, ...]
    forecast_days: tuple[DayTokens, ...]

    @property
    def allowance_percent(self) -> float | None:
        """Return the forecast as a share of the allowance."""
        if not self.allowance_tokens:
            return None
        return PERCENT * self.forecast_tokens / self.allowance_tokens


def build_forecasts(
    *,
    rows: Iterable[UsageRecord],
    today: Day,
    allowances: dict[str, int],
) -> tuple[Forecast, ...]:
    """Return a forecast for each workspace and model.

    :param rows: the ledger's records; those of whole months are ignored.
    :param today: the day in UTC; its usage so far counts, and the rest of
        it is forecast.
    :param allowances: tokens a month by workspace, 0 for no limit.
    """
    series: dict[tuple[str, str], DailyTokens] = {}
    for row in rows:
        try:
            day = Day.fromisoformat(row.day)
        except ValueError:
            continue
        for model in (ALL_MODELS, row.model):
            daily = series.setdefault((row.workspace, model), {})
            daily[day] = daily.get(day, 0) + charged_tokens(row)
    return tuple(
        _forecast(
            workspace=workspace,
            model=model,
            daily=daily,
            today=today,
            allowance_tokens=allowances.get(workspace, 0),
        )
        for (workspace, model), daily in sorted(series.items())
    )


def predict_day(*, daily: DailyTokens, today: Day, day: Day) -> int:
    """Return the tokens expected on a day.

    :param daily: measured tokens by day; only days before ``today`` and
        not before the first measured one are used.
    """
    recent = _recent_days(daily, today)
    if not recent:
        return 0
    same = [each for each in recent if each.weekday() == day.weekday()]
    based_on = same or recent
    mean_tokens = sum(daily.get(each, 0) for each in based_on) / len(based_on)
    mean_day = sum(each.toordinal() for each in based_on) / len(based_on)
    moved = _trend(daily, recent) * (day.toordinal() - mean_day)
    return max(0, round(mean_tokens + moved))


def _recent_days(daily: DailyTokens, today: Day) -> list[Day]:
    """Return the whole days before today that the forecast is based on."""
    if not daily:
        return []
    first = max(min(daily), today - datetime.timedelta(days=RECENT_DAYS))
    count = (today - first).days
    return [first + datetime.timedelta(days=n) for n in range(count)]


def _trend(daily: DailyTokens, days: list[Day]) -> float:
    """Return the growth per day by least squares over whole weeks.

    Fewer than two whole weeks show no trend apart from the weekdays.
    """
    weeks = len(days) // DAYS_PER_WEEK
    if weeks < 2:
        return 0.0
    used = days[-weeks * DAYS_PER_WEEK :]
    totals = [
        sum(
            daily.get(day, 0)
            for day in used[week * DAYS_PER_WEEK : (week + 1) * DAYS_PER_WEEK]
        )
        for week in range(weeks)
    ]
    middle = (weeks - 1) / 2
    mean = sum(totals) / weeks
    rise = sum(
        (week - middle) * (total - mean) for week, total in enumerate(totals)
    )
    spread = sum((week - middle) ** 2 for week in range(weeks))
    return rise / spread / DAYS_PER_WEEK**2


def _error_percent(daily: DailyTokens, today: Day) -> float | None:
    """Return the error of forecasts of past days, weighted by usage."""
    errors = 0
    actual = 0
    for back in range(1, TESTED_DAYS + 1):
        day = today - datetime.timedelta(days=back)
        if not _recent_days(daily, day):
            break
        predicted = predict_day(daily=daily, today=day, day=day)
        errors += abs(predicted - daily.get(day, 0))
        actual += daily.get(day, 0)
    if not actual:
        return None
    return PERCENT * errors / actual


def _forecast(
    *,
    workspace: str,
    model: str,
    daily: DailyTokens,
    today: Day,
    allowance_tokens: int,
) -> Forecast:
    month_days = _days_of_month(today)
    measured = {day: daily.get(day, 0) for day in month_days if day <= today}
    expected = {
        day: predict_day(daily=daily, today=today, day=day)
        for day in month_days
        if day >= today
    }
    expected[today] = max(0, expected[today] - measured[today])
    recent = _recent_days(daily, today)
    total = sum(daily.get(day, 0) for day in recent)
    return Forecast(
        workspace=workspace,
        model=model,
        month=today.isoformat()[:7],
        month_to_date_tokens=sum(measured.values()),
        daily_mean_tokens=round(total / len(recent)) if recent else 0,
        trend_tokens_per_day=round(_trend(daily, recent)),
        forecast_tokens=sum(measured.values()) + sum(expected.values()),
        error_percent=_error_percent(daily, today),
        allowance_tokens=allowance_tokens,
        days=_to_rows(measured),
        forecast_days=_to_rows(expected),
    )


def _days_of_month(today: Day) -> list[Day]:
    first = today.replace(day=1)
    days = [first + datetime.timedelta(days=n) for n in range(31)]
    return [day for day in days if day.month == today.month]


def _to_rows(daily: DailyTokens) -> tuple[DayTokens, ...]:
    return tuple(
        DayTokens(day=day.isoformat(), tokens=tokens)
        for day, tokens in sorted(daily.items())
    )
