"""Replicated record of backend servers that have said that they leave.

A leader's list of servers is lost with it; this record is not, so that no
leader sends work to a server whose leaving another one acknowledged.
"""

import attrs

from shallothinge.membership.model import Departure

# Longer than a heartbeat is known to be held up by a cut link.
KEPT_MS = 60_000
# Of one whose incarnation is not known, a late heartbeat can't be told from a
# new start under the same id; heartbeats are seconds late at most.
UNKNOWN_KEPT_MS = 10_000


@attrs.define(kw_only=True)
class Departures:
    """Servers that left of late, oldest first."""

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
        """Return the departures recorded after an index of the log."""
        return tuple(entry for entry in self.entries if entry.index > index)

    def record(
        self, *, server_id: str, incarnation: str, index: int, now_ms: int
    ) -> bool:
        """Record a departure, and forget old ones.

        :param incarnation: '' if it is not known; covers all of them.
        :returns: whether it was not known yet.
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
        """Forget servers that left long ago."""
        self.entries = tuple(
            entry for entry in self.entries if not _is_old(entry, now_ms)
        )

    def has_old(self, *, now_ms: int) -> bool:
        """Return whether there is anything to forget."""
        return any(_is_old(entry, now_ms) for entry in self.entries)


def kept_ms(incarnation: str) -> int:
    """Return for how long the departure of an incarnation is kept."""
    return KEPT_MS if incarnation else UNKNOWN_KEPT_MS


def _is_old(entry: Departure, now_ms: int) -> bool:
    return entry.at_ms < now_ms - kept_ms(entry.incarnation)
