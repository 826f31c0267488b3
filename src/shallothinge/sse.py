"""Incremental parsing of server-sent events.

Lines end with CR LF, LF or CR, which may be mixed, and an empty line ends an
event (HTML standard, section 9.2.6).
"""

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b'id'
DATA_FIELD = b'data:'
COMMENT_START = b':'
LINE_ENDS = b'\r\n'
DONE = '[DONE]'
# A CR after another line end may be the first half of CR LF, which the next
# byte tells. Streams of lone CRs do not wait for that byte.
_BLANK_LINE = re.compile(rb'\r\r|(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))')
_BLANK_LINE_AT_END = b'\n\r'
# At most this much of a blank line may have arrived with earlier bytes.
_BLANK_LINE_START_BYTES = 3


class EventTooLong(ValueError):
    """An event exceeds the size limit."""


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event as it arrived, with its blank line.

    ``event_id`` is '' for an event without one. ``has_data`` is whether it
    has a data field, without which its receiver drops it.
    """

    data: bytes = attrs.field(repr=False)
    event_id: str
    has_data: bool = True


class EventSplitter:
    """Buffers received bytes and returns the events that are complete.

    :ivar has_events: whether any of them had a field. Blank lines and
        comments are returned like events, but are none.
    """

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES):
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self.has_events = False

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end in these bytes.

        Each byte is searched only once, however small the pieces are, apart
        from the last few, which may start a blank line.

        :raises EventTooLong: if an event exceeds the size limit.
        """
        search_from = max(0, len(self._buffer) - _BLANK_LINE_START_BYTES)
        self._buffer += data
        events = []
        start = 0
        for found in _BLANK_LINE.finditer(self._buffer, search_from):
            events.append(self._take(self._buffer[start : found.end()]))
            start = found.end()
        del self._buffer[:start]
        if len(self._buffer) > self._max_event_bytes:
            raise EventTooLong(
                f'an event exceeds {self._max_event_bytes} bytes'
            )
        return events

    def end(self) -> list[StreamEvent]:
        """Return the event that the end of the stream completes, if any.

        ``rest`` is what follows the last event then.
        """
        if not self._buffer.endswith(_BLANK_LINE_AT_END):
            return []
        event = self._take(self._buffer)
        self._buffer.clear()
        return [event]

    @property
    def is_inside_event(self) -> bool:
        """Return whether ``rest`` is more than blank lines and comments."""
        return any(
            not _is_blank(line) and not _is_whole_comment(line)
            for line in self._buffer.splitlines(keepends=True)
        )

    def _take(self, data: bytearray) -> StreamEvent:
        self.has_events = self.has_events or _has_field(data)
        return StreamEvent(
            data=bytes(data),
            event_id=_id_of(data),
            has_data=_has_data_field(data),
        )


class EventParser:
    """Splits the bytes of an event stream into the data of its events."""

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES):
        self._splitter = EventSplitter(max_event_bytes=max_event_bytes)

    def feed(self, data: bytes) -> list[str]:
        """Take bytes as they arrive; each is looked at once.

        :returns: the data of each event that is now whole.
        :raises EventTooLong: if an unfinished event exceeds the limit.
        """
        return [
            _data_of(event.data)
            for event in self._splitter.feed(data)
            if DATA_FIELD in event.data
        ]


def _has_field(event: bytes) -> bool:
    return any(
        line and not line.startswith(COMMENT_START)
        for line in event.splitlines()
    )


def _has_data_field(event: bytes) -> bool:
    return any(
        line.partition(b':')[0] == DATA_FIELD.rstrip(b':')
        for line in event.splitlines()
    )


def _is_blank(line: bytes) -> bool:
    return not line.strip(LINE_ENDS)


def _is_whole_comment(line: bytes) -> bool:
    return line.startswith(COMMENT_START) and line[-1] in LINE_ENDS


def _id_of(event: bytes) -> str:
    for line in event.splitlines():
        name, _, value = line.partition(b':')
        if name == ID_FIELD:
            return value.strip().decode('latin-1')
    return ''


def _data_of(event: bytes) -> str:
    lines = [
        line[len(DATA_FIELD) :].strip()
        for line in event.splitlines()
        if line.startswith(DATA_FIELD)
    ]
    return b'\n'.join(lines).decode('utf-8', 'replace')


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


def format_event(data: str) -> bytes:
    """Return the bytes of one event whose data is a single line."""
    return b'data: ' + data.encode() + b'\n\n'
