"""Commands about bundles."""

import argparse
import json
import pathlib
import sys

from shallothinge.bundles import diff
from shallothinge.bundles import signatures
from shallothinge.bundles import text
from shallothinge.operators import arguments as common
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.operators import orders
from shallothinge.operators import terminal as terminals
from shallothinge.operators import views


def add_commands(commands) -> None:
    """Add ``bundle`` to the parser's list."""
    summary = 'check, review, sign off and roll bundles'
    command = commands.add_parser('bundle', help=summary, description=summary)
    actions = command.add_subparsers(
        dest='action', metavar='ACTION', required=True
    )
    _add(actions, 'check', 'print every fault of a file', check, order=False)
    _add(actions, 'diff', 'show what a file would change', show_changes)
    _add(actions, 'submit', 'submit a file, signed by you', submit)
    _add(actions, 'sign-off', 'sign off a submitted file', sign_off)
    roll_parser = _add(actions, 'roll', 'put a file in force', roll)
    roll_parser.add_argument(
        '--wait', action='store_true', help='until it is in force everywhere'
    )
    for name, help_text, run in (
        ('status', 'show what is in force', show_status),
        ('history', 'list all bundles with their states', show_history),
    ):
        action = actions.add_parser(name, help=help_text)
        common.add_terminal_arguments(action)
        action.set_defaults(run=run)


def _add(actions, name, help_text, run, *, order=True):
    action = actions.add_parser(name, help=help_text)
    action.add_argument('file', type=pathlib.Path, metavar='FILE')
    if order:
        common.add_order_arguments(action)
    action.set_defaults(run=run)
    return action


def _read(path: pathlib.Path) -> str:
    """Return the text of a bundle whose content is right.

    :raises ExceptionGroup: with every fault of the text.
    """
    content = path.read_text(encoding='utf-8')
    text.parse_bundle(content)
    return content


def check(arguments: argparse.Namespace) -> int:
    """Check a bundle without asking any process."""
    content = _read(arguments.file)
    print(f'{arguments.file}: OK, hash {signatures.hash_content(content)}')
    return exit_codes.ExitCode.OK


def show_changes(arguments: argparse.Namespace) -> int:
    """Print the differences between the bundle in force and a file."""
    after = text.parse_bundle(_read(arguments.file))

    async def act(terminal: terminals.Terminal):
        records = json.loads(await views.read(terminal, view='bundles'))
        status = json.loads(await views.read(terminal, view='status'))
        before = None
        for record in records:
            if record['content_hash'] == status['bundle_hash']:
                before = text.parse_bundle(record['content'])
        for change in diff.find_changes(before=before, after=after):
            print(change.describe())
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)


def submit(arguments: argparse.Namespace) -> int:
    """Submit a bundle under the operator's signature."""
    content = _read(arguments.file)
    content_hash = signatures.hash_content(content)

    async def act(terminal: terminals.Terminal):
        order = messages.SubmitBundle(
            order_id=arguments.order_id or terminals.new_id(),
            operator=terminal.operator,
            content=content,
            content_hash=content_hash,
            signature=signatures.sign(
                private_key=terminal.read_signing_key(),
                purpose=signatures.SUBMIT_PURPOSE,
                content_hash=content_hash,
            ),
        )
        return await orders.give(terminal, order, wait=False)

    return common.run_action(arguments, act)


def sign_off(arguments: argparse.Namespace) -> int:
    """Sign off a bundle that another operator submitted."""
    content_hash = signatures.hash_content(_read(arguments.file))

    async def act(terminal: terminals.Terminal):
        order = messages.SignOffBundle(
            order_id=arguments.order_id or terminals.new_id(),
            operator=terminal.operator,
            content_hash=content_hash,
            signature=signatures.sign(
                private_key=terminal.read_signing_key(),
                purpose=signatures.SIGN_OFF_PURPOSE,
                content_hash=content_hash,
            ),
        )
        return await orders.give(terminal, order, wait=False)

    return common.run_action(arguments, act)


def roll(arguments: argparse.Namespace) -> int:
    """Put a signed-off bundle in force."""
    content_hash = signatures.hash_content(_read(arguments.file))

    async def act(terminal: terminals.Terminal):
        order = messages.RollBundle(
            order_id=arguments.order_id or terminals.new_id(),
            operator=terminal.operator,
            content_hash=content_hash,
        )
        return await orders.give(terminal, order, wait=arguments.wait)

    return common.run_action(arguments, act)


def show_status(arguments: argparse.Namespace) -> int:
    """Print what is in force and who holds leases."""

    async def act(terminal: terminals.Terminal):
        status = json.loads(await views.read(terminal, view='status'))
        json.dump(status, sys.stdout, indent=2)
        print()
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)


def show_history(arguments: argparse.Namespace) -> int:
    """Print every bundle with its state."""

    async def act(terminal: terminals.Terminal):
        records = json.loads(await views.read(terminal, view='bundles'))
        for record in records:
            shown = {k: v for k, v in record.items() if k != 'content'}
            print(json.dumps(shown, sort_keys=True))
        return exit_codes.ExitCode.OK

    return common.run_action(arguments, act)
