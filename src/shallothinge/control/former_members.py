"""Probes hosts that were removed, so that they can join again."""

from collections.abc import Callable

import attrs

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes

# Longer than connections to a silent host are kept (10 s), and than a host
# that has come back takes to catch up (4 s).
PROBE_DURATION_MS = 15_000
PROBE_INTERVAL_MS = 500


@attrs.frozen(kw_only=True)
class _FormerMember:
    """A removed replica, and until when its host is probed."""

    replica_id: str
    ends_ms: int


class FormerMembers:
    """Probes hosts whose replicas were removed, for a bounded time.

    A removed host may come back, with or without its data, while none of
    its seeds is up. It announces itself to the hosts that it receives
    messages from, so each remaining host sends to it. The probe is a
    ``LeaveAnswer`` that is not settled: it has no effect on a replica in
    any state, and earlier releases know it.

    :param send: sends a message to the process that its target names.
    """

    def __init__(self, *, node: nodes.Node, process_id: str, send: Callable):
        self._node = node
        self._process_id = process_id
        self._send = send
        self._replica_ids = frozenset(node.configuration.replicas)
        self._former: dict[str, _FormerMember] = {}
        self._probe_due_ms = 0

    @property
    def process_ids(self) -> tuple[str, ...]:
        """Return the process ids of the hosts that are probed."""
        return tuple(self._former)

    def tick(self, now_ms: int) -> None:
        """Track removed members and probe them when due."""
        self._update(now_ms)
        if now_ms < self._probe_due_ms or not self._former:
            return
        self._probe_due_ms = now_ms + PROBE_INTERVAL_MS
        for former in self._former.values():
            self._send(
                messages.LeaveAnswer(
                    cluster_id=self._node.cluster_id,
                    sender_id=self._node.replica_id,
                    target_id=former.replica_id,
                    settled=False,
                )
            )

    def _update(self, now_ms: int) -> None:
        replica_ids = frozenset(self._node.configuration.replicas)
        for replica_id in self._replica_ids - replica_ids:
            self._former[model.process_id_of(replica_id)] = _FormerMember(
                replica_id=replica_id, ends_ms=now_ms + PROBE_DURATION_MS
            )
        self._replica_ids = replica_ids
        members = {model.process_id_of(one) for one in replica_ids}
        for process_id, former in list(self._former.items()):
            is_probed = process_id not in (*members, self._process_id)
            if not is_probed or now_ms >= former.ends_ms:
                del self._former[process_id]
