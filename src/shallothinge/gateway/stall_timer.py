"""Tells that the server of one attempt has sent nothing for some time."""

from collections.abc import Callable

from shallothinge import clock as clocks


class StallTimer:
    """The stall timeout of one attempt, which stands still while it pauses.

    :param on_expired: called when the timeout expires; the attempt goes on.
    :ivar is_expired: the timeout has expired and no event came since.
    """

    def __init__(
        self, *, reactor, clock: clocks.Clock, on_expired: Callable[[], None]
    ):
        self._reactor = reactor
        self._clock = clock
        self._on_expired = on_expired
        self._timer = None
        self._duration_ms: float | None = None
        self._due_ms = clock.now_ms()
        self._is_paused = False
        self._is_over = False
        self.is_expired = False

    @property
    def delay_ms(self) -> int:
        """Return how long ago the timeout was due."""
        return self._clock.now_ms() - self._due_ms

    def expect_within(self, duration_ms: float) -> None:
        """Set the timeout; any earlier one is replaced."""
        self._duration_ms = duration_ms
        self.check_again(duration_ms)

    def extend(self, duration_ms: float) -> None:
        """Let an attempt whose timeout has expired go on for longer."""
        self.is_expired = False
        self.check_again(duration_ms)

    def check_again(self, duration_ms: float) -> None:
        """Call back again if the server is silent for longer."""
        self._cancel()
        if not self._is_over and not self._is_paused:
            self._due_ms = self._clock.now_ms() + round(duration_ms)
            self._timer = self._reactor.callLater(
                duration_ms / clocks.MS_PER_SECOND, self._expire
            )

    def note_event(self) -> None:
        """Take back that the timeout has expired, as an event came."""
        if self.is_expired:
            self._cancel()
        self.is_expired = False

    def pause(self) -> None:
        """Stop the timeout until ``resume``."""
        self._is_paused = True
        self._cancel()

    def resume(self) -> None:
        """Start the timeout anew, unless it has expired."""
        self._is_paused = False
        if self._duration_ms is not None and not self.is_expired:
            self.expect_within(self._duration_ms)

    def end(self) -> None:
        """Stop the timeout for good."""
        self._is_over = True
        self._cancel()

    def _expire(self) -> None:
        self._timer = None
        self.is_expired = True
        self._on_expired()

    def _cancel(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
