"""A replica whose process is about to stop, and tells the leader so."""

from shallothinge.consensus import messages
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Role


class Leaving:
    """Asks the leader to go on without the vote of this replica.

    Whether the process comes back is not known to it. The leader decides
    whether the others do better without its vote.
    """

    def __init__(self, *, state: states.NodeState):
        self._state = state
        self._settled = False

    @property
    def is_settled(self) -> bool:
        """Return whether the others need nothing more of this replica."""
        return self._settled

    def start(self) -> None:
        """Take the lead from no one any more and begin to ask the leader.

        If nobody else holds the whole log this replica still stands for
        election, and hands over.
        """
        self._state.is_leaving = True
        self._settled = not self._may_lose_vote()

    def _may_lose_vote(self) -> bool:
        """Return whether the leader might go on without this vote."""
        state = self._state
        if not state.is_voter or not state.timing.replace_silent_ms:
            return False
        configuration = state.configuration
        is_surplus = len(configuration.voters) > state.timing.least_voters
        return is_surplus or bool(configuration.learners)

    def tick(self) -> None:
        """Ask whichever replica leads.

        A leader that took its place after this vote was removed does not
        send to it, so without a leader all others are asked.
        """
        state = self._state
        if not state.is_leaving or self._settled:
            return
        if state.role is Role.LEADER:
            return
        asked = (state.leader_id,) if state.leader_id else state.other_voters
        for replica_id in asked:
            state.send(messages.LeaveRequest, target_id=replica_id)

    def on_answer(self, now_ms: int, message: messages.LeaveAnswer) -> None:
        """Note that the leader needs nothing more."""
        if self._state.is_leaving and message.settled:
            self._settled = True
