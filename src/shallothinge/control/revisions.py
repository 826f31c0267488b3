"""Detects orders that were delayed until an opposite one had followed.

An order may wait in a process that is suspended, or behind a cut, while its
caller gives up, has it carried out elsewhere, and then orders the opposite.
"""

import attrs

from shallothinge.operators import messages

REVERSIBLE_ORDERS = (
    messages.SetZone,
    messages.SetServer,
    messages.ChangeMembers,
)


@attrs.frozen(kw_only=True)
class _Direction:
    """What an order is about, and whether it takes that out or back."""

    subject: tuple[type, str]
    is_out: bool


@attrs.frozen(kw_only=True)
class _LastOrder:
    """The last order about a subject."""

    revision: int
    is_out: bool


class Revisions:
    """Counts the orders that one leader has accepted in one term.

    Orders are refused here rather than when they are applied: the log of a
    leader has them in the order in which it accepted them, and what a former
    leader accepted and did not commit is lost.

    :param epoch: unique name of the term.
    """

    def __init__(self, *, epoch: str):
        self._epoch = epoch
        self._last_orders: dict[tuple[type, str], _LastOrder] = {}
        self.current = 0

    def is_overtaken(self, order: object) -> bool:
        """Return whether an opposite order may have followed an order's.

        Orders of a former release, which state no epoch, never are.
        """
        if not isinstance(order, REVERSIBLE_ORDERS) or not order.epoch:
            return False
        if order.epoch != self._epoch:
            return True
        wanted = _direction_of(order)
        last = self._last_orders.get(wanted.subject)
        if last is None or last.is_out == wanted.is_out:
            return False
        return last.revision > order.revision

    def accept(self, order: object) -> None:
        """Count an order that is about to be proposed."""
        if not isinstance(order, REVERSIBLE_ORDERS):
            return
        self.current += 1
        accepted = _direction_of(order)
        self._last_orders[accepted.subject] = _LastOrder(
            revision=self.current, is_out=accepted.is_out
        )


def without_revision(order: object) -> object:
    """Return an order as it is kept in the log, which orders them itself."""
    if not isinstance(order, REVERSIBLE_ORDERS):
        return order
    return attrs.evolve(order, epoch='', revision=0)


def _direction_of(order) -> _Direction:
    if isinstance(order, messages.SetZone):
        name, is_out = order.zone, order.out
    elif isinstance(order, messages.SetServer):
        name, is_out = order.server_id, order.out
    else:
        name = order.add_id or order.remove_id
        is_out = not order.add_id
    return _Direction(subject=(type(order), name), is_out=is_out)
