"""Measures the time between the tokens of one stream."""

from shallothinge import clock

MIN_TOKENS = 2


class PaceMeter:
    """Time per token since the first token, over a few tokens at a time.

    Tokens that arrive together share the time since the last ones, so that
    a stall of this process does not look like a slow engine.
    """

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._since_ms = None
        self._count = 0

    @property
    def has_begun(self) -> bool:
        """Return whether the stream brought tokens."""
        return self._since_ms is not None

    def saw_tokens(self, *, count: int) -> float | None:
        """Note tokens.

        :returns: milliseconds per token, or None if too few arrived yet.
        """
        now_ms = self._clock.now_ms()
        if self._since_ms is None:
            self._since_ms = now_ms
            return None
        self._count += count
        if self._count < MIN_TOKENS:
            return None
        pace = (now_ms - self._since_ms) / self._count
        self._since_ms = now_ms
        self._count = 0
        return pace
