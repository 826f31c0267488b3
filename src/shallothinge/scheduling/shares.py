"""Fair shares of the workspaces in the slots of a service."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping


class WorkspaceShares:
    """Max-min fairness with equal weights.

    The slots in use are divided among the workspaces that use or wait for
    slots: one that does not wait needs no more than it uses, and what it does
    not need is divided among the others.

    :param in_use: returns the slots in use by service and workspace, over all
        gateways.
    """

    def __init__(
        self, *, in_use: Callable[[], Mapping[tuple[str, str], float]]
    ):
        self._in_use = in_use

    def is_above_share(
        self, service: str, workspace: str, waiting: Collection[str]
    ) -> bool:
        """Return whether a workspace uses more than its fair share.

        :param waiting: workspaces that wait for slots of the service.
        """
        return workspace in self.above_share(service, waiting)

    def above_share(
        self, service: str, waiting: Collection[str]
    ) -> frozenset[str]:
        """Return the workspaces that use more than their fair shares.

        :param waiting: workspaces that wait for slots of the service.
        """
        slots = dict.fromkeys(waiting, 0.0)
        for (used_service, workspace), used in self._in_use().items():
            if used_service == service and used > 0:
                slots[workspace] = used
        if len(slots) < 2:
            return frozenset()
        share = _fair_share(slots, waiting=frozenset(waiting))
        return frozenset(one for one, used in slots.items() if used > share)


def _fair_share(
    slots: Mapping[str, float], *, waiting: Collection[str]
) -> float:
    """Return the slots up to which every workspace may have what it needs.

    :param slots: slots in use by each workspace.
    :param waiting: workspaces that would use more slots.
    """
    left = sum(slots.values())
    left_count = len(slots)
    satisfied = (used for one, used in slots.items() if one not in waiting)
    for used in sorted(satisfied):
        if used > left / left_count:
            break
        left -= used
        left_count -= 1
        if not left_count:
            return used
    return left / left_count
