"""Tests of orders that are void once an opposite one has followed."""

import asyncio
import contextlib
import io
import unittest

from shallothinge.errors import ErrorKind
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.operators import orders

ExitCode = exit_codes.ExitCode
ORDER = messages.SetZone(order_id='o', operator='amina', zone='z1', out=True)


class Terminal:
    """A terminal whose orders are answered by leaders, one a reading.

    :param leaders: the epochs that are read, in turn, and then the last.
    :param refusing: the epochs under which orders are refused.
    """

    def __init__(self, *, leaders, refusing):
        self.leaders = list(leaders)
        self.refusing = refusing
        self.given = []

    async def ask(self, message):
        """Answer a reading or an order."""
        if isinstance(message, messages.RevisionRequested):
            epoch = self.leaders[0]
            if len(self.leaders) > 1:
                del self.leaders[0]
            return messages.RevisionAnswered(
                request_id=message.request_id, epoch=epoch, revision=3
            )
        self.given.append((message.order_id, message.epoch, message.revision))
        is_refused = message.epoch in self.refusing
        return messages.OrderAnswered(
            order_id=message.order_id,
            kind=ErrorKind.VERSION_CONFLICT if is_refused else None,
        )


class ReversibleOrderTest(unittest.TestCase):
    """What becomes of an order while the operator waits."""

    def test_order_is_given_again_only_to_another_leader(self):
        # A planned removal of the leader was refused by the next one, though
        # it had been carried out.
        rows = (
            (['a'], '', ['a'], ExitCode.OK),
            (['a', 'b'], 'a', ['a', 'b'], ExitCode.OK),
            (['a'], 'a', ['a'], ExitCode.REFUSED),
            (['a', 'b'], 'ab', ['a', 'b'], ExitCode.REFUSED),
        )
        for leaders, refusing, epochs, status in rows:
            with self.subTest(leaders=leaders, refusing=refusing):
                terminal = Terminal(leaders=leaders, refusing=refusing)
                output = io.StringIO()
                with (
                    contextlib.redirect_stdout(output),
                    contextlib.redirect_stderr(output),
                ):
                    found = asyncio.run(
                        orders.give_reversible(terminal, ORDER, wait=False)
                    )
                self.assertEqual(status, found)
                self.assertEqual(
                    [('o', epoch, 3) for epoch in epochs], terminal.given
                )
