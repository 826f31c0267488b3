"""Waits until a process that stops has answered its requests."""

import logging

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.http1 import server

LOG = logging.getLogger(__name__)

POLL_INTERVAL_MS = 50


class Drain:
    """Answers what has arrived at a site and closes its connections.

    :param limit_ms: when to give up requests that are still in progress.
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
        passed_ms = self._site.clock.now_ms() - self._started_ms
        is_drained = self._site.is_drained()
        if not is_drained and passed_ms < self._limit_ms:
            self._reactor.callLater(
                POLL_INTERVAL_MS / clocks.MS_PER_SECOND, self._check
            )
            return
        if not is_drained:
            LOG.warning(
                'stopping although callers may lack an answer',
                extra={'connection_count': len(self._site.connections)},
            )
        self._site.is_ended = True
        self._done.callback(None)
