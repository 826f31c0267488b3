"""Runs steps that repeat, so that one which raised is run again.

A step that schedules its next run at its end, or that a ``LoopingCall`` runs,
would otherwise never run again after an exception.
"""

from collections.abc import Callable
import logging

LOG = logging.getLogger(__name__)


class Failures:
    """Counts the failed runs of all periodic steps of a process."""

    def __init__(self):
        self.count = 0


FAILURES = Failures()


def run(step: Callable[[], object], /) -> None:
    """Run a step; log and count an exception.

    The log has the trace of the 1st, 2nd, 4th, 8th, ... failure, as the cause
    may last.
    """
    try:
        step()
    except Exception:
        FAILURES.count += 1
        if FAILURES.count & (FAILURES.count - 1):
            return
        LOG.exception(
            'a periodic step raised an exception',
            extra={
                'step': getattr(step, '__qualname__', repr(step)),
                'failure_count': FAILURES.count,
            },
        )
