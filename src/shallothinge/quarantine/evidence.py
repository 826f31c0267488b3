"""Crashes of backend servers, and what their requests have in common.

A request is evidence by the shared parts of its prompt and by its fingerprint,
which counts as its last and most specific part.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import math

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import fingerprints

# Evidence older than this is dropped.
WINDOW_MS = 300_000
# Limits on what is remembered; the oldest goes first.
MAX_CRASHES = 256
MAX_PARTS_OF_CRASH = 512
MAX_WHOLE_PARTS = 16_384
# Servers that crash within this time may have one cause outside of the
# prompts, such as the loss of their zone, so they count once.
SAME_MOMENT_MS = 100
# Crashes, apart in time, without a complete answer since the first of them.
# Parts that had complete answers before are less likely to be the cause.
CRASHES_TO_BLAME = 3
CRASHES_TO_BLAME_PROVEN = 6
# Requests that crashed servers under one part, so that they do not explain its
# crashes any more.
REQUESTS_TO_BLAME_PART = 3
# A request that was at the same crashes as another one is not blamed before
# this number of them.
CRASHES_TO_BLAME_ONE_OF_TWO = 5


@attrs.define(kw_only=True)
class Crash:
    """The end of one incarnation of a server.

    ``positions`` gives for each part of the requests that were in progress
    there its greatest position in a prompt.
    """

    at_ms: int
    positions: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Suspicion:
    """How strongly the crashes speak against a part.

    ``crashes`` counts the crashes, apart in time, since the last complete
    answer with the part. ``server_ids`` are those that crashed.
    """

    part_id: str
    crashes: int
    is_proven: bool
    position: int
    server_ids: tuple[str, ...]

    @property
    def is_of_request(self) -> bool:
        """Return whether it is the suspicion against one request."""
        return fingerprints.is_fingerprint(self.part_id)

    @property
    def is_enough(self) -> bool:
        """Return whether the part is to be quarantined."""
        if self.is_of_request:
            return self.crashes >= CRASHES_TO_BLAME
        needed = (
            CRASHES_TO_BLAME_PROVEN if self.is_proven else CRASHES_TO_BLAME
        )
        return self.crashes >= needed

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Return the order of suspects; later parts are the more specific."""
        return len(self.server_ids), not self.is_proven, self.position


class Evidence:
    """Crashes and complete answers, by part. Times are in ms."""

    def __init__(self):
        self._crashes: dict[ServerKey, Crash] = {}
        self._whole_ms: dict[str, int] = {}

    def add_crash(
        self, *, key: ServerKey, at_ms: int, positions: Mapping[str, int]
    ) -> bool:
        """Add parts of requests that a crash ended.

        :param key: id and incarnation of the server.
        :param positions: positions of the parts in their prompts.
        :returns: whether any of them was not known.
        """
        crash = self._crashes.setdefault(key, Crash(at_ms=at_ms))
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        known_count = len(crash.positions)
        for part_id, position in positions.items():
            known = crash.positions.get(part_id)
            if known is not None or len(crash.positions) < MAX_PARTS_OF_CRASH:
                crash.positions[part_id] = max(position, known or 0)
        return len(crash.positions) > known_count

    def crash(self, key: ServerKey) -> Crash | None:
        """Return what is known of a crash, None if it was dropped."""
        return self._crashes.get(key)

    def add_whole(self, *, part_id: str, at_ms: int) -> None:
        """Record a complete answer to a prompt with a part."""
        newest_ms = max(at_ms, self._whole_ms.pop(part_id, at_ms))
        self._whole_ms[part_id] = newest_ms
        if len(self._whole_ms) > MAX_WHOLE_PARTS:
            del self._whole_ms[next(iter(self._whole_ms))]

    def whole_ms(self, part_id: str) -> int | None:
        """Return when the last complete answer came, None if none is known."""
        return self._whole_ms.get(part_id)

    def is_suspected(self, part_id: str) -> bool:
        """Return whether a crash has a part that is not proven since."""
        return any(True for _ in self._unproven(part_id))

    def _unproven(self, part_id: str) -> Iterator[tuple[ServerKey, Crash]]:
        """Yield the crashes with a part since its last complete answer."""
        whole_ms = self._whole_ms.get(part_id, -math.inf)
        for key, crash in self._crashes.items():
            if crash.at_ms > whole_ms and part_id in crash.positions:
                yield key, crash

    def suspicion(
        self, part_id: str, *, explained_by: frozenset[str]
    ) -> Suspicion | None:
        """Return the suspicion against a part, None if there is none.

        :param explained_by: parts that are known to crash servers; a crash
            under one of them is no evidence against others.
        """
        found = [
            (key, crash)
            for key, crash in self._unproven(part_id)
            if explained_by.isdisjoint(crash.positions)
        ]
        counted = sorted(found, key=lambda pair: pair[1].at_ms)
        if not counted:
            return None
        return Suspicion(
            part_id=part_id,
            crashes=_count_moments([crash.at_ms for _, crash in counted]),
            is_proven=part_id in self._whole_ms,
            position=max(crash.positions[part_id] for _, crash in counted),
            server_ids=tuple(key[0] for key, _ in counted),
        )

    def has_many_requests(
        self, part_id: str, *, explained_by: frozenset[str]
    ) -> bool:
        """Return whether it takes many requests to explain a part's crashes.

        Those at most of the crashes are taken first. Two suffice if each of
        them is at several crashes, as a request that is only beside another
        one seldom is.

        :param explained_by: as in ``suspicion``.
        """
        left = [
            set(filter(fingerprints.is_fingerprint, crash.positions))
            for _, crash in self._unproven(part_id)
            if explained_by.isdisjoint(crash.positions)
        ]
        # Of the crashes without a known request each counts as one.
        numbers = [1] * left.count(set())
        while any(left):
            counts = collections.Counter(itertools.chain(*left))
            [(request, number)] = counts.most_common(1)
            left = [one for one in left if request not in one]
            numbers.append(number)
        return len(numbers) >= REQUESTS_TO_BLAME_PART or (
            len(numbers) == 2 and min(numbers) >= 2
        )

    def remove_expired(self, now_ms: int) -> None:
        """Drop evidence that is older than the window."""
        oldest_ms = now_ms - WINDOW_MS
        self._crashes = {
            key: crash
            for key, crash in self._crashes.items()
            if crash.at_ms >= oldest_ms
        }
        while self._whole_ms:
            part_id = next(iter(self._whole_ms))
            if self._whole_ms[part_id] >= oldest_ms:
                return
            del self._whole_ms[part_id]


def _count_moments(times_ms: list[int]) -> int:
    """Return how many of the ascending times are apart from each other."""
    count = 0
    moment_ms = None
    for at_ms in times_ms:
        if moment_ms is None or at_ms > moment_ms + SAME_MOMENT_MS:
            count += 1
            moment_ms = at_ms
    return count
