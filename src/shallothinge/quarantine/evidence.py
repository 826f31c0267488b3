"""Crashes of backend servers, and what their requests have in common.

A request is evidence by the shared parts of its prompt and by its fingerprint,
which counts as its last and most specific part.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import logging
import math

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import causes
from shallothinge.quarantine import chance
from shallothinge.quarantine import complete_answers
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments
from shallothinge.quarantine import suspicion as suspicions
from shallothinge.quarantine import zone_watch

LOG = logging.getLogger(__name__)

# Evidence older than this is dropped.
WINDOW_MS = 300_000
# If other closes were refuted lately, one counts only after this time, so that
# it can be refuted first: a stream writes an event every 20 to 50 ms, the data
# is not in flight, and its report takes some milliseconds.
REFUTE_MS = 150
# Limit on the parts of a crash in one report.
MAX_PARTS_REPORTED = 8192
# Limit on incarnations with refuted closes that are remembered.
MAX_REFUTED = 256
# Refuted closes are remembered until no peer can repeat them.
REFUTED_TTL_MS = 10_000
# Requests that crashed servers under one part, so that they do not explain its
# crashes any more.
REQUESTS_TO_BLAME_PART = 3
# A request that was at the same crashes as another one is not blamed before
# this number of them.
CRASHES_TO_BLAME_ONE_OF_TWO = 5


@attrs.frozen(kw_only=True)
class Refutation:
    """Closes that did not end their incarnation.

    ``cleared_ids`` are the parts against which the crash is no evidence any
    more.
    """

    closes: tuple[crash_table.Close, ...]
    cleared_ids: tuple[str, ...]


@attrs.frozen(kw_only=True)
class _Refuted:
    """A refuted close, and the data that refuted it, if it came here."""

    at_ms: int
    noted_ms: int
    opened_ms: float = math.inf

    def is_same(self, at_ms: int) -> bool:
        """Return whether a report about this time is about this close."""
        return abs(at_ms - self.at_ms) <= crash_table.REPORT_TOLERANCE_MS

    def covers(self, at_ms: int) -> bool:
        """Return whether a crash that a peer reports is refuted already."""
        return self.is_same(at_ms) or (
            self.opened_ms < at_ms <= self.noted_ms - crash_table.IN_FLIGHT_MS
        )


class Evidence:
    """Crashes and complete answers, by part. Times are in ms.

    :ivar server_time: tells whether a part is at its crashes by chance.
    """

    def __init__(self, *, places: moments.ServerPlaces):
        self._zones = zone_watch.ZoneWatch(places=places)
        self._answers = complete_answers.CompleteAnswers()
        self._crashes = crash_table.CrashTable(
            is_proven=self._answers.__contains__
        )
        self.server_time = chance.ServerTime(
            places=places, crashes=self._crashes
        )
        self._refuted: dict[ServerKey, list[_Refuted]] = {}
        self._doubt: chance.Assessment | None = None

    def add_crash(self, key: ServerKey, seen: crash_table.Observation) -> bool:
        """Add parts of requests that a crash ended.

        Reports of peers about a crash that was refuted are ignored.

        :param key: id and incarnation of the server.
        :returns: whether any of them was not known at this moment.
        """
        if not seen.is_own and any(
            one.covers(seen.at_ms) for one in self._refuted.get(key, ())
        ):
            return False
        unproven = {
            part_id: position
            for part_id, position in seen.positions.items()
            if not self._is_answered_since(part_id, seen.at_ms)
        }
        is_new = self._crashes.add(key, attrs.evolve(seen, positions=unproven))
        crash = self._crashes.find(key)
        if crash is not None and crash.place is None:
            self._zones.watch(key, crash, at_ms=seen.at_ms)
        return is_new

    def _is_answered_since(self, part_id: str, at_ms: int) -> bool:
        """Return whether a complete answer came at a time or later."""
        whole_ms = self._answers.find_ms(part_id)
        return whole_ms is not None and whole_ms >= at_ms

    @property
    def watches_zones(self) -> bool:
        """Return whether data may show that a server's zone was not lost."""
        return self._zones.is_watching

    def record_alive(self, key: ServerKey, now_ms: int) -> list[ServerKey]:
        """Record data from a server.

        :returns: crashes of neighbours, whose zone was thus not lost.
        """
        if self._crashes.find(key) is not None:
            return []
        return self._zones.record_alive(key, now_ms)

    def record_live_zone(self, key: ServerKey) -> None:
        """Record that the zone of a server that crashed was not lost."""
        crash = self._crashes.find(key)
        if crash is not None:
            self._zones.record_live_zone(key, crash)

    def has_live_zone(self, key: ServerKey) -> bool:
        """Return whether the zone of a server that crashed was not lost."""
        crash = self._crashes.find(key)
        return crash is not None and crash.has_live_zone

    def refute_by_data(
        self, *, key: ServerKey, opened_ms: int, now_ms: int
    ) -> Refutation | None:
        """Drop closes after which the same incarnation sends data.

        :param opened_ms: instant from which on the connection that the data
            came on was open and was read without a pause.
        :returns: what was dropped, None if the data refutes nothing.
        """
        crash = self._crashes.find(key)
        if crash is None:
            return None
        refuted = [
            one
            for one in crash.closes
            if one.is_refuted_by(opened_ms=opened_ms, received_ms=now_ms)
        ]
        return self._remove(key, refuted, now_ms, opened_ms=opened_ms)

    def refute_by_report(
        self, *, key: ServerKey, at_ms: int, now_ms: int
    ) -> Refutation | None:
        """Drop closes at a time about which a peer knows better.

        :returns: what was dropped, None if no such close is known.
        """
        self._remember(key, _Refuted(at_ms=at_ms, noted_ms=now_ms))
        crash = self._crashes.find(key)
        if crash is None:
            return None
        refuted = [one for one in crash.closes if one.is_same(at_ms)]
        return self._remove(key, refuted, now_ms)

    def _remove(
        self,
        key: ServerKey,
        refuted: list[crash_table.Close],
        now_ms: int,
        opened_ms: float = math.inf,
    ) -> Refutation | None:
        if not refuted:
            return None
        cleared_ids = self._crashes.remove_closes(key, refuted)
        for one in refuted:
            self._remember(
                key,
                _Refuted(
                    at_ms=one.at_ms, noted_ms=now_ms, opened_ms=opened_ms
                ),
            )
        return Refutation(closes=tuple(refuted), cleared_ids=cleared_ids)

    def _remember(self, key: ServerKey, refuted: _Refuted) -> None:
        """Ignore later reports of peers about a refuted close.

        Own data says more than a peer's report of the same close.
        """
        known = self._refuted.pop(key, [])
        if refuted.opened_ms < math.inf or not any(
            one.is_same(refuted.at_ms) for one in known
        ):
            known.append(refuted)
        self._refuted[key] = known[-crash_table.MAX_CLOSES_OF_CRASH :]
        if len(self._refuted) > MAX_REFUTED:
            del self._refuted[next(iter(self._refuted))]

    @property
    def dropped_count(self) -> int:
        """Return how many parts of crashes were dropped."""
        return self._crashes.dropped_count

    @property
    def has_refuted(self) -> bool:
        """Return whether closes were refuted lately."""
        return bool(self._refuted)

    def parts_beside(self, part_id: str) -> set[str]:
        """Return the parts that crashes with a part have."""
        return set().union(
            *(crash.part_ids for _, crash in self._unproven(part_id))
        )

    def has_crash(self, key: ServerKey) -> bool:
        """Return whether a crash of an incarnation is known."""
        return self._crashes.find(key) is not None

    def parts_of_moment(self, key: ServerKey) -> list[str]:
        """Return the parts of a crash that others at its moment have."""
        crash = self._crashes.find(key)
        if crash is None:
            return []
        others = [
            one
            for one in self._crashes.list_near(crash.times_ms)
            if one is not crash
        ]
        return [
            part_id
            for part_id in crash.part_ids
            if any(one.has(part_id) for one in others)
        ]

    def own_closes(self, key: ServerKey) -> tuple[crash_table.Close, ...]:
        """Return what this gateway saw of a crash, if it is known."""
        crash = self._crashes.find(key)
        if crash is None:
            return ()
        return tuple(one for one in crash.closes if one.is_own)

    def parts_to_report(
        self, close: crash_table.Close, *, is_late: bool
    ) -> tuple[tuple[str, int], ...]:
        """Return late or other parts of a close with their positions.

        Of too many those that say most are kept: requests, then what several
        crashes have, what had no complete answer, and what is the more
        specific.
        """
        found = [
            one
            for one in close.positions.items()
            if (one[0] in close.late_ids) == is_late
        ]
        if len(found) <= MAX_PARTS_REPORTED:
            return tuple(found)
        LOG.warning(
            'the report of a crash leaves out parts',
            extra={'part_count': len(found), 'limit': MAX_PARTS_REPORTED},
        )
        return tuple(
            sorted(
                found,
                key=lambda one: (
                    fingerprints.is_fingerprint(one[0]),
                    self._crashes.count_with(one[0]) > 1,
                    one[0] not in self._answers,
                    one[1],
                ),
            )[-MAX_PARTS_REPORTED:]
        )

    def used_to_report(self) -> tuple[tuple[str, int], ...]:
        """Return the servers' time with parts that several crashes have."""
        return self.server_time.to_report(
            lambda one: self._crashes.count_with(one) > 1
        )

    def add_whole(self, *, part_ids: Iterable[str], at_ms: int) -> None:
        """Record a complete answer to a prompt with some parts.

        The crashes before are no evidence against them any more.
        """
        self._answers.add(part_ids, at_ms)
        self._crashes.clear(part_ids, at_ms)
        self.server_time.forget(
            one for one in part_ids if not self._crashes.count_with(one)
        )

    def whole_ms(self, part_id: str) -> int | None:
        """Return when the last complete answer came, None if none is known."""
        return self._answers.find_ms(part_id)

    def crash_count(self, part_id: str) -> int:
        """Return how many crashes have a part."""
        return self._crashes.count_with(part_id)

    def is_suspected(self, part_id: str) -> bool:
        """Return whether a crash has a part that is not proven since."""
        return any(True for _ in self._unproven(part_id))

    def _unproven(
        self, part_id: str
    ) -> Iterator[tuple[ServerKey, crash_table.Crash]]:
        """Yield the crashes with a part since its last complete answer."""
        for key, crash in self._crashes.with_part(part_id):
            if not self._is_answered_since(part_id, crash.time_of(part_id)):
                yield key, crash

    def suspicion(
        self, part_id: str, *, explained_by: frozenset[str]
    ) -> suspicions.Suspicion | None:
        """Return the suspicion against a part, None if there is none.

        Crashes of servers that had been writing on the part for a while
        count if the part is at too many crashes for chance: a server that
        crashes for another reason ends many such requests.

        :param explained_by: parts that are known to crash servers; a crash
            under one of them is no evidence against others.
        """
        found = [
            (key, crash)
            for key, crash in self._unproven(part_id)
            if not crash.has_any(explained_by)
        ]
        if not found:
            return None
        early = [one for one in found if not one[1].is_late(part_id)]
        if len(early) < len(found):
            suspicion = self._weigh(part_id, found)
            if suspicion.is_enough:
                assessment = self.server_time.assess(
                    part_id, suspicion.crashes
                )
                if assessment.is_unlikely:
                    return attrs.evolve(suspicion, chance=assessment)
                self._note_doubt(assessment)
        if not early:
            return None
        return self._weigh(part_id, early, explained_by=explained_by)

    def _weigh(
        self,
        part_id: str,
        found: list[tuple[ServerKey, crash_table.Crash]],
        *,
        explained_by: frozenset[str] | None = None,
    ) -> suspicions.Suspicion:
        """Return the suspicion that crashes give.

        :param explained_by: as in ``suspicion``, to count crashes of one
            moment apart where they are; None to count each moment once.
        """
        is_proven = part_id in self._answers
        sightings = {
            key: moments.Sighting(at_ms=crash.time_of(part_id))
            for key, crash in found
        }
        # A part that was answered before is one that many requests have.
        if explained_by is not None and len(found) > 1 and not is_proven:
            sightings = causes.tell_apart(
                part_id,
                dict(found),
                sightings,
                crashes=self._crashes,
                explained_by=explained_by,
            )
        return suspicions.Suspicion(
            part_id=part_id,
            crashes=moments.count_crashes(sightings.values()),
            is_proven=is_proven,
            position=max(crash.position_of(part_id) for _, crash in found),
            sightings=sightings,
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
            set(crash.request_ids)
            for _, crash in self._unproven(part_id)
            if not crash.has_any(explained_by)
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

    def _note_doubt(self, assessment: chance.Assessment) -> None:
        """Keep the least likely of the assessments since the last line."""
        if self._doubt is None or (
            assessment.probability < self._doubt.probability
        ):
            self._doubt = assessment

    def _log_doubt(self) -> None:
        """Log which part late crashes nearly speak against."""
        if self._doubt is not None:
            LOG.info(
                'late crashes with a part may be chance',
                extra={
                    **attrs.asdict(self._doubt),
                    'probability': self._doubt.probability,
                },
            )
            self._doubt = None

    def remove_expired(self, now_ms: int) -> None:
        """Drop evidence that is older than the window; call periodically."""
        self._log_doubt()
        self._crashes.remove_older(now_ms - WINDOW_MS)
        self.server_time.keep_if(self._crashes.count_with)
        self._answers.remove_older(now_ms - WINDOW_MS)
        oldest_refuted_ms = now_ms - REFUTED_TTL_MS
        for key, known in list(self._refuted.items()):
            kept = [one for one in known if one.noted_ms >= oldest_refuted_ms]
            if kept:
                self._refuted[key] = kept
            else:
                del self._refuted[key]
