"""Route tables of a soak: what the operator changes from one to the next."""

import random

import attrs

from shallothinge.platform.tests import samples
from testing.soak import wire

USUAL_TIMEOUT_MS = 6000
# Streams last for a second, calls for a third of one.
STREAM_TIMEOUTS_MS = (USUAL_TIMEOUT_MS, 4500, 3000)
CALL_TIMEOUTS_MS = (USUAL_TIMEOUT_MS, 1300, 1000)
# Most of a route's requests go to its own service.
OTHER_WEIGHTS = (0, 0, 5, 20)
SPARE_SHARE = 0.5
ATTEMPTS = 3
# Which route a request takes; callers ask for all of these at all times.
KINDS = {
    (wire.STREAMS, 'stream'): 'streaming',
    (wire.CALLS, 'book'): 'unsafe',
    (wire.CALLS, 'look'): 'safe',
}
SPARE = 'spare'


@attrs.frozen(kw_only=True)
class Table:
    """What varies between configurations.

    ``timeouts_ms`` and ``other_weights`` are by path of a route; a weight is
    the percentage that goes to the other service. A table with a spare has
    one more route and service, which nobody asks for.
    """

    timeouts_ms: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(_paths(), USUAL_TIMEOUT_MS)
    )
    other_weights: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(_paths(), 0)
    )
    has_spare: bool = False

    def configuration(self, version: int, api_keys: list[str]) -> dict:
        """Return the configuration with this table."""
        routes = [
            self._route(service, path, kind)
            for (service, path), kind in KINDS.items()
        ]
        services = [
            {'name': wire.STREAMS, 'engine': samples.ENGINE},
            {'name': wire.CALLS},
        ]
        if self.has_spare:
            routes.append(_plain_route(SPARE, SPARE, 'safe', USUAL_TIMEOUT_MS))
            services.append({'name': SPARE})
        return samples.with_keys(
            api_keys, version=version, routes=routes, services=services
        )

    def _route(self, service: str, path: str, kind: str) -> dict:
        route = _plain_route(service, path, kind, self.timeouts_ms[path])
        if self.other_weights[path]:
            other = wire.CALLS if service == wire.STREAMS else wire.STREAMS
            weight = self.other_weights[path]
            route = samples.split(
                route, {service: 100 - weight, other: weight}
            )
        if kind == 'streaming':
            return samples.resumable(route, pause_ms=250)
        return route


def draw(rng: random.Random) -> Table:
    """Return the table of a next configuration."""
    return Table(
        timeouts_ms={
            path: rng.choice(
                STREAM_TIMEOUTS_MS
                if service == wire.STREAMS
                else CALL_TIMEOUTS_MS
            )
            for service, path in KINDS
        },
        other_weights={path: rng.choice(OTHER_WEIGHTS) for path in _paths()},
        has_spare=rng.random() < SPARE_SHARE,
    )


def path_of(target: str) -> str:
    """Return the path of the route that a request takes."""
    return target.split('/')[2]


def _paths() -> list[str]:
    return [path for _, path in KINDS]


def _plain_route(service: str, path: str, kind: str, timeout_ms: int) -> dict:
    return samples.route(
        name=f'{service}-{path}',
        host=wire.HOST,
        prefix=f'/{service}/{path}/',
        kind=kind,
        service=service,
        timeout_ms=timeout_ms,
        objective_ms=300,
        attempts=ATTEMPTS,
    )
