"""Incremental parser for server-sent events."""

import re

MAX_EVENT_BYTES = 1024 * 1024
DATA_FIELD = b'data:'
DONE = '[DONE]'
_BLANK_LINE = re.compile(rb'\r?\n\r?\n')
# Of a blank line, as much may have come with earlier bytes.
_BLANK_LINE_START_BYTES = 3


class EventTooLarge(ValueError):
    """An event that exceeds the size limit."""


class EventParser:
    """Splits the bytes of an event stream into the data of its events."""

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES):
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[str]:
        """Take bytes as they arrive; each is looked at once.

        :returns: the data of each event that is now whole.
        :raises EventTooLarge: if an unfinished event exceeds the limit.
        """
        search_from = max(0, len(self._buffer) - _BLANK_LINE_START_BYTES)
        self._buffer += data
        whole = []
        start = 0
        for found in _BLANK_LINE.finditer(self._buffer, search_from):
            event = bytes(self._buffer[start : found.start()])
            whole.append(event.replace(b'\r\n', b'\n'))
            start = found.end()
        del self._buffer[:start]
        if len(self._buffer) > self._max_event_bytes:
            raise EventTooLarge('an event exceeds the size limit')
        return [_data_of(event) for event in whole if DATA_FIELD in event]


def _data_of(event: bytes) -> str:
    lines = [
        line[len(DATA_FIELD) :].strip()
        for line in event.split(b'\n')
        if line.startswith(DATA_FIELD)
    ]
    return b'\n'.join(lines).decode('utf-8', 'replace')


def format_event(data: str) -> bytes:
    """Return the bytes of one event whose data is a single line."""
    return b'data: ' + data.encode() + b'\n\n'
