"""Calls to hosts that are members no more, so that they are heard again."""

from collections.abc import Callable

import attrs

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes

# Longer than connections to a silent host are kept, and than a host that is
# back takes to catch up (4 s).
CALLED_MS = 15_000
CALL_MS = 500


@attrs.frozen(kw_only=True)
class _Former:
    """A replica that was removed, and until when its host is called."""

    replica_id: str
    ends_ms: int


class FormerMembers:
    """Calls hosts whose replicas were removed, for a bounded time.

    A host whose vote was taken may come back, empty or not, when none of
    its seeds is there. It announces itself to the hosts that it hears, so
    each host that is left lets it hear something. Its answer to a leaving
    that is not settled asks nothing of a replica in any state, and is
    known to earlier releases.

    :param send: sends a message to the process that its target names.
    """

    def __init__(self, *, node: nodes.Node, process_id: str, send: Callable):
        self._node = node
        self._process_id = process_id
        self._send = send
        self._replica_ids = frozenset(node.configuration.replicas)
        self._former: dict[str, _Former] = {}
        self._call_due_ms = 0

    @property
    def process_ids(self) -> tuple[str, ...]:
        """Return the hosts that are called."""
        return tuple(self._former)

    def tick(self, now_ms: int) -> None:
        """Follow the configuration and call who was removed."""
        self._follow(now_ms)
        if now_ms < self._call_due_ms or not self._former:
            return
        self._call_due_ms = now_ms + CALL_MS
        for former in self._former.values():
            self._send(
                messages.LeaveAnswer(
                    cluster_id=self._node.cluster_id,
                    sender_id=self._node.replica_id,
                    target_id=former.replica_id,
                    settled=False,
                )
            )

    def _follow(self, now_ms: int) -> None:
        replica_ids = frozenset(self._node.configuration.replicas)
        for replica_id in self._replica_ids - replica_ids:
            self._former[model.process_id_of(replica_id)] = _Former(
                replica_id=replica_id, ends_ms=now_ms + CALLED_MS
            )
        self._replica_ids = replica_ids
        members = {model.process_id_of(one) for one in replica_ids}
        for process_id, former in list(self._former.items()):
            is_called = process_id not in (*members, self._process_id)
            if not is_called or now_ms >= former.ends_ms:
                del self._former[process_id]
