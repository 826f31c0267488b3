"""Ends a gateway as planned, after the answers to its callers."""

import logging

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.gateway import ingress as ingresses
from shallothinge.gateway import shutdown as shutdowns
from shallothinge.http1 import server as http_server
from shallothinge.settings import model

LOG = logging.getLogger(__name__)

POLL_INTERVAL_MS = 250
# What callers get at the stop limit is handed to the kernel meanwhile.
LAST_ANSWERS_MS = 100


class Drain:
    """Fails the readiness probe, then waits for the last request.

    Requests that are left at the stop limit get an error, and only answers
    that have begun are cut.

    :param callers: the settings with the wait and the limit of the stop.
    """

    def __init__(
        self,
        *,
        reactor,
        clock: clocks.Clock,
        callers: model.CallersSettings,
        ingress: ingresses.Ingress,
        site: http_server.Site,
        shutdown: shutdowns.Shutdown,
    ):
        self._reactor = reactor
        self._clock = clock
        self._callers = callers
        self._ingress = ingress
        self._site = site
        self._shutdown = shutdown
        self._started_ms = 0
        self._drained: defer.Deferred = defer.Deferred()

    def start(self) -> defer.Deferred:
        """Start; the result fires when the process may end."""
        LOG.info('gateway is stopping')
        self._started_ms = self._clock.now_ms()
        self._shutdown.begin(duration_ms=self._callers.stop_limit_ms)
        self._ingress.is_draining = True
        self._site.is_stopping = True
        self._poll()
        return self._drained

    def _poll(self) -> None:
        passed_ms = self._clock.now_ms() - self._started_ms
        delay_ms = POLL_INTERVAL_MS
        if passed_ms >= self._callers.stop_wait_ms:
            self._ingress.is_stopping = True
            self._site.close_idle()
            if self._site.is_drained() or self._site.is_ended:
                LOG.info('gateway stopped', extra={'after_ms': passed_ms})
                self._site.is_ended = True
                self._drained.callback(None)
                return
            if passed_ms >= self._callers.stop_limit_ms:
                self._site.end()
                delay_ms = LAST_ANSWERS_MS
        self._reactor.callLater(delay_ms / clocks.MS_PER_SECOND, self._poll)
