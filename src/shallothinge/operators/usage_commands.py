"""Commands about usage: month to date, and the forecast of the month."""

import argparse
import json
import pathlib
import sys

import attrs
import cattrs

from shallothinge.operators import arguments as common
from shallothinge.operators import exit_codes
from shallothinge.operators import terminal as terminals
from shallothinge.operators import usage
from shallothinge.operators import views

PLOT_SUFFIXES = ('.html', '.png')


def add_commands(commands) -> None:
    """Add ``usage`` and ``forecast`` to the parser's list."""
    text = "show each workspace's month to date against its allowance"
    shown = commands.add_parser('usage', help=text, description=text)
    _add_output(shown)
    shown.set_defaults(run=show_usage)
    text = "forecast the month's tokens by workspace and model"
    forecast = commands.add_parser('forecast', help=text, description=text)
    _add_output(forecast)
    forecast.add_argument(
        '--plot',
        type=pathlib.Path,
        metavar='FILE',
        help='write a plot, .html or .png',
    )
    forecast.set_defaults(run=show_forecast)


def _add_output(command) -> None:
    command.add_argument(
        '--json', action='store_true', help='print JSON instead of a table'
    )
    common.add_terminal_arguments(command)


async def _read_usage(terminal: terminals.Terminal) -> usage.UsageView:
    text = await views.read(terminal, view='usage')
    return cattrs.structure(json.loads(text), usage.UsageView)


def show_usage(arguments: argparse.Namespace) -> int:
    """Print what each workspace has used this month."""

    async def act(terminal: terminals.Terminal):
        view = await _read_usage(terminal)
        if arguments.json:
            _print_json(attrs.asdict(view))
        else:
            print(usage.format_usage(view))
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)


def show_forecast(arguments: argparse.Namespace) -> int:
    """Print the forecast of the month, and plot it if asked to."""
    plot = arguments.plot
    if plot is not None and plot.suffix not in PLOT_SUFFIXES:
        raise ValueError(f'{plot}: allowed are {", ".join(PLOT_SUFFIXES)}')

    async def act(terminal: terminals.Terminal):
        forecasts = usage.build(await _read_usage(terminal))
        if arguments.json:
            _print_json([attrs.asdict(each) for each in forecasts])
        else:
            print(usage.format_forecasts(forecasts))
        if plot is not None:
            _write_plot(plot, forecasts)
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)


def _write_plot(path: pathlib.Path, forecasts) -> None:
    # The plotting library is slow to import, and only this needs it.
    from shallothinge.operators import usage_plot

    image = usage_plot.draw(forecasts)
    if path.suffix == '.png':
        path.write_bytes(image)
    else:
        text = usage.format_forecasts(forecasts)
        path.write_text(usage_plot.page(image, table=text), encoding='utf-8')
    print(f'{path}: written')


def _print_json(value: object) -> None:
    json.dump(value, sys.stdout, indent=2)
    print()
