"""Changes of the configuration, one at a time, through the log."""

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import replication
from shallothinge.consensus import state as states


class Membership:
    """The leader's changes of the set of replicas.

    A replica joins without a vote. When it holds all that is committed the
    leader removes the former replica of the same process, if there is one,
    and gives the new one its vote, unless it would be the one that makes
    the number of voters even: it then stands by until a voter is gone. A
    voter that is gone loses its vote while more than ``least_voters`` are
    left: it may come back with its disk when others have lost theirs.
    """

    def __init__(
        self,
        *,
        state: states.NodeState,
        replication: replication.Replication,
    ):
        self._state = state
        self._replication = replication

    def add_learner(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Let a replica join without a vote.

        Another learner of the same process is dropped, as its disk is gone.
        """
        configuration = self._state.configuration
        if replica_id in configuration.replicas:
            return self._refused('the replica is already a member')
        process_id = model.process_id_of(replica_id)
        learners = tuple(
            learner
            for learner in configuration.learners
            if model.process_id_of(learner) != process_id
        )
        return self._change(
            now_ms,
            voters=configuration.voters,
            learners=(*learners, replica_id),
        )

    def remove(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Remove a replica; a leader has to hand over first."""
        configuration = self._state.configuration
        if replica_id == self._state.replica_id:
            return self._refused('the leader can not remove itself')
        if replica_id not in configuration.replicas:
            return self._refused('the replica is not a member')
        return self._change(
            now_ms,
            voters=_without(configuration.voters, replica_id),
            learners=_without(configuration.learners, replica_id),
        )

    def promote(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Give a vote to a learner that holds all that is committed."""
        configuration = self._state.configuration
        if replica_id not in configuration.learners:
            return self._refused('the replica is not a learner')
        if not self._has_caught_up(replica_id):
            return self._refused('the replica does not hold everything')
        return self._change(
            now_ms,
            voters=(*configuration.voters, replica_id),
            learners=_without(configuration.learners, replica_id),
        )

    def stands_by(self, replica_id: str) -> bool:
        """Return whether a learner holds everything and may get no vote."""
        if not self._state.timing.replace_silent_ms:
            return False
        return (
            replica_id in self._state.configuration.learners
            and self._has_caught_up(replica_id)
        )

    def tick(self, now_ms: int) -> None:
        """Promote a learner that has caught up; remove what is gone."""
        state = self._state
        if state.leadership is None:
            return
        for learner in self._next_voters(now_ms):
            self._replace_or_promote(now_ms, learner)
            return
        if state.timing.replace_silent_ms:
            self._remove_gone(now_ms)

    def on_leave_request(
        self, now_ms: int, message: messages.LeaveRequest
    ) -> None:
        """Do without a voter that stops, and tell it once that is done."""
        state = self._state
        if state.leadership is None:
            return
        if state.leadership.transfer_to == message.sender_id:
            state.leadership.transfer_to = ''
        progress = state.leadership.progress.get(message.sender_id)
        if progress is not None:
            progress.leaving_ms = now_ms
            self.tick(now_ms)
        state.send(
            messages.LeaveAnswer,
            target_id=message.sender_id,
            settled=self._is_settled(now_ms, message.sender_id),
        )

    def _is_settled(self, now_ms: int, voter: str) -> bool:
        """Return whether no change waits for a voter that leaves."""
        state = self._state
        if not state.timing.replace_silent_ms:
            return True
        if not state.is_configuration_committed:
            return False
        if voter not in state.configuration.voters:
            return True
        if state.configuration.learners:
            return False
        return not self._gone_voters(now_ms)

    def _remove_gone(self, now_ms: int) -> None:
        """Remove one replica that is gone.

        It need not be gone for good: one that returns announces itself.
        """
        limit_ms = self._state.timing.replace_silent_ms
        gone = [
            learner
            for learner in self._state.configuration.learners
            if self._silent_ms(now_ms, learner) > limit_ms
        ]
        gone.extend(self._gone_voters(now_ms))
        if gone:
            self.remove(now_ms, gone[0])

    def _gone_voters(self, now_ms: int) -> list[str]:
        """Return the voters that are gone, the first to be removed first.

        Without them a majority is as large or smaller, and the others bear
        as many losses or more: of four voters of which one is gone all
        others are needed; of the three that are left, any two.
        """
        count = len(self._state.configuration.voters)
        gone = [
            voter
            for voter in self._state.other_voters
            if self._is_gone(now_ms, voter)
        ]
        gone.sort(key=lambda one: -self._silent_ms(now_ms, one))
        return gone[: max(0, count - self._state.timing.least_voters)]

    def _next_voters(self, now_ms: int) -> list[str]:
        """Return the learners that may have a vote, the first one first.

        An even number of voters bears no more losses than one less, and
        fewer where two of them are lost together, as a host and its
        successor in one zone. A vote given as another one is gone keeps
        the number that is left.
        """
        state = self._state
        ready = [
            learner
            for learner in state.configuration.learners
            if self._is_ready_to_vote(now_ms, learner)
        ]
        if not state.timing.replace_silent_ms:
            return ready
        fresh = [one for one in ready if not self._former_voter(one)]
        replacing = [one for one in ready if one not in fresh]
        gone = {self._former_voter(one) for one in replacing}
        gone.update(
            voter
            for voter in state.other_voters
            if self._is_gone(now_ms, voter)
        )
        left = len(state.configuration.voters) - len(gone)
        is_enough = left >= state.timing.least_voters and left % 2 == 1
        if is_enough and len(fresh) == 1:
            return replacing
        return fresh + replacing

    def _former_voter(self, learner: str) -> str:
        """Return the voter whose data folder a learner's replaces, or ''."""
        process_id = model.process_id_of(learner)
        for voter in self._state.other_voters:
            if model.process_id_of(voter) == process_id:
                return voter
        return ''

    def _replace_or_promote(self, now_ms: int, learner: str) -> None:
        former = self._former_voter(learner)
        if former:
            self.remove(now_ms, former)
        else:
            self.promote(now_ms, learner)

    def _is_gone(self, now_ms: int, voter: str) -> bool:
        """Return whether a voter was silent for long, or stops."""
        limit_ms = self._state.timing.replace_silent_ms
        is_silent = self._silent_ms(now_ms, voter) > limit_ms
        return is_silent or self._is_leaving(voter)

    def _is_leaving(self, voter: str) -> bool:
        """Return whether a voter said that it stops and was not back since."""
        progress = self._state.leadership.progress[voter]
        return progress.is_leaving(self._state.timing)

    def _silent_ms(self, now_ms: int, voter: str) -> int:
        return now_ms - self._state.leadership.progress[voter].heard_ms

    def _is_ready_to_vote(self, now_ms: int, learner: str) -> bool:
        """Return whether a vote would go to a replica that lives."""
        return self._is_heard(now_ms, learner) and self._has_caught_up(learner)

    def _is_heard(self, now_ms: int, replica_id: str) -> bool:
        silent_ms = self._silent_ms(now_ms, replica_id)
        return silent_ms <= self._state.timing.election_min_ms

    def _has_caught_up(self, replica_id: str) -> bool:
        state = self._state
        if state.leadership is None:
            return False
        if state.commit_index < state.leadership.first_index:
            return False
        progress = state.leadership.progress[replica_id]
        return progress.match_index >= state.commit_index

    def _change(
        self, now_ms: int, *, voters: tuple, learners: tuple
    ) -> model.Proposed | model.ProposalRefused:
        """Append a configuration unless an earlier one may still fail.

        Majorities of two configurations overlap only if they differ by
        one vote, and only counting from a configuration that is committed.
        """
        state = self._state
        if state.leadership is None:
            return self._refused('not the leader')
        if state.leadership.transfer_to:
            # The successor would lack the entry, and not be voted for.
            return self._refused('the leader is handing over')
        if state.commit_index < state.leadership.first_index:
            return self._refused('the leader has not committed an entry yet')
        if not state.is_configuration_committed:
            return self._refused('another change is under way')
        configuration = model.Configuration(voters=voters, learners=learners)
        if not self._is_reachable(now_ms, configuration):
            return self._refused('no majority of the new voters is heard')
        self._update_progress(now_ms, configuration)
        return self._replication.append(
            kind=model.EntryKind.CONFIGURATION, configuration=configuration
        )

    def _is_reachable(
        self, now_ms: int, configuration: model.Configuration
    ) -> bool:
        """Return whether the change could be committed at present.

        Removing a healthy replica while others are lost would leave an
        entry that no majority can commit or replace.
        """
        heard = 0
        for voter in configuration.voters:
            if voter == self._state.replica_id:
                heard += 1
            elif voter in self._state.leadership.progress:
                heard += self._is_heard(now_ms, voter)
        return heard >= configuration.quorum

    def _update_progress(
        self, now_ms: int, configuration: model.Configuration
    ) -> None:
        state = self._state
        former = state.leadership.progress
        progress = {}
        for replica_id in configuration.replicas:
            if replica_id == state.replica_id:
                continue
            progress[replica_id] = former.get(replica_id) or states.Progress(
                next_index=state.log.last_index + 1, heard_ms=now_ms
            )
        state.leadership.progress = progress

    def _refused(self, reason: str) -> model.ProposalRefused:
        self._state.sightings.change_refusals.add(reason)
        return model.ProposalRefused(
            leader_id=self._state.leader_id, reason=reason
        )


def _without(replica_ids: tuple[str, ...], dropped: str) -> tuple[str, ...]:
    return tuple(one for one in replica_ids if one != dropped)
