"""The state of a replica, as dumps show it."""

import attrs

from shallothinge.consensus import node as nodes
from shallothinge.consensus import quorum
from shallothinge.control import pending


@attrs.frozen(kw_only=True)
class ReplicaDump:
    """The state of a replica.

    ``heard`` and ``losses_borne`` are None where they are unknown, such as
    on a follower; the leader's dump has them.
    """

    replica_id: str
    cluster_id: str
    role: str
    term: int
    leader_id: str
    elected_ms: int | None
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    log_bytes: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    configuration_index: int
    is_configuration_committed: bool
    needed: int
    heard: tuple[str, ...] | None
    silent: tuple[quorum.SilentVoter, ...]
    losses_borne: int | None
    may_be_cut_off: bool
    leaderless_ms: int | None
    pending_proposals: int
    pending_reads: int


def describe(
    *,
    node: nodes.Node,
    view: quorum.QuorumView,
    work: pending.PendingWork,
    applied_index: int,
    elected_ms: int | None,
    log_bytes: int,
) -> ReplicaDump:
    """Return the state of a replica."""
    snapshot = node.snapshot
    return ReplicaDump(
        replica_id=node.replica_id,
        cluster_id=node.cluster_id,
        role=node.role.value,
        term=node.term,
        leader_id=node.leader_id,
        elected_ms=elected_ms,
        commit_index=node.commit_index,
        applied_index=applied_index,
        last_index=node.log.last_index,
        snapshot_index=snapshot.index if snapshot else 0,
        log_bytes=log_bytes,
        voters=view.voters,
        learners=view.learners,
        configuration_index=view.configuration_index,
        is_configuration_committed=view.is_committed,
        needed=view.needed,
        heard=view.heard,
        silent=view.silent,
        losses_borne=view.losses_borne,
        may_be_cut_off=view.may_be_cut_off,
        leaderless_ms=view.leaderless_ms,
        pending_proposals=work.proposals,
        pending_reads=work.reads,
    )
