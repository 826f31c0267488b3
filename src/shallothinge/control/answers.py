"""First answers to operators' orders, kept for resent orders.

An order resent within ``KEPT_MS`` and before ``KEPT_ORDERS`` later orders
gets its first answer, also after restarts and changes of leader. An order
resent later than both bounds is carried out as a new one; every order is
either conditional on a version or sets a state, so that is harmless.
"""

import attrs

from shallothinge.errors import ErrorKind
from shallothinge.operators import messages

KEPT_ORDERS = 50_000
KEPT_MS = 7 * 24 * 3600 * 1000


@attrs.frozen(kw_only=True)
class FirstAnswer:
    """What an order was answered at first, and when."""

    fingerprint: str
    answered_ms: int
    answer: messages.OrderAnswered


@attrs.define(kw_only=True)
class OrderAnswers:
    """First answers by order id, oldest first."""

    by_id: dict[str, FirstAnswer] = attrs.field(factory=dict)

    def find(
        self, *, order_id: str, fingerprint: str
    ) -> messages.OrderAnswered | None:
        """Return the first answer, if the order had one.

        An id that was used for another order gets a refusal.
        """
        first = self.by_id.get(order_id)
        if first is None:
            return None
        if first.fingerprint == fingerprint:
            return first.answer
        return messages.OrderAnswered(
            order_id=order_id,
            kind=ErrorKind.BAD_REQUEST,
            detail='the order id was used for another order; take a new id',
        )

    def store(
        self,
        *,
        fingerprint: str,
        answer: messages.OrderAnswered,
        now_ms: int,
    ) -> None:
        """Keep a first answer and drop those past both bounds."""
        self.by_id[answer.order_id] = FirstAnswer(
            fingerprint=fingerprint, answered_ms=now_ms, answer=answer
        )
        while self._has_outdated(now_ms):
            del self.by_id[next(iter(self.by_id))]

    def _has_outdated(self, now_ms: int) -> bool:
        if len(self.by_id) > KEPT_ORDERS:
            return True
        oldest = next(iter(self.by_id.values()))
        return oldest.answered_ms <= now_ms - KEPT_MS
