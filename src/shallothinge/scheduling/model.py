"""Requests that wait for capacity."""

import attrs


@attrs.frozen(kw_only=True)
class WaitingRequest:
    """A request that has found no capacity.

    :ivar urgency: its priority, 0 is first.
    :ivar due_ms: time on this process's clock after which the first event or
        the answer is late.
    :ivar abandon_ms: time at which the caller abandons it.
    :ivar min_service_ms: minimum time from sending to the first event or
        answer.
    """

    service: str
    urgency: int
    workspace: str
    due_ms: int
    abandon_ms: int
    min_service_ms: float

    @property
    def start_by_ms(self) -> float:
        """Return the last time of sending at which it can be in time."""
        return self.due_ms - self.min_service_ms
