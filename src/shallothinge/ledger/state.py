"""Replicated ledger of usage by workspace, model and day.

Each report of an entry is counted once, whatever is resent or overtakes
another report. Days older than ``DAYS_KEPT`` are summed up by month.
"""

import datetime

import attrs

from shallothinge.allowances import messages
from shallothinge.clock import MS_PER_SECOND
from shallothinge.leases.messages import Holder

DAYS_KEPT = 93
REPORTS_KEPT_MS = 7 * 24 * 3600 * 1000
MONTH_DIGITS = len('2026-01')


@attrs.frozen(kw_only=True)
class Reports:
    """Sequence numbers of one entry's reports that were counted.

    All up to ``counted_to`` were, and those in ``above``.
    """

    counted_to: int = 0
    above: tuple[int, ...] = ()
    reported_ms: int = 0

    def has(self, sequence: int) -> bool:
        """Return whether a report was counted."""
        return sequence <= self.counted_to or sequence in self.above

    def add(self, sequence: int, *, now_ms: int) -> 'Reports':
        """Return these with one more report."""
        above = {*self.above, sequence}
        counted_to = self.counted_to
        while counted_to + 1 in above:
            counted_to += 1
            above.discard(counted_to)
        return Reports(
            counted_to=counted_to,
            above=tuple(sorted(above)),
            reported_ms=now_ms,
        )


@attrs.define(kw_only=True)
class Ledger:
    """Usage by day and then by workspace and model.

    ``by_day`` holds months (``YYYY-MM``) beside days (``YYYY-MM-DD``).
    """

    by_day: dict[str, dict[str, messages.UsageRecord]] = attrs.field(
        factory=dict
    )
    reports: dict[str, Reports] = attrs.field(factory=dict)

    def add(self, *, report: messages.UsageReported, now_ms: int) -> bool:
        """Count a report.

        :returns: whether it is counted now and was not before.
        """
        holder = Holder(
            holder_id=report.entry_id, incarnation=report.entry_incarnation
        )
        name = f'{holder.holder_id}/{holder.incarnation}'
        reports = self.reports.pop(name, Reports())
        is_new = not reports.has(report.sequence)
        if is_new:
            reports = reports.add(report.sequence, now_ms=now_ms)
            for record in report.records:
                self._add_record(record)
            self._sum_up_old_days(now_ms)
        self.reports[name] = reports
        self._forget_old_reports(now_ms)
        return is_new

    def rows(self) -> tuple[messages.UsageRecord, ...]:
        """Return all records, by day, workspace and model."""
        return tuple(
            records[name]
            for _, records in sorted(self.by_day.items())
            for name in sorted(records)
        )

    def _add_record(self, record: messages.UsageRecord) -> None:
        records = self.by_day.setdefault(record.day, {})
        name = f'{record.workspace}/{record.model}'
        known = records.get(name)
        records[name] = record if known is None else _sum(known, record)

    def _sum_up_old_days(self, now_ms: int) -> None:
        today = datetime.datetime.fromtimestamp(
            now_ms // MS_PER_SECOND, datetime.UTC
        ).date()
        oldest = today - datetime.timedelta(days=DAYS_KEPT)
        for day in list(self.by_day):
            if len(day) > MONTH_DIGITS and day < oldest.isoformat():
                for record in self.by_day.pop(day).values():
                    self._add_record(
                        attrs.evolve(record, day=day[:MONTH_DIGITS])
                    )

    def _forget_old_reports(self, now_ms: int) -> None:
        for name, reports in list(self.reports.items()):
            if reports.reported_ms >= now_ms - REPORTS_KEPT_MS:
                return
            del self.reports[name]


def _sum(
    first: messages.UsageRecord, second: messages.UsageRecord
) -> messages.UsageRecord:
    return attrs.evolve(
        first,
        requests=first.requests + second.requests,
        prompt_tokens=first.prompt_tokens + second.prompt_tokens,
        cached_tokens=first.cached_tokens + second.cached_tokens,
        generated_tokens=first.generated_tokens + second.generated_tokens,
    )
