"""Cache events that are published late and with gaps."""

import attrs


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A block that entered or left the prefix cache."""

    sequence: int
    op: str
    block: str


class EventLog:
    """Numbers the changes of the cache and publishes most of them, late.

    :param lag_ms: how long after a change its event appears.
    :param gap_every: each so-many-th event is never published; 0: none.
    """

    KEPT_EVENTS = 4096

    def __init__(self, *, clock, lag_ms: int, gap_every: int):
        self._clock = clock
        self._lag_ms = lag_ms
        self._gap_every = gap_every
        self._published = []
        self.sequence = 0
        self.dropping = False

    def record(self, *, op: str, block: str) -> None:
        """Number a change, and publish it unless it falls in a gap."""
        self.sequence += 1
        if self.dropping:
            return
        if self._gap_every and self.sequence % self._gap_every == 0:
            return
        event = CacheEvent(sequence=self.sequence, op=op, block=block)
        self._published.append((self._clock.now_ms(), event))
        del self._published[: -self.KEPT_EVENTS]

    def after(self, sequence: int) -> tuple[CacheEvent, ...]:
        """Return the events that are visible by now, after a number."""
        visible_ms = self._clock.now_ms() - self._lag_ms
        return tuple(
            event
            for at_ms, event in self._published
            if at_ms <= visible_ms and event.sequence > sequence
        )
