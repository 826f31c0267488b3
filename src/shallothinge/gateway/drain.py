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
# Time to send the last answers before the process ends at its stop limit: two
# polls, one of which may come late.
ANSWER_MARGIN_MS = 2 * POLL_INTERVAL_MS


class Drain:
    """Fails the readiness probe, then waits for the last request.

    Requests that are left shortly before the stop limit get an error, and
    only answers that have begun are cut at the limit.

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
        if passed_ms >= self._callers.stop_limit_ms - ANSWER_MARGIN_MS:
            self._shutdown.end_requests()
        if passed_ms >= self._callers.stop_wait_ms:
            self._ingress.is_stopping = True
            self._site.close_idle()
            if (
                self._site.is_drained()
                or passed_ms >= self._callers.stop_limit_ms
            ):
                LOG.info('gateway stopped', extra={'after_ms': passed_ms})
                self._site.is_ended = True
                self._drained.callback(None)
                return
        self._reactor.callLater(
            POLL_INTERVAL_MS / clocks.MS_PER_SECOND, self._poll
        )
