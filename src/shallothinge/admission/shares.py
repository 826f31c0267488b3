"""Weighted fair shares among the members of one level of a queue."""

PRUNE_COUNT = 1024


class FairShares:
    """Service that each member has had, divided by its weight.

    A member that becomes active starts level with the least served active
    one, so that idle time earns no credit and costs none.
    """

    def __init__(self):
        self._served = {}
        self._active = set()
        self._virtual = 0.0

    def activate(self, key: object) -> None:
        """Let a member take part."""
        if key in self._active:
            return
        if self._active:
            self._virtual = min(self._served[each] for each in self._active)
        self._served[key] = max(self._served.get(key, 0.0), self._virtual)
        self._active.add(key)

    def deactivate(self, key: object) -> None:
        """Let a member no longer take part."""
        self._active.discard(key)
        self._virtual = max(self._virtual, self._floor())
        if len(self._served) > PRUNE_COUNT:
            self._prune()

    def in_order(self) -> list:
        """Return the active members, the least served first."""
        return sorted(self._active, key=lambda key: (self._served[key], key))

    def charge(self, key: object, *, tokens: int, weight: int) -> None:
        """Count tokens of service for a member."""
        self._served[key] += tokens / max(1, weight)

    def _floor(self) -> float:
        return min((self._served[key] for key in self._active), default=0.0)

    def _prune(self) -> None:
        for key in list(self._served):
            if key not in self._active and self._served[key] <= self._virtual:
                del self._served[key]
