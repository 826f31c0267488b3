"""Placements of the waiting requests of a service."""

import collections

import attrs

# The rate of a service changes with its servers, within seconds.
RATE_WINDOW_MS = 5000
# A shorter time gives no rate: slots that become free together would look
# like an endless flow of them.
MIN_RATE_SPAN_MS = 100


@attrs.define(kw_only=True)
class GrantHistory:
    """Times of the recent placements, for their rate."""

    _recent: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _recent_count: int = attrs.field(default=0, init=False)

    def record(self, *, now_ms: int, count: int = 1) -> None:
        """Record placements."""
        self._recent.append((now_ms, count))
        self._recent_count += count

    def forget_recent(self) -> None:
        """Forget the rate; while nothing waits, there is nothing to place."""
        self._recent.clear()
        self._recent_count = 0

    def rate_per_ms(self, now_ms: int) -> float | None:
        """Return the placements per ms, None while none are known."""
        recent = self._recent
        while recent and recent[0][0] < now_ms - RATE_WINDOW_MS:
            self._recent_count -= recent.popleft()[1]
        if not recent:
            return None
        span_ms = max(MIN_RATE_SPAN_MS, now_ms - recent[0][0])
        return self._recent_count / span_ms
