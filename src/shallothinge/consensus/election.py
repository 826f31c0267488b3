"""Elections: pre-votes, votes, and leaders that lost their majority."""

from collections.abc import Callable

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Refusal
from shallothinge.consensus.model import Role


class Election:
    """Wins or grants leadership of a term.

    :param on_won: called when a majority voted for this replica.
    """

    def __init__(
        self,
        *,
        state: states.NodeState,
        on_won: Callable[[int], None],
    ):
        self._state = state
        self._on_won = on_won
        self._granted = set()

    def tick(self, now_ms: int) -> None:
        """Start an election when no leader was heard for long enough."""
        state = self._state
        if state.election_due_ms is None:
            state.start_election_timer(now_ms=now_ms)
        if state.role is Role.LEADER:
            self._check_quorum(now_ms)
        elif now_ms >= state.election_due_ms:
            self._time_out(now_ms)

    def stand(self, now_ms: int, *, transfer: bool = False) -> None:
        """Move to the next term and ask for votes in it."""
        state = self._state
        state.set_term(state.term + 1, voted_for=state.replica_id)
        state.set_role(Role.CANDIDATE)
        state.reset_election_timer(now_ms=now_ms)
        self._granted = {state.replica_id}
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
        """Say whether a vote would be given; changes no state."""
        state = self._state
        if message.term <= state.term:
            refusal = Refusal.OLD_TERM
        elif self._hears_leader(now_ms):
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
        """Count a pre-vote; stand for election with a majority."""
        state = self._state
        self._note_answer(message)
        if not message.granted:
            if message.term > state.term:
                state.follow(now_ms=now_ms, term=message.term)
            return
        if state.role is not Role.PRE_CANDIDATE:
            return
        if message.term != state.term + 1:
            return
        self._granted.add(message.sender_id)
        if self._has_majority():
            self.stand(now_ms)

    def on_vote_request(
        self, now_ms: int, message: messages.VoteRequest
    ) -> None:
        """Vote for the candidate if its log holds all that is committed.

        While a leader is heard the request is dropped, so that a replica
        that was removed or cut off can not depose it.
        """
        state = self._state
        if not message.transfer and self._hears_leader(now_ms):
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
        """Count a vote."""
        state = self._state
        self._note_answer(message)
        if message.term > state.term:
            state.follow(now_ms=now_ms, term=message.term)
            return
        if state.role is not Role.CANDIDATE or message.term < state.term:
            return
        if message.granted:
            self._granted.add(message.sender_id)
            self._count_votes(now_ms)

    def on_transfer_request(
        self, now_ms: int, message: messages.TransferRequest
    ) -> None:
        """Stand at once, since the leader hands over to this replica."""
        state = self._state
        if state.is_leaving or not state.is_voter:
            return
        if message.term == state.term:
            self.stand(now_ms, transfer=True)

    def _time_out(self, now_ms: int) -> None:
        state = self._state
        state.reset_election_timer(now_ms=now_ms)
        if not state.is_voter:
            state.set_role(Role.FOLLOWER)
            return
        state.set_role(Role.PRE_CANDIDATE)
        state.sightings.elections_asked += 1
        self._granted = {state.replica_id}
        for voter in state.other_voters:
            state.send(
                messages.PreVoteRequest,
                target_id=voter,
                term=state.term + 1,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )
        if self._has_majority():
            self.stand(now_ms)

    def _hears_leader(self, now_ms: int) -> bool:
        state = self._state
        if state.role is Role.LEADER:
            return True
        if not state.leader_id or state.heard_leader_ms is None:
            return False
        silent_ms = now_ms - state.heard_leader_ms
        return silent_ms < state.timing.election_min_ms

    def _note_answer(
        self, message: messages.VoteAnswer | messages.PreVoteAnswer
    ) -> None:
        self._state.sightings.answered(
            message.sender_id,
            granted=message.granted,
            reason=message.reason,
            voters=self._state.configuration.voters,
        )

    def _check_log(
        self, message: messages.VoteRequest | messages.PreVoteRequest
    ) -> Refusal:
        """Return whether the candidate's log is behind the own one.

        A replica that holds nothing has no vote. One that holds entries
        votes also if its log does not list it as a voter yet: the
        candidate asks the voters of a configuration that may be newer.
        """
        log = self._state.log
        if log.last_index == 0:
            return Refusal.HOLDS_NOTHING
        theirs = (message.last_term, message.last_index)
        if theirs < (log.last_term, log.last_index):
            return Refusal.LOG_BEHIND
        return Refusal.NONE

    def _has_majority(self) -> bool:
        configuration = self._state.configuration
        granted = self._granted.intersection(configuration.voters)
        return len(granted) >= configuration.quorum

    def _count_votes(self, now_ms: int) -> None:
        if self._has_majority():
            self._on_won(now_ms)

    def _check_quorum(self, now_ms: int) -> None:
        """Step down if no majority was heard for an election timeout."""
        state = self._state
        heard = 0
        for voter in state.configuration.voters:
            if voter == state.replica_id:
                heard += 1
                continue
            progress = state.leadership.progress[voter]
            if now_ms - progress.heard_ms <= state.timing.election_max_ms:
                heard += 1
        if heard < state.configuration.quorum:
            state.set_role(Role.FOLLOWER)
            state.reset_election_timer(now_ms=now_ms)


def leadership_of(
    *, state: states.NodeState, now_ms: int
) -> states.Leadership:
    """Return the state of a leader that was just elected."""
    leadership = states.Leadership(
        first_index=state.log.last_index + 1, elected_ms=now_ms
    )
    for replica_id in state.configuration.replicas:
        if replica_id != state.replica_id:
            leadership.progress[replica_id] = states.Progress(
                next_index=state.log.last_index + 1, heard_ms=now_ms
            )
    return leadership


def noop_entry(*, state: states.NodeState) -> model.Entry:
    """Return the entry by which a new leader commits earlier ones."""
    return model.Entry(
        index=state.log.last_index + 1,
        term=state.term,
        kind=model.EntryKind.NOOP,
    )
