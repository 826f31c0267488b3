"""Planned stop of a control host: gives up its leadership and its vote."""

from twisted.internet import defer

from shallothinge.consensus import model
from shallothinge.consensus import node as nodes

# Long enough for several elections, as the leader may be lost at that moment
# and an election may need this vote. Together with the leadership transfer it
# stays well below the time between SIGTERM and SIGKILL.
LEAVE_TIMEOUT_MS = 5000


class PlannedStop:
    """Transfers the leadership and gives up the vote before a process ends.

    What does not complete in time is left to the other replicas, which act
    once they detect that this host is gone.
    """

    def __init__(self, *, node: nodes.Node):
        self._node = node
        self._hand_over_waiters: list[defer.Deferred] = []
        self._leave_waiters: list[defer.Deferred] = []
        self._hand_over_ends_ms = 0
        self._leave_ends_ms = 0

    def hand_over(self, now_ms: int) -> defer.Deferred:
        """Transfer the leadership, if this replica leads.

        :returns: fires with None when it no longer leads, or when the
            transfer has failed or timed out.
        """
        if not self._node.transfer(now_ms):
            return defer.succeed(None)
        self._hand_over_ends_ms = now_ms + self._node.timing.election_max_ms
        return _add_waiter(self._hand_over_waiters)

    def leave(self, now_ms: int) -> defer.Deferred:
        """Ask the leader to go on without the vote of this replica.

        :returns: fires with None when the leader no longer needs the vote,
            or has not confirmed that in time.
        """
        self._node.leave()
        self._leave_ends_ms = now_ms + LEAVE_TIMEOUT_MS
        left = _add_waiter(self._leave_waiters)
        self.tick(now_ms)
        return left

    def tick(self, now_ms: int) -> None:
        """Fire the Deferreds that are done or timed out; retry a transfer."""
        if now_ms >= self._hand_over_ends_ms:
            self.end_hand_over()
        if self._node.is_leave_settled or now_ms >= self._leave_ends_ms:
            _fire_all(self._leave_waiters)
        if self._hand_over_waiters or self._leave_waiters:
            self._find_successor(now_ms)

    def _find_successor(self, now_ms: int) -> None:
        """Start a transfer if this replica leads and none is in progress.

        The voter that was asked before may be stopping as well, and a
        replica that is already leaving may still win an election that was
        in progress.
        """
        leads = self._node.role is model.Role.LEADER
        if not leads or self._node.is_transferring_leadership:
            return
        if not self._node.transfer(now_ms):
            _fire_all(self._leave_waiters)

    def end_hand_over(self) -> None:
        """Stop waiting for the leadership transfer."""
        _fire_all(self._hand_over_waiters)

    def close(self) -> None:
        """Fire all pending Deferreds."""
        _fire_all(self._hand_over_waiters)
        _fire_all(self._leave_waiters)


def _add_waiter(waiting: list[defer.Deferred]) -> defer.Deferred:
    answered = defer.Deferred()
    waiting.append(answered)
    return answered


def _fire_all(waiting: list[defer.Deferred]) -> None:
    fired = waiting[:]
    waiting.clear()
    for answered in fired:
        answered.callback(None)
