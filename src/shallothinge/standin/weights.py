"""The rate limit of the stand-in weight store."""

from shallothinge import clock
from shallothinge.standin import model

MS_PER_MINUTE = 60_000


class LoadLimit:
    """Token bucket over loads of weights."""

    def __init__(
        self, *, clock: clock.Clock, options: model.WeightStoreOptions
    ):
        self._clock = clock
        self._ms_per_load = MS_PER_MINUTE // options.loads_per_minute
        self._burst_ms = options.burst_loads * self._ms_per_load
        self._saved_ms = self._burst_ms
        self._counted_ms = clock.now_ms()

    def take(self) -> int:
        """Take one load.

        :returns: 0 if it was granted, else the milliseconds to wait.
        """
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._counted_ms
        self._saved_ms = min(self._burst_ms, self._saved_ms + elapsed_ms)
        self._counted_ms = now_ms
        if self._saved_ms < self._ms_per_load:
            return self._ms_per_load - self._saved_ms
        self._saved_ms -= self._ms_per_load
        return 0
