"""Sorted order of the requests that wait for one service.

Requests that can still be answered in time come before late ones. Within both,
the more urgent come first, then those of workspaces that are not above their
share, then the one that must start soonest or, of late ones, the one that is
abandoned soonest.
"""

import bisect
from collections.abc import Iterator
import heapq
import itertools

import attrs

_VERSIONS = itertools.count()

# Position of an entry among those of its group: whether it is late, urgency,
# start or abandon time, id of the gateway, number.
Key = tuple[bool, int, float, str, int]


@attrs.define(kw_only=True, eq=False)
class Entry:
    """One waiting request.

    :ivar group: entries of a group are together above their share or not.
    :ivar number: distinguishes the entries of a gateway.
    """

    group: str
    gateway_id: str
    number: int
    urgency: int
    start_by_ms: float
    abandon_ms: float
    is_late: bool = False

    @property
    def fields(self) -> tuple:
        """Return all that decides on the order, except for the time."""
        return self.group, self.urgency, self.start_by_ms, self.abandon_ms

    @property
    def key(self) -> Key:
        """Return the position of the entry among those of its group."""
        time_ms = self.abandon_ms if self.is_late else self.start_by_ms
        return (
            self.is_late,
            self.urgency,
            time_ms,
            self.gateway_id,
            self.number,
        )

    @property
    def abandon_key(self) -> tuple[float, int, str, int]:
        """Return the position among late entries for a late turn."""
        return self.abandon_ms, self.urgency, self.gateway_id, self.number

    @property
    def start_key(self) -> tuple[float, str, int]:
        """Return the position among entries by the time they turn late."""
        return self.start_by_ms, self.gateway_id, self.number


@attrs.define(kw_only=True, eq=False)
class _Group:
    """Entries that change sides of the fair share together."""

    is_above: bool = False
    entries: dict[tuple[str, int], Entry] = attrs.field(factory=dict)
    keys: list[Key] = attrs.field(factory=list)


class WaitingOrder:
    """The entries of one service, in order.

    A group's keys do not depend on its side of the fair share, so that a
    change of side costs the same for any number of entries.

    :ivar version: no two orders, at any time, have the same.
    """

    def __init__(self):
        self._groups: dict[str, _Group] = {}
        self._by_start: list[tuple[float, str, int]] = []
        self._late: list[tuple[float, int, str, int]] = []
        self._entries: dict[tuple[str, int], Entry] = {}
        self.version = next(_VERSIONS)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, entry: Entry) -> bool:
        known = self._entries.get((entry.gateway_id, entry.number))
        return known is entry

    @property
    def late_count(self) -> int:
        """Return the number of late entries, as of the last ``advance``."""
        return len(self._late)

    @property
    def group_names(self) -> tuple[str, ...]:
        """Return the groups that have entries."""
        return tuple(self._groups)

    def find(self, gateway_id: str, number: int) -> Entry:
        """Return an entry.

        :raises KeyError: if there is none.
        """
        return self._entries[gateway_id, number]

    def add(self, entry: Entry, *, now_ms: int) -> None:
        """Add an entry; its gateway and number must be new."""
        entry.is_late = entry.start_by_ms < now_ms
        self._entries[entry.gateway_id, entry.number] = entry
        group = self._groups.get(entry.group)
        if group is None:
            group = self._groups[entry.group] = _Group()
        group.entries[entry.gateway_id, entry.number] = entry
        bisect.insort(group.keys, entry.key)
        if entry.is_late:
            bisect.insort(self._late, entry.abandon_key)
        else:
            bisect.insort(self._by_start, entry.start_key)
        self.version = next(_VERSIONS)

    def remove(self, gateway_id: str, number: int) -> Entry | None:
        """Remove an entry.

        :returns: the entry, None if there is none.
        """
        entry = self._entries.pop((gateway_id, number), None)
        if entry is None:
            return None
        group = self._groups[entry.group]
        del group.entries[gateway_id, number]
        _discard(group.keys, entry.key)
        if not group.entries:
            del self._groups[entry.group]
        if entry.is_late:
            _discard(self._late, entry.abandon_key)
        else:
            _discard(self._by_start, entry.start_key)
        self.version = next(_VERSIONS)
        return entry

    def advance(self, now_ms: int) -> bool:
        """Move the entries that can no longer be in time to the late ones.

        :returns: whether there were any.
        """
        if not self._by_start or self._by_start[0][0] >= now_ms:
            return False
        count = bisect.bisect_left(self._by_start, (now_ms,))
        for _, gateway_id, number in self._by_start[:count]:
            entry = self._entries[gateway_id, number]
            keys = self._groups[entry.group].keys
            _discard(keys, entry.key)
            entry.is_late = True
            bisect.insort(keys, entry.key)
            bisect.insort(self._late, entry.abandon_key)
        del self._by_start[:count]
        self.version = next(_VERSIONS)
        return True

    def set_above(self, name: str, is_above: bool) -> bool:
        """Set whether a group is above its share.

        :returns: whether this is a change.
        """
        group = self._groups.get(name)
        if group is None or group.is_above == is_above:
            return False
        group.is_above = is_above
        self.version = next(_VERSIONS)
        return True

    def is_above(self, entry: Entry) -> bool:
        """Return whether an entry's group is above its share."""
        return self._groups[entry.group].is_above

    def count_before(self, key: Key, *, is_above: bool) -> int:
        """Return how many entries are ahead of one.

        :param is_above: whether that one's workspace is above its share.
        """
        is_late, urgency = key[:2]
        same_class = (is_late, urgency)
        next_class = (is_late, urgency + 1)
        count = 0
        for group in self._groups.values():
            if group.is_above == is_above:
                limit = key
            else:
                limit = same_class if group.is_above else next_class
            count += bisect.bisect_left(group.keys, limit)
        return count

    def soonest_abandoned(self) -> Entry | None:
        """Return the late entry that is abandoned soonest, if any."""
        if not self._late:
            return None
        return self._entries[self._late[0][-2:]]

    def count_abandoned_before(self, entry: Entry) -> int:
        """Return how many late entries are abandoned before a late one."""
        return bisect.bisect_left(self._late, entry.abandon_key)

    def __iter__(self) -> Iterator[Entry]:
        """Yield the entries in order."""
        merged = heapq.merge(
            *(
                _with_side(group.is_above, group.keys)
                for group in self._groups.values()
            )
        )
        for key in merged:
            yield self._entries[key[-2:]]


def _with_side(is_above: bool, keys: list[Key]) -> Iterator[tuple]:
    """Yield keys that include the side of the fair share."""
    for is_late, urgency, *rest in keys:
        yield is_late, urgency, is_above, *rest


def _discard(ordered: list, key: tuple) -> None:
    """Remove a key from a sorted list that contains it."""
    del ordered[bisect.bisect_left(ordered, key)]
