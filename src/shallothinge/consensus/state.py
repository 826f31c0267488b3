"""State that the components of one replica share."""

import random

import attrs

from shallothinge.consensus import log as logs
from shallothinge.consensus import model
from shallothinge.consensus import peer_activity
from shallothinge.consensus.model import Role

# A voter that sends a message more than this many heartbeat intervals after
# its last leave request has returned: messages that it sent before the request
# arrive sooner.
LEAVING_GRACE_HEARTBEATS = 2
# Lower bound of the first election timeout: by then a heartbeat of a live
# leader has arrived.
FIRST_ELECTION_MIN_HEARTBEATS = 2


@attrs.define(kw_only=True)
class Progress:
    """A leader's view of another replica's replication progress.

    ``last_contact_ms`` is when the replica last answered, or at first when
    the leader began to track it. ``leaving_ms`` is when it last announced
    its shutdown. ``acked_round`` is the newest heartbeat round that it has
    acknowledged. ``in_flight`` is set while a request awaits an answer.
    ``snapshot`` is the one being transferred, ``offset_bytes`` how much of
    it the replica has received.
    """

    next_index: int
    last_contact_ms: int
    leaving_ms: int | None = None
    match_index: int = 0
    acked_round: int = 0
    last_sent_ms: int | None = None
    last_sent_index: int = 0
    in_flight: bool = False
    snapshot: model.Snapshot | None = None
    offset_bytes: int = 0

    def is_leaving(self, timing: model.Timing) -> bool:
        """Return whether it announced a shutdown and has not returned."""
        if self.leaving_ms is None:
            return False
        grace_ms = LEAVING_GRACE_HEARTBEATS * timing.heartbeat_ms
        return self.last_contact_ms - self.leaving_ms <= grace_ms


@attrs.define(kw_only=True)
class PendingRead:
    """A read that waits for a majority to acknowledge its round."""

    read_id: str
    index: int
    round: int


@attrs.define(kw_only=True)
class Leadership:
    """State that a replica has only while it is the leader.

    ``first_index`` is the index of its first entry. ``transfer_to`` is the
    target of a leadership transfer, or ''.
    """

    first_index: int
    elected_ms: int
    progress: dict[str, Progress] = attrs.field(factory=dict)
    round: int = 0
    reads: list[PendingRead] = attrs.field(factory=list)
    transfer_to: str = ''
    transfer_deadline_ms: int = 0


