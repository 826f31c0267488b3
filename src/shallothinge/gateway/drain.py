"""Ends a gateway as planned, after the answers to its callers."""

import logging

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.gateway import ingress as ingresses
from shallothinge.gateway import shutdown as shutdowns
from shallothinge.http1 import draining
from shallothinge.http1 import server as http_server
from shallothinge.settings import model

LOG = logging.getLogger(__name__)


class GatewayDrain:
    """Fails the readiness probe, waits for the balancer, then drains.

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
        self._port = None
        self._drained: defer.Deferred = defer.Deferred()

    def start(self, port=None) -> defer.Deferred:
        """Start; the result fires when the process may end.

        :param port: the callers' port, which is closed at the end.
        """
        self._port = port
        LOG.info('gateway is stopping')
        self._started_ms = self._clock.now_ms()
        self._shutdown.begin(duration_ms=self._callers.stop_limit_ms)
        self._ingress.is_draining = True
        self._site.is_stopping = True
        self._reactor.callLater(
            self._callers.stop_wait_ms / clocks.MS_PER_SECOND,
            self._stop_accepting,
        )
        return self._drained

    def _stop_accepting(self) -> None:
        self._ingress.is_stopping = True
        passed_ms = self._clock.now_ms() - self._started_ms
        draining.Drain(
            site=self._site,
            reactor=self._reactor,
            limit_ms=self._callers.stop_limit_ms - passed_ms,
            port=self._port,
        ).start().addCallback(self._end)

    def _end(self, _: None) -> None:
        LOG.info(
            'gateway stopped',
            extra={'after_ms': self._clock.now_ms() - self._started_ms},
        )
        self._drained.callback(None)
