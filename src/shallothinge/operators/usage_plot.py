"""Plots of forecasts: measured days, days to come and the allowance."""

import base64
import html
import io
import itertools

from matplotlib import figure

from shallothinge.ledger import forecast

WIDTH_INCHES = 9
HEIGHT_INCHES = 3
DOTS_PER_INCH = 110


def draw(forecasts: tuple[forecast.Forecast, ...]) -> bytes:
    """Return a PNG image with one panel for each workspace."""
    shown = [each for each in forecasts if each.model == forecast.ALL_MODELS]
    count = max(1, len(shown))
    drawing = figure.Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES * count),
        dpi=DOTS_PER_INCH,
        layout='constrained',
    )
    panels = drawing.subplots(count, 1, squeeze=False)
    for panel, each in zip(panels[:, 0], shown, strict=False):
        _draw_panel(panel, each)
    buffer = io.BytesIO()
    drawing.savefig(buffer, format='png')
    return buffer.getvalue()


def _draw_panel(panel, shown: forecast.Forecast) -> None:
    measured = _running_total(shown.days, start=0)
    panel.plot(_numbers(shown.days), measured, marker='o', label='measured')
    expected = _running_total(
        shown.forecast_days, start=measured[-1] if measured else 0
    )
    panel.plot(_numbers(shown.forecast_days), expected, '--', label='forecast')
    if shown.allowance_tokens:
        panel.axhline(shown.allowance_tokens, color='red', label='allowance')
    panel.set_title(f'{shown.workspace}, {shown.month}')
    panel.set_xlabel('day of the month (UTC)')
    panel.set_ylabel('tokens')
    panel.set_ylim(bottom=0)
    panel.legend(loc='upper left')


def _numbers(days: tuple[forecast.DayTokens, ...]) -> list[int]:
    return [int(each.day[-2:]) for each in days]


def _running_total(days, *, start: int) -> list[int]:
    totals = itertools.accumulate((day.tokens for day in days), initial=start)
    return list(totals)[1:]


def page(image: bytes, *, table: str) -> str:
    """Return an HTML page with the table and the image in it."""
    data = base64.b64encode(image).decode()
    return (
        '<!doctype html>\n<meta charset="utf-8">\n'
        '<title>Forecast</title>\n'
        f'<pre>{html.escape(table)}</pre>\n'
        f'<img alt="Forecast by workspace" src="data:image/png;base64,{data}">'
        '\n'
    )
