"""Bounds how long messages waited while this process was frozen."""

from shallothinge import clock

TICK_MS = 50
STALL_MS = 300
DRAIN_MS = 300


class StallDetector:
    """Compares the time between two ticks with what it should be.

    A message that is read after a stall may have waited for all of it, so
    its remaining time is counted from the stall's start.
    """

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._ticked_ms = clock.now_ms()
        self._stalled_from_ms = None
        self._stall_seen_ms = 0

    def tick(self) -> None:
        """Note that the process runs; call each ``TICK_MS``."""
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms > STALL_MS:
            self._stalled_from_ms = self._ticked_ms
            self._stall_seen_ms = now_ms
        elif now_ms - self._stall_seen_ms > DRAIN_MS:
            self._stalled_from_ms = None
        self._ticked_ms = now_ms

    def waited_ms(self) -> int:
        """Return how long a message read now may have waited."""
        now_ms = self._clock.now_ms()
        if self._stalled_from_ms is not None:
            return now_ms - self._stalled_from_ms
        elapsed_ms = now_ms - self._ticked_ms
        return elapsed_ms if elapsed_ms > STALL_MS else 0
