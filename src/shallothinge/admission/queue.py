"""Admission queue: decides which requests wait, start or are refused.

Long prompts have a lane of their own with a bounded share of the capacity,
so that short work never waits behind them. While long work waits, short
work may not use that share, so that long work does not starve.
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
    """Limits of an admission queue.

    ``max_requests`` bounds the waiting requests. Work of more than
    ``long_tokens`` tokens counts as long. ``long_share_percent`` is the
    share of the capacity that long work may use.
    """

    max_requests: int
    long_tokens: int
    long_share_percent: int


@attrs.frozen(kw_only=True)
class Admitted:
    """The request was added to the queue."""


@attrs.frozen(kw_only=True)
class Refused:
    """The request was rejected and did not run."""

    kind: ErrorKind
    retry_after_ms: int


class AdmissionQueue:
    """Waiting and running work for one set of backend servers."""

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
        """Return the id of an arbitrary waiting request.

        :raises StopIteration: if no request waits.
        """
        lane = self._short if len(self._short) else self._long
        return next(iter(lane)).work.request_id

    def describe(self) -> dict:
        """Return request and token counts and the service rate, for dumps."""
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
        """Return the tokens of all running work."""
        return self._short_running_tokens + self._long_running_tokens

    def is_long(self, work: Work) -> bool:
        """Return whether work belongs to the long lane."""
        return work.tokens > self._limits.long_tokens

    def offer(self, work: Work) -> Admitted | Refused:
        """Enqueue a request, or refuse it immediately.

        A request is refused if the queue is full or if its deadline cannot
        be met.
        """
        if self.waiting_count >= self._limits.max_requests:
            return Refused(
                kind=ErrorKind.OVERLOADED, retry_after_ms=self._drain_ms(work)
            )
        lateness_ms = self._expected_lateness_ms(work)
        if lateness_ms > 0:
            return Refused(
                kind=ErrorKind.DEADLINE_UNREACHABLE, retry_after_ms=lateness_ms
            )
        self._lane_for(work).add(lanes.WaitingWork(work=work))
        return Admitted()

    def take(self, *, capacity_tokens: int) -> Work | None:
        """Start the next request that fits.

        Long work is tried first, within its share.

        :param capacity_tokens: the tokens that may run at the same time,
            including work that runs already.
        :returns: the started work, or None if nothing may start.
        """
        now_ms = self._clock.now_ms()
        self._rate.observe(is_waiting=self.waiting_count > 0, now_ms=now_ms)
        free_tokens = self._long_free_tokens(capacity_tokens)
        work = self._long.take(free_tokens=free_tokens, now_ms=now_ms)
        if work is None:
            free_tokens = self._short_free_tokens(capacity_tokens)
            work = self._short.take(free_tokens=free_tokens, now_ms=now_ms)
        if work is not None:
            self._running[work.request_id] = work
            self._add_running_tokens(work, tokens=work.tokens)
        return work

    def requeue(self, request_id: str, *, delay_ms: int) -> None:
        """Requeue running work that no backend server accepted.

        It does not start again before ``delay_ms`` milliseconds have
        passed. An unknown id is ignored.
        """
        work = self._running.pop(request_id, None)
        if work is None:
            return
        self._add_running_tokens(work, tokens=-work.tokens)
        waiting = lanes.WaitingWork(
            work=work, not_before_ms=self._clock.now_ms() + delay_ms
        )
        self._lane_for(work).add(waiting)

    def finished(self, request_id: str) -> None:
        """Remove a request that ended, whether it was waiting or running."""
        self._short.remove(request_id)
        self._long.remove(request_id)
        work = self._running.pop(request_id, None)
        if work is not None:
            self._add_running_tokens(work, tokens=-work.tokens)
            self._rate.record_finished(tokens=work.tokens)

    def _lane_for(self, work: Work) -> lanes.Lane:
        return self._long if self.is_long(work) else self._short

    def _add_running_tokens(self, work: Work, *, tokens: int) -> None:
        if self.is_long(work):
            self._long_running_tokens += tokens
        else:
            self._short_running_tokens += tokens

    def _long_share(self, capacity_tokens: int) -> int:
        percent = self._limits.long_share_percent
        return capacity_tokens * percent // PERCENT

    def _long_free_tokens(self, capacity_tokens: int) -> int:
        """Return how many tokens of long work may start.

        If no long work runs, the largest waiting one fits even if it
        exceeds the share, so that at least one long request can run.
        """
        largest = max((each.work.tokens for each in self._long), default=0)
        if not self._long_running_tokens:
            return max(largest, self._long_share(capacity_tokens))
        return self._long_share(capacity_tokens) - self._long_running_tokens

    def _short_free_tokens(self, capacity_tokens: int) -> int:
        """Return how many tokens of short work may start.

        If no short work runs and there is any capacity, any single short
        request fits, even one larger than the capacity left to short work.
        """
        reserved_tokens = self._long_running_tokens
        share_tokens = self._long_share(capacity_tokens)
        if len(self._long):
            reserved_tokens = max(reserved_tokens, share_tokens)
        reserved_tokens = min(reserved_tokens, share_tokens)
        free_tokens = (
            capacity_tokens - reserved_tokens - self._short_running_tokens
        )
        if not self._short_running_tokens and capacity_tokens > 0:
            return max(free_tokens, self._limits.long_tokens)
        return free_tokens

    def _expected_lateness_ms(self, work: Work) -> int:
        """Return a lower bound on how late the request would start.

        Only work that is certain to start before it counts, so that a
        request that could be served in time is not refused. The result is
        zero or negative if the deadline can be met or the service rate is
        not known yet.
        """
        rate = self._rate.tokens_per_ms
        if not rate:
            return 0
        ahead_tokens = self._lane_for(work).tokens_ahead(work)
        wait_ms = int(ahead_tokens / rate)
        return wait_ms - (work.deadline_ms - self._clock.now_ms())

    def _drain_ms(self, work: Work) -> int:
        rate = self._rate.tokens_per_ms
        if not rate:
            return DEFAULT_RETRY_MS
        return max(1, int(self._lane_for(work).waiting_tokens / rate))
