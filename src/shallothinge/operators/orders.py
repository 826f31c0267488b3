"""Gives an order and reports its durable answer."""

import sys

import attrs

from shallothinge import errors
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.operators import terminal as terminals


async def give(
    terminal: terminals.Terminal, order: object, *, wait: bool
) -> exit_codes.ExitCode:
    """Give an order until it is answered, and print the answer.

    :param wait: whether to wait until the change binds everywhere.
    """
    answer = await _ask(terminal, order)
    if answer is None:
        return exit_codes.ExitCode.NO_ANSWER
    return await report(terminal, answer, wait=wait)


async def _ask(
    terminal: terminals.Terminal, order: object
) -> messages.OrderAnswered | None:
    """Return the answer to an order; print that there is none in time."""
    try:
        return await terminal.ask(order)
    except errors.ServingError as error:
        print(
            f'{error}\nthe order may have been accepted; repeat the command '
            f'with --order-id {order.order_id}',
            file=sys.stderr,
        )
        return None


async def give_reversible(
    terminal: terminals.Terminal, order: object, *, wait: bool
) -> exit_codes.ExitCode:
    """Give an order that is void once an opposite one has followed.

    It may reach control after the operator has given up waiting and has
    ordered the opposite. If another host leads by then, the order is given
    again under the revision of that host, as the operator still waits.
    """
    answer = None
    epoch = ''
    while answer is None or answer.kind is errors.ErrorKind.VERSION_CONFLICT:
        read = await terminal.ask(
            messages.RevisionRequested(request_id=terminals.new_id())
        )
        if read.epoch == epoch:
            break
        epoch = read.epoch
        order = attrs.evolve(order, epoch=epoch, revision=read.revision)
        answer = await _ask(terminal, order)
        if answer is None:
            return exit_codes.ExitCode.NO_ANSWER
    return await report(terminal, answer, wait=wait)


async def report(
    terminal: terminals.Terminal,
    answer: messages.OrderAnswered,
    *,
    wait: bool,
) -> exit_codes.ExitCode:
    """Print an order's answer and wait for its effect if asked to."""
    if answer.kind is not None:
        print(f'refused: {answer.kind.value}', file=sys.stderr)
        print(answer.detail, file=sys.stderr)
        return exit_codes.ExitCode.REFUSED
    print(
        f'accepted, state version {answer.state_version} '
        f'(order {answer.order_id})'
    )
    if not wait:
        return exit_codes.ExitCode.OK
    waiting = await terminal.wait_in_force(state_version=answer.state_version)
    if waiting:
        names = ', '.join(waiting)
        print(f'not in force yet at: {names}', file=sys.stderr)
        return exit_codes.ExitCode.NOT_IN_FORCE
    print('in force everywhere')
    return exit_codes.ExitCode.OK


def identified(order: object, order_id: str) -> object:
    """Return the order under an id that the operator gave, if any."""
    if not order_id:
        return order
    return attrs.evolve(order, order_id=order_id)
