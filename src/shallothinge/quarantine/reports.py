"""Builds the reports on parts of prompts for the other gateways."""

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import evidence as evidences
from shallothinge.quarantine import messages
from shallothinge.quarantine import records


@attrs.define(kw_only=True)
class Changes:
    """Ids of what has changed since the last report, in order."""

    crashes: dict[ServerKey, None] = attrs.field(factory=dict)
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
        crashes=tuple(
            (*key, now_ms - close.at_ms, evidence.parts_to_report(close))
            for key in changes.crashes
            for close in evidence.own_closes(key)
        ),
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
