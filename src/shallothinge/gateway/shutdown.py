"""The planned stop of a gateway, as its requests see it."""

from shallothinge import clock as clocks


class Shutdown:
    """Tells requests how much time is left before a planned stop."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._limit_ms: int | None = None

    def begin(self, *, duration_ms: int) -> None:
        """Note that the process has been told to stop.

        :param duration_ms: time until the requests that are left are ended.
        """
        self._limit_ms = self._clock.now_ms() + duration_ms

    def allows(self, duration_ms: float) -> bool:
        """Return whether an answer that takes so long ends before the stop.

        Always true for a process that has not been told to stop.
        """
        if self._limit_ms is None:
            return True
        return self._clock.now_ms() + duration_ms < self._limit_ms
