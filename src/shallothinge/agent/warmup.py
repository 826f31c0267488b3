"""When an agent gives its engine work of its own, to let the limit grow.

The limit of a cold engine grows by finished work only. Entries send nothing
that is larger than the limit, so that an idle engine would stay cold. The
agent then runs prompts of its own within the limit.
"""

from shallothinge import clock
from shallothinge.agent import coldlimit

PAUSE_MS = 500
SHARE_DIVISOR = 2
BUSY_DIVISOR = 4
ANSWER_TOKENS = 16


class WarmUp:
    """Decides whether and how large the next warm-up prompt is."""

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._due_ms = 0

    def failed(self) -> None:
        """Note that the engine did not finish a prompt; wait a while."""
        self._due_ms = self._clock.now_ms() + PAUSE_MS

    def next_tokens(
        self, *, limit: coldlimit.ColdLimit, held_tokens: int
    ) -> int:
        """Return the tokens of the next warm-up prompt, 0 for none.

        It leaves room for requests, and none is run while requests let
        the limit grow by themselves.

        :param held_tokens: tokens of the work under way.
        """
        if limit.is_full or self._clock.now_ms() < self._due_ms:
            return 0
        if held_tokens > limit.tokens // BUSY_DIVISOR:
            return 0
        return limit.tokens // SHARE_DIVISOR
