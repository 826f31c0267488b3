"""The gateways that share the limits of backend servers."""

from collections.abc import Callable
import functools

from shallothinge.leases import holder as holders
from shallothinge.placement import fleet
from shallothinge.server_limits import state as server_limits

# Peers send a complete report each second; one of them may be late.
HEARD_MS = 2000


def build_finder(
    *, own_id: str, load: fleet.FleetLoad, holder: holders.LeaseHolder
) -> Callable[[], server_limits.Gateways]:
    """Return a function that finds the gateways that share limits.

    :param own_id: id of this gateway in the reports to its peers.
    """
    return functools.partial(_find, own_id=own_id, load=load, holder=holder)


def _find(
    *, own_id: str, load: fleet.FleetLoad, holder: holders.LeaseHolder
) -> server_limits.Gateways:
    heard = load.heard_peers(within_ms=HEARD_MS)
    return server_limits.Gateways(
        heard_ids=tuple(sorted((own_id, *heard))),
        listed_count=len(holder.peers),
    )
