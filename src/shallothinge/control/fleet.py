"""Requests that outside callers may send to any control host.

A host forwards each request to the leader, which may be the host itself,
and answers once the leader has answered. Callers need not know the leader.

A caller without an answer asks another host, and may then order the opposite.
So an order that an opposite one can follow is forwarded in two steps: the
leader's revision is read, and the order is sent under it if its caller
still waits. From the first step on the leader sees whether an opposite order
has followed.
"""

from collections.abc import Callable
import logging
import secrets
from typing import Protocol

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.leases import client as clients
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.routes import messages as routes

LOG = logging.getLogger(__name__)

ID_BYTES = 8
# Callers try another host after one second without an answer.
REQUEST_TIMEOUT_MS = 900
# A large document takes longer to reach a majority's disks.
STORE_TIMEOUT_MS = 3000


class Caller(Protocol):
    """The caller of the HTTP API who gave an order."""

    def waited_ms(self) -> int:
        """Return how long ago the order arrived at this host."""

    def is_waiting(self) -> bool:
        """Return whether the caller may still receive the answer."""


class FleetOrders:
    """Sends orders and queries to the leader.

    Each call fails with ``ServingError`` of kind ``NO_LEASE`` if no leader
    answered in time; an order may have been executed nevertheless. An order
    whose caller has given up fails with kind ``CANCELLED`` and is not
    executed.

    :param operator: the operator name recorded with zone outages.
    """

    def __init__(
        self,
        *,
        client: clients.ControlClient,
        operator: str,
        wall_clock: clocks.Clock,
    ):
        self._client = client
        self._operator = operator
        self._wall_clock = wall_clock

    def store_routes(self, *, version: int, document: bytes) -> defer.Deferred:
        """Store and activate a route table; fires with ``RoutesStored``."""
        order = routes.StoreRoutes(
            request_id=_new_id(), version=version, document=document
        )
        return self._client.send_request(order, timeout_ms=STORE_TIMEOUT_MS)

    def fetch_routes(self) -> defer.Deferred:
        """Read the newest route table; fires with ``RoutesFetched``."""
        query = routes.FetchRoutes(request_id=_new_id())
        return self._client.send_request(query, timeout_ms=REQUEST_TIMEOUT_MS)

    def set_zone(
        self, *, zone: str, is_out: bool, caller: Caller
    ) -> defer.Deferred:
        """Take a zone out of service or back; fires with ``OrderAnswered``."""

        def make_order(read: operators.RevisionAnswered):
            return operators.SetZone(
                order_id=_new_id(),
                operator=self._operator,
                zone=zone,
                out=is_out,
                epoch=read.epoch,
                revision=read.revision,
            )

        return self._send_under_revision(make_order, caller=caller)

    def forward_heartbeat(
        self, *, server, started_ms: int, sequence: int
    ) -> defer.Deferred:
        """Forward a server's heartbeat; fires with ``HeartbeatTaken``."""
        heartbeat = membership.Heartbeat(
            request_id=_new_id(),
            server=server,
            started_ms=started_ms,
            sequence=sequence,
        )
        return self._client.send_request(
            heartbeat, timeout_ms=REQUEST_TIMEOUT_MS
        )

    def remove_server(
        self, *, server_id: str, caller: Caller
    ) -> defer.Deferred:
        """Remove a backend server; fires with ``HeartbeatTaken``."""
        asked_ms = self._wall_clock.now_ms() - caller.waited_ms()

        def make_order(read: operators.RevisionAnswered):
            return membership.ServerGone(
                request_id=_new_id(),
                server_id=server_id,
                asked_ms=asked_ms,
                incarnation=read.incarnation,
            )

        return self._send_under_revision(
            make_order, caller=caller, server_id=server_id
        )

    def _send_under_revision(
        self,
        make_order: Callable[[operators.RevisionAnswered], object],
        *,
        caller: Caller,
        server_id: str = '',
    ) -> defer.Deferred:
        """Read the leader's revision, then send the order made from it."""

        def send(make_message, answer=None):
            return self._client.send_request(
                make_message(answer), timeout_ms=_remaining_ms(caller)
            )

        def request(_):
            return operators.RevisionRequested(
                request_id=_new_id(), server_id=server_id
            )

        read = defer.maybeDeferred(send, request)
        return read.addCallback(lambda answer: send(make_order, answer))


def _remaining_ms(caller: Caller) -> int:
    """Return how long the caller of an order still waits.

    :raises ServingError: if the caller has given up.
    """
    waited_ms = caller.waited_ms()
    if caller.is_waiting() and waited_ms < REQUEST_TIMEOUT_MS:
        return REQUEST_TIMEOUT_MS - waited_ms
    LOG.info(
        'dropped an order whose caller has given up',
        extra={'waited_ms': waited_ms, 'is_connected': caller.is_waiting()},
    )
    raise errors.ServingError(
        kind=errors.ErrorKind.CANCELLED,
        detail=f'the caller has given up; the order waited {waited_ms} ms',
    )


def _new_id() -> str:
    return secrets.token_hex(ID_BYTES)
