"""Elections: pre-votes, votes, and the leader's check of its quorum."""

from collections.abc import Callable

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Refusal
from shallothinge.consensus.model import Role


class Election:
    """Campaigns for the leadership and votes for other candidates.

    :param on_elected: called with the current time in ms when a majority has
        voted for this replica.
    """

    def __init__(
        self,
        *,
        state: states.NodeState,
        on_elected: Callable[[int], None],
    ):
        self._state = state
        self._on_elected = on_elected
        self._granted_by = set()

    def tick(self, now_ms: int) -> None:
        """Run the election timer or, on a leader, check the quorum."""
        state = self._state
        if state.election_due_ms is None:
            state.start_election_timer(now_ms=now_ms)
        if state.role is Role.LEADER:
            self._check_quorum(now_ms)
        elif now_ms >= state.election_due_ms:
            self._on_election_timeout(now_ms)

    def start_election(self, now_ms: int, *, transfer: bool = False) -> None:
        """Become a candidate in the next term and request votes.

        :param transfer: whether the leader asked for this election; voters
            then answer although they still have a leader.
        """
        state = self._state
        state.set_term(state.term + 1, voted_for=state.replica_id)
        state.set_role(Role.CANDIDATE)
        state.reset_election_timer(now_ms=now_ms)
        self._granted_by = {state.replica_id}
        for voter in state.other_voters:
            state.send(
                messages.VoteRequest,
                target_id=voter,
                term=state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                transfer=transfer,
            )
        self._count_votes(now_ms)

    def on_pre_vote_request(
        self, now_ms: int, message: messages.PreVoteRequest
    ) -> None:
        """Answer whether this replica would vote; changes no state."""
        state = self._state
        if message.term <= state.term:
            refusal = Refusal.OLD_TERM
        elif self._has_live_leader(now_ms):
            refusal = Refusal.HEARS_LEADER
        else:
            refusal = self._check_log(message)
        granted = refusal is Refusal.NONE
        state.send(
            messages.PreVoteAnswer,
            target_id=message.sender_id,
            term=message.term if granted else state.term,
            granted=granted,
            reason=refusal.value,
        )

    def on_pre_vote_answer(
        self, now_ms: int, message: messages.PreVoteAnswer
    ) -> None:
        """Count a pre-vote; start an election when a majority granted it."""
        state = self._state
        self._record_vote_answer(message)
        if not message.granted:
            if message.term > state.term:
                state.follow(now_ms=now_ms, term=message.term)
            return
        if state.role is not Role.PRE_CANDIDATE:
            return
        if message.term != state.term + 1:
            return
        self._granted_by.add(message.sender_id)
        if self._has_majority():
            self.start_election(now_ms)

    def on_vote_request(
        self, now_ms: int, message: messages.VoteRequest
    ) -> None:
        """Vote for the candidate if its log is at least as up to date.

        While this replica has a live leader the request is dropped, so that
        a replica that was removed or partitioned can not depose the leader.
        A leadership transfer is exempt from this.
        """
        state = self._state
        if not message.transfer and self._has_live_leader(now_ms):
            return
        if message.term > state.term:
            state.follow(now_ms=now_ms, term=message.term)
        if message.term != state.term:
            refusal = Refusal.OLD_TERM
        elif state.voted_for not in ('', message.sender_id):
            refusal = Refusal.VOTED_FOR_ANOTHER
        else:
            refusal = self._check_log(message)
        granted = refusal is Refusal.NONE
        if granted:
            state.set_role(Role.FOLLOWER)
            state.set_term(state.term, voted_for=message.sender_id)
            state.reset_election_timer(now_ms=now_ms)
        state.send(
            messages.VoteAnswer,
            target_id=message.sender_id,
            term=state.term,
            granted=granted,
            reason=refusal.value,
        )

    def on_vote_answer(
        self, now_ms: int, message: messages.VoteAnswer
    ) -> None:
        """Count a vote in the current term."""
        state = self._state
        self._record_vote_answer(message)
        if message.term > state.term:
            state.follow(now_ms=now_ms, term=message.term)
            return
        if state.role is not Role.CANDIDATE or message.term < state.term:
            return
        if message.granted:
            self._granted_by.add(message.sender_id)
            self._count_votes(now_ms)

    def on_transfer_request(
        self, now_ms: int, message: messages.TransferRequest
    ) -> None:
        """Start an election without pre-vote, as the leader requested it.

        The request is ignored by a replica that is shutting down or has no
        vote, and in another term than that of the request.
        """
        state = self._state
        if state.is_leaving or not state.is_voter:
            return
        if message.term == state.term:
            self.start_election(now_ms, transfer=True)

    def _on_election_timeout(self, now_ms: int) -> None:
        state = self._state
        state.reset_election_timer(now_ms=now_ms)
        if not state.is_voter:
            state.set_role(Role.FOLLOWER)
            return
        state.set_role(Role.PRE_CANDIDATE)
        state.peer_activity.elections_asked += 1
        self._granted_by = {state.replica_id}
        for voter in state.other_voters:
            state.send(
                messages.PreVoteRequest,
                target_id=voter,
                term=state.term + 1,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )
        if self._has_majority():
            self.start_election(now_ms)

    def _has_live_leader(self, now_ms: int) -> bool:
        """Return whether a live leader is known; a leader counts itself.

        A leader counts as live for the minimum election timeout after its
        last message.
        """
        state = self._state
        if state.role is Role.LEADER:
            return True
        if not state.leader_id or state.last_leader_contact_ms is None:
            return False
        silent_ms = now_ms - state.last_leader_contact_ms
        return silent_ms < state.timing.election_min_ms

    def _record_vote_answer(
        self, message: messages.VoteAnswer | messages.PreVoteAnswer
    ) -> None:
        self._state.peer_activity.record_vote_answer(
            message.sender_id,
            granted=message.granted,
            reason=message.reason,
            voters=self._state.configuration.voters,
        )

    def _check_log(
        self, message: messages.VoteRequest | messages.PreVoteRequest
    ) -> Refusal:
        """Return why the log rules out a vote, or ``Refusal.NONE``.

        A replica with an empty log does not vote. One with entries votes
        even if its own log does not list it as a voter yet: the candidate
        requests votes by a configuration that may be newer.
        """
        log = self._state.log
        if log.last_index == 0:
            return Refusal.HOLDS_NOTHING
        candidate_position = (message.last_term, message.last_index)
        if candidate_position < (log.last_term, log.last_index):
            return Refusal.LOG_BEHIND
        return Refusal.NONE

    def _has_majority(self) -> bool:
        configuration = self._state.configuration
        granted = self._granted_by.intersection(configuration.voters)
        return len(granted) >= configuration.quorum

    def _count_votes(self, now_ms: int) -> None:
        if self._has_majority():
            self._on_elected(now_ms)

    def _check_quorum(self, now_ms: int) -> None:
        """Step down if no majority answered within an election timeout."""
        state = self._state
        active_count = 0
        for voter in state.configuration.voters:
            if voter == state.replica_id:
                active_count += 1
                continue
            progress = state.leadership.progress[voter]
            if (
                now_ms - progress.last_contact_ms
                <= state.timing.election_max_ms
            ):
                active_count += 1
        if active_count < state.configuration.quorum:
            state.set_role(Role.FOLLOWER)
            state.reset_election_timer(now_ms=now_ms)


def new_leadership(
    *, state: states.NodeState, now_ms: int
) -> states.Leadership:
    """Return the initial leader state after an election."""
    leadership = states.Leadership(
        first_index=state.log.last_index + 1, elected_ms=now_ms
    )
    for replica_id in state.configuration.replicas:
        if replica_id != state.replica_id:
            leadership.progress[replica_id] = states.Progress(
                next_index=state.log.last_index + 1, last_contact_ms=now_ms
            )
    return leadership


def noop_entry(*, state: states.NodeState) -> model.Entry:
    """Return the no-op entry that a new leader appends.

    Committing it also commits the entries of earlier terms.
    """
    return model.Entry(
        index=state.log.last_index + 1,
        term=state.term,
        kind=model.EntryKind.NOOP,
    )
