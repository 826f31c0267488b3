"""Ends what rests on crashes that are refuted."""

import logging

from shallothinge import clock as clocks
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import blame as blames
from shallothinge.quarantine import evidence as evidences
from shallothinge.quarantine import records
from shallothinge.quarantine import reports
from shallothinge.quarantine import suspects as suspected

LOG = logging.getLogger(__name__)


class Refutations:
    """Takes refuted crashes out of the evidence and out of quarantines."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        evidence: evidences.Evidence,
        quarantined: records.QuarantineRecords,
        blame: blames.Blame,
        suspects: suspected.Suspects,
        outbox: reports.Outbox,
    ):
        self._clock = clock
        self._evidence = evidence
        self._quarantined = quarantined
        self._blame = blame
        self._suspects = suspects
        self._outbox = outbox

    def record_data(self, *, key: ServerKey, opened_ms: int) -> None:
        """Record data from a server, which refutes earlier crashes of it.

        :param opened_ms: instant from which on the connection was open and
            was read without a pause.
        """
        now_ms = self._clock.now_ms()
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
            self._outbox.add_refuted(key, close.at_ms)
        self._reconsider(key, refutation.cleared_ids)

    def apply(self, key: ServerKey, at_ms: int) -> None:
        """Apply that a peer refuted a crash at a time."""
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

    def _reconsider(
        self, key: ServerKey, cleared_ids: tuple[str, ...]
    ) -> None:
        """End quarantines whose grounds do not suffice without a crash.

        :param key: incarnation that did not end.
        :param cleared_ids: parts against which its crash was evidence.
        """
        for part_id in cleared_ids:
            record = self._quarantined.find(part_id)
            grounds = None if record is None else record.grounds
            if grounds is None or grounds.sightings.pop(key, None) is None:
                continue
            if grounds.is_enough and (
                grounds.is_renewal
                or self._blame.upholds(part_id, grounds.sightings)
            ):
                continue
            if grounds.is_renewal:
                self._quarantined.undo_renewal(part_id)
                self._outbox.add_quarantined(part_id)
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
            self._quarantined.lift(part_id, record.epoch, is_unfounded=True)
            self._outbox.add_lifted(part_id)
            # The quarantine explained the crashes that are left.
            self._suspects.add(self._evidence.parts_beside(part_id))
