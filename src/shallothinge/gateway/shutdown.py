"""The planned stop of a gateway, as its requests see it."""

from typing import Protocol

from shallothinge import clock as clocks


class Request(Protocol):
    """A request that the gateway has accepted and not yet answered."""

    def on_stop_limit(self) -> None:
        """Answer with an error, unless the answer has begun."""


class Shutdown:
    """Tells requests how much time they have, and ends those that are left."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._limit_ms: int | None = None
        self._requests: dict[Request, None] = {}

    def begin(self, *, duration_ms: int) -> None:
        """Note that the process has been told to stop.

        :param duration_ms: time until the connections that are left are cut.
        """
        self._limit_ms = self._clock.now_ms() + duration_ms

    def allows(self, duration_ms: float) -> bool:
        """Return whether an answer that takes so long ends before the stop.

        Always true for a process that has not been told to stop.
        """
        if self._limit_ms is None:
            return True
        return self._clock.now_ms() + duration_ms < self._limit_ms

    def add(self, request: Request) -> None:
        """Add a request that is to end before the process does."""
        self._requests[request] = None

    def remove(self, request: Request) -> None:
        """Remove a request that has ended."""
        self._requests.pop(request, None)

    def end_requests(self) -> None:
        """Let the requests that are left answer their callers."""
        for request in list(self._requests):
            request.on_stop_limit()
