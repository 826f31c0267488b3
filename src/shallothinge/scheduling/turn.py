"""Decides whether a waiting request may be sent now."""

from shallothinge import clock as clocks

# Reports reach the other gateways within 2 to 5 ms. A gateway that has not
# used its turn after this time is likely to have failed or been partitioned.
MAX_YIELD_MS = 60


def may_send(
    *, rank: int, free_slots: int, free_since_ms: int | None, now_ms: int
) -> bool:
    """Return whether a waiting request may be sent now.

    :param rank: number of requests, of all gateways, ahead of it.
    :param free_slots: number of free slots of its service.
    :param free_since_ms: time since which some slot of the service has been
        free without interruption, None if none is.
    """
    if free_slots <= 0:
        return False
    if rank < free_slots:
        return True
    return free_since_ms is not None and now_ms - free_since_ms >= MAX_YIELD_MS


class FreeSlots:
    """The free slots of each service, and since when there are any."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._counts: dict[str, int] = {}
        self._since_ms: dict[str, int] = {}

    def record(self, service: str, count: int) -> None:
        """Record the present number of free slots of a service."""
        if count > 0:
            self._counts[service] = count
            self._since_ms.setdefault(service, self._clock.now_ms())
        else:
            self._counts.pop(service, None)
            self._since_ms.pop(service, None)

    def may_send(self, service: str, *, rank: int) -> bool:
        """Return whether a request with a rank may be sent now."""
        return may_send(
            rank=rank,
            free_slots=self._counts.get(service, 0),
            free_since_ms=self._since_ms.get(service),
            now_ms=self._clock.now_ms(),
        )

    def yield_ends_in_ms(self, service: str) -> int | None:
        """Return the time until any request may be sent, 0 for now.

        :returns: milliseconds, None while no slot is free.
        """
        since_ms = self._since_ms.get(service)
        if since_ms is None:
            return None
        return max(0, since_ms + MAX_YIELD_MS - self._clock.now_ms())
