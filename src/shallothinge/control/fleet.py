"""What outside callers may ask of any control host.

Each host passes it on to the leader, itself included, and answers once the
leader has; the caller needn't know who leads.
"""

import secrets

from twisted.internet import defer

from shallothinge.leases import client as clients
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.routes import messages as routes

ID_BYTES = 8
# Callers turn to another host after a second without an answer.
ASK_MS = 900
# A large document takes longer to reach a majority's disks.
STORE_MS = 3000


class FleetOrders:
    """Orders and questions for the leader.

    Each fails with ``ServingError`` of kind ``NO_LEASE`` if no leader
    answered in time; an order may then have been carried out.

    :param operator: name under which outages of zones are recorded.
    """

    def __init__(self, *, client: clients.ControlClient, operator: str):
        self._client = client
        self._operator = operator

    def store_routes(self, *, version: int, document: bytes) -> defer.Deferred:
        """Put a route table in force; fires with ``RoutesStored``."""
        order = routes.StoreRoutes(
            request_id=_new_id(), version=version, document=document
        )
        return self._client.ask(order, timeout_ms=STORE_MS)

    def fetch_routes(self) -> defer.Deferred:
        """Read the newest route table; fires with ``RoutesFetched``."""
        question = routes.FetchRoutes(request_id=_new_id())
        return self._client.ask(question, timeout_ms=ASK_MS)

    def set_zone(self, *, zone: str, is_out: bool) -> defer.Deferred:
        """Take a zone out or back in; fires with ``OrderAnswered``."""
        order = operators.SetZone(
            order_id=_new_id(), operator=self._operator, zone=zone, out=is_out
        )
        return self._client.ask(order, timeout_ms=ASK_MS)

    def take_heartbeat(
        self, *, server, started_ms: int, sequence: int
    ) -> defer.Deferred:
        """Announce a backend server; fires with ``HeartbeatTaken``."""
        beat = membership.Heartbeat(
            request_id=_new_id(),
            server=server,
            started_ms=started_ms,
            sequence=sequence,
        )
        return self._client.ask(beat, timeout_ms=ASK_MS)

    def take_gone(self, *, server_id: str) -> defer.Deferred:
        """Drop a backend server; fires with ``HeartbeatTaken``."""
        order = membership.ServerGone(
            request_id=_new_id(), server_id=server_id
        )
        return self._client.ask(order, timeout_ms=ASK_MS)


def _new_id() -> str:
    return secrets.token_hex(ID_BYTES)
