"""Checks of the plain tuples in reports of other processes.

Frequent reports hold plain tuples, as field names would make up most of the
bytes. The codec does not check their fields, so receivers do. An entry that
is malformed is skipped, and the others of the report still count.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math

LOG = logging.getLogger(__name__)

Check = Callable[[object], bool]

# Limit on the characters of a malformed entry in the log.
MAX_LOGGED_CHARACTERS = 200


def text(value: object) -> bool:
    """Return whether a value is a text."""
    return isinstance(value, str)


def flag(value: object) -> bool:
    """Return whether a value is 0 or 1, or a truth value."""
    return isinstance(value, int) and value in (0, 1)


def whole(low: int, high: int) -> Check:
    """Return a check for integers from ``low`` to ``high``."""

    def is_whole(value: object) -> bool:
        is_int = isinstance(value, int) and not isinstance(value, bool)
        return is_int and low <= value <= high

    return is_whole


def number(low: float, high: float) -> Check:
    """Return a check for finite numbers from ``low`` to ``high``."""

    def is_number(value: object) -> bool:
        is_real = isinstance(value, (int, float))
        return (
            is_real
            and not isinstance(value, bool)
            and math.isfinite(value)
            and low <= value <= high
        )

    return is_number


def optional(check: Check) -> Check:
    """Return a check that also accepts None."""
    return lambda value: value is None or check(value)


def each(*checks: Check) -> Check:
    """Return a check for a sequence of tuples of these fields."""

    def is_sequence(value: object) -> bool:
        return isinstance(value, (list, tuple)) and all(
            has_shape(one, checks) for one in value
        )

    return is_sequence


def has_shape(entry: object, checks: tuple[Check, ...]) -> bool:
    """Return whether an entry has these fields and no others."""
    return (
        isinstance(entry, (list, tuple))
        and len(entry) == len(checks)
        and all(
            check(value) for check, value in zip(checks, entry, strict=True)
        )
    )


def well_formed(
    entries: Iterable[object], *, checks: tuple[Check, ...], kind: str
) -> list[tuple]:
    """Return the entries that pass the checks; log that others did not.

    :param checks: one for each field, in order.
    :param kind: what the entries are, for the log.
    """
    accepted = []
    malformed = []
    for entry in entries:
        passed = has_shape(entry, checks)
        (accepted if passed else malformed).append(entry)
    if malformed:
        LOG.warning(
            'ignored malformed entries of a report',
            extra={
                'kind': kind,
                'count': len(malformed),
                'first': repr(malformed[0])[:MAX_LOGGED_CHARACTERS],
            },
        )
    return accepted
