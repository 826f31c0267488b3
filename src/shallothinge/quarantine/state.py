"""Decides which requests and parts of prompts are quarantined.

A request that crashes each server that runs it (a query of death), or a part
of prompts that does, is found by what the crashes have in common, over all
gateways. It is refused until a probe with it is answered. A request is known
by its fingerprint, which counts as its last part.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from shallothinge import clock as clocks
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import blame
from shallothinge.quarantine import checks
from shallothinge.quarantine import evidence
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import messages
from shallothinge.quarantine import moments
from shallothinge.quarantine import records
from shallothinge.quarantine import reports
from shallothinge.quarantine import suspicion as suspicions
from shallothinge.quarantine.admission import ADMITTED
from shallothinge.quarantine.admission import Admission
from shallothinge.quarantine.admission import Watcher

LOG = logging.getLogger(__name__)

# A crash is reported by several gateways. The parts of all its requests have
# to be known before one of them is blamed.
SETTLE_MS = 50
# Complete reports repeat the crashes of this time, for peers that missed
# one, and each complete answer is reported at most this often.
REPEAT_MS = 3_000


class PartQuarantine:
    """Quarantined parts, decided with what all gateways observe.

    :param places: where servers run; if not known, servers that crash at one
        moment count once.
    :ivar on_change: called when there is something to report to the peers.
    :ivar on_suspicion: called when ``judge`` is to be called in ``SETTLE_MS``.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        places: moments.ServerPlaces | None = None,
    ):
        self._clock = clock
        self._evidence = evidence.Evidence(
            places=places or moments.UnknownPlaces()
        )
        self._records = records.QuarantineRecords(clock=clock)
        self._blame = blame.Blame(
            evidence=self._evidence, quarantined=self._records
        )
        self._own_crashes_ms: dict[ServerKey, int] = {}
        # When this gateway refuted crashes, by incarnation and time.
        self._own_refuted_ms: dict[tuple[ServerKey, int], int] = {}
        self._reported_ms: dict[str, int] = {}
        self._changes = reports.Changes()
        self._suspects: dict[str, None] = {}
        self._judge_at_ms = 0
        self.on_change: Callable[[], None] | None = None
        self.on_suspicion: Callable[[], None] | None = None
        self._watchers: dict[Watcher, None] = {}

    @property
    def count(self) -> int:
        """Return how many parts are quarantined."""
        return self._records.count

    @property
    def request_count(self) -> int:
        """Return how many requests are quarantined."""
        return self._records.request_count

    @property
    def dropped_count(self) -> int:
        """Return how many parts of crashes were dropped for want of room."""
        return self._evidence.dropped_count

    def watch(self, watcher: Watcher) -> None:
        """Notify a request of parts that are quarantined from now on."""
        self._watchers[watcher] = None

    def unwatch(self, watcher: Watcher) -> None:
        """Stop notifying a request."""
        self._watchers.pop(watcher, None)

    def admit(self, part_ids: tuple[str, ...]) -> Admission:
        """Return whether a request with these parts may be sent now.

        If the quarantine of a part has ended, the request becomes its probe,
        and all gateways refuse others until its answer is known.
        """
        now_ms = self._clock.now_ms()
        found = {
            part_id: record
            for part_id in part_ids
            if (record := self._records.find(part_id)) is not None
        }
        for part_id, record in found.items():
            record.asked_ms = now_ms
            left_ms = record.until_ms - now_ms
            if left_ms > 0:
                return Admission(part_id=part_id, refused_ms=left_ms)
        if not self._suspects.keys().isdisjoint(part_ids):
            return Admission(wait_ms=max(1, self._judge_at_ms - now_ms))
        for part_id in found:
            self._records.start_probe(part_id)
            self._changes.quarantined[part_id] = None
            self._notify()
        if not found:
            return ADMITTED
        return Admission(part_id=next(iter(found)), is_probe=True)

    def is_quarantined(self, part_ids: Iterable[str]) -> bool:
        """Return whether a part is quarantined or being probed."""
        now_ms = self._clock.now_ms()
        found = filter(None, map(self._records.find, part_ids))
        return any(record.until_ms > now_ms for record in found)

    def record_crash(
        self, *, key: ServerKey, part_ids: tuple[str, ...]
    ) -> None:
        """Record that a server closed a request before it was answered.

        :param key: id and incarnation of the server.
        :param part_ids: shared parts of the request's prompt, and its
            fingerprint.
        """
        if not part_ids:
            return
        now_ms = self._clock.now_ms()
        self._own_crashes_ms[key] = now_ms
        self._changes.crashes[key] = None
        self._add_crash(
            key=key,
            at_ms=now_ms,
            positions={one: index for index, one in enumerate(part_ids)},
            is_own=True,
        )
        self._notify()

    def record_data(self, *, key: ServerKey, opened_ms: int) -> None:
        """Record data from a server, which refutes earlier crashes of it.

        :param key: id and incarnation of the server.
        :param opened_ms: instant from which on the connection was open and
            was read without a pause. A connection that was opened after the
            crash may lead to the next incarnation, and what a pause left in
            the kernel's receive buffer may have been sent before the crash.
        """
        now_ms = self._clock.now_ms()
        if self._evidence.watches_zones:
            self._record_alive(key, now_ms)
        refutation = self._evidence.refute_by_data(
            key=key, opened_ms=opened_ms, now_ms=now_ms
        )
        if refutation is None:
            return
        for close in refutation.closes:
            LOG.info(
                'crash refuted; the backend server goes on sending',
                extra={
                    'server_id': key[0],
                    'incarnation': key[1],
                    'crash_age_ms': now_ms - close.at_ms,
                    'connection_age_ms': now_ms - opened_ms,
                    'is_own': close.is_own,
                    'part_count': len(close.positions),
                },
            )
            self._changes.refuted[key, close.at_ms] = None
            self._own_refuted_ms[key, close.at_ms] = now_ms
        while len(self._own_refuted_ms) > evidence.MAX_REFUTED:
            del self._own_refuted_ms[next(iter(self._own_refuted_ms))]
        self._reconsider(key, refutation.cleared_ids)
        self._notify()

    def _record_alive(self, key: ServerKey, now_ms: int) -> None:
        """Note that the zones of servers that crashed were not lost."""
        for crashed in self._evidence.record_alive(key, now_ms):
            self._changes.live_zones[crashed] = None
            self._notify()
            self._suspect(self._evidence.parts_of_moment(crashed))

    def record_whole(self, part_ids: Iterable[str]) -> None:
        """Record that a request with these parts was answered completely.

        Most requests come only once, so their fingerprints are recorded only
        if there is something to clear.
        """
        self._add_whole(
            [
                part_id
                for part_id in part_ids
                if not fingerprints.is_fingerprint(part_id)
                or self._records.find(part_id) is not None
                or self._evidence.is_suspected(part_id)
            ],
            self._clock.now_ms(),
        )

    def report(self, *, complete: bool) -> messages.PartsReported | None:
        """Return what the peers do not know yet, None if there is nothing.

        :param complete: whether to repeat what a peer may have missed.
        """
        changes, self._changes = self._changes, reports.Changes()
        if complete:
            changes = self._all_changes(changes.whole)
        return self._build(changes)

    def repeat_as_complete_report(self) -> messages.PartsReported | None:
        """Return a complete report for a peer that has received none yet."""
        return self._build(self._all_changes(self._changes.whole))

    def _all_changes(self, whole: dict[str, None]) -> reports.Changes:
        return reports.Changes(
            crashes=dict.fromkeys(self._own_crashes_ms),
            whole=whole,
            quarantined=dict.fromkeys(self._records.ids),
            lifted=dict.fromkeys(self._records.lifted_ids),
            refuted=dict.fromkeys(self._own_refuted_ms),
            live_zones={
                key: None
                for key in self._own_crashes_ms
                if self._evidence.has_live_zone(key)
            },
        )

    def _build(
        self, changes: reports.Changes
    ) -> messages.PartsReported | None:
        return reports.build(
            changes,
            evidence=self._evidence,
            quarantined=self._records,
            now_ms=self._clock.now_ms(),
        )

    def apply_report(
        self, report: messages.PartsReported, *, peer_id: str = 'peer'
    ) -> None:
        """Apply what a peer has observed or decided.

        Entries that are malformed are skipped.

        :param peer_id: the gateway that reports.
        """
        now_ms = self._clock.now_ms()
        unfounded = set(checks.valid_entries(report, 'unfounded'))
        for server_id, incarnation, age_ms in checks.valid_entries(
            report, 'refuted'
        ):
            self._apply_refutation((server_id, incarnation), now_ms - age_ms)
        for part_id, epoch in checks.valid_entries(report, 'lifted'):
            is_unfounded = (part_id, epoch) in unfounded
            self._apply_lift(part_id, epoch, is_unfounded=is_unfounded)
        whole_ids = collections.defaultdict(list)
        for part_id, age_ms in checks.valid_entries(report, 'whole'):
            whole_ids[age_ms].append(part_id)
        for age_ms, part_ids in whole_ids.items():
            self._evidence.add_whole(part_ids=part_ids, at_ms=now_ms - age_ms)
        for part_id, epoch, left_ms, strikes in checks.valid_entries(
            report, 'quarantined'
        ):
            self._adopt(
                part_id,
                records.Record(
                    epoch=epoch,
                    until_ms=now_ms + left_ms,
                    strikes=strikes,
                    asked_ms=now_ms,
                ),
            )
        for server_id, incarnation, age_ms, positions in checks.valid_entries(
            report, 'crashes'
        ):
            self._add_crash(
                key=(server_id, incarnation),
                at_ms=now_ms - age_ms,
                positions=dict(positions),
                is_own=False,
                seer=peer_id,
            )
        for server_id, incarnation in checks.valid_entries(
            report, 'live_zones'
        ):
            self._apply_live_zone((server_id, incarnation))

    def _apply_live_zone(self, key: ServerKey) -> None:
        if not self._evidence.has_live_zone(key):
            self._evidence.record_live_zone(key)
            self._suspect(self._evidence.parts_of_moment(key))

    def _apply_refutation(self, key: ServerKey, at_ms: int) -> None:
        now_ms = self._clock.now_ms()
        refutation = self._evidence.refute_by_report(
            key=key, at_ms=at_ms, now_ms=now_ms
        )
        if refutation is None:
            return
        LOG.info(
            'peer refuted a crash',
            extra={
                'server_id': key[0],
                'incarnation': key[1],
                'crash_age_ms': now_ms - at_ms,
                'part_count': len(refutation.cleared_ids),
            },
        )
        self._reconsider(key, refutation.cleared_ids)

    def _apply_lift(
        self, part_id: str, epoch: int, *, is_unfounded: bool
    ) -> None:
        """Lift a quarantine as a peer did, unless it has grounds here.

        :param is_unfounded: whether the peer lifted it since its evidence
            does not suffice any more; this gateway may know more crashes.
        """
        record = self._records.find(part_id)
        if (
            is_unfounded
            and record is not None
            and record.epoch <= epoch
            and record.grounds is not None
            and record.grounds.is_enough
        ):
            record.epoch = epoch
            self._quarantine(
                part_id, strikes=record.strikes, grounds=record.grounds
            )
        else:
            self._records.lift(part_id, epoch, is_unfounded=is_unfounded)

    def _reconsider(
        self, key: ServerKey, cleared_ids: tuple[str, ...]
    ) -> None:
        """End quarantines whose grounds do not suffice without a crash.

        :param key: incarnation that did not end.
        :param cleared_ids: parts against which its crash was evidence.
        """
        for part_id in cleared_ids:
            record = self._records.find(part_id)
            grounds = None if record is None else record.grounds
            if grounds is None or grounds.sightings.pop(key, None) is None:
                continue
            if grounds.is_enough and (
                grounds.is_renewal
                or self._blame.upholds(part_id, grounds.sightings)
            ):
                continue
            if grounds.is_renewal:
                self._records.undo_renewal(part_id)
                self._changes.quarantined[part_id] = None
                continue
            LOG.warning(
                'evidence for a quarantine does not suffice any more',
                extra={
                    'part_id': part_id,
                    'refuted_server_id': key[0],
                    'crashes_left': len(grounds.sightings),
                    'crashes_needed': grounds.needed,
                },
            )
            self._records.lift(part_id, record.epoch, is_unfounded=True)
            self._changes.lifted[part_id] = None
            # The quarantine explained the crashes that are left.
            self._suspect(self._evidence.parts_beside(part_id))
        self._notify()

    def remove_expired(self) -> None:
        """Drop what is too old to matter."""
        now_ms = self._clock.now_ms()
        self._evidence.remove_expired(now_ms)
        self._records.remove_expired()
        self._own_crashes_ms = {
            key: at_ms
            for key, at_ms in self._own_crashes_ms.items()
            if at_ms >= now_ms - REPEAT_MS
        }
        self._own_refuted_ms = {
            refuted: told_ms
            for refuted, told_ms in self._own_refuted_ms.items()
            if told_ms >= now_ms - REPEAT_MS
        }
        self._reported_ms = {
            part_id: at_ms
            for part_id, at_ms in self._reported_ms.items()
            if at_ms >= now_ms - REPEAT_MS
        }

    def _add_crash(
        self,
        *,
        key: ServerKey,
        at_ms: int,
        positions: Mapping[str, int],
        is_own: bool,
        seer: str = evidence.OWN,
    ) -> None:
        if not self._evidence.add_crash(
            key=key,
            at_ms=at_ms,
            positions=positions,
            is_own=is_own,
            seer=seer,
        ):
            return
        for part_id in positions:
            self._report_whole(part_id)
            record = self._records.find(part_id)
            # Of the quarantined parts only a probe's ends within this time.
            if record is not None and record.until_ms <= (
                at_ms + records.PROBE_MS
            ):
                self._quarantine(
                    part_id,
                    strikes=record.strikes + 1,
                    grounds=records.Grounds(
                        sightings={key: moments.Sighting(at_ms=at_ms)},
                        needed=1,
                        is_renewal=True,
                    ),
                )
                LOG.warning(
                    'quarantine renewed; a probe crashed a backend server',
                    extra={
                        'part_id': part_id,
                        'server_id': key[0],
                        'strikes': record.strikes + 1,
                    },
                )
            elif record is not None and record.grounds is None:
                record.grounds = self._find_grounds(part_id)
            elif record is not None:
                record.grounds.add(key, at_ms)
        self._suspect(positions)

    def _suspect(self, part_ids: Iterable[str]) -> None:
        """Judge soon if the crashes suffice to blame one of some parts."""
        suspected = [
            one.part_id for one in self._blame.find_suspicions(part_ids)
        ]
        if suspected and not self._suspects:
            self._judge_later()
        self._suspects.update(dict.fromkeys(suspected))

    def _judge_later(self) -> None:
        self._judge_at_ms = self._clock.now_ms() + SETTLE_MS
        if self.on_suspicion is not None:
            self.on_suspicion()

    def _is_settled(self, suspicion: suspicions.Suspicion) -> bool:
        """Return whether crashes that may be refuted have had their time.

        That is while servers reset connections and go on, and for crashes
        that suffice only if those at one moment count apart.
        """
        now_ms = self._clock.now_ms()
        if not suspicion.is_settled(now_ms):
            return False
        oldest_ms = now_ms - evidence.REFUTE_MS
        return not self._evidence.has_refuted or suspicion.is_enough_before(
            oldest_ms
        )

    def judge(self) -> None:
        """Quarantine the most suspicious part, if evidence still suffices."""
        suspicions = self._blame.find_suspicions(self._suspects)
        worst = self._blame.find_culprit(suspicions)
        if worst is not None and not self._is_settled(worst):
            self._judge_later()
            return
        self._suspects.clear()
        if worst is None:
            return
        self._quarantine(
            worst.part_id,
            strikes=0,
            grounds=records.Grounds(
                sightings=dict(worst.sightings), needed=worst.needed
            ),
        )
        LOG.warning(
            '%s quarantined; it crashed backend servers',
            records.kind_of(worst.part_id),
            extra={
                'part_id': worst.part_id,
                'crashes': worst.crashes,
                'server_ids': worst.server_ids,
                'for_ms': records.QUARANTINE_MS,
            },
        )
        # Another request may be to blame for other crashes.
        self._suspect(
            one.part_id
            for one in suspicions
            if one is not worst and one.is_of_request
        )

    def _quarantine(
        self, part_id: str, *, strikes: int, grounds: records.Grounds
    ) -> None:
        self._records.quarantine(part_id, strikes=strikes, grounds=grounds)
        self._tell_watchers(part_id)
        self._changes.quarantined[part_id] = None
        self._notify()

    def _adopt(self, part_id: str, record: records.Record) -> None:
        is_in_force = record.until_ms > self._clock.now_ms()
        if not self._records.adopt(part_id, record):
            return
        record.grounds = self._find_grounds(part_id)
        if is_in_force:
            self._tell_watchers(part_id)

    def _find_grounds(self, part_id: str) -> records.Grounds | None:
        """Return the crashes that a peer's quarantine rests on, if known."""
        suspicion = self._evidence.suspicion(part_id, explained_by=frozenset())
        if suspicion is None or not suspicion.is_enough:
            return None
        return records.Grounds(
            sightings=dict(suspicion.sightings), needed=suspicion.needed
        )

    def _tell_watchers(self, part_id: str) -> None:
        for watcher in list(self._watchers):
            watcher.on_quarantined(part_id)

    def _add_whole(self, part_ids: list[str], at_ms: int) -> None:
        cleared_ids = [
            one for one in part_ids if self._evidence.is_suspected(one)
        ]
        self._evidence.add_whole(part_ids=part_ids, at_ms=at_ms)
        for part_id in part_ids:
            record = self._records.find(part_id)
            if record is not None:
                self._records.lift(part_id, record.epoch)
                self._changes.lifted[part_id] = None
                cleared_ids.append(part_id)
        if cleared_ids:
            self._changes.whole.update(dict.fromkeys(cleared_ids))
            self._notify()

    def _report_whole(self, part_id: str) -> None:
        """Report the newest complete answer with a part that a crash has."""
        at_ms = self._evidence.whole_ms(part_id)
        now_ms = self._clock.now_ms()
        told_ms = self._reported_ms.get(part_id)
        if at_ms is None or (
            told_ms is not None and told_ms > now_ms - REPEAT_MS
        ):
            return
        self._reported_ms[part_id] = now_ms
        self._changes.whole[part_id] = None
        self._notify()

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()
