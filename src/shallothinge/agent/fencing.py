"""Whether orders may be given to an engine under a fencing number.

Control grants a new incarnation of an agent its lease, and with it a larger
fencing number, only after the lease of the one before has run out. An order
that the earlier one sent just before may still be under way, and an engine
that ignores fencing numbers would carry it out. So the newer incarnation
waits until any such order has ended before it gives its first.
"""

from shallothinge import clock

ORDER_TIMEOUT_MS = 5000


class FenceGuard:
    """Orders of one agent under its newest fencing number.

    :param engine_checks: whether the engine refuses old numbers itself.
    """

    def __init__(self, *, clock: clock.Clock, engine_checks: bool):
        self._clock = clock
        self._wait_ms = 0 if engine_checks else ORDER_TIMEOUT_MS
        self._fence = 0
        self._settled_ms = 0

    def saw_fence(self, fence: int) -> None:
        """Note the number of a lease that is valid now."""
        if fence > self._fence:
            self._fence = fence
            self._settled_ms = self._clock.now_ms() + self._wait_ms

    def may_order(self, *, fence: int) -> bool:
        """Return whether an order under this number may be sent now.

        :param fence: the number under which the order was decided.
        """
        if fence <= 0 or fence < self._fence:
            return False
        return fence == self._fence and (
            self._clock.now_ms() >= self._settled_ms
        )