class NodeState:
    """Term, vote, log and role of one replica, and its pending effects.

    ``delivered_index`` is the index of the last committed entry that was
    handed to the owner, by ``take_effects`` or within a snapshot.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        rng: random.Random,
        timing: model.Timing,
        restored: model.Restored,
    ):
        self.replica_id = replica_id
        self.rng = rng
        self.timing = timing
        self.cluster = restored.cluster
        self.term = restored.hard_state.term
        self.voted_for = restored.hard_state.voted_for
        self.snapshot = restored.snapshot
        self.log = _restored_log(restored)
        self.commit_index = restored.snapshot.index if self.snapshot else 0
        self.delivered_index = self.commit_index
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.leadership: Leadership | None = None
        self.last_leader_contact_ms: int | None = None
        self.election_due_ms: int | None = None
        self.records = []
        self.messages = []
        self.confirmed_reads = []
        self.failed_reads = []
        self.installed_snapshot: model.Snapshot | None = None
        self.role_changed = False
        self.peer_activity = peer_activity.PeerActivity()
        self.is_leaving = False

    @property
    def cluster_id(self) -> str:
        """Return the cluster's id, or '' if the replica has none yet."""
        return self.cluster.cluster_id if self.cluster else ''

    @property
    def configuration(self) -> model.Configuration:
        """Return the newest configuration in the log."""
        return self.log.configuration

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the newest configuration is committed."""
        return self.commit_index >= self.log.configuration_index

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter according to its log."""
        return self.replica_id in self.configuration.voters

    @property
    def other_voters(self) -> tuple[str, ...]:
        """Return all voters except this replica."""
        return tuple(
            voter
            for voter in self.configuration.voters
            if voter != self.replica_id
        )

    def send(self, message_type: type, *, target_id: str, **fields) -> None:
        """Queue a message, to be sent after the records are synced."""
        message = message_type(
            cluster_id=self.cluster_id,
            sender_id=self.replica_id,
            target_id=target_id,
            **fields,
        )
        self.messages.append(message)

    def set_term(self, term: int, *, voted_for: str = '') -> None:
        """Set the term and the vote, and queue a record of both."""
        self.term = term
        self.voted_for = voted_for
        self.records.append(model.HardState(term=term, voted_for=voted_for))

    def append(self, entry: model.Entry) -> None:
        """Append an entry to the log and queue its record."""
        self.log.append(entry)
        self.records.append(entry)

    def set_role(self, role: Role, *, leader_id: str = '') -> None:
        """Set the role and the known leader.

        The pending reads of a leader that steps down fail.
        """
        if role is not Role.LEADER and self.leadership is not None:
            for read in self.leadership.reads:
                self.failed_reads.append(read.read_id)
            self.leadership = None
        if (role, leader_id) != (self.role, self.leader_id):
            self.role = role
            self.leader_id = leader_id
            self.role_changed = True

    def follow(self, *, now_ms: int, term: int, leader_id: str = '') -> None:
        """Become a follower, and adopt the term if it is newer.

        :param leader_id: the leader that sent a message, or '' if the
            message came from another replica.
        """
        if term > self.term:
            self.set_term(term)
            self.set_role(Role.FOLLOWER)
        if leader_id:
            self.last_leader_contact_ms = now_ms
            self.reset_election_timer(now_ms=now_ms)
        self.set_role(Role.FOLLOWER, leader_id=leader_id)

    def reset_election_timer(self, *, now_ms: int) -> None:
        """Restart the election timer with a random timeout."""
        timeout_ms = self.rng.randint(
            self.timing.election_min_ms, self.timing.election_max_ms
        )
        self.election_due_ms = now_ms + timeout_ms

    def start_election_timer(self, *, now_ms: int) -> None:
        """Start the election timer for the first time in this process.

        The timeout is at most ``first_election_ms``, if that is set.
        """
        if not self.timing.first_election_ms:
            self.reset_election_timer(now_ms=now_ms)
            return
        timeout_ms = self.rng.randint(
            FIRST_ELECTION_MIN_HEARTBEATS * self.timing.heartbeat_ms,
            self.timing.first_election_ms,
        )
        self.election_due_ms = now_ms + timeout_ms

    def commit_to(self, index: int) -> None:
        """Advance the commit index; it never moves back."""
        self.commit_index = max(self.commit_index, index)

    def take_effects(self) -> model.Effects:
        """Return the pending effects and clear them."""
        first = self.delivered_index + 1
        committed = self.log.entries_between(first, self.commit_index)
        self.delivered_index = self.commit_index
        effects = model.Effects(
            snapshot=self.installed_snapshot,
            records=tuple(self.records),
            messages=tuple(self.messages),
            committed=committed,
            reads=tuple(self.confirmed_reads),
            failed_reads=tuple(self.failed_reads),
            role=self._take_role_change(),
        )
        self.installed_snapshot = None
        self.records.clear()
        self.messages.clear()
        self.confirmed_reads.clear()
        self.failed_reads.clear()
        return effects

    def _take_role_change(self) -> model.RoleChanged | None:
        if not self.role_changed:
            return None
        self.role_changed = False
        return model.RoleChanged(
            role=self.role, term=self.term, leader_id=self.leader_id
        )


def _restored_log(restored: model.Restored) -> logs.Log:
    """Return the stored log, or an empty one that starts at the snapshot.

    A crash between storing a received snapshot and rewriting the log file
    leaves entries that the snapshot replaces.

    :raises ValueError: if entries between the snapshot and the log are
        missing.
    """
    log = logs.Log(base=restored.base, entries=restored.entries)
    snapshot = restored.snapshot
    if snapshot is None or log.holds(index=snapshot.index, term=snapshot.term):
        return log
    if restored.base.index > snapshot.index:
        raise ValueError('log entries after the snapshot are missing')
    base = model.LogBase(
        index=snapshot.index,
        term=snapshot.term,
        configuration=snapshot.configuration,
    )
    return logs.Log(base=base)
