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
        """Stand for election no more and begin to ask the leader."""
        self._state.is_leaving = True
        self._settled = not self._state.is_voter

    def tick(self) -> None:
        """Ask whichever replica leads."""
        state = self._state
        if not state.is_leaving or self._settled:
            return
        if state.role is not Role.LEADER and state.leader_id:
            state.send(messages.LeaveRequest, target_id=state.leader_id)

    def on_answer(self, now_ms: int, message: messages.LeaveAnswer) -> None:
        """Note that the leader needs nothing more."""
        if self._state.is_leaving and message.settled:
            self._settled = True
