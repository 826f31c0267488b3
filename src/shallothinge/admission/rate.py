"""Measures the service rate of a queue while work is waiting."""

WINDOW_MS = 1000
PREVIOUS_RATE_WEIGHT = 0.7


class ServiceRate:
    """Smoothed rate of finished tokens per millisecond.

    Only windows in which the queue never ran empty are counted: in the
    others the rate reflects the demand and not the capacity.
    """

    def __init__(self):
        self._window_start_ms = None
        self._window_tokens = 0
        self._tokens_per_ms = 0.0

    @property
    def tokens_per_ms(self) -> float:
        """Return the smoothed rate, or 0 before the first measurement."""
        return self._tokens_per_ms

    def record_finished(self, *, tokens: int) -> None:
        """Count the tokens of finished work in the current window."""
        self._window_tokens += tokens

    def observe(self, *, is_waiting: bool, now_ms: int) -> None:
        """Update the window with whether work is waiting now.

        An empty queue discards the window. A window of at least
        ``WINDOW_MS`` is added to the smoothed rate.
        """
        if not is_waiting or self._window_start_ms is None:
            self._start_window(now_ms if is_waiting else None)
            return
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._smooth(self._window_tokens / elapsed_ms)
        self._start_window(now_ms)

    def _smooth(self, tokens_per_ms: float) -> None:
        if self._tokens_per_ms == 0.0:
            self._tokens_per_ms = tokens_per_ms
            return
        previous = PREVIOUS_RATE_WEIGHT * self._tokens_per_ms
        self._tokens_per_ms = (
            previous + (1 - PREVIOUS_RATE_WEIGHT) * tokens_per_ms
        )

    def _start_window(self, start_ms: int | None) -> None:
        self._window_start_ms = start_ms
        self._window_tokens = 0
