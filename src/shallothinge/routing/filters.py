"""Which backend servers may take a request at all."""

import attrs

from shallothinge.bundles.model import ServingConfig
from shallothinge.membership.model import BackendServer


@attrs.frozen(kw_only=True)
class Need:
    """What a request needs of a backend server.

    ``model`` is ``name@version``, empty for a call to ``service``.
    ``tokens`` counts prompt and answer. ``zones`` empty means all.
    ``priority`` is the request's at the engine; a lower one goes first.
    """

    model: str = ''
    service: str = ''
    tokens: int = 0
    zones: tuple[str, ...] = ()
    priority: int = 0


def is_in_service(*, server: BackendServer, config: ServingConfig) -> bool:
    """Return whether a backend server may get new work at all."""
    if server.leaving:
        return False
    if server.zone in config.zones_out:
        return False
    return server.server_id not in config.servers_out


def offers(*, server: BackendServer, need: Need) -> bool:
    """Return whether a backend server has what a request needs."""
    if need.zones and server.zone not in need.zones:
        return False
    if need.service:
        return need.service in server.services
    return need.model in server.models


def may_take(
    *, server: BackendServer, config: ServingConfig, need: Need
) -> bool:
    """Return whether a backend server may take a request."""
    if not is_in_service(server=server, config=config):
        return False
    return offers(server=server, need=need)
