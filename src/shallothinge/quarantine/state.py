"""Decides which requests and parts of prompts are quarantined.

A request that crashes each server that runs it (a query of death), or a part
of prompts that does, is found by what the crashes have in common, over all
gateways. It is refused until a probe with it is answered. A request is known
by its fingerprint, which counts as its last part.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import logging

from shallothinge import clock as clocks
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import blame
from shallothinge.quarantine import chance
from shallothinge.quarantine import checks
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import evidence
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import messages
from shallothinge.quarantine import moments
from shallothinge.quarantine import records
from shallothinge.quarantine import refutations
from shallothinge.quarantine import reports
from shallothinge.quarantine import suspects
from shallothinge.quarantine.admission import ADMITTED
from shallothinge.quarantine.admission import Admission
from shallothinge.quarantine.admission import Watcher

LOG = logging.getLogger(__name__)


class PartQuarantine:
    """Quarantined parts, decided with what all gateways observe.

    :param places: where servers run; if not known, servers that crash at one
        moment count once.
    :ivar on_change: called when there is something to report to the peers.
    :ivar on_suspicion: called when ``judge`` is to be called in
        ``suspects.SETTLE_MS``.
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
        self._outbox = reports.Outbox(
            clock=clock,
            evidence=self._evidence,
            quarantined=self._records,
            on_change=self._notify,
        )
        self._suspects = suspects.Suspects(
            clock=clock,
            evidence=self._evidence,
            blame=self._blame,
            call_later=self._call_for_verdict,
        )
        self._refutations = refutations.Refutations(
            clock=clock,
            evidence=self._evidence,
            quarantined=self._records,
            blame=self._blame,
            suspects=self._suspects,
            outbox=self._outbox,
        )
        self.on_change: Callable[[], None] | None = None
        self.on_suspicion: Callable[[], None] | None = None
        self._watchers: dict[Watcher, None] = {}
        self._runs: dict[chance.Run, None] = {}

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
        wait_ms = self._suspects.wait_ms(part_ids)
        if wait_ms:
            return Admission(wait_ms=wait_ms)
        for part_id in found:
            self._records.start_probe(part_id)
            self._outbox.add_quarantined(part_id)
        if not found:
            return ADMITTED
        return Admission(part_id=next(iter(found)), is_probe=True)

    def is_quarantined(self, part_ids: Iterable[str]) -> bool:
        """Return whether a part is quarantined or being probed."""
        now_ms = self._clock.now_ms()
        found = filter(None, map(self._records.find, part_ids))
        return any(record.until_ms > now_ms for record in found)

    def record_crash(
        self,
        *,
        key: ServerKey,
        part_ids: tuple[str, ...],
        is_late: bool = False,
    ) -> None:
        """Record that a server closed a request before it was answered.

        :param key: id and incarnation of the server.
        :param is_late: whether the answer had been written for a while.
        :param part_ids: shared parts of the request's prompt, and its
            fingerprint.
        """
        if not part_ids:
            return
        self._outbox.add_crash(key)
        self._add_crash(
            key,
            crash_table.Observation(
                at_ms=self._clock.now_ms(),
                positions={one: index for index, one in enumerate(part_ids)},
                is_late=is_late,
            ),
        )

    def start_run(self, part_ids: tuple[str, ...]) -> chance.Run:
        """Record that a request is sent to a server.

        :param part_ids: as in ``record_crash``.
        :returns: what ``end_run`` is to be called with, however it ends.
        """
        run = chance.Run(part_ids=part_ids, started_ms=self._clock.now_ms())
        self._runs[run] = None
        return run

    def end_run(self, run: chance.Run) -> None:
        """Record that the server does not run the request any more."""
        self._runs.pop(run, None)
        self._evidence.server_time.note_end(run, self._clock.now_ms())

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
        self._refutations.record_data(key=key, opened_ms=opened_ms)

    def _record_alive(self, key: ServerKey, now_ms: int) -> None:
        """Note that the zones of servers that crashed were not lost."""
        for crashed in self._evidence.record_alive(key, now_ms):
            self._outbox.add_live_zone(crashed)
            self._suspects.add(self._evidence.parts_of_moment(crashed))

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
        return self._outbox.report(complete=complete)

    def repeat_as_complete_report(self) -> messages.PartsReported | None:
        """Return a complete report for a peer that has received none yet."""
        return self._outbox.repeat_as_complete_report()

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
            self._refutations.apply((server_id, incarnation), now_ms - age_ms)
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
        self._apply_crashes(report, 'crashes', peer_id)
        self._apply_crashes(report, 'late_crashes', peer_id, is_late=True)
        for part_id, used_ms in checks.valid_entries(report, 'used'):
            self._evidence.server_time.apply_report(part_id, used_ms, peer_id)
        for server_id, incarnation in checks.valid_entries(
            report, 'live_zones'
        ):
            self._apply_live_zone((server_id, incarnation))

    def _apply_crashes(
        self,
        report: messages.PartsReported,
        field: str,
        peer_id: str,
        *,
        is_late: bool = False,
    ) -> None:
        now_ms = self._clock.now_ms()
        for server_id, incarnation, age_ms, positions in checks.valid_entries(
            report, field
        ):
            self._add_crash(
                (server_id, incarnation),
                crash_table.Observation(
                    at_ms=now_ms - age_ms,
                    positions=dict(positions),
                    is_late=is_late,
                    seer=peer_id,
                ),
            )

    def _apply_live_zone(self, key: ServerKey) -> None:
        if not self._evidence.has_live_zone(key):
            self._evidence.record_live_zone(key)
            self._suspects.add(self._evidence.parts_of_moment(key))

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

    def remove_expired(self) -> None:
        """Drop what is too old to matter."""
        self._evidence.remove_expired(self._clock.now_ms())
        self._records.remove_expired()
        self._outbox.remove_expired()

    def _add_crash(
        self, key: ServerKey, seen: crash_table.Observation
    ) -> None:
        was_known = self._evidence.has_crash(key)
        is_new = self._evidence.add_crash(key, seen)
        if not was_known and self._evidence.has_crash(key):
            self._evidence.server_time.note_crash(
                key, at_ms=seen.at_ms, running=self._runs
            )
            self._outbox.add_used()
        if not is_new:
            return
        self._outbox.add_known_whole(seen.positions)
        for part_id in seen.positions:
            record = self._records.find(part_id)
            # Of the quarantined parts only a probe's ends within this time.
            if record is not None and record.until_ms <= (
                seen.at_ms + records.PROBE_MS
            ):
                self._quarantine(
                    part_id,
                    strikes=record.strikes + 1,
                    grounds=records.Grounds(
                        sightings={key: moments.Sighting(at_ms=seen.at_ms)},
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
                record.grounds.add(key, seen.at_ms)
        self._suspects.add(seen.positions)

    def judge(self) -> None:
        """Quarantine the most suspicious part, if evidence still suffices."""
        verdict = self._suspects.judge()
        if verdict is None:
            return
        worst = verdict.culprit
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
                'causes': worst.causes,
                'server_time_share': worst.chance and worst.chance.share,
                'probability': worst.chance and worst.chance.probability,
                'for_ms': records.QUARANTINE_MS,
            },
        )
        self._suspects.add(verdict.other_request_ids)

    def _quarantine(
        self, part_id: str, *, strikes: int, grounds: records.Grounds
    ) -> None:
        self._records.quarantine(part_id, strikes=strikes, grounds=grounds)
        self._tell_watchers(part_id)
        self._outbox.add_quarantined(part_id)

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
                self._outbox.add_lifted(part_id)
                cleared_ids.append(part_id)
        if cleared_ids:
            self._outbox.add_whole(cleared_ids)

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def _call_for_verdict(self) -> None:
        if self.on_suspicion is not None:
            self.on_suspicion()
