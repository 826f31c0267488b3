"""Requests that were read in part and get no answer."""

import enum
import logging

import attrs

LOG = logging.getLogger(__name__)


class Cause(enum.Enum):
    """Why a connection ended."""

    STOP = 'stop'
    CONNECTION_CLOSE = 'connection_close'
    ANSWER_CUT = 'answer_cut'
    CALLER_LEFT = 'caller_left'


@attrs.define(kw_only=True)
class PartialRequest:
    """The request of a connection that is not complete yet.

    :ivar read_bytes: how much of it was read. After the connection was
        closed, this includes what was read and dropped.
    """

    read_bytes: int = 0
    _cause: Cause | None = None
    _is_refused: bool = False

    def add(self, count_bytes: int) -> None:
        """Count bytes, unless they belong to a refused request."""
        if not self._is_refused:
            self.read_bytes += count_bytes

    def refuse(self) -> None:
        """Note that the request was answered; the rest of it is dropped."""
        self._is_refused = True
        self.read_bytes = 0

    def close(self, cause: Cause) -> None:
        """Note why the connection ends; the first cause counts."""
        if self._cause is None:
            self._cause = cause

    def log_lost(self) -> None:
        """Log the end of the connection if a request has no answer."""
        if self.read_bytes:
            LOG.info(
                'connection ended before a request was answered',
                extra={
                    'read_bytes': self.read_bytes,
                    'cause': self._cause.value,
                },
            )
