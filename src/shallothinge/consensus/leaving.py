"""Announces to the leader that the process of a voter is stopping."""

from shallothinge.consensus import messages
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Role


class Leaving:
    """Asks the leader to remove the vote of this replica before it stops.

    The replica does not know whether its process will return. The leader
    decides whether the other replicas are better off without its vote.
    """

    def __init__(self, *, state: states.NodeState):
        self._state = state
        self._settled = False

    @property
    def is_settled(self) -> bool:
        """Return whether the process may stop without further waiting."""
        return self._settled

    def start(self) -> None:
        """Stop taking over leadership and begin to ask the leader.

        If no other replica holds the whole log, this replica still stands
        for election and then transfers leadership.
        """
        self._state.is_leaving = True
        self._settled = not self._may_lose_vote()

    def _may_lose_vote(self) -> bool:
        """Return whether the leader might remove this replica's vote."""
        state = self._state
        if not state.is_voter or not state.timing.replace_silent_ms:
            return False
        configuration = state.configuration
        is_surplus = len(configuration.voters) > state.timing.min_voters
        return is_surplus or bool(configuration.learners)

    def tick(self) -> None:
        """Send the request to the leader, or to all voters if unknown.

        A leader elected after this replica was removed sends it nothing, so
        this replica may not know the leader.
        """
        state = self._state
        if not state.is_leaving or self._settled:
            return
        if state.role is Role.LEADER:
            return
        targets = (state.leader_id,) if state.leader_id else state.other_voters
        for replica_id in targets:
            state.send(messages.LeaveRequest, target_id=replica_id)

    def on_answer(self, now_ms: int, message: messages.LeaveAnswer) -> None:
        """Record that the leader no longer needs this voter."""
        if self._state.is_leaving and message.settled:
            self._settled = True
