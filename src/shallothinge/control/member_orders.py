"""Orders to add or remove a control host that are not carried out yet."""

import attrs
from twisted.internet import defer

from shallothinge import errors

# Time for a host that was just started to be heard; shorter than the 15 s
# for which the terminal waits, so that the operator reads the answer.
WAIT_MS = 10_000


@attrs.define(kw_only=True)
class MemberOrder:
    """An order for one process, with all who wait for its answer."""

    ends_ms: int
    refused_reason: str = ''
    waiting: list[defer.Deferred] = attrs.field(factory=list)


class MemberOrders:
    """The orders of one kind, at most one for each process.

    An order ends after ``WAIT_MS``. A host that comes long after must not
    be added, and none be removed, by an order that nobody remembers.
    """

    def __init__(self):
        self._by_process: dict[str, MemberOrder] = {}

    def __contains__(self, process_id: str) -> bool:
        return process_id in self._by_process

    def items(self) -> tuple[tuple[str, MemberOrder], ...]:
        """Return the orders by process."""
        return tuple(self._by_process.items())

    def add(self, now_ms: int, process_id: str) -> defer.Deferred:
        """Wait for an order, together with those who gave it before."""
        if process_id not in self._by_process:
            self._by_process[process_id] = MemberOrder(
                ends_ms=now_ms + WAIT_MS
            )
        answered = defer.Deferred()
        self._by_process[process_id].waiting.append(answered)
        return answered

    def note_refusal(self, process_id: str, reason: str) -> None:
        """Keep why an order can not be carried out at present."""
        if process_id in self._by_process:
            self._by_process[process_id].refused_reason = reason

    def fulfil(self, process_id: str) -> None:
        """Tell that an order was carried out."""
        for answered in self._by_process.pop(process_id).waiting:
            answered.callback(None)

    def fail(self, process_id: str, error: errors.ServingError) -> None:
        """End an order that was not carried out."""
        for answered in self._by_process.pop(process_id).waiting:
            answered.errback(error)
