"""Checks of what gateways report, so that a faulty one harms no other."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import logging

from shallothinge.quarantine import evidence
from shallothinge.quarantine import messages
from shallothinge.quarantine import records

LOG = logging.getLogger(__name__)

# A peer removes what is expired once a second, so it may report what is a
# little older than the window.
MAX_AGE_MS = 2 * evidence.WINDOW_MS
MAX_LEFT_MS = records.FORGET_MS + records.MAX_QUARANTINE_MS
# Counts of decisions; a correct gateway never comes near it.
MAX_COUNT = 1 << 31
# Entries that are logged may be of any size, so their text is cut.
DETAIL_CHARACTERS = 120


def _is_text(value: object) -> bool:
    return isinstance(value, str)


def _is_age(value: object) -> bool:
    return isinstance(value, int) and 0 <= value <= MAX_AGE_MS


def _is_left(value: object) -> bool:
    return isinstance(value, int) and abs(value) <= MAX_LEFT_MS


def _is_count(value: object) -> bool:
    return isinstance(value, int) and 0 <= value <= MAX_COUNT


def _is_positions(value: object) -> bool:
    return isinstance(value, (list, tuple)) and all(
        isinstance(one, (list, tuple)) and _fits(one, (_is_text, _is_count))
        for one in value
    )


_SHAPES = {
    'crashes': (_is_text, _is_text, _is_age, _is_positions),
    'whole': (_is_text, _is_age),
    'quarantined': (_is_text, _is_count, _is_left, _is_count),
    'lifted': (_is_text, _is_count),
    'refuted': (_is_text, _is_text, _is_age),
    'unfounded': (_is_text, _is_count),
}


def valid_entries(
    report: messages.PartsReported, field: str
) -> Iterator[tuple]:
    """Yield the entries of a field that are valid; log how many are not."""
    invalid = []
    for entry in getattr(report, field):
        if _fits(entry, _SHAPES[field]):
            yield entry
        else:
            invalid.append(entry)
    if invalid:
        LOG.warning(
            'invalid entries in a report on parts of prompts ignored',
            extra={
                'field': field,
                'count': len(invalid),
                'first': repr(invalid[0])[:DETAIL_CHARACTERS],
            },
        )


def _fits(
    values: Sequence[object], shape: tuple[Callable[[object], bool], ...]
) -> bool:
    return len(values) == len(shape) and all(
        is_valid(value) for is_valid, value in zip(shape, values, strict=True)
    )
