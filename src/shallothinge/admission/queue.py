"""Decides which requests wait, which start and which are refused.

Long prompts have a lane and a bounded share of their own, so that short
work never waits behind them; while long work waits, its share is kept
free of short work, so that it starts too.
"""

import attrs

from shallothinge import clock as clocks
from shallothinge.admission import lane as lanes
from shallothinge.admission import rate as rates
from shallothinge.errors import ErrorKind

PERCENT = 100
DEFAULT_RETRY_MS = 1000
Work = lanes.Work


@attrs.frozen(kw_only=True)
class QueueLimits:
    """Bounds of a queue.

    ``long_tokens`` is the size from which work counts as long.
    """

    max_requests: int
    long_tokens: int
    long_share_percent: int


@attrs.frozen(kw_only=True)
class Admitted:
    """The request waits or may start."""


@attrs.frozen(kw_only=True)
class Refused:
    """The request was not taken and not run."""

    kind: ErrorKind
    retry_after_ms: int


class AdmissionQueue:
    """Waiting and running work before one set of backend servers."""

    def __init__(self, *, clock: clocks.Clock, limits: QueueLimits):
        self._clock = clock
        self._limits = limits
        self._short = lanes.Lane()
        self._long = lanes.Lane()
        self._running = {}
        self._long_running_tokens = 0
        self._short_running_tokens = 0
        self._rate = rates.ServiceRate()

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return len(self._short) + len(self._long)

    def any_waiting_id(self) -> str:
        """Return the id of some request that waits.

        :raises StopIteration: if none does.
        """
        lane = self._short if len(self._short) else self._long
        return next(iter(lane)).work.request_id

    def describe(self) -> dict:
        """Return the counts of the queue, for dumps."""
        return {
            'waiting_short': len(self._short),
            'waiting_long': len(self._long),
            'waiting_short_tokens': self._short.waiting_tokens,
            'waiting_long_tokens': self._long.waiting_tokens,
            'running': len(self._running),
            'running_short_tokens': self._short_running_tokens,
            'running_long_tokens': self._long_running_tokens,
            'tokens_per_ms': self._rate.tokens_per_ms,
        }

    @property
    def running_tokens(self) -> int:
        """Return the tokens of the work that was started."""
        return self._short_running_tokens + self._long_running_tokens

    def is_long(self, work: Work) -> bool:
        """Return whether work belongs to the long lane."""
        return work.tokens > self._limits.long_tokens

    def offer(self, work: Work) -> Admitted | Refused:
        """Take a request in, or refuse it at once."""
        if self.waiting_count >= self._limits.max_requests:
            return Refused(
                kind=ErrorKind.OVERLOADED, retry_after_ms=self._drain_ms(work)
            )
        late_ms = self._late_ms(work)
        if late_ms > 0:
            return Refused(
                kind=ErrorKind.DEADLINE_UNREACHABLE, retry_after_ms=late_ms
            )
        self._lane(work).add(lanes.Waiting(work=work))
        return Admitted()

    def take(self, *, capacity_tokens: int) -> Work | None:
        """Start the next request that fits.

        :param capacity_tokens: what the entry may have running in all.
        """
        now_ms = self._clock.now_ms()
        self._rate.observe(is_waiting=self.waiting_count > 0, now_ms=now_ms)
        room_tokens = self._long_room(capacity_tokens)
        work = self._long.take(room_tokens=room_tokens, now_ms=now_ms)
        if work is None:
            room_tokens = self._short_room(capacity_tokens)
            work = self._short.take(room_tokens=room_tokens, now_ms=now_ms)
        if work is not None:
            self._running[work.request_id] = work
            self._count_running(work, tokens=work.tokens)
        return work

    def put_back(self, request_id: str, *, delay_ms: int) -> None:
        """Let started work wait again, since no server took it."""
        work = self._running.pop(request_id, None)
        if work is None:
            return
        self._count_running(work, tokens=-work.tokens)
        waiting = lanes.Waiting(
            work=work, not_before_ms=self._clock.now_ms() + delay_ms
        )
        self._lane(work).add(waiting)

    def finished(self, request_id: str) -> None:
        """Forget a request, whether it was waiting or running."""
        self._short.remove(request_id)
        self._long.remove(request_id)
        work = self._running.pop(request_id, None)
        if work is not None:
            self._count_running(work, tokens=-work.tokens)
            self._rate.finished(tokens=work.tokens)

    def _lane(self, work: Work) -> lanes.Lane:
        return self._long if self.is_long(work) else self._short

    def _count_running(self, work: Work, *, tokens: int) -> None:
        if self.is_long(work):
            self._long_running_tokens += tokens
        else:
            self._short_running_tokens += tokens

    def _long_share(self, capacity_tokens: int) -> int:
        percent = self._limits.long_share_percent
        return capacity_tokens * percent // PERCENT

    def _long_room(self, capacity_tokens: int) -> int:
        """Return the room for long work; one at least may always run."""
        largest = max((each.work.tokens for each in self._long), default=0)
        if not self._long_running_tokens:
            return max(largest, self._long_share(capacity_tokens))
        return self._long_share(capacity_tokens) - self._long_running_tokens

    def _short_room(self, capacity_tokens: int) -> int:
        """Return the room for short work.

        Work larger than the share may start when nothing else runs.
        """
        kept_tokens = self._long_running_tokens
        share_tokens = self._long_share(capacity_tokens)
        if len(self._long):
            kept_tokens = max(kept_tokens, share_tokens)
        kept_tokens = min(kept_tokens, share_tokens)
        room = capacity_tokens - kept_tokens - self._short_running_tokens
        if not self._short_running_tokens and capacity_tokens > 0:
            return max(room, self._limits.long_tokens)
        return room

    def _late_ms(self, work: Work) -> int:
        """Return by how much the deadline would be missed, at least.

        Only work that goes first in any order counts, so that a request
        that could be served is not refused.
        """
        rate = self._rate.tokens_per_ms
        if not rate:
            return 0
        ahead_tokens = self._lane(work).tokens_ahead(work)
        wait_ms = int(ahead_tokens / rate)
        return wait_ms - (work.ends_ms - self._clock.now_ms())

    def _drain_ms(self, work: Work) -> int:
        rate = self._rate.tokens_per_ms
        if not rate:
            return DEFAULT_RETRY_MS
        return max(1, int(self._lane(work).waiting_tokens / rate))
