"""Single-step configuration changes, replicated through the log."""

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import replication
from shallothinge.consensus import state as states


class Membership:
    """Adds, promotes and removes replicas while this replica leads.

    A replica joins as a learner. Once it holds every committed entry, the
    leader removes the earlier replica of the same process, if there is one,
    and promotes the learner. A learner whose vote would make the number of
    voters even stays on standby until a voter becomes unavailable. An
    unavailable voter loses its vote only while there are more than
    ``min_voters`` voters, because it may return with its disk after
    others have lost theirs.
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
        """Add a replica as a learner.

        Another learner of the same process is removed, as its disk is lost.
        """
        configuration = self._state.configuration
        if replica_id in configuration.replicas:
            return self._refuse('the replica is already a member')
        process_id = model.process_id_of(replica_id)
        learners = tuple(
            learner
            for learner in configuration.learners
            if model.process_id_of(learner) != process_id
        )
        return self._append_configuration(
            now_ms,
            voters=configuration.voters,
            learners=(*learners, replica_id),
        )

    def remove(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Remove a replica; a leader must transfer leadership first."""
        configuration = self._state.configuration
        if replica_id == self._state.replica_id:
            return self._refuse('the leader can not remove itself')
        if replica_id not in configuration.replicas:
            return self._refuse('the replica is not a member')
        return self._append_configuration(
            now_ms,
            voters=_without(configuration.voters, replica_id),
            learners=_without(configuration.learners, replica_id),
        )

    def promote(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Make a learner that holds every committed entry a voter."""
        configuration = self._state.configuration
        if replica_id not in configuration.learners:
            return self._refuse('the replica is not a learner')
        if not self._has_caught_up(replica_id):
            return self._refuse('the replica does not hold everything')
        return self._append_configuration(
            now_ms,
            voters=(*configuration.voters, replica_id),
            learners=_without(configuration.learners, replica_id),
        )

    def is_standby_learner(self, replica_id: str) -> bool:
        """Return whether a caught-up learner may stay on standby."""
        if not self._state.timing.replace_silent_ms:
            return False
        return (
            replica_id in self._state.configuration.learners
            and self._has_caught_up(replica_id)
        )

    def tick(self, now_ms: int) -> None:
        """Promote a caught-up learner, or remove an unavailable replica."""
        state = self._state
        if state.leadership is None:
            return
        for learner in self._promotable_learners(now_ms):
            self._replace_or_promote(now_ms, learner)
            return
        if state.timing.replace_silent_ms:
            self._remove_unavailable(now_ms)

    def on_leave_request(
        self, now_ms: int, message: messages.LeaveRequest
    ) -> None:
        """Handle a voter's notice that its process is stopping.

        The answer says whether the leader still needs that voter.
        """
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
        """Return whether the leader needs nothing more of a leaving voter."""
        state = self._state
        if not state.timing.replace_silent_ms:
            return True
        if not state.is_configuration_committed:
            return False
        if voter not in state.configuration.voters:
            return True
        if state.configuration.learners:
            return False
        return not self._removable_voters(now_ms)

    def _remove_unavailable(self, now_ms: int) -> None:
        """Remove one unavailable replica.

        It may only be absent for a time: a replica that returns announces
        itself and joins again.
        """
        limit_ms = self._state.timing.replace_silent_ms
        removable = [
            learner
            for learner in self._state.configuration.learners
            if self._silent_ms(now_ms, learner) > limit_ms
        ]
        removable.extend(self._removable_voters(now_ms))
        if removable:
            self.remove(now_ms, removable[0])

    def _removable_voters(self, now_ms: int) -> list[str]:
        """Return the unavailable voters that may be removed, in order.

        Removing them never enlarges the quorum, and the remaining voters
        tolerate as many failures or more. With one of four voters
        unavailable, all other three are needed; after its removal, any two
        of the three suffice.
        """
        count = len(self._state.configuration.voters)
        unavailable = [
            voter
            for voter in self._state.other_voters
            if self._is_unavailable(now_ms, voter)
        ]
        unavailable.sort(key=lambda one: -self._silent_ms(now_ms, one))
        return unavailable[: max(0, count - self._state.timing.min_voters)]

    def _promotable_learners(self, now_ms: int) -> list[str]:
        """Return the learners to promote, in order.

        An even number of voters tolerates no more failures than the odd
        number below it, and fewer if two voters fail together, as a host
        and its successor in one zone may. A learner promoted in place of an
        unavailable voter does not change the number of remaining voters.
        """
        state = self._state
        ready = [
            learner
            for learner in state.configuration.learners
            if self._is_ready_to_vote(now_ms, learner)
        ]
        if not state.timing.replace_silent_ms:
            return ready
        additional = [one for one in ready if not self._replaced_voter(one)]
        replacements = [one for one in ready if one not in additional]
        unavailable = {self._replaced_voter(one) for one in replacements}
        unavailable.update(
            voter
            for voter in state.other_voters
            if self._is_unavailable(now_ms, voter)
        )
        remaining = len(state.configuration.voters) - len(unavailable)
        is_odd_and_sufficient = (
            remaining >= state.timing.min_voters and remaining % 2 == 1
        )
        if is_odd_and_sufficient and len(additional) == 1:
            return replacements
        return additional + replacements

    def _replaced_voter(self, learner: str) -> str:
        """Return the voter of its process that a learner replaces, or ''."""
        process_id = model.process_id_of(learner)
        for voter in self._state.other_voters:
            if model.process_id_of(voter) == process_id:
                return voter
        return ''

    def _replace_or_promote(self, now_ms: int, learner: str) -> None:
        former = self._replaced_voter(learner)
        if former:
            self.remove(now_ms, former)
        else:
            self.promote(now_ms, learner)

    def _is_unavailable(self, now_ms: int, voter: str) -> bool:
        """Return whether a voter is silent for too long or is leaving."""
        limit_ms = self._state.timing.replace_silent_ms
        is_silent = self._silent_ms(now_ms, voter) > limit_ms
        return is_silent or self._is_leaving(voter)

    def _is_leaving(self, voter: str) -> bool:
        """Return whether a voter announced its stop and has not returned."""
        progress = self._state.leadership.progress[voter]
        return progress.is_leaving(self._state.timing)

    def _silent_ms(self, now_ms: int, voter: str) -> int:
        return now_ms - self._state.leadership.progress[voter].last_contact_ms

    def _is_ready_to_vote(self, now_ms: int, learner: str) -> bool:
        """Return whether a learner is alive and has caught up."""
        return self._is_alive(now_ms, learner) and self._has_caught_up(learner)

    def _is_alive(self, now_ms: int, replica_id: str) -> bool:
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

    def _append_configuration(
        self, now_ms: int, *, voters: tuple, learners: tuple
    ) -> model.Proposed | model.ProposalRefused:
        """Append a configuration if it is safe to change it now.

        It is refused while an earlier change may still fail: majorities of
        two configurations are sure to overlap only if these differ by one
        voter and the earlier one is committed.
        """
        state = self._state
        if state.leadership is None:
            return self._refuse('not the leader')
        if state.leadership.transfer_to:
            # The successor would lack the entry and lose the election.
            return self._refuse('the leader is handing over')
        if state.commit_index < state.leadership.first_index:
            return self._refuse('the leader has not committed an entry yet')
        if not state.is_configuration_committed:
            return self._refuse('another change is under way')
        configuration = model.Configuration(voters=voters, learners=learners)
        if not self._has_reachable_quorum(now_ms, configuration):
            return self._refuse('no majority of the new voters is heard')
        self._update_progress(now_ms, configuration)
        return self._replication.append(
            kind=model.EntryKind.CONFIGURATION, configuration=configuration
        )

    def _has_reachable_quorum(
        self, now_ms: int, configuration: model.Configuration
    ) -> bool:
        """Return whether a majority of a configuration's voters is alive.

        Removing a healthy replica while others are unavailable would leave
        an entry that no majority can commit or replace.
        """
        alive = 0
        for voter in configuration.voters:
            if voter == self._state.replica_id:
                alive += 1
            elif voter in self._state.leadership.progress:
                alive += self._is_alive(now_ms, voter)
        return alive >= configuration.quorum

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
                next_index=state.log.last_index + 1, last_contact_ms=now_ms
            )
        state.leadership.progress = progress

    def _refuse(self, reason: str) -> model.ProposalRefused:
        self._state.peer_activity.change_refusals.add(reason)
        return model.ProposalRefused(
            leader_id=self._state.leader_id, reason=reason
        )


def _without(replica_ids: tuple[str, ...], dropped: str) -> tuple[str, ...]:
    return tuple(one for one in replica_ids if one != dropped)
