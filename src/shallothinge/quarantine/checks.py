"""Checks of what gateways report, so that a faulty one harms no other."""

from shallothinge import entries
from shallothinge.quarantine import messages
from shallothinge.quarantine import records

# Bounds on what a peer may state; more is a fault. It would outlast what this
# gateway decides, or the next epoch would not fit into a message.
_MAX_EPOCH = 1_000_000_000
_MAX_STRIKES = 1_000_000
_MAX_POSITION = 1_000_000_000
# Thousands of requests for as long as evidence lasts.
_MAX_USED_MS = 1_000_000_000
_AGE = entries.whole(0, 2 * records.FORGET_MS)
_EPOCH = entries.whole(1, _MAX_EPOCH)
_CRASH = (
    entries.text,
    entries.text,
    _AGE,
    entries.each(entries.text, entries.whole(0, _MAX_POSITION)),
)
# Checks of the entries of each field of ``messages.PartsReported``.
_CHECKS = {
    'crashes': _CRASH,
    'late_crashes': _CRASH,
    'used': (entries.text, entries.whole(0, _MAX_USED_MS)),
    'whole': (entries.text, _AGE),
    'quarantined': (
        entries.text,
        _EPOCH,
        entries.whole(-2 * records.FORGET_MS, records.MAX_QUARANTINE_MS),
        entries.whole(0, _MAX_STRIKES),
    ),
    'lifted': (entries.text, _EPOCH),
    'refuted': (entries.text, entries.text, _AGE),
    'unfounded': (entries.text, _EPOCH),
    'live_zones': (entries.text, entries.text),
}


def valid_entries(report: messages.PartsReported, field: str) -> list[tuple]:
    """Return the entries of a field that are valid; log the others."""
    return entries.well_formed(
        getattr(report, field), checks=_CHECKS[field], kind=field
    )
