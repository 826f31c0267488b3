"""Tracks the limits that backend servers name in their answers."""

import logging

import attrs

from shallothinge import clock as clocks

LOG = logging.getLogger(__name__)

# A server's id and incarnation.
ServerKey = tuple[str, str]


@attrs.define(kw_only=True)
class _Limit:
    """What one incarnation of a server has last said of its limit.

    ``per_s`` is None once it names none any more. ``stated_ms`` is the
    instant at which this gateway last learned that the limit holds.
    """

    per_s: float | None
    stated_ms: int


class ServerLimits:
    """The limits in force, by incarnation of a server."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._limits: dict[ServerKey, _Limit] = {}

    @property
    def count(self) -> int:
        """Return how many servers name a limit."""
        return sum(one.per_s is not None for one in self._limits.values())

    def limit_per_s(self, key: ServerKey) -> float | None:
        """Return the requests a second of a server, None if not limited."""
        known = self._limits.get(key)
        return None if known is None else known.per_s

    def record_answer(
        self, key: ServerKey, *, per_s: float | None, sent_ms: int
    ) -> None:
        """Record what an answer says of its server's limit.

        Answers may overtake each other, so a limit is raised or ended only by
        the answer to a request that was sent after the limit was learned.

        :param per_s: requests a second, None if the answer names no limit.
        :param sent_ms: instant at which the request was sent.
        """
        known = self._limits.get(key)
        known_per_s = self.limit_per_s(key)
        if per_s is None and known_per_s is None:
            return
        is_looser = known_per_s is not None and (
            per_s is None or per_s > known_per_s
        )
        if is_looser and sent_ms <= known.stated_ms:
            return
        if per_s != known_per_s:
            LOG.info(
                'backend server changed its limit',
                extra={
                    'server_id': key[0],
                    'incarnation': key[1],
                    'limit_per_s': per_s,
                    'earlier_per_s': known_per_s,
                },
            )
        self._limits[key] = _Limit(per_s=per_s, stated_ms=self._clock.now_ms())
