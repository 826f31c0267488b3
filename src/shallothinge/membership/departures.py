"""Replicated record of backend servers that have announced their departure.

A leader's list of servers is soft state and lost on a change of leader. This
record survives, so that no leader sends work to a server whose departure an
earlier leader acknowledged.
"""

import attrs

from shallothinge.membership.model import Departure

# Longer than the known delay of a heartbeat on a link that was cut.
RETENTION_MS = 60_000
# If the incarnation is not known, a delayed heartbeat can't be distinguished
# from a restart under the same id; heartbeats are seconds late at most.
UNKNOWN_INCARNATION_RETENTION_MS = 10_000


@attrs.define(kw_only=True)
class Departures:
    """Backend servers that left recently, oldest first."""

    entries: tuple[Departure, ...] = ()

    def find(self, *, server_id: str, incarnation: str) -> Departure | None:
        """Return the departure that covers an incarnation.

        :param incarnation: '' for any.
        """
        for entry in reversed(self.entries):
            covers = not incarnation or entry.incarnation in ('', incarnation)
            if entry.server_id == server_id and covers:
                return entry
        return None

    def since(self, *, index: int) -> tuple[Departure, ...]:
        """Return the departures recorded after a log index."""
        return tuple(entry for entry in self.entries if entry.index > index)

    def record(
        self, *, server_id: str, incarnation: str, index: int, now_ms: int
    ) -> bool:
        """Record a departure and remove old ones.

        :param incarnation: '' if not known, which covers all incarnations.
        :returns: whether the departure was not recorded yet.
        """
        self.forget_old(now_ms=now_ms)
        if self.find(server_id=server_id, incarnation=incarnation) is not None:
            return False
        departure = Departure(
            server_id=server_id,
            incarnation=incarnation,
            index=index,
            at_ms=now_ms,
        )
        self.entries = (*self.entries, departure)
        return True

    def forget_old(self, *, now_ms: int) -> None:
        """Remove departures whose retention period has ended."""
        self.entries = tuple(
            entry for entry in self.entries if not _is_old(entry, now_ms)
        )

    def has_old(self, *, now_ms: int) -> bool:
        """Return whether ``forget_old`` would remove any departure."""
        return any(_is_old(entry, now_ms) for entry in self.entries)


def retention_ms(incarnation: str) -> int:
    """Return the retention period of an incarnation's departure."""
    return RETENTION_MS if incarnation else UNKNOWN_INCARNATION_RETENTION_MS


def _is_old(entry: Departure, now_ms: int) -> bool:
    return entry.at_ms < now_ms - retention_ms(entry.incarnation)
