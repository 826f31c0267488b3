"""Filters outdated heartbeats of backend servers.

A heartbeat may arrive after a newer one, after the backend server has left,
or after another backend server has started at the same address.
"""

from collections.abc import Callable
import enum

import attrs

from shallothinge import clock as clocks
from shallothinge.membership import messages
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import Departure
from shallothinge.membership.table import MemberTable

# Longer than the known delay of a heartbeat on a link that was cut.
HEARTBEAT_RETENTION_MS = 60_000


class HeartbeatResult(enum.Enum):
    """Result of processing a heartbeat."""

    OUTDATED = 'outdated'
    REPEATED = 'repeated'
    CHANGED = 'changed'


@attrs.define(kw_only=True)
class _LatestHeartbeat:
    """The newest heartbeat of one backend server."""

    heartbeat: messages.Heartbeat
    received_ms: int


class HeartbeatFilter:
    """Applies heartbeats that are not outdated to a member table.

    :param find_departure: returns the recorded departure that covers an
        incarnation of a server, or None.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        members: MemberTable,
        find_departure: Callable[[BackendServer], Departure | None],
    ):
        self._clock = clock
        self._members = members
        self._find_departure = find_departure
        self._latest: dict[str, _LatestHeartbeat] = {}

    def apply_departure(
        self, order: messages.ServerGone, *, now_ms: int
    ) -> messages.RecordDeparture:
        """Remove a server at its own request; return what is to be recorded.

        The server does not say which incarnation leaves. It is the latest
        that was known when it asked, or one that had started by then and
        whose heartbeats did not reach the leader. One that started since
        stays.

        :param now_ms: the Unix time, for orders of a former release, which
            state neither the time nor the incarnation.
        """
        until_ms = order.asked_ms or now_ms
        incarnation = order.incarnation
        latest = self._latest.get(order.server_id)
        if latest is not None and not incarnation:
            server = _with_start(latest.heartbeat)
            is_former_release = not order.asked_ms
            if is_former_release or server.started_ms <= until_ms:
                incarnation = server.incarnation
        if latest is None or incarnation == self.incarnation_of(
            order.server_id
        ):
            self.remove(order.server_id)
        return messages.RecordDeparture(
            server_id=order.server_id,
            incarnation=incarnation,
            started_to_ms=until_ms,
        )

    def incarnation_of(self, server_id: str) -> str:
        """Return the incarnation in the latest heartbeat, or ''."""
        latest = self._latest.get(server_id)
        return '' if latest is None else latest.heartbeat.server.incarnation

    def apply(self, heartbeat: messages.Heartbeat) -> HeartbeatResult:
        """Apply a heartbeat unless it is outdated."""
        taken = self._classify(heartbeat)
        if taken is not HeartbeatResult.CHANGED:
            return taken
        server = _with_start(heartbeat)
        for other_id in self._other_ids_at_address(server):
            self.remove(other_id)
        self._latest[server.server_id] = _LatestHeartbeat(
            heartbeat=heartbeat, received_ms=self._clock.now_ms()
        )
        version = self._members.version
        self._members.announce(server=server)
        has_changed = self._members.version > version
        return (
            HeartbeatResult.CHANGED
            if has_changed
            else HeartbeatResult.REPEATED
        )

    def remove(self, server_id: str) -> None:
        """Remove a backend server that has left or was replaced."""
        self._latest.pop(server_id, None)
        self._members.withdraw(server_id=server_id)

    def forget_old(self) -> None:
        """Remove heartbeats older than ``HEARTBEAT_RETENTION_MS``."""
        oldest_ms = self._clock.now_ms() - HEARTBEAT_RETENTION_MS
        for server_id, latest in list(self._latest.items()):
            if latest.received_ms < oldest_ms:
                del self._latest[server_id]

    def _classify(self, heartbeat: messages.Heartbeat) -> HeartbeatResult:
        """Return whether a heartbeat is outdated, repeated or ``CHANGED``.

        ``CHANGED`` means here that the heartbeat is to be applied.
        """
        server = _with_start(heartbeat)
        if not server.leaving and self._find_departure(server) is not None:
            return HeartbeatResult.OUTDATED
        latest = self._latest.get(server.server_id)
        if latest is not None:
            if heartbeat.started_ms < latest.heartbeat.started_ms:
                return HeartbeatResult.OUTDATED
            if heartbeat.started_ms == latest.heartbeat.started_ms:
                if heartbeat.sequence == latest.heartbeat.sequence:
                    return HeartbeatResult.REPEATED
                if heartbeat.sequence < latest.heartbeat.sequence:
                    return HeartbeatResult.OUTDATED
        for other_id in self._other_ids_at_address(server):
            if (
                self._latest[other_id].heartbeat.started_ms
                > heartbeat.started_ms
            ):
                return HeartbeatResult.OUTDATED
        return HeartbeatResult.CHANGED

    def _other_ids_at_address(self, server: BackendServer) -> list[str]:
        """Return the ids of other servers with the same address."""
        return [
            server_id
            for server_id, latest in self._latest.items()
            if server_id != server.server_id
            and latest.heartbeat.server.address == server.address
        ]


def _with_start(heartbeat: messages.Heartbeat) -> BackendServer:
    """Return the server with its start, also from a former release's host."""
    return attrs.evolve(heartbeat.server, started_ms=heartbeat.started_ms)
