"""Divides the memory of a process among what it holds for others.

What callers and backend servers send must not take a process over the limit
of its host. Each share counts the bytes that are held and fails whoever
exceeds it; bytes are held more than once while they are copied, so that the
shares add up to less than half of what is free.
"""

from collections.abc import Callable
import logging
import os
import pathlib

import attrs

LOG = logging.getLogger(__name__)

MEGABYTE = 1024 * 1024
# Of a small host, for a process whose settings state no limit.
DEFAULT_LIMIT_MB = 200
# Code, libraries, connections, messages of peers and the log's buffer.
OWN_BYTES = 80 * MEGABYTE
# What is left of a small limit is divided all the same.
LEAST_FREE_PART = 0.25
ANSWERS_PART = 0.25
REQUESTS_PART = 0.15
# Of the limit: above it, new work is refused while much is held.
PRESSURE_PART = 0.85
# Of the shares: held bytes of which a refusal of new work frees some.
MUCH_HELD_PART = 0.25
STATM_PATH = pathlib.Path('/proc/self/statm')
RESIDENT_FIELD = 1
STATUS_PATH = pathlib.Path('/proc/self/status')
PEAK_FIELD = 'VmHWM:'
KILOBYTE = 1024


class Share:
    """Counts the bytes that one kind of holder keeps.

    :param name: shown in the log and in the names of metrics.
    :ivar exceeded_count: how often the share was exceeded.
    """

    def __init__(self, *, name: str, limit_bytes: int):
        self.name = name
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.exceeded_count = 0
        self._by_holder: dict[object, int] = {}

    @property
    def free_bytes(self) -> int:
        """Return how many bytes may still be held."""
        return max(0, self.limit_bytes - self.held_bytes)

    def add(self, holder: object, count_bytes: int) -> object | None:
        """Count bytes of a holder.

        :returns: the holder of most bytes if the share is exceeded, which is
            to drop them; None otherwise.
        """
        self._by_holder[holder] = self._by_holder.get(holder, 0) + count_bytes
        self.held_bytes += count_bytes
        if self.held_bytes <= self.limit_bytes:
            return None
        longest = max(self._by_holder, key=self._by_holder.__getitem__)
        self.note_exceeded(longest_bytes=self._by_holder[longest])
        return longest

    def note_exceeded(self, *, longest_bytes: int) -> None:
        """Count and log that the share does not suffice."""
        self.exceeded_count += 1
        LOG.warning(
            'the share of memory is used up',
            extra={
                'share': self.name,
                'limit_bytes': self.limit_bytes,
                'held_bytes': self.held_bytes,
                'holder_count': len(self._by_holder),
                'longest_bytes': longest_bytes,
            },
        )

    def drop(self, holder: object) -> None:
        """Stop counting the bytes of a holder, which may have none."""
        self.held_bytes -= self._by_holder.pop(holder, 0)


def read_resident_bytes() -> int | None:
    """Return the resident memory of this process, None if not known."""
    try:
        words = STATM_PATH.read_text(encoding='ascii').split()
        return int(words[RESIDENT_FIELD]) * os.sysconf('SC_PAGE_SIZE')
    except (OSError, ValueError, IndexError):
        return None


def read_peak_bytes() -> int | None:
    """Return the most resident memory used so far, None if not known."""
    try:
        lines = STATUS_PATH.read_text(encoding='ascii').splitlines()
        [line] = [one for one in lines if one.startswith(PEAK_FIELD)]
        return int(line.split()[1]) * KILOBYTE
    except (OSError, ValueError, IndexError):
        return None


@attrs.define(kw_only=True)
class Budget:
    """The memory that a process may use, and its shares.

    ``answers`` are bodies of backend servers' unfinished answers,
    ``requests`` those of callers' requests until they are answered.

    :ivar is_short: new work is to be refused, as set by ``check``.
    """

    limit_bytes: int
    answers: Share
    requests: Share
    is_short: bool = False

    def check(
        self, read: Callable[[], int | None] = read_resident_bytes
    ) -> None:
        """Compare the resident memory with the limit; call periodically."""
        resident_bytes = read()
        if resident_bytes is None:
            return
        held_bytes = self.answers.held_bytes + self.requests.held_bytes
        shares_bytes = self.answers.limit_bytes + self.requests.limit_bytes
        is_short = (
            resident_bytes > PRESSURE_PART * self.limit_bytes
            and held_bytes > MUCH_HELD_PART * shares_bytes
        )
        if is_short != self.is_short:
            LOG.warning(
                (
                    'memory is short; refusing new work'
                    if is_short
                    else 'memory suffices again'
                ),
                extra={
                    'limit_bytes': self.limit_bytes,
                    'resident_bytes': resident_bytes,
                    'answers_bytes': self.answers.held_bytes,
                    'requests_bytes': self.requests.held_bytes,
                },
            )
        self.is_short = is_short


def divide(limit_mb: int = 0) -> Budget:
    """Return the budget of a process.

    :param limit_mb: memory that the process may use; 0 if not stated.
    """
    limit_bytes = (limit_mb or DEFAULT_LIMIT_MB) * MEGABYTE
    free_bytes = max(
        limit_bytes - OWN_BYTES, int(LEAST_FREE_PART * limit_bytes)
    )
    return Budget(
        limit_bytes=limit_bytes,
        answers=Share(
            name='answers', limit_bytes=int(ANSWERS_PART * free_bytes)
        ),
        requests=Share(
            name='requests', limit_bytes=int(REQUESTS_PART * free_bytes)
        ),
    )
