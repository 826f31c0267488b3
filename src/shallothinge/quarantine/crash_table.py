"""Crashes of backend servers, and the parts that were in progress there."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import logging
import math

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments

LOG = logging.getLogger(__name__)

# Limit on what is remembered; the oldest goes first.
MAX_CRASHES = 256
# Limit on the parts of all crashes together, and how many are left when it is
# exceeded, so that it is seldom.
MAX_PARTS = 32_768
PARTS_LEFT = 24_576
# Data that arrives this soon after a crash may have been sent before it: a
# gateway reads up to 64 KiB of each connection from the kernel's receive
# buffer, 8 KiB at a time, in turn with its other connections.
IN_FLIGHT_MS = 20
# Reports give ages, so a peer's time of a crash is late by the delivery, which
# usually takes 2 to 5 ms, and longer if a gateway is busy. Closes that are
# reported within this time are the same one.
REPORT_TOLERANCE_MS = 50
# Limit on separate closes of one incarnation.
MAX_CLOSES_OF_CRASH = 8
# Stands for this gateway among those that saw a crash.
OWN = 'own'


@attrs.frozen(kw_only=True)
class Observation:
    """What a gateway saw of the crash of a server.

    ``positions`` are the parts of the requests that were in progress, with
    their greatest positions in a prompt. ``is_late`` is whether these had
    been written for a while. ``seer`` is the gateway.
    """

    at_ms: int
    positions: Mapping[str, int]
    is_late: bool = False
    seer: str = OWN

    @property
    def is_own(self) -> bool:
        """Return whether this gateway saw it, not a peer."""
        return self.seer == OWN


@attrs.define(kw_only=True, eq=False)
class Close:
    """Connections to one incarnation that it closed at about one moment.

    ``at_ms`` and ``last_ms`` are when the first and the last of them were
    closed. ``is_own`` is whether this gateway saw it, not a peer.
    ``positions`` gives for each part of the requests that were in progress
    its greatest position in a prompt. ``late_ids`` are those parts whose
    requests had all been written for a while. ``request_ids`` are the few
    fingerprints, which are looked at for each part. ``seers`` are the
    gateways that saw it.
    """

    at_ms: int
    last_ms: int
    is_own: bool
    positions: dict[str, int] = attrs.field(factory=dict)
    late_ids: set[str] = attrs.field(factory=set)
    request_ids: dict[str, None] = attrs.field(factory=dict)
    seers: set[str] = attrs.field(factory=set)

    def is_same(self, at_ms: int) -> bool:
        """Return whether a report about this time is about this close."""
        return abs(at_ms - self.at_ms) <= REPORT_TOLERANCE_MS

    def add(self, seen: Observation) -> None:
        """Add parts of requests that it ended."""
        self.at_ms = min(self.at_ms, seen.at_ms)
        self.last_ms = max(self.last_ms, seen.at_ms)
        self.seers.add(seen.seer)
        for part_id, position in seen.positions.items():
            if not seen.is_late:
                self.late_ids.discard(part_id)
            elif part_id not in self.positions:
                self.late_ids.add(part_id)
            self.positions[part_id] = max(
                position, self.positions.get(part_id, 0)
            )
            if fingerprints.is_fingerprint(part_id):
                self.request_ids[part_id] = None

    def drop(self, part_ids: Iterable[str]) -> None:
        """Forget that parts were there."""
        for part_id in part_ids:
            self.positions.pop(part_id, None)
            self.late_ids.discard(part_id)
            self.request_ids.pop(part_id, None)

    def is_refuted_by(self, *, opened_ms: int, received_ms: int) -> bool:
        """Return whether data shows that the incarnation did not end then."""
        return (
            opened_ms < self.at_ms
            and received_ms >= self.last_ms + IN_FLIGHT_MS
        )


@attrs.define(kw_only=True)
class Crash:
    """The end of one incarnation of a server, as its closes suggest.

    ``services`` are those of the server, none if they are not known, and
    ``servers_up`` is how many servers of them were up until then.
    ``place`` is where it ran, None if that is not known. ``neighbours`` are
    the incarnations that were listed in its zone, and ``has_live_zone`` is
    whether one of them has sent data since.
    """

    closes: list[Close]
    services: frozenset[str] = frozenset()
    servers_up: int = 1
    place: moments.Place | None = None
    neighbours: frozenset[ServerKey] = attrs.field(
        default=frozenset(), repr=False
    )
    has_live_zone: bool = False

    @property
    def times_ms(self) -> list[int]:
        """Return when its connections were seen to close, in order."""
        return sorted(one.at_ms for one in self.closes)

    @property
    def first_ms(self) -> int:
        """Return when its first connection was seen to close."""
        return min(one.at_ms for one in self.closes)

    @property
    def last_ms(self) -> int:
        """Return when its last connection was seen to close."""
        return max(one.last_ms for one in self.closes)

    def shares_service(self, other: 'Crash') -> bool:
        """Return whether both servers did the same work, or may have."""
        return self.services == other.services or not (
            self.services.isdisjoint(other.services)
        )

    def is_near(self, moment: list[int]) -> bool:
        """Return whether it was at a moment, or next to it."""
        return any(
            moment[0] - moments.SAME_MOMENT_MS
            <= one.at_ms
            <= moment[-1] + moments.SAME_MOMENT_MS
            for one in self.closes
        )

    def has(self, part_id: str) -> bool:
        """Return whether a part was there."""
        return any(part_id in one.positions for one in self.closes)

    def is_late(self, part_id: str) -> bool:
        """Return whether all requests with a part had been written."""
        return all(
            part_id in one.late_ids
            for one in self.closes
            if part_id in one.positions
        )

    def position_of(self, part_id: str) -> int:
        """Return the greatest position of a part that was there."""
        return max(one.positions.get(part_id, 0) for one in self.closes)

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the parts that were there, each once."""
        found = itertools.chain(*(one.positions for one in self.closes))
        return tuple(dict.fromkeys(found))

    @property
    def request_ids(self) -> tuple[str, ...]:
        """Return the fingerprints of the requests that were there."""
        found = itertools.chain(*(one.request_ids for one in self.closes))
        return tuple(dict.fromkeys(found))

    def time_of(self, part_id: str) -> int:
        """Return the time of the newest moment at which a part was there.

        Of what was seen of this moment the first counts: the reports of peers
        are later by their delivery.
        """
        if len(self.closes) == 1:
            return self.closes[0].at_ms
        newest_ms = max(
            one.at_ms for one in self.closes if part_id in one.positions
        )
        return min(
            one.at_ms
            for one in self.closes
            if newest_ms - moments.SAME_MOMENT_MS <= one.at_ms <= newest_ms
        )

    @property
    def seers(self) -> set[str]:
        """Return the gateways that saw connections close."""
        return set().union(*(one.seers for one in self.closes))

    def add(self, seen: Observation) -> bool:
        """Add parts of requests that a close ended.

        :returns: whether any of them was not known at this moment.
        """
        known_ms = {
            one: self.time_of(one)
            for one in seen.positions
            if self.has(one) and (seen.is_late or not self.is_late(one))
        }
        self._find_or_add(seen.at_ms, seen.is_own).add(seen)
        return any(
            self.time_of(one)
            > known_ms.get(one, -math.inf) + moments.SAME_MOMENT_MS
            for one in seen.positions
        )

    def _find_or_add(self, at_ms: int, is_own: bool) -> Close:
        """Return the close to which a report belongs.

        Own closes are kept apart from those of peers, which report them.
        """
        for close in self.closes:
            if close.is_own == is_own and close.is_same(at_ms):
                return close
        if len(self.closes) >= MAX_CLOSES_OF_CRASH:
            for close in reversed(self.closes):
                if close.is_own == is_own:
                    return close
        close = Close(at_ms=at_ms, last_ms=at_ms, is_own=is_own)
        self.closes.append(close)
        return close

    @property
    def size(self) -> int:
        """Return how many parts its closes have, counted once for each."""
        return sum(len(one.positions) for one in self.closes)

    def has_any(self, part_ids: Iterable[str]) -> bool:
        """Return whether any of some parts was there."""
        return any(map(self.has, part_ids))

    def drop(self, part_ids: Iterable[str]) -> None:
        """Forget that parts were there."""
        for close in self.closes:
            close.drop(part_ids)

    def remove(self, closes: list[Close]) -> None:
        """Remove closes that are refuted or too old."""
        self.closes = [one for one in self.closes if one not in closes]


