"""Reports the voters, the quorum size and which voters are heard."""

import attrs

from shallothinge.consensus import model
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Role

# In election timeouts. Without a leader each voter requests or answers a
# vote once in each of them; two allow for the loss of one such message.
SILENCE_TIMEOUTS = 2


@attrs.frozen(kw_only=True)
class SilentVoter:
    """A voter that was not heard recently.

    ``silent_ms`` is the time since it was last heard, or since the start of
    this process if it never was. It includes periods in which the voter had
    no reason to send to this replica: followers of the same leader send
    nothing to each other. ``unanswered_ms`` includes only the time for
    which this replica has been leader or has requested votes.
    """

    replica_id: str
    silent_ms: int
    unanswered_ms: int


@attrs.frozen(kw_only=True)
class QuorumView:
    """What one replica knows about the voters.

    ``heard`` includes the replica itself. It is None if unknown: on a
    follower of a known leader, on a replica without a vote, and for a short
    time after a leader was lost or elected. ``leaderless_ms`` is how long
    no leader has been known, or None if one is known.
    ``is_leaderless_for_long`` is set once every live voter should have been
    heard in that time. ``refusals`` holds the voters that refused their
    vote, each with the reason that it gave.
    """

    replica_id: str
    term: int
    leader_id: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    configuration_index: int
    is_committed: bool
    heard: tuple[str, ...] | None
    silent: tuple[SilentVoter, ...]
    leaderless_ms: int | None
    is_leaderless_for_long: bool
    elections_asked: int
    refusals: tuple[tuple[str, str], ...]

    @property
    def needed(self) -> int:
        """Return the size of a majority, or 0 without a cluster."""
        return model.majority_of(len(self.voters)) if self.voters else 0

    @property
    def losses_borne(self) -> int | None:
        """Return how many more voters may fail before quorum is lost.

        A negative number is how many voters are missing for a quorum. None
        if it is not known which voters are heard.
        """
        return None if self.heard is None else len(self.heard) - self.needed

    @property
    def may_be_cut_off(self) -> bool:
        """Return whether no other voter is heard.

        The others may then be healthy and this replica be partitioned from
        them.
        """
        return len(self.voters) > 1 and self.heard == (self.replica_id,)

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return self.leader_id == self.replica_id


def build_quorum_view(state: states.NodeState, now_ms: int) -> QuorumView:
    """Return what a replica knows about the voters."""
    activity = state.peer_activity
    since_ms = activity.leaderless_since_ms
    leaderless_ms = None if since_ms is None else now_ms - since_ms
    heard, silent = _heard_and_silent(state, now_ms)
    voters = state.configuration.voters
    return QuorumView(
        replica_id=state.replica_id,
        term=state.term,
        leader_id=state.leader_id,
        voters=voters,
        learners=state.configuration.learners,
        configuration_index=state.log.configuration_index,
        is_committed=state.is_configuration_committed,
        heard=heard,
        silent=silent,
        leaderless_ms=leaderless_ms,
        is_leaderless_for_long=(
            leaderless_ms is not None
            and leaderless_ms
            >= SILENCE_TIMEOUTS * state.timing.election_max_ms
        ),
        elections_asked=activity.elections_asked,
        refusals=tuple(
            (voter, reason)
            for voter, reason in activity.refusals.items()
            if voter in voters
        ),
    )


def _heard_and_silent(
    state: states.NodeState, now_ms: int
) -> tuple[tuple[str, ...] | None, tuple[SilentVoter, ...]]:
    limit_ms = _silence_limit_ms(state, now_ms)
    if limit_ms is None:
        return None, ()
    heard = []
    silent = []
    expecting_replies_ms = now_ms - _expecting_replies_since_ms(state)
    for voter in state.configuration.voters:
        silent_ms = now_ms - _last_heard_ms(state, voter)
        if voter == state.replica_id or silent_ms <= limit_ms:
            heard.append(voter)
        else:
            silent.append(
                SilentVoter(
                    replica_id=voter,
                    silent_ms=silent_ms,
                    unanswered_ms=min(silent_ms, expecting_replies_ms),
                )
            )
    return tuple(heard), tuple(silent)


def _silence_limit_ms(state: states.NodeState, now_ms: int) -> int | None:
    """Return the silence in ms after which a voter counts as not heard.

    :returns: None if this cannot be judged: without a vote, as a follower
        of a known leader, and while a live voter may not have sent yet.
    """
    election_max_ms = state.timing.election_max_ms
    if not state.is_voter:
        return None
    if state.role is Role.LEADER:
        led_ms = now_ms - state.leadership.elected_ms
        return election_max_ms if led_ms >= election_max_ms else None
    limit_ms = SILENCE_TIMEOUTS * election_max_ms
    since_ms = state.peer_activity.campaigning_since_ms
    if since_ms is None or now_ms - since_ms < limit_ms:
        return None
    return limit_ms


def _expecting_replies_since_ms(state: states.NodeState) -> int:
    """Return since when the other voters have had a reason to reply."""
    if state.leadership is not None:
        return state.leadership.elected_ms
    return state.peer_activity.campaigning_since_ms


def _last_heard_ms(state: states.NodeState, voter: str) -> int:
    """Return when a voter was last heard.

    A leader counts only answers to its own messages, because a voter that
    it cannot reach may still send vote requests. Before a voter's first
    answer to this leader, the time of its last message of any kind counts.
    """
    activity = state.peer_activity
    started_ms = activity.started_ms or 0
    if state.leadership is not None:
        progress = state.leadership.progress.get(voter)
        if progress and progress.last_contact_ms > state.leadership.elected_ms:
            return progress.last_contact_ms
    return activity.last_heard_ms.get(voter, started_ms)
