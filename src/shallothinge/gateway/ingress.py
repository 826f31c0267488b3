"""Admits requests and resolves their routes before they are forwarded."""

import functools
import logging

from twisted.internet import interfaces

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge import guard as guards
from shallothinge.errors import ErrorKind
from shallothinge.gateway import current_routes
from shallothinge.gateway import dependencies
from shallothinge.gateway import exchange_guard
from shallothinge.gateway import forwarding
from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1 import messages
from shallothinge.http1.exchange import EarlyEnd
from shallothinge.routes import lookup
from shallothinge.routes import model as routes

LOG = logging.getLogger(__name__)

MAX_URGENCY = 9
# Assumed for a caller that sends no deadline.
DEFAULT_DEADLINE_MS = 2000
# The remaining time of a leader failover, if there is one, after a request has
# waited for the lease. Most callers retry only once.
NO_LEASE_RETRY_AFTER_MS = 800


class Ingress:
    """Accepts requests and forwards those that match a route.

    :ivar is_draining: the load balancer is to open no more connections.
    :ivar is_stopping: new requests are refused.
    """

    def __init__(self, *, parts: dependencies.Dependencies):
        self._parts = parts
        self._routes = current_routes.CurrentRoutes(
            dialect=parts.dialect, holder=parts.holder
        )
        self._no_lease_since_ms: int | None = None
        self.is_draining = False
        self.is_stopping = False

    @property
    def has_routes(self) -> bool:
        """Return whether the newest route table is known and readable."""
        return self._routes.index() is not None

    @property
    def limits(self) -> messages.Limits:
        """Return the limits that callers have to keep."""
        return self._routes.limits

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Forward or refuse a request.

        Without a lease the routes may be outdated, so the request waits for
        one. It usually returns shortly, as after a pause of the process or
        the loss of a leader.
        """
        self._guard(exchange, None).run(self._read, exchange)

    def _read(self, exchange: exchanges.Exchange) -> None:
        try:
            request = self._parts.dialect.read_request(
                head=exchange.head, body=exchange.body
            )
        except errors.ServingError as error:
            self._refuse(exchange, None, error)
            return
        wait_ms = policy.recovery_wait_ms(
            patience_ms=request.deadline_ms or DEFAULT_DEADLINE_MS,
            missing_ms=self.track_missing_lease(),
        )
        self._guard(exchange, request).run(
            self._wait_for_lease,
            exchange,
            request,
            until_ms=exchange.received_ms + wait_ms,
        )

    def _guard(
        self,
        exchange: exchanges.Exchange,
        request: model.CallerRequest | None,
    ) -> guards.RequestGuard:
        return exchange_guard.guard(
            exchange,
            fail=functools.partial(self._fail_unsent, exchange, request),
        )

    def track_missing_lease(self) -> int:
        """Return for how many milliseconds the lease has been missing.

        The time starts with the first call that sees no lease, so call this
        periodically, also without requests. Time for which the process was
        frozen does not count, as it could not ask for a lease.
        """
        now_ms = self._parts.clock.now_ms()
        if self._parts.holder.is_valid():
            self._no_lease_since_ms = None
            return 0
        if self._no_lease_since_ms is None:
            self._no_lease_since_ms = now_ms
        return now_ms - self._no_lease_since_ms

    def _wait_for_lease(
        self,
        exchange: exchanges.Exchange,
        request: model.CallerRequest,
        *,
        until_ms: int,
    ) -> None:
        exchange.on_disconnect = None
        is_over = self._parts.clock.now_ms() >= until_ms
        if is_over or self.is_stopping or self._parts.holder.is_valid():
            self._forward_or_refuse(exchange, request)
            return
        waiting = self._parts.reactor.callLater(
            policy.POLL_INTERVAL_MS / clocks.MS_PER_SECOND,
            self._guard(exchange, request).run,
            self._wait_for_lease,
            exchange,
            request,
            until_ms=until_ms,
        )
        exchange.on_disconnect = functools.partial(
            self._on_gone, exchange, request, waiting
        )

    def _on_gone(
        self,
        exchange: exchanges.Exchange,
        request: model.CallerRequest,
        waiting: interfaces.IDelayedCall,
    ) -> None:
        """Stop waiting for the lease, as the connection ends."""
        waiting.cancel()
        if exchange.early_end is EarlyEnd.STOP_LIMIT:
            self._refuse(exchange, request, policy.unsent_stop_error())
            return
        LOG.info(
            'request ended',
            extra={
                'request_id': request.request_id,
                'outcome': exchange.early_end.value,
                'status': 0,
                'sent': 0,
                'target': exchange.head.target,
                'total_ms': self._parts.clock.now_ms() - exchange.received_ms,
            },
        )

    def _forward_or_refuse(
        self, exchange: exchanges.Exchange, request: model.CallerRequest
    ) -> None:
        try:
            accepted = self._accept(request)
        except errors.ServingError as error:
            self._refuse(exchange, request, error)
            return
        forwarding.Forwarding(
            parts=self._parts, exchange=exchange, accepted=accepted
        ).start()

    def _fail_unsent(
        self,
        exchange: exchanges.Exchange,
        request: model.CallerRequest | None,
    ) -> None:
        """Refuse a request that was not sent to a server."""
        if not exchange.is_ended:
            self._refuse(
                exchange,
                request,
                errors.ServingError(kind=ErrorKind.INTERNAL_NOT_RUN),
            )

    def _accept(self, request: model.CallerRequest) -> model.AcceptedRequest:
        """Return the request with its route, service and workspace.

        :raises ServingError: if the request is refused.
        """
        if self.is_stopping:
            raise policy.unsent_stop_error()
        if self._parts.process.memory.is_short:
            raise errors.ServingError(
                kind=ErrorKind.OVERLOADED, detail='memory is short'
            )
        if not self._parts.holder.is_valid():
            raise errors.ServingError(
                kind=ErrorKind.NO_LEASE, retry_after_ms=NO_LEASE_RETRY_AFTER_MS
            )
        index = self._routes.index()
        if index is None:
            raise errors.ServingError(
                kind=ErrorKind.NO_LEASE,
                detail='the newest routes are not known or not readable',
            )
        route = index.find_route(host=request.host, path=request.target)
        if route is None:
            raise errors.ServingError(
                kind=ErrorKind.NOT_FOUND, detail='no such route'
            )
        workspace = self._find_workspace(index, route, request)
        name = lookup.choose_service(route=route, rng=self._parts.rng)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        caller = '' if workspace is None else workspace.name
        return model.AcceptedRequest(
            request=request,
            route=route,
            service=index.find_service(name),
            workspace=caller,
            fingerprint=self._parts.fingerprinter.compute(
                caller=caller,
                method=request.method,
                host=request.host,
                target=request.target,
                body=request.body,
            ),
            priority=priority,
            urgency=(
                min(MAX_URGENCY, priority)
                if self._is_prompt(request)
                else None
            ),
        )

    def _is_prompt(self, request: model.CallerRequest) -> bool:
        return request.prompt_tokens > 0

    def _find_workspace(
        self,
        index: lookup.RouteIndex,
        route: routes.Route,
        request: model.CallerRequest,
    ) -> routes.Workspace | None:
        workspace = index.find_workspace(request.api_key)
        if workspace is not None or route.is_anonymous:
            return workspace
        # A key that an earlier table held is revoked, also by a table that
        # needs no keys.
        if not request.api_key and not index.table.needs_keys:
            return None
        raise errors.ServingError(
            kind=ErrorKind.UNAUTHENTICATED, detail='unknown API key'
        )

    def _refuse(
        self,
        exchange: exchanges.Exchange,
        request: model.CallerRequest | None,
        error: errors.ServingError,
    ) -> None:
        request_id = '' if request is None else request.request_id
        status, headers, body = self._parts.dialect.write_error(
            error=error, request_id=request_id
        )
        self._parts.metrics.count_refusal(kind=error.kind)
        LOG.info(
            'request refused',
            extra={
                'request_id': request_id,
                'outcome': error.kind.value,
                'detail': error.detail,
                'status': status,
                'target': exchange.head.target,
                'routes_version': self._parts.holder.config.routes_version,
                'lease_ms': self._parts.holder.remaining_ms,
            },
        )
        exchange.respond(status=status, headers=headers, body=body)