class CrashTable:
    """Crashes by incarnation, oldest first, and by part.

    What is worth least as evidence goes first if there are too many parts: a
    part counts only if several crashes have it.

    :param is_proven: whether a part had a complete answer.
    :ivar dropped_count: how many parts were dropped.
    """

    def __init__(self, *, is_proven: Callable[[str], bool]):
        self._is_proven = is_proven
        self._crashes: dict[ServerKey, Crash] = {}
        self._keys: dict[str, tuple[ServerKey, ...]] = {}
        self._size = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        """Return the number of crashes."""
        return len(self._crashes)

    @property
    def size(self) -> int:
        """Return how many parts are remembered, once for each close."""
        return self._size

    def find(self, key: ServerKey) -> Crash | None:
        """Return the crash of an incarnation, None if it is not known."""
        return self._crashes.get(key)

    def list_near(self, moment: list[int]) -> list[Crash]:
        """Return the crashes at a moment, or next to it."""
        return [one for one in self._crashes.values() if one.is_near(moment)]

    def count_with(self, part_id: str) -> int:
        """Return how many crashes have a part."""
        return len(self._keys.get(part_id, ()))

    def first_ms(self, part_id: str) -> int | None:
        """Return the time of the first known crash with a part, or None."""
        keys = self._keys.get(part_id)
        return keys and self._crashes[keys[0]].time_of(part_id)

    def list_since(self, time_ms: int) -> list[Crash]:
        """Return the crashes after a time."""
        return [
            one for one in self._crashes.values() if one.first_ms > time_ms
        ]

    def with_part(self, part_id: str) -> Iterator[tuple[ServerKey, Crash]]:
        """Yield the crashes that have a part."""
        for key in self._keys.get(part_id, ()):
            yield key, self._crashes[key]

    def add(self, key: ServerKey, seen: Observation) -> bool:
        """Add parts of requests that a crash ended.

        :returns: whether any of them was not known at this moment.
        """
        crash = self._crashes.setdefault(key, Crash(closes=[]))
        if len(self._crashes) > MAX_CRASHES:
            self._drop_crash(next(iter(self._crashes)))
        self._size -= crash.size
        unknown = [one for one in seen.positions if not crash.has(one)]
        is_new = crash.add(seen)
        self._size += crash.size
        for part_id in unknown:
            self._keys[part_id] = (*self._keys.get(part_id, ()), key)
        if self._size > MAX_PARTS:
            self._shrink()
        return is_new

    def clear(self, part_ids: Iterable[str], until_ms: int) -> None:
        """Forget parts at the crashes up to a time, as they were answered."""
        cleared_ids = collections.defaultdict(list)
        for part_id in part_ids:
            for key, crash in self.with_part(part_id):
                if crash.time_of(part_id) <= until_ms:
                    cleared_ids[key].append(part_id)
        for key, found in cleared_ids.items():
            self._drop_parts(key, found)

    def remove_closes(
        self, key: ServerKey, closes: list[Close]
    ) -> tuple[str, ...]:
        """Remove closes of a crash that are refuted or too old.

        :returns: the parts that the crash does not have any more.
        """
        crash = self._crashes[key]
        known_ids = crash.part_ids
        self._size -= crash.size
        crash.remove(closes)
        self._size += crash.size
        cleared_ids = tuple(one for one in known_ids if not crash.has(one))
        self._forget(key, cleared_ids)
        if not crash.closes:
            del self._crashes[key]
        return cleared_ids

    def remove_older(self, oldest_ms: int) -> None:
        """Remove what was closed before a time."""
        for key, crash in list(self._crashes.items()):
            expired = [one for one in crash.closes if one.at_ms < oldest_ms]
            if expired:
                self.remove_closes(key, expired)

    def _drop_crash(self, key: ServerKey) -> None:
        self.remove_closes(key, list(self._crashes[key].closes))

    def _forget(self, key: ServerKey, part_ids: Iterable[str]) -> None:
        for part_id in part_ids:
            left = tuple(one for one in self._keys[part_id] if one != key)
            if left:
                self._keys[part_id] = left
            else:
                del self._keys[part_id]

    def _shrink(self) -> None:
        """Drop parts until few enough are left.

        First go parts that only one crash has: late ones, then those with a
        complete answer, then others; then whole crashes. Each time the oldest
        goes first. Requests stay as long as their crashes.
        """
        before = self._size
        for is_worthless in (
            Crash.is_late,
            lambda _, one: self._is_proven(one),
            lambda *_: True,
        ):
            for key, crash in self._crashes.items():
                excess = self._size - PARTS_LEFT
                if excess <= 0:
                    break
                lone_ids = [
                    one
                    for one in crash.part_ids
                    if len(self._keys[one]) == 1
                    and not fingerprints.is_fingerprint(one)
                    and is_worthless(crash, one)
                ]
                self._drop_parts(key, lone_ids[:excess])
        while self._size > PARTS_LEFT and len(self._crashes) > 1:
            self._drop_crash(next(iter(self._crashes)))
        self.dropped_count += before - self._size
        LOG.warning(
            'crashes have too many parts; some were dropped',
            extra={
                'part_count': before - self._size,
                'parts_left': self._size,
                'crash_count': len(self._crashes),
            },
        )

    def _drop_parts(self, key: ServerKey, part_ids: list[str]) -> None:
        crash = self._crashes[key]
        self._size -= crash.size
        crash.drop(part_ids)
        self._size += crash.size
        self._forget(key, part_ids)
