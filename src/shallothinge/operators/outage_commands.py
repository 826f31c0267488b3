"""Commands that take availability zones and backend servers out and back."""

import argparse

from shallothinge.operators import arguments as common
from shallothinge.operators import messages
from shallothinge.operators import orders
from shallothinge.operators import terminal as terminals

DIRECTIONS = {'out': 'take it out of service', 'in': 'bring it back'}


def add_commands(commands) -> None:
    """Add ``zone`` and ``backend`` to the parser's list."""
    for name, subject, make_order in (
        ('zone', 'an availability zone', _zone_order),
        ('backend', 'a backend server', _server_order),
    ):
        summary = f'take {subject} out of service or bring it back'
        command = commands.add_parser(name, help=summary, description=summary)
        actions = command.add_subparsers(
            dest='action', metavar='ACTION', required=True
        )
        for direction, text in DIRECTIONS.items():
            _add_direction(actions, direction, text, make_order)


def _add_direction(actions, direction, text, make_order) -> None:
    action = actions.add_parser(direction, help=text)
    action.add_argument('name', metavar='NAME')
    action.add_argument(
        '--wait', action='store_true', help='until it is in force everywhere'
    )
    common.add_order_arguments(action)
    action.set_defaults(
        run=give_order, make_order=make_order, out=direction == 'out'
    )


def _zone_order(*, order_id, operator, name, out):
    return messages.SetZone(
        order_id=order_id, operator=operator, zone=name, out=out
    )


def _server_order(*, order_id, operator, name, out):
    return messages.SetServer(
        order_id=order_id, operator=operator, server_id=name, out=out
    )


def give_order(arguments: argparse.Namespace) -> int:
    """Order an outage or a return."""

    async def act(terminal: terminals.Terminal):
        order = arguments.make_order(
            order_id=arguments.order_id or terminals.new_id(),
            operator=terminal.operator,
            name=arguments.name,
            out=arguments.out,
        )
        return await orders.give_reversible(
            terminal, order, wait=arguments.wait
        )

    return common.run_action(arguments, act)
