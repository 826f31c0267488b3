"""A replica of the log, as a state machine that performs no I/O.

Calls change the node's state, and ``take_effects`` returns the effects that
they require. The owner must sync the records to disk before it sends any of
the messages.
"""

import random

from shallothinge.consensus import election
from shallothinge.consensus import founding
from shallothinge.consensus import leaving
from shallothinge.consensus import membership
from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import quorum
from shallothinge.consensus import reads
from shallothinge.consensus import replication
from shallothinge.consensus import snapshots
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Role

# A voter that has not answered for this many heartbeat intervals may be down.
CONTACT_TIMEOUT_HEARTBEATS = 1.5
# A term that is ahead by more is a fault, as each election adds 1. The terms
# after it would soon not fit into messages, and no leader could be elected.
MAX_TERMS_AHEAD = 2**32


class Node:
    """One replica of the log.

    :param replica_id: identity of the data folder.
    :param rng: random source for the election timeouts.
    :param timing: timeouts and size limits of the protocol.
    :param restored: state that was read from the data folder.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        rng: random.Random,
        timing: model.Timing,
        restored: model.Restored,
    ):
        self._state = states.NodeState(
            replica_id=replica_id, rng=rng, timing=timing, restored=restored
        )
        self._election = election.Election(
            state=self._state, on_elected=self._become_leader
        )
        self._snapshot_sender = snapshots.SnapshotSender(state=self._state)
        self._snapshot_receiver = snapshots.SnapshotReceiver(state=self._state)
        self._replication = replication.Replication(
            state=self._state, snapshot_sender=self._snapshot_sender
        )
        self._reads = reads.Reads(state=self._state)
        self._membership = membership.Membership(
            state=self._state, replication=self._replication
        )
        self._leaving = leaving.Leaving(state=self._state)
        self._handlers = {
            messages.PreVoteRequest: self._election.on_pre_vote_request,
            messages.PreVoteAnswer: self._election.on_pre_vote_answer,
            messages.VoteRequest: self._election.on_vote_request,
            messages.VoteAnswer: self._election.on_vote_answer,
            messages.TransferRequest: self._election.on_transfer_request,
            messages.AppendRequest: self._replication.on_append_request,
            messages.SnapshotChunk: self._snapshot_receiver.on_chunk,
            messages.AppendAnswer: self._on_replication_answer,
            messages.SnapshotAnswer: self._on_replication_answer,
            messages.LeaveRequest: self._membership.on_leave_request,
            messages.LeaveAnswer: self._leaving.on_answer,
        }

    @property
    def replica_id(self) -> str:
        """Return the identity of this replica."""
        return self._state.replica_id

    @property
    def cluster_id(self) -> str:
        """Return the cluster's id, or '' if it has none yet."""
        return self._state.cluster_id

    @property
    def role(self) -> Role:
        """Return the role in the current term."""
        return self._state.role

    @property
    def term(self) -> int:
        """Return the highest term that this replica has seen."""
        return self._state.term

    @property
    def leader_id(self) -> str:
        """Return the id of the current leader, or '' if unknown."""
        return self._state.leader_id

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def first_index_of_term(self) -> int:
        """Return the index of the leader's first entry, 0 on a non-leader."""
        leadership = self._state.leadership
        return leadership.first_index if leadership else 0

    @property
    def has_no_leader(self) -> bool:
        """Return whether this replica knows no leader.

        This holds during an election. It also holds if the replica was not
        added yet, if the change that added it was not committed, or if it
        was removed and did not receive that change.
        """
        return not self._state.leader_id

    @property
    def is_transferring_leadership(self) -> bool:
        """Return whether a leadership transfer is in progress."""
        leadership = self._state.leadership
        return leadership is not None and bool(leadership.transfer_to)

    @property
    def is_leaving(self) -> bool:
        """Return whether the process of this replica is shutting down."""
        return self._state.is_leaving

    @property
    def is_leave_settled(self) -> bool:
        """Return whether the cluster no longer needs this replica.

        It stays False until ``leave`` is called.
        """
        return self._leaving.is_settled

    @property
    def timing(self) -> model.Timing:
        """Return the timeouts and size limits of the protocol."""
        return self._state.timing

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the newest configuration is committed."""
        return self._state.is_configuration_committed

    @property
    def configuration(self) -> model.Configuration:
        """Return the newest configuration in the log."""
        return self._state.configuration

    @property
    def log(self):
        """Return the log; callers must not modify it."""
        return self._state.log

    @property
    def snapshot(self) -> model.Snapshot | None:
        """Return the newest snapshot."""
        return self._state.snapshot

    def quorum(self, now_ms: int) -> quorum.QuorumView:
        """Return the voters and which of them are in contact."""
        return quorum.build_quorum_view(self._state, now_ms)

    def last_answer_ms(self, replica_id: str) -> int | None:
        """Return when a member last answered this leader.

        :returns: the time in ms, or None if this replica does not lead or
            does not replicate to the member.
        """
        leadership = self._state.leadership
        if leadership is None or replica_id not in leadership.progress:
            return None
        return leadership.progress[replica_id].last_contact_ms

    def take_change_refusals(self) -> tuple[str, ...]:
        """Return and clear the reasons for refused configuration changes."""
        reasons = tuple(sorted(self._state.peer_activity.change_refusals))
        self._state.peer_activity.change_refusals.clear()
        return reasons

    def tick(self, now_ms: int) -> None:
        """Run the timers that are due, such as the election timeout."""
        self._election.tick(now_ms)
        self._membership.tick(now_ms)
        self._state.peer_activity.tick(
            now_ms, leader_id=self.leader_id, is_voter=self._state.is_voter
        )
        self._tick_transfer(now_ms)
        self._leaving.tick()

    def receive(self, now_ms: int, sender_id: str, message: object) -> None:
        """Process a message from another replica.

        Messages that are addressed to another replica, carry another
        cluster's id, a false sender id or an impossible term are dropped.
        """
        if message.sender_id != sender_id:
            return
        if message.target_id != self.replica_id:
            return
        term = getattr(message, 'term', self.term)
        if not 0 <= term <= self.term + MAX_TERMS_AHEAD:
            return
        if isinstance(message, messages.FoundingRequest):
            self._on_founding_request(message)
            return
        if not self._accept_cluster(message):
            return
        self._state.peer_activity.record_message(
            now_ms, message.sender_id, self.configuration
        )
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(now_ms, message)

    def propose(
        self, now_ms: int, command: bytes
    ) -> model.Proposed | model.ProposalRefused:
        """Append a command to the log.

        It is refused unless this replica is the leader and no leadership
        transfer is in progress.
        """
        state = self._state
        if state.role is not Role.LEADER:
            return model.ProposalRefused(leader_id=state.leader_id)
        if state.leadership.transfer_to:
            return model.ProposalRefused(
                leader_id=state.leadership.transfer_to,
                reason='the leader is handing over',
            )
        return self._replication.append(
            kind=model.EntryKind.COMMAND, data=command
        )

    def request_read(self, now_ms: int, read_id: str) -> None:
        """Request a read that is confirmed by a quorum.

        The outcome is in ``reads`` or ``failed_reads`` of the effects.
        """
        self._reads.request(read_id)

    def add_learner(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Add a replica as a learner; it is promoted once it catches up."""
        return self._membership.add_learner(now_ms, replica_id)

    def remove(
        self, now_ms: int, replica_id: str
    ) -> model.Proposed | model.ProposalRefused:
        """Remove a replica from the configuration."""
        return self._membership.remove(now_ms, replica_id)

    def is_standby_learner(self, replica_id: str) -> bool:
        """Return whether a learner is up to date and waits for a vote.

        It gets one when a voter is gone.
        """
        return self._membership.is_standby_learner(replica_id)

    def transfer(self, now_ms: int) -> str:
        """Start a leadership transfer to the most up-to-date voter.

        Voters that have not answered recently, as they may be down, are
        chosen only after the others, and voters that are shutting down last.

        :returns: the id of the target, or '' if this replica does not lead
            or there is no other voter.
        """
        state = self._state
        if state.role is not Role.LEADER or not state.other_voters:
            return ''
        progress = state.leadership.progress
        limit_ms = CONTACT_TIMEOUT_HEARTBEATS * state.timing.heartbeat_ms
        target = max(
            state.other_voters,
            key=lambda voter: (
                not progress[voter].is_leaving(state.timing),
                now_ms - progress[voter].last_contact_ms <= limit_ms,
                progress[voter].match_index,
            ),
        )
        state.leadership.transfer_to = target
        state.leadership.transfer_deadline_ms = (
            now_ms + state.timing.election_max_ms
        )
        self._tick_transfer(now_ms)
        return target

    def leave(self) -> None:
        """Announce a shutdown, so that the leader may remove this voter."""
        self._leaving.start()

    def found_cluster(
        self, *, name: str, replica_ids: tuple[str, ...]
    ) -> bool:
        """Create a cluster with these replicas as its first voters.

        :param replica_ids: the first voters, this replica included.
        :returns: False if this replica already belongs to a cluster.
        """
        cluster = founding.cluster_of(name=name, replica_ids=replica_ids)
        return self._apply_founding(cluster)

    def offer_founding(self, replica_id: str) -> None:
        """Send the list of founders to a replica, if it is one of them."""
        cluster = self._state.cluster
        if cluster is not None and replica_id in cluster.founders:
            self._state.send(
                messages.FoundingRequest,
                target_id=replica_id,
                founders=cluster.founders,
            )

    def compact(self, *, index: int, data: bytes) -> model.Snapshot:
        """Take a snapshot at an applied entry and compact the log.

        The owner must store the snapshot first and then rewrite the log
        file.

        :raises ValueError: if the entry was not delivered yet, or is not
            newer than the latest snapshot.
        """
        snapshots.compact(state=self._state, index=index, data=data)
        return self._state.snapshot

    def take_effects(self, now_ms: int) -> model.Effects:
        """Return the effects of all calls since the last ``take_effects``.

        A leader first queues the messages that are due.
        """
        state = self._state
        if state.role is Role.LEADER:
            self._send_as_leader(now_ms)
        return state.take_effects()

    def durable_records(self) -> tuple:
        """Return the records that make up a rewritten log file."""
        state = self._state
        records = [
            model.HardState(term=state.term, voted_for=state.voted_for),
            state.log.base,
            *state.log.entries,
        ]
        if state.cluster is not None:
            records.insert(0, state.cluster)
        return tuple(records)

    def _send_as_leader(self, now_ms: int) -> None:
        if self._reads.start_round():
            self._replication.send_round(now_ms)
        self._replication.send_due(now_ms)
        self._reads.confirm()

    def _become_leader(self, now_ms: int) -> None:
        state = self._state
        state.set_role(Role.LEADER, leader_id=state.replica_id)
        state.leadership = election.new_leadership(state=state, now_ms=now_ms)
        state.append(election.noop_entry(state=state))
        self._replication.advance_commit()

    def _accept_cluster(self, message: object) -> bool:
        """Return whether the message belongs to this replica's cluster.

        A replica without a cluster joins the one whose leader sends it log
        entries or a snapshot: a leader addresses it only if it was added to
        the configuration.
        """
        state = self._state
        if state.cluster is not None:
            return message.cluster_id == state.cluster_id
        joins = isinstance(
            message, (messages.AppendRequest, messages.SnapshotChunk)
        )
        if joins:
            state.cluster = model.Cluster(cluster_id=message.cluster_id)
            state.records.append(state.cluster)
        return joins

    def _on_founding_request(self, message: messages.FoundingRequest) -> None:
        if self.replica_id not in message.founders:
            return
        cluster = model.Cluster(
            cluster_id=message.cluster_id, founders=message.founders
        )
        self._apply_founding(cluster)

    def _apply_founding(self, cluster: model.Cluster) -> bool:
        state = self._state
        if state.cluster is not None:
            return False
        state.cluster = cluster
        state.records.append(cluster)
        state.set_term(founding.FOUNDING_TERM)
        state.append(founding.founding_entry(cluster=cluster))
        return True

    def _on_replication_answer(
        self,
        now_ms: int,
        message: messages.AppendAnswer | messages.SnapshotAnswer,
    ) -> None:
        state = self._state
        if message.term > state.term:
            state.follow(now_ms=now_ms, term=message.term)
            return
        if state.role is not Role.LEADER or message.term < state.term:
            return
        progress = state.leadership.progress.get(message.sender_id)
        if progress is None:
            return
        progress.last_contact_ms = now_ms
        progress.acked_round = max(progress.acked_round, message.round)
        if isinstance(message, messages.AppendAnswer):
            self._replication.on_append_answer(now_ms, message)
        else:
            self._snapshot_sender.on_answer(message)
        self._reads.confirm()
        self._tick_transfer(now_ms)

    def _tick_transfer(self, now_ms: int) -> None:
        """Request an election by the transfer target once it has caught up.

        The transfer is aborted when its deadline passes or the target is no
        longer a member.
        """
        state = self._state
        leadership = state.leadership
        if leadership is None or not leadership.transfer_to:
            return
        progress = leadership.progress.get(leadership.transfer_to)
        if progress is None or now_ms >= leadership.transfer_deadline_ms:
            leadership.transfer_to = ''
            return
        if progress.match_index == state.log.last_index:
            state.send(
                messages.TransferRequest,
                target_id=leadership.transfer_to,
                term=state.term,
            )
