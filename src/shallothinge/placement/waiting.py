"""Orders the long prompts that wait for placement at one gateway.

For some seconds, long prompts may arrive faster than the servers read them.
An engine reads the newest share of divided prompts first, so a prompt that is
sent while others are being read delays all of them, and in the worst case a
prompt waits for every later one. Long prompts therefore wait at the gateway
and are sent in a defined order, each when its servers have finished their
earlier reads.
"""

import attrs

from shallothinge import clock as clocks


@attrs.frozen(kw_only=True)
class WaitingPrompt:
    """A long prompt that has not been sent yet.

    :ivar due_ms: time on this process's clock after which the answer is late.
    :ivar min_first_event_ms: minimum time from sending the prompt to its
        first event.
    """

    service: str
    due_ms: int
    min_first_event_ms: float


class WaitingPrompts:
    """The long prompts that wait at this gateway.

    Prompts that can still be answered in time come first, earliest deadline
    first. Prompts that can't follow, in the same order: their answers are
    late in any case, so further delay costs their callers less.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._waiting: dict[int, WaitingPrompt] = {}
        self._next_id = 0

    def join(self, prompt: WaitingPrompt) -> int:
        """Add a prompt to the queue.

        :returns: an id to pass to ``is_first`` and ``leave``.
        """
        self._next_id += 1
        self._waiting[self._next_id] = prompt
        return self._next_id

    def leave(self, waiting_id: int) -> None:
        """Remove a prompt that was sent or abandoned; ignore unknown ids."""
        self._waiting.pop(waiting_id, None)

    @property
    def count(self) -> int:
        """Return the number of waiting prompts."""
        return len(self._waiting)

    def is_first(self, waiting_id: int) -> bool:
        """Return whether a prompt is the first of its service in the queue.

        :raises KeyError: if the prompt has left the queue.
        """
        return self.position(waiting_id) == 0

    def position(self, waiting_id: int) -> int:
        """Return how many prompts of its service come before a prompt.

        :raises KeyError: if the prompt has left the queue.
        """
        own = self._waiting[waiting_id]
        own_key = (self._sort_key(own), waiting_id)
        return sum(
            (self._sort_key(prompt), other_id) < own_key
            for other_id, prompt in self._waiting.items()
            if prompt.service == own.service
        )

    def _sort_key(self, prompt: WaitingPrompt) -> tuple[bool, int]:
        earliest_ms = self._clock.now_ms() + prompt.min_first_event_ms
        return earliest_ms > prompt.due_ms, prompt.due_ms
