"""Splits a stream of server-sent events into whole events."""

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b'id'
_BLANK_LINE = re.compile(rb'\n\n|\r\n\r\n')
# At most this much of a blank line may have arrived with earlier bytes.
_BLANK_LINE_START_BYTES = 3


class EventTooLong(ValueError):
    """An event exceeds the size limit."""


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event as it arrived, with its blank line.

    ``event_id`` is '' for an event without one.
    """

    data: bytes = attrs.field(repr=False)
    event_id: str


class EventSplitter:
    """Buffers received bytes and returns the events that are complete.

    A stream that breaks off leaves an incomplete event in the buffer. It must
    not be passed on, since another server may send that event again.
    """

    def __init__(self):
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end in these bytes.

        Each byte is searched only once, however small the pieces are, apart
        from the last few, which may start a blank line.

        :raises EventTooLong: if an event exceeds ``MAX_EVENT_BYTES``.
        """
        search_from = max(0, len(self._buffer) - _BLANK_LINE_START_BYTES)
        self._buffer += data
        events = []
        start = 0
        for found in _BLANK_LINE.finditer(self._buffer, search_from):
            text = bytes(self._buffer[start : found.end()])
            start = found.end()
            events.append(StreamEvent(data=text, event_id=_id_of(text)))
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return events


def _id_of(event: bytes) -> str:
    for line in event.splitlines():
        name, _, value = line.partition(b':')
        if name == ID_FIELD:
            return value.strip().decode('latin-1')
    return ''


def join_unsent_events(
    events: list[StreamEvent], *, last_id: str
) -> tuple[bytes, str]:
    """Join the events that were not passed on before.

    :param last_id: id of the last event that was passed on, '' if none.
    :returns: the bytes of the new events, and the new last id.
    """
    data = bytearray()
    for event in events:
        if not is_repeated(event.event_id, last_id):
            data += event.data
            last_id = event.event_id or last_id
    return bytes(data), last_id


def is_repeated(event_id: str, last_id: str) -> bool:
    """Return whether an event has been passed on before."""
    if not event_id.isdigit() or not last_id.isdigit():
        return False
    return int(event_id) <= int(last_id)
