"""Readiness of a gateway, as probed by the load balancer."""

from shallothinge.errors import ErrorKind
from shallothinge.gateway import ingress as ingresses
from shallothinge.leases import holder as holders


class Readiness:
    """Decides whether the gateway may get new connections.

    It is ready with a valid lease, readable routes, and at least one backend
    server.
    """

    def __init__(
        self, *, holder: holders.LeaseHolder, ingress: ingresses.Ingress
    ):
        self._holder = holder
        self._ingress = ingress

    def refusal(self) -> ErrorKind | None:
        """Return why the gateway is not ready, or None if it is."""
        if self._ingress.is_draining:
            return ErrorKind.STOPPING
        if not self._holder.is_valid() or not self._ingress.has_routes:
            return ErrorKind.NO_LEASE
        if not self._holder.members:
            return ErrorKind.NO_BACKEND_SERVER
        return None
