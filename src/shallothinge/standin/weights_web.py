"""HTTP face of the stand-in weight store."""

from shallothinge.standin import web
from shallothinge.standin import weights


class WeightStoreResource(web.JsonResource):
    """Serves ``GET /v1/weights/NAME`` within the limit."""

    def __init__(self, *, limit: weights.LoadLimit):
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
