"""Requests that outside callers may send to any control host.

A host forwards each request to the leader, which may be the host itself,
and answers once the leader has answered. Callers need not know the leader.
"""

import secrets
from typing import Protocol

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.leases import client as clients
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.routes import messages as routes

ID_BYTES = 8
# Callers try another host after one second without an answer.
REQUEST_TIMEOUT_MS = 900
# A large document takes longer to reach a majority's disks.
STORE_TIMEOUT_MS = 3000


class Caller(Protocol):
    """The caller of the HTTP API who gave an order."""

    def waited_ms(self) -> int:
        """Return how long ago the order arrived at this host."""


class FleetOrders:
    """Sends orders and queries to the leader.

    Each call fails with ``ServingError`` of kind ``NO_LEASE`` if no leader
    answered in time; an order may have been executed nevertheless.

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

    def set_zone(self, *, zone: str, is_out: bool) -> defer.Deferred:
        """Take a zone out of service or back; fires with ``OrderAnswered``."""
        order = operators.SetZone(
            order_id=_new_id(), operator=self._operator, zone=zone, out=is_out
        )
        return self._client.send_request(order, timeout_ms=REQUEST_TIMEOUT_MS)

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
        order = membership.ServerGone(
            request_id=_new_id(),
            server_id=server_id,
            asked_ms=self._wall_clock.now_ms() - caller.waited_ms(),
        )
        return self._client.send_request(order, timeout_ms=REQUEST_TIMEOUT_MS)


def _new_id() -> str:
    return secrets.token_hex(ID_BYTES)
