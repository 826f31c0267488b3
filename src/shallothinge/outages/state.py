"""Replicated state of outages: zones and backend servers out of service."""

import attrs

from shallothinge.operators import messages


@attrs.define(kw_only=True)
class Outages:
    """Sorted names of the zones and backend servers out of service."""

    zones: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()

    def set_zone(self, *, order: messages.SetZone) -> bool:
        """Take a zone out of service or return it to service.

        :returns: whether the state changed.
        """
        before = self.zones
        self.zones = _set(before, order.zone, order.out)
        return self.zones != before

    def set_server(self, *, order: messages.SetServer) -> bool:
        """Take a backend server out of service or return it to service.

        :returns: whether the state changed.
        """
        before = self.servers
        self.servers = _set(before, order.server_id, order.out)
        return self.servers != before


def _set(names: tuple[str, ...], name: str, out: bool) -> tuple[str, ...]:
    others = {other for other in names if other != name}
    if out:
        others.add(name)
    return tuple(sorted(others))
