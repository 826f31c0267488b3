"""In which order the long prompts that wait at one gateway are placed.

Answers the load of long prompts that come faster than their servers read
them for some seconds. An engine reads the newest share of divided prompts
first, so a prompt that is sent while others are read there delays them all,
and the unluckiest of them waits for every later one. Prompts that wait here
instead are sent in a stated order, each when its servers have read what they
were given before.
"""

import attrs

from shallothinge import clock as clocks


@attrs.frozen(kw_only=True)
class WaitingPrompt:
    """A long prompt that has not been sent yet.

    :ivar due_ms: instant of the own clock after which its answer is late.
    :ivar least_ms: the least time that its first event takes.
    """

    service: str
    due_ms: int
    least_ms: float


class WaitingPrompts:
    """The long prompts that wait at this gateway.

    Those that can still be answered in time come first, the soonest due
    before the others; then those that are late by now. Their callers get an
    answer that is late in any case, and can bear some more delay.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._waiting: dict[int, WaitingPrompt] = {}
        self._next_id = 0

    def join(self, prompt: WaitingPrompt) -> int:
        """Let a prompt wait.

        :returns: an id for ``is_first`` and ``leave``.
        """
        self._next_id += 1
        self._waiting[self._next_id] = prompt
        return self._next_id

    def leave(self, waiting_id: int) -> None:
        """Note that a prompt was sent or given up."""
        self._waiting.pop(waiting_id, None)

    @property
    def count(self) -> int:
        """Return how many prompts wait."""
        return len(self._waiting)

    def is_first(self, waiting_id: int) -> bool:
        """Return whether no prompt of the same service goes before one."""
        own = self._waiting[waiting_id]
        rivals = [
            (self._place_of(prompt), other_id)
            for other_id, prompt in self._waiting.items()
            if prompt.service == own.service
        ]
        return min(rivals)[1] == waiting_id

    def _place_of(self, prompt: WaitingPrompt) -> tuple[bool, int]:
        soonest_ms = self._clock.now_ms() + prompt.least_ms
        return soonest_ms > prompt.due_ms, prompt.due_ms
