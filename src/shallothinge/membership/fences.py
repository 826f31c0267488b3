"""Replicated fencing numbers of backend servers.

The fencing number of an agent's incarnation is the log index at which it was
recorded first. Only the incarnation recorded last may get a lease.
"""

import enum

import attrs

MAX_PAST_INCARNATIONS = 16


class IncarnationStatus(enum.Enum):
    """Status of an incarnation of a backend server's agent."""

    NEW = 'new'
    CURRENT = 'current'
    REPLACED = 'replaced'


@attrs.frozen(kw_only=True)
class FenceRecord:
    """The newest incarnation of a backend server's agent."""

    fence: int
    incarnation: str
    past: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class Fences:
    """Fencing numbers by backend server."""

    by_server: dict[str, FenceRecord] = attrs.field(factory=dict)

    def status_of(
        self, *, server_id: str, incarnation: str
    ) -> IncarnationStatus:
        """Return whether the incarnation is new, current or replaced."""
        record = self.by_server.get(server_id)
        if record is None:
            return IncarnationStatus.NEW
        if record.incarnation == incarnation:
            return IncarnationStatus.CURRENT
        if incarnation in record.past:
            return IncarnationStatus.REPLACED
        return IncarnationStatus.NEW

    def fence_of(self, *, server_id: str) -> int:
        """Return the fencing number of the newest incarnation, or 0."""
        record = self.by_server.get(server_id)
        return 0 if record is None else record.fence

    def advance(self, *, server_id: str, incarnation: str, index: int) -> None:
        """Record an incarnation as the newest, if it is not known yet."""
        standing = self.status_of(server_id=server_id, incarnation=incarnation)
        if standing is not IncarnationStatus.NEW:
            return
        past = ()
        record = self.by_server.get(server_id)
        if record is not None:
            past = (*record.past, record.incarnation)[-MAX_PAST_INCARNATIONS:]
        self.by_server[server_id] = FenceRecord(
            fence=index, incarnation=incarnation, past=past
        )
