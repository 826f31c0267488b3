"""First answers to operators' orders, kept for resent orders.

A first answer is kept across restarts and changes of leader. It is dropped
once it is older than ``ANSWER_RETENTION_MS``, or when it is the oldest of
more than ``MAX_KEPT_ANSWERS``. An order that is resent after that is executed
as a new one only if nothing opposite has followed: a roll names the version
that it replaces, and an outage order the revision under which it was given.
"""

import attrs

from shallothinge.errors import ErrorKind
from shallothinge.operators import messages

MAX_KEPT_ANSWERS = 50_000
ANSWER_RETENTION_MS = 7 * 24 * 3600 * 1000


@attrs.frozen(kw_only=True)
class FirstAnswer:
    """The first answer to an order, and when it was given."""

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
        """Return the first answer to an order, or None if none is kept.

        If the id was used for another order, the answer is a refusal.
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
        """Store a first answer and drop the answers past either bound."""
        self.by_id[answer.order_id] = FirstAnswer(
            fingerprint=fingerprint, answered_ms=now_ms, answer=answer
        )
        while self._has_expired_answer(now_ms):
            del self.by_id[next(iter(self.by_id))]

    def _has_expired_answer(self, now_ms: int) -> bool:
        if len(self.by_id) > MAX_KEPT_ANSWERS:
            return True
        oldest = next(iter(self.by_id.values()))
        return oldest.answered_ms <= now_ms - ANSWER_RETENTION_MS
