"""Which heartbeats of backend servers still count.

Heartbeats may arrive late: after a newer one, after the backend server has
left, or after another one has started at its address.
"""

from collections.abc import Callable
import enum

import attrs

from shallothinge import clock as clocks
from shallothinge.membership import messages
from shallothinge.membership.departures import Departures
from shallothinge.membership.model import BackendServer
from shallothinge.membership.table import MemberTable

# Longer than a heartbeat is known to be held up by a cut link.
SEEN_KEPT_MS = 60_000


class Taken(enum.Enum):
    """What a heartbeat told."""

    OUTDATED = 'outdated'
    REPEATED = 'repeated'
    CHANGED = 'changed'


@attrs.define(kw_only=True)
class _Seen:
    """The newest heartbeat of one backend server."""

    beat: messages.Heartbeat
    heard_ms: int


class HeartbeatLog:
    """Feeds a member table with the heartbeats that count.

    :param read_departures: returns the record of servers that left.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        members: MemberTable,
        read_departures: Callable[[], Departures],
    ):
        self._clock = clock
        self._members = members
        self._read_departures = read_departures
        self._seen: dict[str, _Seen] = {}

    def incarnation_of(self, server_id: str) -> str:
        """Return the incarnation heard of last, or ''."""
        seen = self._seen.get(server_id)
        return '' if seen is None else seen.beat.server.incarnation

    def take(self, beat: messages.Heartbeat) -> Taken:
        """Take a heartbeat into account, unless it is outdated."""
        taken = self._sort(beat)
        if taken is not Taken.CHANGED:
            return taken
        server = beat.server
        for other_id in self._others_at(server):
            self.gone(other_id)
        self._seen[server.server_id] = _Seen(
            beat=beat, heard_ms=self._clock.now_ms()
        )
        version = self._members.version
        self._members.announce(server=server)
        has_changed = self._members.version > version
        return Taken.CHANGED if has_changed else Taken.REPEATED

    def gone(self, server_id: str) -> None:
        """Drop a backend server that is gone or was replaced."""
        self._seen.pop(server_id, None)
        self._members.withdraw(server_id=server_id)

    def forget_old(self) -> None:
        """Forget backend servers that have long been silent."""
        oldest_ms = self._clock.now_ms() - SEEN_KEPT_MS
        for server_id, seen in list(self._seen.items()):
            if seen.heard_ms < oldest_ms:
                del self._seen[server_id]

    def _sort(self, beat: messages.Heartbeat) -> Taken:
        """Tell a heartbeat that may change something from others."""
        server = beat.server
        has_left = self._read_departures().find(
            server_id=server.server_id, incarnation=server.incarnation
        )
        if has_left and not server.leaving:
            return Taken.OUTDATED
        seen = self._seen.get(server.server_id)
        if seen is not None:
            if beat.started_ms < seen.beat.started_ms:
                return Taken.OUTDATED
            if beat.started_ms == seen.beat.started_ms:
                if beat.sequence == seen.beat.sequence:
                    return Taken.REPEATED
                if beat.sequence < seen.beat.sequence:
                    return Taken.OUTDATED
        for other_id in self._others_at(server):
            if self._seen[other_id].beat.started_ms > beat.started_ms:
                return Taken.OUTDATED
        return Taken.CHANGED

    def _others_at(self, server: BackendServer) -> list[str]:
        """Return the ids of other servers heard of at an address."""
        return [
            server_id
            for server_id, seen in self._seen.items()
            if server_id != server.server_id
            and seen.beat.server.address == server.address
        ]
