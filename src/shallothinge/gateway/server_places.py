"""Where backend servers run, as control lists them."""

from shallothinge.gateway import notices
from shallothinge.leases import holder as holders
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import moments


class ListedPlaces:
    """Places of the servers in the newest list of control."""

    def __init__(self, *, holder: holders.LeaseHolder):
        self._holder = holder

    def find_place(self, server_id: str) -> moments.Place | None:
        """Return where a server runs, None if it is not listed."""
        server = self._holder.members.get(server_id)
        if server is None:
            return None
        return moments.Place(zone=server.zone, host=server.host)

    def list_zone(self, zone: str) -> frozenset[ServerKey]:
        """Return the incarnations that are listed in a zone."""
        return frozenset(
            notices.key_of(one)
            for one in self._holder.members.values()
            if one.zone == zone
        )

    def find_services(self, server_id: str) -> frozenset[str]:
        """Return the services of a server, none if it is not listed."""
        server = self._holder.members.get(server_id)
        return frozenset(() if server is None else server.services)

    def list_serving(self, services: frozenset[str]) -> frozenset[ServerKey]:
        """Return the incarnations that are listed for any of some services."""
        return frozenset(
            notices.key_of(one)
            for one in self._holder.members.values()
            if not services.isdisjoint(one.services)
        )
