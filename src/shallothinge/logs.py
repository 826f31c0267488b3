"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(levelname)s %(name)s %(message)s'


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


def configure(
    *, role: str, process_id: str, zone: str, host: str, level: str = 'INFO'
) -> None:
    """Send the process's log records to standard error as JSON lines.

    Fields of one request (``request_id``, ``workspace``) are given with
    ``extra`` at each call.

    :param level: the lowest level that is written, by its standard name.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(_FIELDS, timestamp='time'))
    handler.addFilter(
        _IdentityFilter(role=role, process_id=process_id, zone=zone, host=host)
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
