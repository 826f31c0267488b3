"""Tells when a process was held up, and whether it ran meanwhile.

A process answers late because it computes, because it gets no processor, or
because it is stopped. Callers can't tell these apart, so each line has the
processor time of the main thread, in which all is served, and the time for
which that thread was ready to run and did not.
"""

import logging
import os
import pathlib
import time

import attrs
from twisted.internet import task

from shallothinge import clock as clocks
from shallothinge import periodic

LOG = logging.getLogger(__name__)

TICK_MS = 100
# The shortest delay that is told; at most two lines a second.
LATE_MS = 400
SCHEDULER_PATH = pathlib.Path('/proc/self/schedstat')
STATUS_PATH = pathlib.Path('/proc/self/stat')
# Counted from the end of the command's name, which may hold anything.
START_FIELD = 19


@attrs.frozen(kw_only=True)
class Spent:
    """What the main thread has spent since it began.

    ``ready_ms`` is the time for which it waited for a processor; None where
    the kernel does not tell.
    """

    ran_ms: int
    ready_ms: int | None

    def fields_since(self, former: 'Spent') -> dict[str, int | None]:
        """Return what was spent since a former reading, for a log line."""
        ready_ms = None
        if self.ready_ms is not None and former.ready_ms is not None:
            ready_ms = self.ready_ms - former.ready_ms
        return {'ran_ms': self.ran_ms - former.ran_ms, 'ready_ms': ready_ms}


def read_spent() -> Spent:
    """Return what the main thread, which must call this, has spent."""
    ready_ms = None
    try:
        words = SCHEDULER_PATH.read_text(encoding='ascii').split()
        ready_ms = int(words[1]) // clocks.NS_PER_MS
    except (OSError, ValueError, IndexError):
        pass
    return Spent(
        ran_ms=time.thread_time_ns() // clocks.NS_PER_MS, ready_ms=ready_ms
    )


def read_age_ms() -> int | None:
    """Return the time since this process was forked, None if not known."""
    try:
        text = STATUS_PATH.read_text(encoding='utf-8', errors='replace')
        ticks = int(text.rpartition(')')[2].split()[START_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    started_ms = ticks * clocks.MS_PER_SECOND // os.sysconf('SC_CLK_TCK')
    return clocks.MonotonicClock().now_ms() - started_ms


def log_start(message: str) -> None:
    """Log a step of the process's start with the time that it took."""
    begun = Spent(ran_ms=0, ready_ms=0)
    LOG.info(
        message,
        extra={
            'after_ms': read_age_ms(),
            **read_spent().fields_since(begun),
        },
    )


class HoldUpWatch:
    """Ticks, and logs each tick that comes late.

    :param read_spent: returns what the main thread has spent.
    """

    def __init__(self, *, reactor, clock: clocks.Clock, read_spent=read_spent):
        self._clock = clock
        self._read_spent = read_spent
        self._due_ms = 0
        self._spent = Spent(ran_ms=0, ready_ms=0)
        self._ticking = task.LoopingCall(periodic.run, self._tick)
        self._ticking.clock = reactor

    def start(self) -> None:
        """Begin to tick, once the reactor runs."""
        self._expect()
        self._ticking.start(TICK_MS / clocks.MS_PER_SECOND, now=False)

    def stop(self) -> None:
        """Tick no more."""
        self._ticking.stop()

    def _expect(self) -> None:
        self._spent = self._read_spent()
        self._due_ms = self._clock.now_ms() + TICK_MS

    def _tick(self) -> None:
        late_ms = self._clock.now_ms() - self._due_ms
        if late_ms >= LATE_MS:
            LOG.warning(
                'the process was held up',
                extra={
                    'late_ms': late_ms,
                    **self._read_spent().fields_since(self._spent),
                },
            )
        self._expect()
