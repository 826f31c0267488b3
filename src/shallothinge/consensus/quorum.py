"""Who has a vote, how many are needed, and how many are heard."""

import attrs

from shallothinge.consensus import model
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Role

# Without a leader each voter asks or answers once in an election timeout;
# one such message may be lost.
HEARD_TIMEOUTS = 2


@attrs.frozen(kw_only=True)
class SilentVoter:
    """A voter that was not heard lately.

    ``silent_ms`` counts from the start of this process at the earliest. It
    covers times in which the voter had no reason to send here, as followers
    of one leader have none. ``unanswered_ms`` covers only the time for which
    this replica has led or asked for votes.
    """

    replica_id: str
    silent_ms: int
    unanswered_ms: int


@attrs.frozen(kw_only=True)
class QuorumView:
    """What one replica knows of the voters.

    ``heard`` includes the replica itself. It is None where it is not
    known: at a host that follows a leader, or has no vote, and for a while
    after the leader was lost or elected. ``leaderless_ms`` is for how long
    no leader is known, or None; for long, if each voter that lives should
    have been heard by then. ``refusals`` are voters that refused their
    vote, with the reason that they gave.
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
        """Return how many votes are a majority; 0 without a cluster."""
        return model.majority_of(len(self.voters)) if self.voters else 0

    @property
    def losses_borne(self) -> int | None:
        """Return how many more voters may be lost; below 0, how many lack.

        None where it is not known which voters are heard.
        """
        return None if self.heard is None else len(self.heard) - self.needed

    @property
    def may_be_cut_off(self) -> bool:
        """Return whether none of the other voters is heard.

        The others may be well then, and this replica cut off from them.
        """
        return len(self.voters) > 1 and self.heard == (self.replica_id,)

    @property
    def leads(self) -> bool:
        """Return whether this replica is the leader."""
        return self.leader_id == self.replica_id


def view_of(state: states.NodeState, now_ms: int) -> QuorumView:
    """Return what a replica knows of the voters."""
    sightings = state.sightings
    since_ms = sightings.leaderless_since_ms
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
            and leaderless_ms >= HEARD_TIMEOUTS * state.timing.election_max_ms
        ),
        elections_asked=sightings.elections_asked,
        refusals=tuple(
            (voter, reason)
            for voter, reason in sightings.refusals.items()
            if voter in voters
        ),
    )


def _heard_and_silent(
    state: states.NodeState, now_ms: int
) -> tuple[tuple[str, ...] | None, tuple[SilentVoter, ...]]:
    limit_ms = _limit_ms(state, now_ms)
    if limit_ms is None:
        return None, ()
    heard = []
    silent = []
    asked_ms = now_ms - _asking_since_ms(state)
    for voter in state.configuration.voters:
        silent_ms = now_ms - _heard_ms(state, voter)
        if voter == state.replica_id or silent_ms <= limit_ms:
            heard.append(voter)
        else:
            silent.append(
                SilentVoter(
                    replica_id=voter,
                    silent_ms=silent_ms,
                    unanswered_ms=min(silent_ms, asked_ms),
                )
            )
    return tuple(heard), tuple(silent)


def _limit_ms(state: states.NodeState, now_ms: int) -> int | None:
    """Return the silence after which a voter is not heard.

    :returns: None while a voter that lives may not have been heard yet.
    """
    election_max_ms = state.timing.election_max_ms
    if not state.is_voter:
        return None
    if state.role is Role.LEADER:
        led_ms = now_ms - state.leadership.elected_ms
        return election_max_ms if led_ms >= election_max_ms else None
    limit_ms = HEARD_TIMEOUTS * election_max_ms
    since_ms = state.sightings.asking_since_ms
    if since_ms is None or now_ms - since_ms < limit_ms:
        return None
    return limit_ms


def _asking_since_ms(state: states.NodeState) -> int:
    """Return since when the other voters have had a reason to answer."""
    if state.leadership is not None:
        return state.leadership.elected_ms
    return state.sightings.asking_since_ms


def _heard_ms(state: states.NodeState, voter: str) -> int:
    """Return when a voter was heard last.

    A leader counts answers only: one that can not be reached may still
    ask for votes. Before the first answer its sighting is older.
    """
    sightings = state.sightings
    started_ms = sightings.started_ms or 0
    if state.leadership is not None:
        progress = state.leadership.progress.get(voter)
        if progress and progress.heard_ms > state.leadership.elected_ms:
            return progress.heard_ms
    return sightings.heard_ms.get(voter, started_ms)
