"""Times at which the events of one answer are passed to its caller."""

import attrs


@attrs.define(kw_only=True)
class EventTimes:
    """The first event and the longest pause of a stream.

    :ivar first_ms: instant of the first event by this process's clock, None
        before it; ``last_ms`` that of the last.
    :ivar longest_pause_ms: longest time between two events.
    """

    first_ms: int | None = None
    longest_pause_ms: int = 0
    last_ms: int | None = None

    def record(self, now_ms: int) -> None:
        """Record an event."""
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            pause_ms = now_ms - self.last_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_ms = now_ms
