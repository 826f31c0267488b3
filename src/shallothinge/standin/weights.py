"""A stand-in weight store that limits the rate of loads."""

from shallothinge import clock
from shallothinge.standin import model
from shallothinge.standin import web

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


class WeightStoreResource(web.JsonResource):
    """Serves ``GET /v1/weights/NAME`` within the limit."""

    def __init__(self, *, limit: LoadLimit):
        super().__init__()
        self._limit = limit
        self._granted = 0
        self._refused = 0

    def handle(self, request) -> web.Answer:
        """Answer one request."""
        path = web.path_of(request)
        if path == ('counters',):
            counters = {'granted': self._granted, 'refused': self._refused}
            return web.Answer(body=counters)
        if path[:2] != ('v1', 'weights') or len(path) != 3:
            return web.Answer(status=404, body={'error': 'not_found'})
        wait_ms = self._limit.take()
        if wait_ms == 0:
            self._granted += 1
            return web.Answer(body={'model': path[2]})
        self._refused += 1
        return web.Answer(
            status=503,
            body={'error': 'weight_store_busy'},
            headers=(('Retry-After', str(-(-wait_ms // 1000))),),
        )
