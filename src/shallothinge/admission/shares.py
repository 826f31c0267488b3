"""Weighted fair sharing among the members of one queue level."""

PRUNE_THRESHOLD = 1024


class FairShares:
    """Tracks the service each member has received, divided by its weight.

    The virtual time follows the least service among the active members. A
    member that becomes active starts at the virtual time or at its own
    earlier service, whichever is higher, so that idle time earns no credit
    and costs none.
    """

    def __init__(self):
        self._service = {}
        self._active = set()
        self._virtual_time = 0.0

    def activate(self, key: object) -> None:
        """Add a member to the active set."""
        if key in self._active:
            return
        if self._active:
            self._virtual_time = min(
                self._service[each] for each in self._active
            )
        self._service[key] = max(
            self._service.get(key, 0.0), self._virtual_time
        )
        self._active.add(key)

    def deactivate(self, key: object) -> None:
        """Remove a member from the active set."""
        self._active.discard(key)
        self._virtual_time = max(
            self._virtual_time, self._min_active_service()
        )
        if len(self._service) > PRUNE_THRESHOLD:
            self._prune()

    def in_order(self) -> list:
        """Return the active members, least service first."""
        return sorted(self._active, key=lambda key: (self._service[key], key))

    def charge(self, key: object, *, tokens: int, weight: int) -> None:
        """Add tokens, divided by the weight, to the service of a member."""
        self._service[key] += tokens / max(1, weight)

    def _min_active_service(self) -> float:
        return min((self._service[key] for key in self._active), default=0.0)

    def _prune(self) -> None:
        for key in list(self._service):
            if (
                key not in self._active
                and self._service[key] <= self._virtual_time
            ):
                del self._service[key]
