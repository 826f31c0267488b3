"""Splits a stream of server-sent events into whole events."""

import attrs

MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b'id'


class EventTooLong(ValueError):
    """An event that does not end."""


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event as it arrived, with its blank line.

    ``event_id`` is '' for an event without one.
    """

    data: bytes = attrs.field(repr=False)
    event_id: str


class EventSplitter:
    """Collects bytes and hands out the events that are complete.

    A stream that breaks off leaves the start of an event behind, which
    must not be passed on: another server may send that event again.
    """

    def __init__(self):
        self._waiting = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._waiting

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end in these bytes.

        :raises EventTooLong: if an event exceeds ``MAX_EVENT_BYTES``.
        """
        self._waiting += data
        events = []
        while True:
            end = _end_of_event(self._waiting)
            if end < 0:
                break
            text, self._waiting = self._waiting[:end], self._waiting[end:]
            events.append(StreamEvent(data=text, event_id=_id_of(text)))
        if len(self._waiting) > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return events


def _end_of_event(data: bytes) -> int:
    """Return the index after the first blank line, or -1."""
    ends = [
        found + len(mark)
        for mark in (b'\n\n', b'\r\n\r\n')
        if (found := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _id_of(event: bytes) -> str:
    for line in event.splitlines():
        name, _, value = line.partition(b':')
        if name == ID_FIELD:
            return value.strip().decode('latin-1')
    return ''


def is_repeated(event_id: str, last_id: str) -> bool:
    """Return whether an event has been passed on before."""
    if not event_id.isdigit() or not last_id.isdigit():
        return False
    return int(event_id) <= int(last_id)
