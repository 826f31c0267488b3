"""Keeps new work off a backend server that fails again and again."""

from shallothinge import clock as clocks

FAILURES_TO_OPEN = 3
OPEN_MS = 2000
MAX_OPEN_MS = 30_000


class Breaker:
    """Closed, open or half-open state towards one backend server.

    :param failures_to_open: failures in a row after which it opens.
    :param open_ms: how long it stays open at first.
    :param max_open_ms: how long it stays open at most.
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
        self._first_open_ms = open_ms
        self._max_open_ms = max_open_ms
        self._failures = 0
        self._open_ms = open_ms
        self._until_ms = None
        self._probing = False

    def allows(self) -> bool:
        """Return whether a request may be sent there now."""
        if self._until_ms is None:
            return True
        return not self._probing and self._clock.now_ms() >= self._until_ms

    def sent(self) -> None:
        """Note a request; after the open time only one goes as a probe."""
        if self._until_ms is not None:
            self._probing = True

    def succeeded(self) -> None:
        """Close after an answer."""
        self._failures = 0
        self._open_ms = self._first_open_ms
        self._until_ms = None
        self._probing = False

    def released(self) -> None:
        """Note that a request ended without telling anything."""
        self._probing = False

    def failed(self) -> None:
        """Count a failure; opens after several in a row."""
        self._failures += 1
        if self._until_ms is not None:
            self._open_ms = min(self._max_open_ms, 2 * self._open_ms)
        elif self._failures < self._failures_to_open:
            return
        self._probing = False
        self._until_ms = self._clock.now_ms() + self._open_ms
