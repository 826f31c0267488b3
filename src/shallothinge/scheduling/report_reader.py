"""Reads the reports of peers; what is malformed is skipped and counted."""

import math
import reprlib

from shallothinge.scheduling import messages
from shallothinge.scheduling import order as orders

MAX_NAME_CHARS = 256
MAX_URGENCY = 1_000_000
MAX_TIME_MS = 3_600_000
MAX_SLOTS = 1_000_000
MAX_COUNT = 2**53

# Groups of the entries of peers.
ABOVE, NOT_ABOVE = 'above', 'not above'


class ReportReader:
    """Reads the fields of a report, skipping and counting malformed ones."""

    def __init__(
        self, message: messages.DemandReported, *, peer_id: str, now_ms: int
    ):
        self._peer_id = peer_id
        self._message = message
        self._now_ms = now_ms
        self.skipped_count = 0
        self.skipped_example = ''
        self.sequence = message.sequence
        if not _is_count(message.sequence):
            self._skip(message.sequence)
            self.sequence = None

    def waiting(self) -> list[tuple[str, orders.Entry]]:
        """Return the waiting requests with their services."""
        found: dict[int, tuple[str, orders.Entry]] = {}
        counts: dict[str, int] = {}
        for fields in self._tuples(self._message.waiting):
            entry = self._read_entry(fields, unnumbered=-1 - len(found))
            if entry is None or entry.number in found:
                self._skip(fields)
                continue
            service = fields[0]
            count = counts.get(service, 0)
            if count == messages.MAX_ENTRIES_PER_SERVICE or (
                not count and len(counts) == messages.MAX_SERVICES
            ):
                self._skip(fields)
                continue
            counts[service] = count + 1
            found[entry.number] = (service, entry)
        return list(found.values())

    def _read_entry(
        self, fields: tuple, *, unnumbered: int
    ) -> orders.Entry | None:
        """Return an entry, None if it is malformed.

        :param unnumbered: its number, if the fields have none.
        """
        if len(fields) < 5:
            return None
        service, urgency, is_above, start_by_in_ms, abandon_in_ms = fields[:5]
        number = unnumbered
        if len(fields) > 5:
            number = fields[5]
            if not _is_count(number):
                return None
        is_valid = (
            _is_name(service)
            and _is_count(urgency)
            and urgency <= MAX_URGENCY
            and is_above in (False, True)
            and _is_number(start_by_in_ms)
            and _is_number(abandon_in_ms)
        )
        if not is_valid:
            return None
        return orders.Entry(
            group=ABOVE if is_above else NOT_ABOVE,
            gateway_id=self._peer_id,
            number=number,
            urgency=urgency,
            start_by_ms=self._now_ms + _clamp(start_by_in_ms),
            abandon_ms=self._now_ms + _clamp(abandon_in_ms),
        )

    def workspaces(
        self,
    ) -> tuple[dict[tuple[str, str], float], frozenset[tuple[str, str]]]:
        """Return the slots in use, and who waits, by service and workspace."""
        in_use = {}
        waiting = set()
        for fields in self._tuples(self._message.in_use):
            is_valid = (
                len(fields) >= 3
                and _is_name(fields[0])
                and _is_workspace(fields[1])
                and _is_number(fields[2])
                and 0 <= fields[2] <= MAX_SLOTS
                and all(one in (False, True) for one in fields[3:4])
                and len(in_use) < messages.MAX_WORKSPACES
            )
            if not is_valid:
                self._skip(fields)
                continue
            in_use[fields[0], fields[1]] = float(fields[2])
            if any(fields[3:4]):
                waiting.add((fields[0], fields[1]))
        return in_use, frozenset(waiting)

    def granted(self) -> dict[str, tuple[int, int]]:
        """Return the placed requests and late turns, by service."""
        found = {}
        for fields in self._tuples(self._message.granted):
            is_valid = (
                len(fields) >= 3
                and _is_name(fields[0])
                and _is_count(fields[1])
                and _is_count(fields[2])
                and len(found) < messages.MAX_SERVICES
            )
            if is_valid:
                found[fields[0]] = (fields[1], fields[2])
            else:
                self._skip(fields)
        return found

    def _tuples(self, entries: object) -> list[tuple]:
        """Return those entries of a field that are tuples."""
        if not isinstance(entries, (tuple, list)):
            self._skip(entries)
            return []
        found = []
        for fields in entries:
            if isinstance(fields, (tuple, list)):
                found.append(tuple(fields))
            else:
                self._skip(fields)
        return found

    def _skip(self, fields: object) -> None:
        if not self.skipped_count:
            self.skipped_example = reprlib.repr(fields)
        self.skipped_count += 1


def _is_name(field: object) -> bool:
    return _is_workspace(field) and field != ''


def _is_workspace(field: object) -> bool:
    return isinstance(field, str) and len(field) <= MAX_NAME_CHARS


def _is_number(field: object) -> bool:
    return (
        isinstance(field, (int, float))
        and not isinstance(field, bool)
        and not math.isnan(field)
    )


def _is_count(field: object) -> bool:
    return (
        isinstance(field, int)
        and not isinstance(field, bool)
        and 0 <= field <= MAX_COUNT
    )


def _clamp(time_ms: float) -> float:
    return max(-MAX_TIME_MS, min(MAX_TIME_MS, time_ms))
