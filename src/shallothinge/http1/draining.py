"""Waits until a process that stops has answered its requests."""

from collections.abc import Callable

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.http1 import server

POLL_INTERVAL_MS = 50
# What callers get at the limit is handed to the kernel meanwhile.
LAST_ANSWERS_MS = 100


class Drain:
    """Answers what has arrived at a site and closes its connections.

    :param limit_ms: when requests that are still in progress get an error,
        or are cut if their answers have begun.
    """

    def __init__(self, *, site: server.Site, reactor, limit_ms: int):
        self._site = site
        self._reactor = reactor
        self._limit_ms = limit_ms
        self._started_ms = 0
        self._done = defer.Deferred()

    def start(self) -> defer.Deferred:
        """Begin; stop listening first, or new requests may prolong it.

        :returns: fires with None when the process may end.
        """
        self._started_ms = self._site.clock.now_ms()
        self._site.is_stopping = True
        self._check()
        return self._done

    def _check(self) -> None:
        self._site.close_idle()
        if self._site.is_drained():
            self._end()
        elif self._site.clock.now_ms() - self._started_ms < self._limit_ms:
            self._call_later(POLL_INTERVAL_MS, self._check)
        else:
            self._site.end()
            self._call_later(LAST_ANSWERS_MS, self._end)

    def _call_later(
        self, duration_ms: int, callback: Callable[[], None]
    ) -> None:
        self._reactor.callLater(duration_ms / clocks.MS_PER_SECOND, callback)

    def _end(self) -> None:
        self._site.is_ended = True
        self._done.callback(None)
