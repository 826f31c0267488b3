"""Arguments that the commands of an operator have in common."""

import argparse
import pathlib

from shallothinge.clock import MS_PER_SECOND
from shallothinge.operators import terminal
from shallothinge.settings import load
from shallothinge.settings import model

DEFAULT_SETTINGS = pathlib.Path('operator.toml')
DEFAULT_TIMEOUT_S = 15


def add_terminal_arguments(command: argparse.ArgumentParser) -> None:
    """Add what every command needs that talks to a deployment."""
    command.add_argument(
        '--operator-settings',
        type=pathlib.Path,
        default=DEFAULT_SETTINGS,
        metavar='FILE',
        help='TOML file with the operator, keys and control hosts '
        '(default: %(default)s)',
    )
    command.add_argument(
        '--timeout-s',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar='SECONDS',
        help='how long to wait for an answer (default: %(default)s)',
    )


def add_order_arguments(command: argparse.ArgumentParser) -> None:
    """Add what every command needs that changes the state."""
    add_terminal_arguments(command)
    command.add_argument(
        '--order-id',
        default='',
        metavar='ID',
        help='repeat the id of an order whose answer was lost, to get that '
        'answer instead of a second order',
    )


def run_action(arguments: argparse.Namespace, action: terminal.Action) -> int:
    """Run an action with the terminal that the arguments describe."""
    path = arguments.operator_settings
    settings = load.read(path=path, file_type=model.OperatorSettings)
    return terminal.run(
        settings=settings,
        folder=path.parent,
        timeout_ms=int(arguments.timeout_s * MS_PER_SECOND),
        action=action,
    )
