"""Requests that servers run and then answer with a promising status.

The status alone would tell a caller that the request has not run, which the
server does not state.
"""

import random

from testing.soak import checks

# Last part of the target of such a request.
PREFIX = 'fail-'
SHARE = 0.06
STATUSES = tuple(one for one in checks.PROMISES if one != 421)


class Failures:
    """What one server answers after it has run such a request."""

    def __init__(self, *, name: str):
        self._rng = random.Random(f'failures {name}')

    def draw_status(self, target: str) -> int | None:
        """Return the status of the answer, or None if the request is sound."""
        if not target.rpartition('/')[2].startswith(PREFIX):
            return None
        return self._rng.choice(STATUSES)
