"""Structured logs: one JSON object a line on standard output."""

import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

from shallothinge import clock as clocks

_FIELDS = '%(levelname)s %(name)s %(message)s'

# Lines a second that a process may write, and lines saved up for a burst.
# A request makes about three, and a gateway serves tens of them a second.
LINES_PER_S = 500
BURST_LINES = 2000


class _IdentityFilter(logging.Filter):
    """Adds the fields that identify the process to each record."""

    def __init__(self, *, role, process_id, zone, host):
        super().__init__()
        self._identity = {
            'role': role,
            'process_id': process_id,
            'zone': zone,
            'host': host,
        }

    def filter(self, record):
        """Add the identity; never drops a record."""
        for name, value in self._identity.items():
            setattr(record, name, value)
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond the bound, and those that the reader does not take, are
    dropped; the next line that is written tells how many were.
    """

    def __init__(self, *, descriptor: int, clock: clocks.Clock):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._saved = float(BURST_LINES)
        self._at_ms = clock.now_ms()
        self._dropped = 0
        self._rest = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line, or count it as dropped."""
        if not self._take():
            self._dropped += 1
            return
        if self._dropped:
            record.dropped_lines = self._dropped
        try:
            line = self.format(record).encode() + b'\n'
        except Exception:
            self.handleError(record)
            return
        if self._write(line):
            self._dropped = 0
        else:
            self._dropped += 1

    def _take(self) -> bool:
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._at_ms) * LINES_PER_S / clocks.MS_PER_SECOND
        self._saved = min(float(BURST_LINES), self._saved + earned)
        self._at_ms = now_ms
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _write(self, line: bytes) -> bool:
        """Write a line after the rest of one that was cut."""
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log any more; serving goes on.
            return False
        self._rest = data[written:]
        return True


def configure(
    *, role: str, process_id: str, zone: str, host: str, level: str = 'INFO'
) -> None:
    """Send the process's log records to standard output as JSON lines.

    Fields of one request (``request_id``, ``workspace``) are given with
    ``extra`` at each call.

    :param level: the lowest level that is written, by its standard name.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(
        descriptor=descriptor, clock=clocks.MonotonicClock()
    )
    handler.setFormatter(JsonFormatter(_FIELDS, timestamp='time'))
    handler.addFilter(
        _IdentityFilter(role=role, process_id=process_id, zone=zone, host=host)
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
