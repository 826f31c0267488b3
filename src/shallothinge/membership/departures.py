"""Replicated record of backend servers that have announced their departure.

A leader's list of servers is soft state and lost on a change of leader. This
record survives, so that no leader sends work to a server whose departure an
earlier leader acknowledged.
"""

import attrs

from shallothinge.membership import messages
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import Departure
from shallothinge.membership.model import STARTS_COVERED_MS

# Longer than a kernel repeats the last bytes of a connection that was closed
# during a cut: a heartbeat among them may arrive until then.
RETENTION_MS = 300_000
# Without a stated start, a restart under the same id can't be distinguished
# from a delayed heartbeat.
UNSTATED_START_RETENTION_MS = 60_000


@attrs.define(kw_only=True)
class Departures:
    """Backend servers that left recently, oldest first."""

    entries: tuple[Departure, ...] = ()
    _by_server: dict[str, tuple[Departure, ...]] = attrs.field(
        init=False, eq=False, repr=False, factory=dict
    )

    def __attrs_post_init__(self):
        """Index the entries by their servers' ids."""
        self._replace(self.entries)

    def find(self, *, server: BackendServer, now_ms: int) -> Departure | None:
        """Return a departure that covers an incarnation of a server."""
        for entry in self._by_server.get(server.server_id, ()):
            if entry.covers(server, age_ms=now_ms - entry.at_ms):
                return entry
        return None

    def find_recorded(
        self, command: messages.RecordDeparture
    ) -> Departure | None:
        """Return a departure that covers all that the command would."""
        for entry in self._by_server.get(command.server_id, ()):
            is_same = entry.incarnation == command.incarnation
            if is_same and entry.covered_to_ms >= command.started_to_ms:
                return entry
        return None

    def first_index(self, command: messages.RecordDeparture) -> int | None:
        """Return the index of the first record that covers who has left.

        A server that drains and then leaves, or that asks again, is recorded
        for each instant. If its incarnation is known, the first record covers
        it as well as the last one.
        """
        if not command.incarnation:
            found = self.find_recorded(command)
            return None if found is None else found.index
        indexes = (
            entry.index
            for entry in self._by_server.get(command.server_id, ())
            if entry.incarnation == command.incarnation
        )
        return min(indexes, default=None)

    def since(self, *, index: int) -> tuple[Departure, ...]:
        """Return the departures recorded after a log index."""
        return tuple(entry for entry in self.entries if entry.index > index)

    def record(
        self, command: messages.RecordDeparture, *, index: int, now_ms: int
    ) -> bool:
        """Record a departure and remove old ones.

        :returns: whether the departure was not recorded yet.
        """
        self.forget_old(now_ms=now_ms)
        if self.find_recorded(command) is not None:
            return False
        departure = Departure(
            server_id=command.server_id,
            incarnation=command.incarnation,
            index=index,
            at_ms=now_ms,
            started_to_ms=command.started_to_ms,
        )
        self._replace((*self.entries, departure))
        return True

    def forget_old(self, *, now_ms: int) -> None:
        """Remove departures whose retention period has ended."""
        if self.has_old(now_ms=now_ms):
            self._replace(
                tuple(one for one in self.entries if not _is_old(one, now_ms))
            )

    def has_old(self, *, now_ms: int) -> bool:
        """Return whether ``forget_old`` would remove any departure."""
        return any(_is_old(entry, now_ms) for entry in self.entries)

    def _replace(self, entries: tuple[Departure, ...]) -> None:
        self.entries = entries
        self._by_server = {}
        for entry in entries:
            others = self._by_server.get(entry.server_id, ())
            self._by_server[entry.server_id] = (*others, entry)


def retention_ms(departure: Departure) -> int:
    """Return the retention period of a departure."""
    if not departure.incarnation:
        return STARTS_COVERED_MS
    if departure.started_to_ms:
        return RETENTION_MS
    return UNSTATED_START_RETENTION_MS


def _is_old(entry: Departure, now_ms: int) -> bool:
    return entry.at_ms < now_ms - retention_ms(entry)
