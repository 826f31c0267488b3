"""The command that checks a settings file."""

import argparse
import pathlib

from shallothinge.operators import exit_codes
from shallothinge.settings import load


def add_commands(commands) -> None:
    """Add ``config`` to the parser's list."""
    text = 'check a settings file'
    config = commands.add_parser('config', help=text, description=text)
    actions = config.add_subparsers(
        dest='action', metavar='ACTION', required=True
    )
    check = actions.add_parser(
        'check',
        help='print every fault with its line, key, value and remedy',
    )
    check.add_argument('file', type=pathlib.Path, metavar='FILE')
    check.set_defaults(run=check_file)


def check_file(arguments: argparse.Namespace) -> int:
    """Check a file of any role and print what is wrong with it."""
    file_type = load.detect_type(arguments.file)
    load.read(path=arguments.file, file_type=file_type)
    print(f'{arguments.file}: OK')
    return exit_codes.ExitCode.OK
