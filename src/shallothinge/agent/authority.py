"""Whether the agent may begin new work now."""

import attrs

from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders


@attrs.frozen(kw_only=True)
class Permitted:
    """New work may begin."""


@attrs.frozen(kw_only=True)
class Denied:
    """No new work; ``renew`` asks for a lease renewal at once."""

    kind: ErrorKind
    renew: bool = False


class Authority:
    """The lease, the configuration in force and a planned stop.

    It is asked directly before each action, since the process may have
    been frozen since the last one.
    """

    def __init__(
        self, *, holder: holders.LeaseHolder, server_id: str, zone: str
    ):
        self._holder = holder
        self._server_id = server_id
        self._zone = zone
        self._refused_fence = -1
        self.stopping = False

    @property
    def fence(self) -> int:
        """Return the fencing number to act under."""
        return self._holder.fence

    def supersede(self, *, fence: int) -> None:
        """Note that the engine refused a fencing number as old."""
        self._refused_fence = max(self._refused_fence, fence)

    def may_act(self) -> bool:
        """Return whether a request may be sent to the backend server."""
        return isinstance(self._check_lease(), Permitted)

    def may_begin(self, *, state_version: int) -> Permitted | Denied:
        """Decide on new work.

        An asker that acted on a newer configuration than this process
        holds is refused, since that configuration may forbid the work.

        :param state_version: the configuration that the asker acted on.
        """
        if self.stopping:
            return Denied(kind=ErrorKind.STOPPING)
        if state_version > self._holder.config.state_version:
            return Denied(kind=ErrorKind.NO_LEASE, renew=True)
        return self._check_lease()

    def may_use(
        self, *, state_version: int, workspace: str, name: str
    ) -> bool:
        """Return whether a workspace may still use a model or service.

        Only looked at for an asker that acted on an older configuration;
        the others have checked it against this one.

        :param name: a service, or ``name@version`` of a model.
        """
        config = self._holder.config
        if state_version >= config.state_version or config.bundle is None:
            return True
        names = {name, name.partition('@')[0]}
        return any(
            names.intersection(spec.models + spec.services)
            for spec in config.bundle.workspaces
            if spec.name == workspace
        )

    def _check_lease(self) -> Permitted | Denied:
        config = self._holder.config
        if not self._holder.is_valid():
            return Denied(kind=ErrorKind.NO_LEASE, renew=True)
        if self._zone in config.zones_out:
            return Denied(kind=ErrorKind.ZONE_OUT)
        if self._server_id in config.servers_out:
            return Denied(kind=ErrorKind.BACKEND_OUT)
        if self._holder.fence <= self._refused_fence:
            return Denied(kind=ErrorKind.STALE_FENCE)
        return Permitted()
