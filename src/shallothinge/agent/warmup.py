"""When an agent gives its engine work of its own, to let the limit grow.

The limit of a cold engine grows by finished work only. Work that is larger
than the limit could wait for ever on an idle engine, so the agent then runs
prompts of its own within the limit.
"""

from shallothinge import clock
from shallothinge.agent import coldlimit

WANTED_MS = 10_000
SHARE_DIVISOR = 2
BUSY_DIVISOR = 4
ANSWER_TOKENS = 16


class WarmUp:
    """Decides whether and how large the next warm-up prompt is."""

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._wanted_ms = None

    def refused(self) -> None:
        """Note that work was refused for the limit."""
        self._wanted_ms = self._clock.now_ms()

    def next_tokens(
        self, *, limit: coldlimit.ColdLimit, held_tokens: int
    ) -> int:
        """Return the tokens of the next warm-up prompt, 0 for none.

        It leaves room for requests, and none is run while requests let
        the limit grow by themselves.

        :param held_tokens: tokens of the work under way.
        """
        if self._wanted_ms is None or limit.is_full:
            return 0
        if self._clock.now_ms() - self._wanted_ms > WANTED_MS:
            return 0
        if held_tokens > limit.tokens // BUSY_DIVISOR:
            return 0
        return limit.tokens // SHARE_DIVISOR
