"""Spreads the returns of refused callers over the rate of their servers."""

from shallothinge import clock as clocks

# Most callers do not wait for longer. Later returns share the earlier places.
MAX_RETURN_MS = 10_000


class ReturnSchedule:
    """When the callers of each service that were refused are to return.

    Callers that return at the same moment would be refused again, so each is
    given the next place in the schedule.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._last_ms: dict[str, float] = {}

    def book(
        self, *, service: str, first_in_ms: float, interval_ms: float
    ) -> int:
        """Return the time in ms after which a caller is to return.

        :param first_in_ms: time until a request may be sent.
        :param interval_ms: time between two requests that may be sent.
        """
        now_ms = self._clock.now_ms()
        at_ms = max(
            now_ms + first_in_ms,
            self._last_ms.get(service, 0.0) + interval_ms,
        )
        if at_ms > now_ms + MAX_RETURN_MS:
            at_ms = now_ms + min(first_in_ms, MAX_RETURN_MS)
        self._last_ms[service] = at_ms
        return max(1, int(at_ms - now_ms))
