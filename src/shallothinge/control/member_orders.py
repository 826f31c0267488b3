"""Pending orders to add or remove a control host."""

import attrs
from twisted.internet import defer

from shallothinge import errors

# Gives a host that was just started time to announce itself to the leader.
# It is shorter than the terminal's timeout of 15 s, so that the operator
# gets the answer.
ORDER_TIMEOUT_MS = 10_000


@attrs.define(kw_only=True)
class MemberOrder:
    """An order for one process, with the Deferreds that await its answer."""

    ends_ms: int
    refused_reason: str = ''
    waiting: list[defer.Deferred] = attrs.field(factory=list)


class MemberOrders:
    """The pending orders of one kind, at most one per process.

    An order expires after ``ORDER_TIMEOUT_MS``, so that a forgotten order
    neither adds a host that appears much later nor removes one.
    """

    def __init__(self):
        self._by_process: dict[str, MemberOrder] = {}

    def __contains__(self, process_id: str) -> bool:
        return process_id in self._by_process

    def items(self) -> tuple[tuple[str, MemberOrder], ...]:
        """Return the pending orders as pairs of process id and order."""
        return tuple(self._by_process.items())

    def add(self, now_ms: int, process_id: str) -> defer.Deferred:
        """Add an order, or wait for the pending one for the same process.

        :returns: fires with None once the order is executed; fails with
            the error given to ``fail``.
        """
        if process_id not in self._by_process:
            self._by_process[process_id] = MemberOrder(
                ends_ms=now_ms + ORDER_TIMEOUT_MS
            )
        answered = defer.Deferred()
        self._by_process[process_id].waiting.append(answered)
        return answered

    def record_refusal(self, process_id: str, reason: str) -> None:
        """Record why an order cannot be executed at present."""
        if process_id in self._by_process:
            self._by_process[process_id].refused_reason = reason

    def complete(self, process_id: str) -> None:
        """Complete an order that was executed."""
        for answered in self._by_process.pop(process_id).waiting:
            answered.callback(None)

    def fail(self, process_id: str, error: errors.ServingError) -> None:
        """Fail an order that was not executed."""
        for answered in self._by_process.pop(process_id).waiting:
            answered.errback(error)
