"""Which heartbeats of backend servers still count.

Heartbeats may arrive late: after a newer one, after the backend server has
gone, or after another one has started at its address.
"""

import enum

import attrs

from shallothinge import clock as clocks
from shallothinge.membership import messages
from shallothinge.membership.table import MemberTable

# Longer than a heartbeat is known to be held up by a cut link.
GONE_KEPT_MS = 60_000
# Of one whose start is not known, a late heartbeat can't be told from a new
# start under the same id; heartbeats are seconds late at most.
UNKNOWN_GONE_KEPT_MS = 10_000


class Taken(enum.Enum):
    """What a heartbeat told."""

    OUTDATED = 'outdated'
    REPEATED = 'repeated'
    CHANGED = 'changed'


@attrs.define(kw_only=True)
class _Seen:
    """The newest word of one backend server.

    ``started_ms`` is None for one that is gone and was not heard of before.
    """

    started_ms: int | None
    sequence: int
    address: str
    gone_ms: int | None = None


class HeartbeatLog:
    """Feeds a member table with the heartbeats that count."""

    def __init__(self, *, clock: clocks.Clock, members: MemberTable):
        self._clock = clock
        self._members = members
        self._seen: dict[str, _Seen] = {}

    def take(self, beat: messages.Heartbeat) -> Taken:
        """Take a heartbeat into account, unless it is outdated."""
        server = beat.server
        if self._is_outdated(beat):
            return Taken.OUTDATED
        for server_id, seen in list(self._seen.items()):
            if server_id == server.server_id or seen.gone_ms is not None:
                continue
            if seen.address == server.address:
                if seen.started_ms > beat.started_ms:
                    return Taken.OUTDATED
                self._end(server_id)
        self._seen[server.server_id] = _Seen(
            started_ms=beat.started_ms,
            sequence=beat.sequence,
            address=server.address,
        )
        version = self._members.version
        self._members.announce(server=server)
        has_changed = self._members.version > version
        return Taken.CHANGED if has_changed else Taken.REPEATED

    def gone(self, order: messages.ServerGone) -> None:
        """Drop a backend server; its late heartbeats don't count.

        A new leader may hear this before any heartbeat.
        """
        if order.server_id not in self._seen:
            self._seen[order.server_id] = _Seen(
                started_ms=None, sequence=0, address=''
            )
        self._end(order.server_id)

    def forget_old(self) -> None:
        """Forget backend servers that went long ago."""
        now_ms = self._clock.now_ms()
        for server_id, seen in list(self._seen.items()):
            if seen.gone_ms is None:
                continue
            is_unknown = seen.started_ms is None
            kept_ms = UNKNOWN_GONE_KEPT_MS if is_unknown else GONE_KEPT_MS
            if seen.gone_ms < now_ms - kept_ms:
                del self._seen[server_id]

    def _is_outdated(self, beat: messages.Heartbeat) -> bool:
        seen = self._seen.get(beat.server.server_id)
        if seen is None:
            return False
        if seen.started_ms is None:
            return True
        if beat.started_ms != seen.started_ms:
            return beat.started_ms < seen.started_ms
        return seen.gone_ms is not None or beat.sequence <= seen.sequence

    def _end(self, server_id: str) -> None:
        self._seen[server_id].gone_ms = self._clock.now_ms()
        self._members.withdraw(server_id=server_id)
