"""Changes of the configuration, one at a time, through the log."""

from shallothinge.consensus import model
from shallothinge.consensus import replication
from shallothinge.consensus import state as states

# A voter that missed this many heartbeats may be lost. Until that is known a
# learner waits: it is either one voter more, or takes the lost one's place.
DOUBT_HEARTBEATS = 1.5


class Membership:
    """The leader's changes of the set of replicas.

    A replica joins without a vote. When it holds all that is committed the
    leader removes the former replica of the same process, if there is one,
    or one that has been silent for long, and then gives the new one its
    vote.
    """

    def __init__(
        self,
        *,
        state: states.NodeState,
        replication: replication.Replication,
    ):
        self._state = state
        self._replication = replication
        self._promoted_ms: int | None = None

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
        self._promoted_ms = now_ms
        return self._change(
            now_ms,
            voters=(*configuration.voters, replica_id),
            learners=_without(configuration.learners, replica_id),
        )

    def tick(self, now_ms: int) -> None:
        """Promote a learner that has caught up."""
        state = self._state
        if state.leadership is None:
            return
        for learner in state.configuration.learners:
            if self._has_caught_up(learner):
                self._replace_or_promote(now_ms, learner)
                return
        self._remove_replaced(now_ms)

    def _remove_replaced(self, now_ms: int) -> None:
        """Remove a voter that fell silent just as another got its vote.

        The loss could not be seen by then; the new one has its place.
        """
        limit_ms = self._state.timing.replace_silent_ms
        if not limit_ms or self._promoted_ms is None:
            return
        newest_ms = self._promoted_ms + self._state.timing.heartbeat_ms
        for voter in self._state.other_voters:
            heard_ms = self._state.leadership.progress[voter].heard_ms
            if heard_ms <= newest_ms and now_ms - heard_ms > limit_ms:
                self.remove(now_ms, voter)
                return

    def _replace_or_promote(self, now_ms: int, learner: str) -> None:
        process_id = model.process_id_of(learner)
        for voter in self._state.other_voters:
            if model.process_id_of(voter) == process_id:
                self.remove(now_ms, voter)
                return
        doubtful = [
            voter
            for voter in self._state.other_voters
            if self._is_doubtful(now_ms, voter)
        ]
        if not doubtful or not self._state.timing.replace_silent_ms:
            self.promote(now_ms, learner)
            return
        longest = max(doubtful, key=lambda one: self._silent_ms(now_ms, one))
        limit_ms = self._state.timing.replace_silent_ms
        if self._silent_ms(now_ms, longest) > limit_ms:
            self.remove(now_ms, longest)

    def _is_doubtful(self, now_ms: int, voter: str) -> bool:
        """Return whether a voter may be lost.

        One that has not yet answered this leader may be, too.
        """
        doubt_ms = DOUBT_HEARTBEATS * self._state.timing.heartbeat_ms
        progress = self._state.leadership.progress[voter]
        has_answered = progress.match_index > 0
        return not has_answered or self._silent_ms(now_ms, voter) > doubt_ms

    def _silent_ms(self, now_ms: int, voter: str) -> int:
        return now_ms - self._state.leadership.progress[voter].heard_ms

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
        if state.commit_index < state.leadership.first_index:
            return self._refused('the leader has not committed an entry yet')
        if state.commit_index < state.log.configuration_index:
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
            progress = self._state.leadership.progress.get(voter)
            if progress is None:
                heard += voter == self._state.replica_id
            else:
                silent_ms = now_ms - progress.heard_ms
                heard += silent_ms <= self._state.timing.election_min_ms
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
