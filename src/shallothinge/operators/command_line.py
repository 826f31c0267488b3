"""The command line of the one binary."""

import argparse
from collections.abc import Sequence
import sys

import shallothinge
from shallothinge.operators import bundle_commands
from shallothinge.operators import call_commands
from shallothinge.operators import control_commands
from shallothinge.operators import dump_commands
from shallothinge.operators import exit_codes
from shallothinge.operators import key_commands
from shallothinge.operators import outage_commands
from shallothinge.operators import role_commands
from shallothinge.operators import settings_commands
from shallothinge.operators import usage_commands
from shallothinge.storage import errors as storage

COMMAND_GROUPS = (
    role_commands,
    control_commands,
    bundle_commands,
    call_commands,
    outage_commands,
    usage_commands,
    dump_commands,
    key_commands,
    settings_commands,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    lines = [
        f'  {code.value:>3}  {meaning}'
        for code, meaning in exit_codes.MEANINGS.items()
    ]
    parser = argparse.ArgumentParser(
        prog='shallothinge',
        description=shallothinge.__doc__,
        epilog='exit statuses:\n' + '\n'.join(lines),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version', action='version', version=shallothinge.__version__
    )
    parser.set_defaults(takes_rest=False)
    commands = parser.add_subparsers(
        dest='command', metavar='COMMAND', required=True
    )
    for group in COMMAND_GROUPS:
        group.add_commands(commands)
    return parser


def main(arguments: Sequence[str]) -> int:
    """Run one command.

    :param arguments: the command line without the program's name.
    :returns: the exit status.
    """
    parser = build_parser()
    chosen, rest = parser.parse_known_args(arguments)
    if rest and not chosen.takes_rest:
        parser.error(f'unrecognized arguments: {" ".join(rest)}')
    chosen.rest = rest
    try:
        return int(chosen.run(chosen))
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return int(exit_codes.ExitCode.BAD_INPUT)
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return int(exit_codes.ExitCode.BAD_INPUT)
    except storage.StorageError as error:
        print(error, file=sys.stderr)
        return int(exit_codes.ExitCode.REFUSED)
    except KeyboardInterrupt:
        return int(exit_codes.ExitCode.INTERRUPTED)
