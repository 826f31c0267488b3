"""Builds the reports on parts of prompts for the other gateways."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from shallothinge import clock as clocks
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import evidence as evidences
from shallothinge.quarantine import messages
from shallothinge.quarantine import records

# Complete reports repeat the crashes of this time, for peers that missed
# one, and each complete answer is reported at most this often.
REPEAT_MS = 3_000


@attrs.define(kw_only=True)
class Changes:
    """Ids of what has changed since the last report, in order."""

    crashes: dict[ServerKey, None] = attrs.field(factory=dict)
    has_used: bool = False
    whole: dict[str, None] = attrs.field(factory=dict)
    quarantined: dict[str, None] = attrs.field(factory=dict)
    lifted: dict[str, None] = attrs.field(factory=dict)
    refuted: dict[tuple[ServerKey, int], None] = attrs.field(factory=dict)
    live_zones: dict[ServerKey, None] = attrs.field(factory=dict)


def build(
    changes: Changes,
    *,
    evidence: evidences.Evidence,
    quarantined: records.QuarantineRecords,
    now_ms: int,
) -> messages.PartsReported | None:
    """Return the report on changes, None if there is nothing to report."""
    made = messages.PartsReported(
        crashes=_crashes(changes, evidence, now_ms, is_late=False),
        late_crashes=_crashes(changes, evidence, now_ms, is_late=True),
        used=evidence.used_to_report() if changes.has_used else (),
        whole=tuple(
            (part_id, now_ms - at_ms)
            for part_id in changes.whole
            if (at_ms := evidence.whole_ms(part_id)) is not None
        ),
        quarantined=tuple(
            (part_id, one.epoch, one.until_ms - now_ms, one.strikes)
            for part_id in changes.quarantined
            if (one := quarantined.find(part_id)) is not None
        ),
        lifted=tuple(
            (part_id, epoch)
            for part_id in changes.lifted
            if (epoch := quarantined.lifted_epoch(part_id))
        ),
        refuted=tuple(
            (*key, now_ms - at_ms) for key, at_ms in changes.refuted
        ),
        live_zones=tuple(changes.live_zones),
        unfounded=tuple(
            (part_id, quarantined.lifted_epoch(part_id))
            for part_id in changes.lifted
            if quarantined.is_unfounded(part_id)
        ),
    )
    return None if made == messages.PartsReported() else made


def _crashes(
    changes: Changes,
    evidence: evidences.Evidence,
    now_ms: int,
    *,
    is_late: bool,
) -> tuple[tuple, ...]:
    """Return what this gateway saw of crashes, by the kind of its requests.

    A crash of which no part is left is reported as well: that a server
    crashed without a part tells peers that a zone may have been lost.
    """
    return tuple(
        (*key, now_ms - close.at_ms, parts)
        for key in changes.crashes
        for close in evidence.own_closes(key)
        if (parts := evidence.parts_to_report(close, is_late=is_late))
        or not (is_late or close.late_ids)
    )


class Outbox:
    """What this gateway has seen or decided and its peers do not know yet.

    :param on_change: called when there is something to report.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        evidence: evidences.Evidence,
        quarantined: records.QuarantineRecords,
        on_change: Callable[[], None],
    ):
        self._clock = clock
        self._evidence = evidence
        self._quarantined = quarantined
        self._on_change = on_change
        self._changes = Changes()
        self._crashes_ms: dict[ServerKey, int] = {}
        # When this gateway refuted crashes, by incarnation and time.
        self._refuted_ms: dict[tuple[ServerKey, int], int] = {}
        self._whole_told_ms: dict[str, int] = {}

    def add_crash(self, key: ServerKey) -> None:
        """Report what was seen of a crash."""
        self._crashes_ms[key] = self._clock.now_ms()
        self._changes.crashes[key] = None
        self._on_change()

    def add_used(self) -> None:
        """Report for how long servers have run parts of crashes."""
        self._changes.has_used = True
        self._on_change()

    def add_refuted(self, key: ServerKey, at_ms: int) -> None:
        """Report that an incarnation did not end at a time."""
        self._changes.refuted[key, at_ms] = None
        self._refuted_ms[key, at_ms] = self._clock.now_ms()
        while len(self._refuted_ms) > evidences.MAX_REFUTED:
            del self._refuted_ms[next(iter(self._refuted_ms))]
        self._on_change()

    def add_live_zone(self, key: ServerKey) -> None:
        """Report that the zone of a server that crashed was not lost."""
        self._changes.live_zones[key] = None
        self._on_change()

    def add_quarantined(self, part_id: str) -> None:
        """Report a part's quarantine, its renewal or its probe."""
        self._changes.quarantined[part_id] = None
        self._on_change()

    def add_lifted(self, part_id: str) -> None:
        """Report the end of a quarantine."""
        self._changes.lifted[part_id] = None
        self._on_change()

    def add_whole(self, part_ids: Iterable[str]) -> None:
        """Report the newest complete answers with some parts."""
        self._changes.whole.update(dict.fromkeys(part_ids))
        self._on_change()

    def add_known_whole(self, part_ids: Iterable[str]) -> None:
        """Report known complete answers with the parts of a crash.

        Those that were reported lately are left out.
        """
        now_ms = self._clock.now_ms()
        due = [
            part_id
            for part_id in part_ids
            if self._evidence.whole_ms(part_id) is not None
            and self._whole_told_ms.get(part_id, now_ms - REPEAT_MS)
            <= now_ms - REPEAT_MS
        ]
        if due:
            self._whole_told_ms.update(dict.fromkeys(due, now_ms))
            self.add_whole(due)

    def report(self, *, complete: bool) -> messages.PartsReported | None:
        """Return what the peers do not know yet, None if there is nothing.

        :param complete: whether to repeat what a peer may have missed.
        """
        changes, self._changes = self._changes, Changes()
        if complete:
            changes = self._all_changes(changes.whole)
        return self._build(changes)

    def repeat_as_complete_report(self) -> messages.PartsReported | None:
        """Return a complete report for a peer that has received none yet."""
        return self._build(self._all_changes(self._changes.whole))

    def remove_expired(self) -> None:
        """Drop what is not to be repeated any more."""
        oldest_ms = self._clock.now_ms() - REPEAT_MS
        for told_ms in (
            self._crashes_ms,
            self._refuted_ms,
            self._whole_told_ms,
        ):
            for told, at_ms in list(told_ms.items()):
                if at_ms < oldest_ms:
                    del told_ms[told]

    def _all_changes(self, whole: dict[str, None]) -> Changes:
        return Changes(
            crashes=dict.fromkeys(self._crashes_ms),
            has_used=True,
            whole=whole,
            quarantined=dict.fromkeys(self._quarantined.ids),
            lifted=dict.fromkeys(self._quarantined.lifted_ids),
            refuted=dict.fromkeys(self._refuted_ms),
            live_zones=dict.fromkeys(
                filter(self._evidence.has_live_zone, self._crashes_ms)
            ),
        )

    def _build(self, changes: Changes) -> messages.PartsReported | None:
        return build(
            changes,
            evidence=self._evidence,
            quarantined=self._quarantined,
            now_ms=self._clock.now_ms(),
        )
