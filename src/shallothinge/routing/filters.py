"""Filters that determine which backend servers may serve a request."""

import attrs

from shallothinge.bundles.model import ServingConfig
from shallothinge.membership.model import BackendServer


@attrs.frozen(kw_only=True)
class Requirements:
    """Requirements of a request on a backend server.

    ``model`` is ``name@version``; it is empty for a call to ``service``.
    ``tokens`` counts prompt and answer. Empty ``zones`` allow all zones.
    ``priority`` is the engine priority of the request; lower values are
    scheduled first.
    """

    model: str = ''
    service: str = ''
    tokens: int = 0
    zones: tuple[str, ...] = ()
    priority: int = 0


def is_in_service(*, server: BackendServer, config: ServingConfig) -> bool:
    """Return whether a backend server may get new work.

    It may not if it is leaving or if the configuration takes the server or
    its zone out of service.
    """
    if server.leaving:
        return False
    if server.zone in config.zones_out:
        return False
    return server.server_id not in config.servers_out


def meets_requirements(*, server: BackendServer, need: Requirements) -> bool:
    """Return whether a backend server meets the requirements of a request."""
    if need.zones and server.zone not in need.zones:
        return False
    if need.service:
        return need.service in server.services
    return need.model in server.models


def is_eligible(
    *, server: BackendServer, config: ServingConfig, need: Requirements
) -> bool:
    """Return whether a backend server is eligible for a request."""
    if not is_in_service(server=server, config=config):
        return False
    return meets_requirements(server=server, need=need)
