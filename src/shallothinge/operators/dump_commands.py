"""The command that prints a process's whole state."""

import argparse
import json
import sys

from shallothinge.operators import arguments as common
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.operators import terminal as terminals

ROLES = ('control', 'entry', 'agent')


def add_commands(commands) -> None:
    """Add ``dump`` to the parser's list."""
    summary = "print a process's whole state as JSON, without stopping it"
    command = commands.add_parser('dump', help=summary, description=summary)
    command.add_argument(
        'address', metavar='ADDRESS', help='such as tcp://10.0.0.5:7000'
    )
    command.add_argument(
        '--role',
        choices=ROLES,
        default='control',
        help="the process's role, whose key it must prove to hold",
    )
    common.add_terminal_arguments(command)
    command.set_defaults(run=dump)


def dump(arguments: argparse.Namespace) -> int:
    """Ask one process for its state."""

    async def act(terminal: terminals.Terminal):
        answer = await terminal.ask_process(
            address=arguments.address,
            role=arguments.role,
            message=messages.DumpRequested(request_id=terminals.new_id()),
        )
        json.dump(json.loads(answer.json_text), sys.stdout, indent=2)
        print()
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)
