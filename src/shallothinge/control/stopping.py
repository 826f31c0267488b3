"""The planned stop of a control host: leadership and vote pass on."""

from twisted.internet import defer

from shallothinge.consensus import model
from shallothinge.consensus import node as nodes

# Several elections, as the leader may be lost just then and this vote be
# needed; with the hand-over well below the time until a SIGKILL.
LEAVE_MS = 5000


class PlannedStop:
    """What a replica settles with the others before its process ends.

    What is not done in time is done by the others once they miss this host.
    """

    def __init__(self, *, node: nodes.Node):
        self._node = node
        self._handing_over: list[defer.Deferred] = []
        self._leaving: list[defer.Deferred] = []
        self._hand_over_ends_ms = 0
        self._leave_ends_ms = 0

    def hand_over(self, now_ms: int) -> defer.Deferred:
        """Hand over the leadership, if this replica leads.

        :returns: fires with None when it leads no more, or could not hand
            over in time.
        """
        if not self._node.transfer(now_ms):
            return defer.succeed(None)
        self._hand_over_ends_ms = now_ms + self._node.timing.election_max_ms
        return _waiting(self._handing_over)

    def leave(self, now_ms: int) -> defer.Deferred:
        """Let the others go on without the vote of this replica.

        :returns: fires with None when the leader needs it no more, or did
            not say so in time.
        """
        self._node.leave()
        self._leave_ends_ms = now_ms + LEAVE_MS
        left = _waiting(self._leaving)
        self.tick(now_ms)
        return left

    def tick(self, now_ms: int) -> None:
        """Fire what is done or took too long."""
        if now_ms >= self._hand_over_ends_ms:
            self.leads_no_more()
        if self._node.has_left or now_ms >= self._leave_ends_ms:
            _fire(self._leaving)
        if self._handing_over or self._leaving:
            self._find_successor(now_ms)

    def _find_successor(self, now_ms: int) -> None:
        """Ask another voter, if this one leads and nobody is asked.

        The one that was asked may stop as well, and a vote that was under
        way may make a replica the leader that already leaves.
        """
        leads = self._node.role is model.Role.LEADER
        if not leads or self._node.is_handing_over:
            return
        if not self._node.transfer(now_ms):
            _fire(self._leaving)

    def leads_no_more(self) -> None:
        """End the wait for a successor."""
        _fire(self._handing_over)

    def close(self) -> None:
        """End all waits."""
        _fire(self._handing_over)
        _fire(self._leaving)


def _waiting(waiting: list[defer.Deferred]) -> defer.Deferred:
    answered = defer.Deferred()
    waiting.append(answered)
    return answered


def _fire(waiting: list[defer.Deferred]) -> None:
    fired = waiting[:]
    waiting.clear()
    for answered in fired:
        answered.callback(None)
