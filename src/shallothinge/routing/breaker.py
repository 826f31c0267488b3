"""Circuit breaker that stops requests to a failing backend server."""

from shallothinge import clock as clocks

FAILURES_TO_OPEN = 3
OPEN_MS = 2000
MAX_OPEN_MS = 30_000


class CircuitBreaker:
    """Circuit breaker for one backend server: closed, open or half-open.

    Each failure while it is open or half-open doubles the open time.

    :param failures_to_open: consecutive failures that open it.
    :param open_ms: initial open time, in milliseconds.
    :param max_open_ms: maximum open time, in milliseconds.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        failures_to_open: int = FAILURES_TO_OPEN,
        open_ms: int = OPEN_MS,
        max_open_ms: int = MAX_OPEN_MS,
    ):
        self._clock = clock
        self._failures_to_open = failures_to_open
        self._initial_open_ms = open_ms
        self._max_open_ms = max_open_ms
        self._consecutive_failures = 0
        self._open_ms = open_ms
        self._open_until_ms = None
        self._probe_in_flight = False

    def allows_request(self) -> bool:
        """Return whether a request may be sent to the server now."""
        if self._open_until_ms is None:
            return True
        return (
            not self._probe_in_flight
            and self._clock.now_ms() >= self._open_until_ms
        )

    def record_sent(self) -> None:
        """Record a sent request; when half-open, it is the only probe."""
        if self._open_until_ms is not None:
            self._probe_in_flight = True

    def record_success(self) -> None:
        """Record an answer and close the breaker."""
        self._consecutive_failures = 0
        self._open_ms = self._initial_open_ms
        self._open_until_ms = None
        self._probe_in_flight = False

    def record_unknown_outcome(self) -> None:
        """Record the end of a request that does not show the server's health.

        A probe that ends in this way allows another one.
        """
        self._probe_in_flight = False

    def record_failure(self) -> None:
        """Record a failure; open after too many consecutive ones."""
        self._consecutive_failures += 1
        if self._open_until_ms is not None:
            self._open_ms = min(self._max_open_ms, 2 * self._open_ms)
        elif self._consecutive_failures < self._failures_to_open:
            return
        self._probe_in_flight = False
        self._open_until_ms = self._clock.now_ms() + self._open_ms
