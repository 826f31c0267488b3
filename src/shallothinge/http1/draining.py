"""Waits until a process that stops has answered its requests."""

from collections.abc import Callable

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.http1 import closing
from shallothinge.http1 import server

POLL_INTERVAL_MS = 50
# A caller that has just connected sends its request within this time. Closed
# before, it would lose a request that no one has read.
FRESH_MS = 250
# The port is closed, and what it accepted last is registered, within this.
CLOSE_MS = 10
# What callers get at the limit is handed to the kernel meanwhile.
LAST_ANSWERS_MS = 100


class Drain:
    """Answers what has arrived at a site and closes its connections.

    :param limit_ms: when requests that are still in progress get an error,
        or are cut if their answers have begun.
    :param port: the port that is closed at the end, None if it is closed
        already. Until then, callers that still connect are answered.
    """

    def __init__(
        self, *, site: server.Site, reactor, limit_ms: int, port=None
    ):
        self._site = site
        self._port = port
        self._fresh_ms = FRESH_MS if port is not None else 0
        self._reactor = reactor
        self._limit_ms = limit_ms
        self._started_ms = 0
        self._done = defer.Deferred()

    def start(self) -> defer.Deferred:
        """Begin.

        :returns: fires with None when the process may end.
        """
        self._started_ms = self._site.clock.now_ms()
        self._site.is_stopping = True
        self._check()
        return self._done

    def _check(self) -> None:
        passed_ms = self._site.clock.now_ms() - self._started_ms
        is_late = passed_ms >= self._limit_ms
        fresh_ms = 0 if is_late else self._fresh_ms
        self._site.close_idle(fresh_ms=fresh_ms)
        is_drained = self._site.is_drained()
        if is_late and not is_drained:
            self._stop_listening()
            self._site.end()
            self._call_later(LAST_ANSWERS_MS, self._end)
        elif is_drained and self._port is not None:
            self._stop_listening()
            self._call_later(CLOSE_MS, self._check)
        elif self._site.is_drained(fresh_ms=fresh_ms):
            self._end()
        else:
            self._call_later(POLL_INTERVAL_MS, self._check)

    def _stop_listening(self) -> None:
        port, self._port = self._port, None
        if port is not None:
            closing.close_port(port, reactor=self._reactor)

    def _call_later(
        self, duration_ms: int, callback: Callable[[], None]
    ) -> None:
        self._reactor.callLater(duration_ms / clocks.MS_PER_SECOND, callback)

    def _end(self) -> None:
        self._site.is_ended = True
        self._done.callback(None)
