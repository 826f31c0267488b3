"""The planned stop of a gateway, as its requests see it."""

import collections

import attrs

from shallothinge import clock as clocks

# Answers that ended within this time tell how busy the servers are.
DELAY_WINDOW_MS = 10_000
MAX_DELAYS = 256


@attrs.frozen(kw_only=True)
class _Delay:
    """How much longer an answer took than on an idle fleet."""

    route: str
    ended_ms: int
    delay_ms: float


class Shutdown:
    """Tells requests how much time is left before a planned stop."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._limit_ms: int | None = None
        self._delays: collections.deque[_Delay] = collections.deque(
            maxlen=MAX_DELAYS
        )

    def begin(self, *, duration_ms: int) -> None:
        """Note that the process has been told to stop.

        :param duration_ms: time until the requests that are left are ended.
        """
        self._limit_ms = self._clock.now_ms() + duration_ms

    def record_delay(self, *, route: str, delay_ms: float) -> None:
        """Record how much longer an answer took than on an idle fleet."""
        self._delays.append(
            _Delay(
                route=route, ended_ms=self._clock.now_ms(), delay_ms=delay_ms
            )
        )

    def allows(
        self, *, route: str, idle_ms: float, min_delay_ms: float
    ) -> bool:
        """Return whether an answer is likely to be complete before the stop.

        It is expected to be delayed like the slowest recent one of its route.
        Always true for a process that has not been told to stop.

        :param idle_ms: how long the answer takes on an idle fleet, 0 if that
            is not known.
        :param min_delay_ms: delay that is expected at least.
        """
        if self._limit_ms is None:
            return True
        now_ms = self._clock.now_ms()
        delay_ms = max(min_delay_ms, self._recent_delay_ms(route, now_ms))
        return now_ms + idle_ms + delay_ms < self._limit_ms

    def _recent_delay_ms(self, route: str, now_ms: int) -> float:
        oldest_ms = now_ms - DELAY_WINDOW_MS
        return max(
            (
                one.delay_ms
                for one in self._delays
                if one.route == route and one.ended_ms > oldest_ms
            ),
            default=0.0,
        )
