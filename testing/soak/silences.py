"""Pauses of sound backend servers, drawn from a seed.

A server that is sound may fall silent for a second or so and go on. It
announces itself all the while.
"""

import enum
import json
import random

import attrs

SHORTEST_S, LONGEST_S = 0.5, 2.0
MOST_GAP_S = 1.5


class Scope(enum.Enum):
    """Which answers of a server pause."""

    ALL = 'all'
    # The first one that is due to send something.
    ONE = 'one'
    # Those whose first event is still to come.
    UNBEGUN = 'unbegun'


SCOPE_WEIGHTS = {Scope.ALL: 5, Scope.ONE: 3, Scope.UNBEGUN: 2}


@attrs.frozen(kw_only=True)
class Silence:
    """A pause of some servers, and the time until the next one."""

    targets: tuple[str, ...]
    scope: Scope
    for_s: float
    gap_s: float

    def order(self) -> bytes:
        """Return what a server is told."""
        fields = {'scope': self.scope.value, 'for_s': self.for_s}
        return json.dumps(fields).encode()


def read_order(data: bytes) -> tuple[Scope, float]:
    """Return what a server is told to do."""
    fields = json.loads(data)
    return Scope(fields['scope']), fields['for_s']


def draw(rng: random.Random, *, groups: dict[str, list[str]]) -> Silence:
    """Return the next pause: of one server, of half of a service or of all.

    :param groups: names of servers by service.
    """
    names = groups[rng.choice(sorted(groups))]
    half = (len(names) + 1) // 2
    count = rng.choice((1, 1, half, len(names)))
    return Silence(
        targets=tuple(rng.sample(names, count)),
        scope=rng.choices([*SCOPE_WEIGHTS], [*SCOPE_WEIGHTS.values()])[0],
        for_s=round(rng.uniform(SHORTEST_S, LONGEST_S), 3),
        gap_s=rng.uniform(0.0, MOST_GAP_S),
    )
