"""When the events of one answer reached its caller."""

import attrs


@attrs.define(kw_only=True)
class EventTimes:
    """First event and pauses of a stream, as instants of the own clock.

    :ivar first_ms: when the first event came, None before it.
    """

    first_ms: int | None = None
    longest_pause_ms: int = 0
    _last_ms: int = attrs.field(init=False, default=0)

    def note(self, now_ms: int) -> None:
        """Note an event."""
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            pause_ms = now_ms - self._last_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_ms = now_ms
