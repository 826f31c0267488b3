"""The attempts of one request that are under way at backend servers."""

from shallothinge.gateway import attempt as attempts

# A silent server and the one that is to take over from it.
MAX_RUNNING = 2


class RunningAttempts:
    """Up to two attempts of a request; the first that goes on is kept.

    As the source of the caller's answer it pauses all of them.

    :ivar last: the attempt that was kept, or else the newest; None before
        the first.
    """

    def __init__(self):
        self._running: list[attempts.Attempt] = []
        self.last: attempts.Attempt | None = None
        self._is_paused = False

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len(self._running)

    @property
    def is_full(self) -> bool:
        """Return whether no more attempts may be started."""
        return len(self._running) >= MAX_RUNNING

    @property
    def are_stalled(self) -> bool:
        """Return whether there are attempts, none of which makes progress."""
        return bool(self._running) and all(
            one.stall.is_expired for one in self._running
        )

    def expect_within(self, duration_ms: float) -> None:
        """Set the stall timeout of the attempts that make progress."""
        for one in self._running:
            if not one.stall.is_expired:
                one.stall.expect_within(duration_ms)

    def add(self, attempt: attempts.Attempt) -> None:
        """Add an attempt that starts."""
        self._running.append(attempt)
        self.last = attempt
        if self._is_paused:
            attempt.pause()

    def remove(self, attempt: attempts.Attempt) -> None:
        """Remove an attempt that has ended."""
        self._running.remove(attempt)

    def cancel_all(self, *, kept: attempts.Attempt | None = None) -> int:
        """Cancel all attempts but one.

        :param kept: the attempt that goes on, None to cancel all.
        :returns: how many were cancelled.
        """
        self.last = kept or self.last
        cancelled = [one for one in self._running if one is not kept]
        for one in cancelled:
            one.cancel()
            self._running.remove(one)
        return len(cancelled)

    def pause(self) -> None:
        """Stop reading from the servers."""
        self._is_paused = True
        for one in self._running:
            one.pause()

    def resume(self) -> None:
        """Continue reading from the servers."""
        self._is_paused = False
        for one in self._running:
            one.resume()
