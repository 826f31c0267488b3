"""How much work a backend server may be given while it may be cold.

The limit is small when an engine starts and doubles each time as much work
as the limit has finished at the expected pace. It is cut back when the
engine's incarnation changes, when the engine reports to be cold, and when
its pace falls far behind what it was while warm. A pace that stays for a
long stretch of work becomes the expected one.
"""

import collections
import statistics

from shallothinge import clock

GROWTH = 2
COLD_STREAMS = 4
COLD_REPORT_LAG_MS = 1000
RECENT_SAMPLES = 5
BASELINE_WEIGHT = 0.05
SLOW_FACTOR = 2.5
RELEARN_FACTOR = 16
MIN_OVERDUE_MS = 30


class ColdLimit:
    """The limit in tokens and in streams.

    :param cold_tokens: limit of a cold engine, in tokens; one as large as
        the full limit means that cold engines carry as much as warm ones.
    :param full_tokens: limit of a warm engine, in tokens.
    :param full_streams: limit of a warm engine, in streams.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        cold_tokens: int,
        full_tokens: int,
        full_streams: int,
    ):
        self._clock = clock
        self.cold_tokens = min(cold_tokens, full_tokens)
        self._cold_streams = full_streams
        if cold_tokens < full_tokens:
            self._cold_streams = min(COLD_STREAMS, full_streams)
        self._full_tokens = full_tokens
        self._full_streams = full_streams
        self.incarnation = ''
        self._announced_cold = False
        self._suspected = False
        self.baseline_ms = None
        self._cut_ms = 0
        self.cut()

    def cut(self) -> None:
        """Go back to the limit of a cold engine."""
        self.tokens = self.cold_tokens
        self.streams = self._cold_streams
        self._progress_tokens = 0
        self._slow_tokens = 0
        self._cut_ms = self._clock.now_ms()
        self._recent = collections.deque(maxlen=RECENT_SAMPLES)

    @property
    def is_full(self) -> bool:
        """Return whether the engine counts as warm."""
        tokens_full = self.tokens >= self._full_tokens
        return tokens_full and self.streams >= self._full_streams

    def saw_incarnation(self, incarnation: str) -> bool:
        """Note the engine's incarnation.

        :returns: whether it is another than before.
        """
        if incarnation == self.incarnation:
            return False
        self.incarnation = incarnation
        self._announced_cold = False
        self._suspected = False
        self.cut()
        return True

    def saw_load(self, *, cold: bool, incarnation: str) -> None:
        """Note the engine's lagged report on being cold."""
        if incarnation != self.incarnation:
            return
        if cold and not self._announced_cold:
            self.cut()
        if cold:
            self._announced_cold = True
        elif self._clock.now_ms() - self._cut_ms > COLD_REPORT_LAG_MS:
            self._announced_cold = False

    def finished(self, *, tokens: int) -> None:
        """Note finished work, which lets the limit grow."""
        if self._announced_cold or self.is_full:
            return
        if self._is_slow():
            self._relearn(tokens)
            return
        if self._suspected and len(self._recent) < RECENT_SAMPLES:
            return
        self._progress_tokens += tokens
        if self._progress_tokens >= self.tokens:
            self._progress_tokens = 0
            self._grow()

    def saw_pace(self, *, ms_per_token: float) -> None:
        """Note the time between two tokens of one stream."""
        self._recent.append(ms_per_token)
        if self._is_slow():
            self._suspect()
        elif self.is_full:
            self._suspected = False
            self._learn(ms_per_token)

    def is_overdue(self, *, silent_ms: int) -> bool:
        """Return whether tokens are late enough to be careful.

        :param silent_ms: time since any running stream brought tokens.
        """
        if self.baseline_ms is None:
            return False
        expected_ms = self.baseline_ms * SLOW_FACTOR
        return silent_ms > max(expected_ms, MIN_OVERDUE_MS)

    def _suspect(self) -> None:
        self._suspected = True
        if self.tokens > self.cold_tokens:
            self.cut()

    def _grow(self) -> None:
        self.tokens = min(self._full_tokens, self.tokens * GROWTH)
        self.streams = min(self._full_streams, self.streams * GROWTH)

    def _relearn(self, tokens: int) -> None:
        self._slow_tokens += tokens
        if self._slow_tokens >= self.cold_tokens * RELEARN_FACTOR:
            self.baseline_ms = statistics.median(self._recent)

    def _is_slow(self) -> bool:
        if self.baseline_ms is None or len(self._recent) < RECENT_SAMPLES:
            return False
        recent = statistics.median(self._recent)
        return recent > self.baseline_ms * SLOW_FACTOR

    def _learn(self, ms_per_token: float) -> None:
        if self.baseline_ms is None:
            if len(self._recent) == RECENT_SAMPLES:
                self.baseline_ms = statistics.median(self._recent)
            return
        change = ms_per_token - self.baseline_ms
        self.baseline_ms += BASELINE_WEIGHT * change
