"""The newest complete answer to requests with each part of a prompt."""

from collections.abc import Iterable

# Limits on the parts with one complete answer, and on those with several.
MAX_PARTS = 16_384


class CompleteAnswers:
    """When the newest complete answer with each part came, in ms.

    Parts of several answers are kept apart from those of one, as prompts of
    many parts that come once would displace them.
    """

    def __init__(self):
        self._single_ms: dict[str, int] = {}
        self._repeated_ms: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many parts have one."""
        return len(self._single_ms) + len(self._repeated_ms)

    def __contains__(self, part_id: str) -> bool:
        """Return whether a complete answer with a part is known."""
        return part_id in self._repeated_ms or part_id in self._single_ms

    def find_ms(self, part_id: str) -> int | None:
        """Return when the newest one came, None if none is known."""
        at_ms = self._repeated_ms.get(part_id)
        return self._single_ms.get(part_id) if at_ms is None else at_ms

    def add(self, part_ids: Iterable[str], at_ms: int) -> None:
        """Record a complete answer to a prompt with some parts."""
        for part_id in part_ids:
            known_ms = self._repeated_ms.pop(part_id, None)
            if known_ms is None:
                known_ms = self._single_ms.pop(part_id, None)
            if known_ms is None:
                self._single_ms[part_id] = at_ms
            else:
                self._repeated_ms[part_id] = max(known_ms, at_ms)
        for known in (self._single_ms, self._repeated_ms):
            while len(known) > MAX_PARTS:
                del known[next(iter(known))]

    def remove_older(self, oldest_ms: int) -> None:
        """Drop those that came before a time."""
        for known in (self._single_ms, self._repeated_ms):
            while known:
                part_id = next(iter(known))
                if known[part_id] >= oldest_ms:
                    break
                del known[part_id]
