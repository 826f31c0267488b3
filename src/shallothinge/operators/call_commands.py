"""Commands about calls that may not be repeated."""

import argparse
import json

from shallothinge.operators import arguments as common
from shallothinge.operators import exit_codes
from shallothinge.operators import terminal as terminals
from shallothinge.operators import views


def add_commands(commands) -> None:
    """Add ``calls`` to the parser's list."""
    summary = 'look at calls that may not be repeated'
    command = commands.add_parser('calls', help=summary, description=summary)
    actions = command.add_subparsers(
        dest='action', metavar='ACTION', required=True
    )
    unknown = actions.add_parser(
        'unknown',
        help='list the calls whose outcome is unknown, one JSON object a '
        'line; see docs/operators/unknown-outcome.md',
    )
    common.add_terminal_arguments(unknown)
    unknown.set_defaults(run=list_unknown)


def list_unknown(arguments: argparse.Namespace) -> int:
    """Print each call whose outcome is unknown."""

    async def act(terminal: terminals.Terminal):
        text = await views.read(terminal, view='unknown_calls')
        for call in json.loads(text):
            print(json.dumps(call, sort_keys=True))
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)
