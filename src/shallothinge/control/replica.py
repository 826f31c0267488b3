"""Runs one replica: its data folder, connections and state machine."""

from collections.abc import Callable
import logging
import os
import pathlib
import random

from twisted.internet import defer

from shallothinge import errors
from shallothinge import periodic
from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import quorum
from shallothinge.control import compaction
from shallothinge.control import former_members
from shallothinge.control import joining
from shallothinge.control import machine as machines
from shallothinge.control import pending
from shallothinge.control import quorum_log
from shallothinge.control import replica_dump
from shallothinge.control import replica_links
from shallothinge.control import replica_store
from shallothinge.control import stopping
from shallothinge.control import timing
from shallothinge.settings import model as settings_model
from shallothinge.storage import data_folder

LOG = logging.getLogger(__name__)

TICKS_PER_HEARTBEAT = 4
LINK_CLEANUP_INTERVAL_MS = 1000
EXIT_STORAGE_FAILED = 74


def end_process(error: Exception) -> None:
    """End the process at once, as the contents of its disk are unknown."""
    LOG.critical('replica failed; terminating the process', exc_info=error)
    os._exit(EXIT_STORAGE_FAILED)


class Replica:
    """One replica of the log, and the state machine that it drives.

    Proposals that are made in one reactor turn are written to disk and sent
    together.

    :param process: provides the reactor, the clock, the process id and
        connections.
    :param settings: the settings of ``shallothinge control``.
    :param machine: the state machine; restored from the data folder.
    :param on_leadership: called with True once this replica is the leader
        and its state machine has applied all entries of earlier terms, and
        with False when it stops being the leader.
    :param on_failure: called when the data folder or the state machine
        fails; it must not return in a running system.
    :raises StorageError: if the data folder can not be used.
    """

    def __init__(
        self,
        *,
        process,
        settings: settings_model.ControlSettings,
        machine: machines.StateMachine,
        on_leadership: Callable[[bool], None] | None = None,
        on_failure: Callable[[Exception], None] = end_process,
        rng: random.Random | None = None,
    ):
        self._reactor = process.reactor
        self._clock = process.clock
        self._process_id = process.process_id
        self._on_leadership = on_leadership
        self._on_failure = on_failure
        self._discovery = settings.discovery
        self._tick_ms = settings.log.heartbeat_ms // TICKS_PER_HEARTBEAT
        folder = data_folder.DataFolder(
            path=process.folder / pathlib.Path(settings.log.data_folder),
            process_id=process.process_id,
            rejoin=timing.rejoins(settings.discovery),
        )
        try:
            self._store = replica_store.ReplicaStore(
                folder=folder,
                policy=compaction.make_policy(
                    snapshot_entries=settings.log.snapshot_entries,
                    memory_bytes=process.memory.limit_bytes,
                    disk_mb=settings.log.disk_mb,
                ),
                timing=timing.protocol_timing(settings),
                machine=machine,
                rng=rng or random.Random(),
            )
        except Exception:
            folder.close()
            raise
        self._node = self._store.node
        self._pending = pending.PendingWork()
        self._links = replica_links.ReplicaLinks(
            process=process, settings=settings
        )
        self._membership = joining.MembershipChanges(
            node=self._node,
            process_id=process.process_id,
            rejoin=folder.identity.rejoin,
            broadcast=self._links.broadcast,
            adds_all_announced=settings.discovery is not None,
        )
        self._former_members = former_members.FormerMembers(
            node=self._node,
            process_id=process.process_id,
            send=self._links.send,
        )
        self._quorum_log = quorum_log.QuorumLog()
        self._stopping = stopping.PlannedStop(node=self._node)
        self._incarnations: dict[str, str] = {}
        self._led_term: int | None = None
        self._ready = False
        self._link_cleanup_due_ms = 0
        self._flush_call = None
        self._tick_call = None
        self._closed = False
        self.elected_ms: int | None = None

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and may serve requests."""
        return self._ready

    @property
    def leader_id(self) -> str:
        """Return the process id of the leader, or '' if none is known."""
        if self._closed:
            return ''
        return model.process_id_of(self._node.leader_id)

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry that was applied."""
        return self._store.applied_index

    def start(self) -> None:
        """Start the periodic tick, and with it the protocol."""
        self._tick()

    def close(self) -> None:
        """Stop at once and fail pending proposals and reads."""
        if self._closed:
            return
        self._closed = True
        self._ready = False
        for call in (self._flush_call, self._tick_call):
            if call is not None and call.active():
                call.cancel()
        self._links.close()
        self._store.close()
        self._pending.fail_all(leader_id='')
        self._membership.fail_all(self._not_leader)
        self._stopping.close()

    def update_seeds(self, settings: settings_model.ControlSettings) -> None:
        """Connect to the control hosts that the new settings name."""
        if not self._closed:
            self._links.update_seeds(settings)

    def receive(self, peer, message: object) -> None:
        """Handle a message from another control host.

        :param peer: the sender. Messages of other roles than control are
            ignored, and so are messages whose sender id belongs to another
            process, except for announcements.
        """
        if self._closed or peer.role != 'control':
            return
        is_own = model.process_id_of(message.sender_id) == peer.process_id
        if isinstance(message, messages.ReplicaAnnounced):
            now_ms = self._clock.now_ms()
            self._membership.record_announcement(now_ms, message)
            self._quorum_log.record_announcement(
                now_ms, message, self.quorum()
            )
            if is_own:
                self._incarnations[peer.process_id] = peer.incarnation
            if is_own and self.leader_id not in ('', self._process_id):
                self._links.send_to(self.leader_id, message)
        elif not is_own:
            LOG.warning(
                'dropped a message whose sender id belongs to another process'
            )
            return
        elif not self._is_stale(peer, message):
            self._node.receive(
                self._clock.now_ms(), message.sender_id, message
            )
        if self._node.has_no_leader:
            self._links.ensure_link(peer.process_id)
        self._schedule_flush()

    def _is_stale(self, peer, message: object) -> bool:
        """Return whether a leave request is from before a restart.

        The newest incarnation of a process is known from its other
        messages: it sends them all the time, and repeats the leave request
        until it is answered.
        """
        if not isinstance(message, messages.LeaveRequest):
            self._incarnations[peer.process_id] = peer.incarnation
            return False
        newest = self._incarnations.get(peer.process_id, peer.incarnation)
        return newest != peer.incarnation

    def propose(self, command: bytes) -> defer.Deferred:
        """Replicate a command and apply it once it is committed.

        :returns: fires with the state machine's answer. Fails with
            ``NotLeader`` if the command was not appended to the log, and
            with ``ServingError`` of kind ``INTERNAL`` if the leadership was
            lost and the command may still be committed.
        """
        if self._closed:
            return defer.fail(self._not_leader())
        outcome = self._node.propose(self._clock.now_ms(), command)
        if isinstance(outcome, model.ProposalRefused):
            return defer.fail(
                pending.NotLeader(
                    leader_id=model.process_id_of(outcome.leader_id),
                    detail=outcome.reason,
                )
            )
        self._schedule_flush()
        return self._pending.add_proposal(
            index=outcome.index, term=outcome.term
        )

    def confirm_read(self) -> defer.Deferred:
        """Confirm that the state machine holds all committed commands.

        :returns: fires with None once a majority has confirmed that this
            replica leads and the state machine has caught up; fails with
            ``NotLeader``.
        """
        if self._closed:
            return defer.fail(self._not_leader())
        read_id, answered = self._pending.add_read()
        self._node.request_read(self._clock.now_ms(), read_id)
        self._schedule_flush()
        return answered

    def found(
        self, *, cluster_id: str, member_ids: tuple[str, ...]
    ) -> defer.Deferred:
        """Found a cluster of these processes; idempotent.

        :returns: fires with the cluster id once a leader is elected; fails
            with ``VERSION_CONFLICT`` if a member is not heard in time or
            belongs to another cluster.
        """
        return self._membership.found(
            self._clock.now_ms(), cluster_id=cluster_id, member_ids=member_ids
        )

    def add_member(self, *, process_id: str) -> defer.Deferred:
        """Add a control host; fires once it is a voter or standby learner."""
        if not self._ready:
            return defer.fail(self._not_leader())
        return self._membership.add(self._clock.now_ms(), process_id)

    def remove_member(self, *, process_id: str) -> defer.Deferred:
        """Remove a control host; fires when the removal is committed.

        A leader that is asked to remove itself transfers the leadership and
        fails the call with ``NotLeader``, which names its successor.
        """
        if not self._ready:
            return defer.fail(self._not_leader())
        if process_id == self._process_id:
            successor = self._node.transfer(self._clock.now_ms())
            self._schedule_flush()
            return defer.fail(
                pending.NotLeader(leader_id=model.process_id_of(successor))
            )
        return self._membership.remove(self._clock.now_ms(), process_id)

    def transfer_leadership(self) -> defer.Deferred:
        """Transfer the leadership before a planned stop.

        :returns: fires with None when this replica does not lead, or when
            no other voter could take over in time.
        """
        if self._closed:
            return defer.succeed(None)
        self._schedule_flush()
        return self._stopping.hand_over(self._clock.now_ms())

    def leave(self) -> defer.Deferred:
        """Ask the leader to go on without this replica's vote.

        :returns: fires with None when the leader no longer needs the vote,
            or has not confirmed that in time.
        """
        if self._closed:
            return defer.succeed(None)
        return self._stopping.leave(self._clock.now_ms())

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Return the process ids of the members of the cluster."""
        return tuple(
            model.process_id_of(replica_id)
            for replica_id in self._node.configuration.replicas
        )

    @property
    def has_cluster(self) -> bool:
        """Return whether this replica belongs to a cluster."""
        return bool(self._node.cluster_id)

    def quorum(self) -> quorum.QuorumView:
        """Return the voters and which of them are heard."""
        return self._node.quorum(self._clock.now_ms())

    def dump(self) -> replica_dump.ReplicaDump:
        """Return the state of this replica."""
        return replica_dump.describe(
            node=self._node,
            view=self.quorum(),
            work=self._pending,
            applied_index=self._store.applied_index,
            elected_ms=self.elected_ms,
            log_bytes=self.storage_sizes().log_bytes,
        )

    def storage_sizes(self) -> replica_store.StoreSizes:
        """Return how much this replica stores."""
        return self._store.sizes()

    def _tick(self) -> None:
        periodic.run(self._advance)
        if not self._closed:
            self._tick_call = self._reactor.callLater(
                self._tick_ms / 1000, self._tick
            )

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        self._node.tick(now_ms)
        self._membership.tick(now_ms)
        if self._discovery is not None:
            self._former_members.tick(now_ms)
        self._flush()
        self._quorum_log.tick(
            now_ms,
            self._node.quorum(now_ms),
            change_refusals=self._node.take_change_refusals(),
        )
        self._stopping.tick(now_ms)
        if now_ms >= self._link_cleanup_due_ms and not self._closed:
            self._link_cleanup_due_ms = now_ms + LINK_CLEANUP_INTERVAL_MS
            self._links.close_unused(
                self.member_ids + self._former_members.process_ids
            )

    def _schedule_flush(self) -> None:
        if self._flush_call is None and not self._closed:
            self._flush_call = self._reactor.callLater(0, self._run_flush)

    def _run_flush(self) -> None:
        self._flush_call = None
        self._flush()

    def _flush(self) -> None:
        """Carry out what the node asks for, writing to disk first."""
        if self._closed:
            return
        effects = self._node.take_effects(self._clock.now_ms())
        try:
            self._store.store(effects)
            for message in effects.messages:
                self._links.send(message)
            self._apply(effects)
            if not self._closed:
                self._store.compact_if_due()
        except Exception as error:
            self._fail(error)
        if self._closed:
            return
        self._handle_role_change(effects.role)
        self._answer_reads(effects)

    def _fail(self, error: Exception) -> None:
        """Report a failure and close without sending another message."""
        self._on_failure(error)
        self.close()

    def _apply(self, effects: model.Effects) -> None:
        for entry, answer in self._store.apply(effects):
            self._pending.answer_proposal(
                index=entry.index, term=entry.term, answer=answer
            )

    def _handle_role_change(self, changed: model.RoleChanged | None) -> None:
        if changed is not None:
            LOG.info(
                'role in the replicated log changed',
                extra={
                    'role_in_log': changed.role.value,
                    'term': changed.term,
                    'leader_id': changed.leader_id,
                },
            )
        leads = self._node.role is model.Role.LEADER
        if self._led_term is not None and (
            not leads or self._led_term != self._node.term
        ):
            self._lose_leadership()
        if leads and self._led_term is None:
            self._led_term = self._node.term
            self.elected_ms = self._clock.now_ms()
        if leads and not self._ready:
            if self._store.applied_index >= self._node.first_index_of_term:
                self._ready = True
                self._notify_leadership(True)

    def _lose_leadership(self) -> None:
        was_ready = self._ready
        self._led_term = None
        self._ready = False
        self.elected_ms = None
        self._pending.fail_all(leader_id=self.leader_id)
        self._membership.fail_all(self._not_leader)
        self._stopping.end_hand_over()
        if was_ready:
            self._notify_leadership(False)

    def _notify_leadership(self, leads: bool) -> None:
        if self._on_leadership is not None:
            self._on_leadership(leads)

    def _answer_reads(self, effects: model.Effects) -> None:
        for read in effects.reads:
            self._pending.confirm_read(read_id=read.read_id, index=read.index)
        for read_id in effects.failed_reads:
            self._pending.fail_read(read_id=read_id, leader_id=self.leader_id)
        self._pending.answer_reads(applied_index=self._store.applied_index)

    def _not_leader(self) -> errors.ServingError:
        return pending.NotLeader(leader_id=self.leader_id)
