"""Clocks that count milliseconds.

Durations and instants in this project are integers in milliseconds. An
instant is only meaningful to the process whose clock gave it; processes
exchange remaining durations, never instants.
"""

import time
from typing import Protocol

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of the current instant."""

    def now_ms(self) -> int:
        """Return the instant in milliseconds since an arbitrary origin."""


class MonotonicClock:
    """The host's monotonic clock.

    It goes on while the host is suspended: a lease that ran out meanwhile
    must not look valid afterwards.
    """

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary origin of this host."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class WallClock:
    """The host's calendar clock, for records that people read."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch, in UTC."""
        return time.time_ns() // NS_PER_MS


class ManualClock:
    """A clock that moves only when told to, for tests and replays."""

    def __init__(self, *, start_ms: int = 0):
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the instant last set."""
        return self._now_ms

    def advance(self, *, duration_ms: int) -> None:
        """Move the clock forward.

        :param duration_ms: how far to move, in milliseconds, not negative.
        :raises ValueError: if the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError('a clock does not run backwards')
        self._now_ms += duration_ms
