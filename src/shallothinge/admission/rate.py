"""Measures how fast work is finished while work is waiting."""

WINDOW_MS = 1000
KEPT_SHARE = 0.7


class ServiceRate:
    """Tokens finished a millisecond while the queue was never empty.

    Windows in which the queue ran empty show the demand and not the
    capacity, so they are dropped.
    """

    def __init__(self):
        self._started_ms = None
        self._tokens = 0
        self._per_ms = 0.0

    @property
    def tokens_per_ms(self) -> float:
        """Return the smoothed rate, 0 if it was never measured."""
        return self._per_ms

    def finished(self, *, tokens: int) -> None:
        """Count finished work."""
        self._tokens += tokens

    def observe(self, *, is_waiting: bool, now_ms: int) -> None:
        """Note whether work waits; closes a window when it is over."""
        if not is_waiting or self._started_ms is None:
            self._restart(now_ms if is_waiting else None)
            return
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._smooth(self._tokens / elapsed_ms)
        self._restart(now_ms)

    def _smooth(self, per_ms: float) -> None:
        if self._per_ms == 0.0:
            self._per_ms = per_ms
            return
        kept = KEPT_SHARE * self._per_ms
        self._per_ms = kept + (1 - KEPT_SHARE) * per_ms

    def _restart(self, started_ms: int | None) -> None:
        self._started_ms = started_ms
        self._tokens = 0
