"""Commands that make keys."""

import argparse
import pathlib

from shallothinge.operators import credentials
from shallothinge.operators import exit_codes
from shallothinge.transport import keys


def add_commands(commands) -> None:
    """Add ``keys`` to the parser's list."""
    text = 'make keys of processes, operators and workspaces'
    command = commands.add_parser('keys', help=text, description=text)
    actions = command.add_subparsers(
        dest='action', metavar='ACTION', required=True
    )
    _add_role(actions)
    _add_trust(actions)
    _add_operator(actions)
    workspace = actions.add_parser(
        'workspace',
        help="print a new API key and its hash for the bundle's key_hashes",
    )
    workspace.set_defaults(run=make_api_key)


def _add_role(actions) -> None:
    role = actions.add_parser(
        'role', help='write a curve key pair for the processes of a role'
    )
    role.add_argument('role', choices=keys.ROLES)
    role.add_argument('file', type=pathlib.Path, metavar='FILE')
    role.set_defaults(run=make_role_key)


def _add_trust(actions) -> None:
    trust = actions.add_parser(
        'trust', help='write the trust file that lists public keys'
    )
    trust.add_argument('file', type=pathlib.Path, metavar='FILE')
    trust.add_argument(
        'key_files', type=pathlib.Path, nargs='+', metavar='KEY-FILE'
    )
    trust.set_defaults(run=make_trust_file)


def _add_operator(actions) -> None:
    operator = actions.add_parser(
        'operator',
        help="write an operator's signing key and print the public key "
        'for [[operators]] of each control host',
    )
    operator.add_argument('file', type=pathlib.Path, metavar='FILE')
    operator.set_defaults(run=make_signing_key)


def make_role_key(arguments: argparse.Namespace) -> int:
    """Write a new curve key pair."""
    pair = keys.generate_key_pair(role=arguments.role)
    keys.write_key_pair(path=arguments.file, pair=pair)
    print(pair.public)
    return exit_codes.ExitCode.OK


def make_trust_file(arguments: argparse.Namespace) -> int:
    """Write the trust file of some key files."""
    pairs = tuple(
        keys.read_key_pair(path=path) for path in arguments.key_files
    )
    keys.write_trust(path=arguments.file, pairs=pairs)
    return exit_codes.ExitCode.OK


def make_signing_key(arguments: argparse.Namespace) -> int:
    """Write a new signing key and print the public one."""
    key = credentials.generate_signing_key()
    credentials.write_signing_key(path=arguments.file, key=key)
    print(key.public)
    return exit_codes.ExitCode.OK


def make_api_key(arguments: argparse.Namespace) -> int:
    """Print a new API key and its hash."""
    made = credentials.generate_api_key()
    print(f'key: {made.key}')
    print(f'key_hash: {made.key_hash}')
    return exit_codes.ExitCode.OK
