"""Simulates replicas, disks, clocks and a faulty network in one process.

After every write the safety properties of the log are checked against all
entries that were observed so far. A check is skipped if its result follows
from an earlier one: observed entries are only ever added, so a log that has
not changed since its last comparison passes again.
"""

import random

import attrs

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes
from shallothinge.storage import data_folder

STEP_MS = 10
ANNOUNCE_MS = 200
MAX_DELAY_MS = 30
TIMING = model.Timing(kept_entries=4, batch_bytes=600, chunk_bytes=40)


@attrs.define(kw_only=True)
class Disk:
    """The data that a host has synced to disk."""

    replica_id: str
    rejoin: bool = False
    records: list = attrs.field(factory=list)
    snapshot: model.Snapshot | None = None

    def restored(self):
        """Return the state that a process reads from disk at start."""
        return data_folder.restore(tuple(self.records), snapshot=self.snapshot)


@attrs.define(kw_only=True)
class Host:
    """A host, its disk and, while its process runs, its node.

    ``crash`` is the point at which the next write is interrupted: ``before``
    or ``after`` it reaches the disk, or ``between`` the snapshot and the
    log; '' stands for none. ``inbox`` has the messages that arrived while
    the process is frozen. ``checked_log`` and ``checked_leader_state`` are
    the inputs of the last checks of log matching and of leader completeness.
    """

    process_id: str
    disk: Disk
    node: nodes.Node | None = None
    applied: list = attrs.field(factory=list)
    applied_index: int = 0
    frozen: bool = False
    crash: str = ''
    inbox: list = attrs.field(factory=list)
    checked_log: tuple = ()
    checked_leader_state: tuple = ()


@attrs.define(kw_only=True, order=False)
class _InFlightMessage:
    """A message on the network, delivered at ``due_ms``."""

    due_ms: int
    message: object


class Cluster:
    """Simulated hosts and network, with checks of the safety properties.

    ``cuts`` has the pairs of sending and receiving process between which
    messages are lost. ``loss`` and ``repeat`` are the probabilities that
    any other message is lost or duplicated. ``wanted`` has the processes
    that are to be added to the configuration, ``lost_ids`` the replicas
    whose disk is lost. ``committed`` has the applied entries by index,
    ``entries`` those seen in any log by index and term, ``acknowledged`` by
    index the commands that their proposer has applied.
    """

    def __init__(self, *, process_ids=('a', 'b', 'c'), seed=0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.hosts = {}
        self.cuts = set()
        self.in_flight_messages = []
        self.loss = 0.0
        self.repeat = 0.0
        self.wanted = set()
        self.lost_ids = set()
        self.committed = {}
        self.entries = {}
        self.leader_by_term = {}
        self.acknowledged = {}
        self.proposed = {}
        self.reads = {}
        self.confirmed_reads = 0
        self._disk_count = 0
        self._command_count = 0
        for process_id in process_ids:
            self.add_host(process_id)

    # Hosts

    def add_host(self, process_id, *, rejoin=False):
        """Start a host with an empty disk, new or in place of another."""
        self._disk_count += 1
        replica_id = model.make_replica_id(
            process_id=process_id, disk_id=str(self._disk_count)
        )
        self.hosts[process_id] = Host(
            process_id=process_id,
            disk=Disk(replica_id=replica_id, rejoin=rejoin),
        )
        self.start(process_id)

    def found(self, *process_ids):
        """Found a cluster of the hosts, or of all, and elect a leader."""
        ids = process_ids or tuple(self.hosts)
        first = self.hosts[ids[0]]
        replica_ids = tuple(self.hosts[one].disk.replica_id for one in ids)
        first.node.found_cluster(name='test', replica_ids=replica_ids)
        self.flush(first)
        self.run_until(lambda: self.committed)

    def start(self, process_id):
        """Start a host's process from its disk."""
        host = self.hosts[process_id]
        restored = host.disk.restored()
        host.node = nodes.Node(
            replica_id=host.disk.replica_id,
            rng=random.Random(self.rng.random()),
            timing=TIMING,
            restored=restored,
        )
        host.disk.records = list(host.node.durable_records())
        host.frozen = False
        host.crash = ''
        host.inbox = []
        host.applied = []
        host.applied_index = 0
        if restored.snapshot is not None:
            self._restore(host, restored.snapshot)

    def kill(self, process_id):
        """Kill a host's process but keep its disk."""
        self.hosts[process_id].node = None

    def lose_disk(self, process_id):
        """Replace a host and its disk by one with an empty disk."""
        self.lost_ids.add(self.hosts[process_id].disk.replica_id)
        self.add_host(process_id, rejoin=True)

    def may_lose_disk(self, process_id):
        """Return whether the loss leaves each configuration a quorum."""
        lost = self.lost_ids | {self.hosts[process_id].disk.replica_id}
        for configuration in self._configurations_in_force():
            gone = len(lost.intersection(configuration.voters))
            if gone > len(configuration.voters) - configuration.quorum:
                return False
        return True

    def _configurations_in_force(self):
        """Return the newest committed configuration and all later ones."""
        newest = 0
        for index, entry in self.committed.items():
            if entry.configuration is not None:
                newest = max(newest, index)
        found = [self.committed[newest].configuration]
        for host in self.hosts.values():
            for record in host.disk.records:
                if isinstance(record, model.Entry) and record.index > newest:
                    if record.configuration is not None:
                        found.append(record.configuration)
        return found

    # Time and network

    def run(self, duration_ms):
        """Advance the time of the network and all processes."""
        for _ in range(max(1, duration_ms // STEP_MS)):
            self.now_ms += STEP_MS
            self._deliver_due()
            for host in list(self.hosts.values()):
                if host.node is not None and not host.frozen:
                    host.node.tick(self.now_ms)
                    self.flush(host)
            if self.now_ms % ANNOUNCE_MS == 0:
                self._announce()

    def run_until(self, condition, *, limit_ms=20_000):
        """Advance the time until a condition holds.

        :raises AssertionError: if it does not hold within the limit.
        """
        ends_ms = self.now_ms + limit_ms
        while not condition():
            if self.now_ms >= ends_ms:
                raise AssertionError('the condition did not hold in time')
            self.run(STEP_MS)

    def heal(self):
        """Remove all network faults, and start or resume all hosts."""
        self.cuts.clear()
        self.loss = 0.0
        self.repeat = 0.0
        for host in self.hosts.values():
            host.crash = ''
            if host.node is None:
                self.start(host.process_id)
            self.thaw(host.process_id)

    def freeze(self, process_id):
        """Suspend a process; messages to it are kept in its inbox."""
        self.hosts[process_id].frozen = True

    def thaw(self, process_id):
        """Resume a process and deliver the messages in its inbox."""
        host = self.hosts[process_id]
        host.frozen = False
        waiting, host.inbox = host.inbox, []
        for message in waiting:
            self._deliver(message)

    def _deliver_due(self):
        due = [
            one for one in self.in_flight_messages if one.due_ms <= self.now_ms
        ]
        self.in_flight_messages = [
            one for one in self.in_flight_messages if one.due_ms > self.now_ms
        ]
        self.rng.shuffle(due)
        for one in due:
            self._deliver(one.message)

    def _deliver(self, message):
        host = self.hosts.get(model.process_id_of(message.target_id))
        if host is None or host.node is None:
            return
        if host.frozen:
            host.inbox.append(message)
            return
        host.node.receive(self.now_ms, message.sender_id, message)
        self.flush(host)

    def _send(self, message):
        sender = model.process_id_of(message.sender_id)
        target = model.process_id_of(message.target_id)
        if (sender, target) in self.cuts or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.repeat else 1
        for _ in range(copies):
            delay_ms = self.rng.randint(0, MAX_DELAY_MS)
            self.in_flight_messages.append(
                _InFlightMessage(
                    due_ms=self.now_ms + delay_ms, message=message
                )
            )

    def _announce(self):
        """Announce replicas without a leader to all reachable hosts."""
        for announcer in list(self.hosts.values()):
            if announcer.node is None or announcer.frozen:
                continue
            if not announcer.node.has_no_leader:
                continue
            for host in list(self.hosts.values()):
                reached = (
                    announcer.process_id,
                    host.process_id,
                ) not in self.cuts
                if reached and host.node is not None and not host.frozen:
                    self._on_announcement(host, announcer)

    def _on_announcement(self, host, announcer):
        replica_id = announcer.disk.replica_id
        host.node.offer_founding(replica_id)
        members = map(model.process_id_of, host.node.configuration.replicas)
        replaces = announcer.disk.rejoin and announcer.process_id in members
        if replaces or announcer.process_id in self.wanted:
            host.node.add_learner(self.now_ms, replica_id)
        self.flush(host)

    # Effects and checks

    def flush(self, host):
        """Carry out the effects of a host's node, or crash during a write."""
        effects = host.node.take_effects(self.now_ms)
        if not self._store(host, effects):
            host.node = None
            return
        self._check_log_matching(host)
        self._check_leader(host)
        for message in effects.messages:
            self._send(message)
        if effects.snapshot is not None:
            self._restore(host, effects.snapshot)
        for entry in effects.committed:
            self._apply(host, entry)
        for read in effects.reads:
            self._check_read(host, read)

    def _store(self, host, effects):
        writes = effects.snapshot is not None or effects.records
        crash = host.crash if writes else ''
        if crash == 'before':
            return False
        if effects.snapshot is not None:
            host.disk.snapshot = effects.snapshot
            if crash == 'between':
                return False
            host.disk.records = list(host.node.durable_records())
        else:
            host.disk.records.extend(effects.records)
        return not crash

    def _restore(self, host, snapshot):
        host.applied = snapshot.data.split() if snapshot.data else []
        host.applied_index = snapshot.index

    def _apply(self, host, entry):
        if entry.index != host.applied_index + 1:
            raise AssertionError('an entry was applied out of order')
        host.applied_index = entry.index
        if entry.kind is model.EntryKind.COMMAND:
            host.applied.append(entry.data)
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise AssertionError(f'committed entry {entry.index} changed')
        for other in self.hosts.values():
            if other.node is not None and other.node.term >= host.node.term:
                self._check_leader_completeness(other)
        proposal = (host.disk.replica_id, entry.index, entry.term)
        if proposal in self.proposed:
            self.acknowledged[entry.index] = self.proposed[proposal]

    def _check_log_matching(self, host):
        log = host.node.log
        entries = log.entries
        if (log.base, entries) == host.checked_log:
            return
        previous_term = log.base.term
        for entry in entries:
            key = (entry.index, entry.term)
            known = self.entries.setdefault(key, (previous_term, entry))
            if known != (previous_term, entry):
                raise AssertionError(f'logs differ at {key}')
            previous_term = entry.term
        host.checked_log = (log.base, entries)

    def _check_leader(self, host):
        node = host.node
        if node.role is not model.Role.LEADER:
            return
        known = self.leader_by_term.setdefault(node.term, node.replica_id)
        if known != node.replica_id:
            raise AssertionError(f'two leaders in term {node.term}')
        self._check_leader_completeness(host)

    def _check_leader_completeness(self, host):
        """Check that a leader has all entries committed up to its term."""
        node = host.node
        if node.role is not model.Role.LEADER:
            return
        log = node.log
        leader_state = (node.term, len(self.committed), log.base, log.entries)
        if leader_state == host.checked_leader_state:
            return
        for index, entry in self.committed.items():
            if entry.term > node.term or index <= log.base.index:
                continue
            if not log.holds(index=index, term=entry.term):
                raise AssertionError(f'the leader lacks entry {index}')
        host.checked_leader_state = leader_state

    def _check_read(self, host, read):
        oldest = self.reads.pop((host.disk.replica_id, read.read_id))
        self.confirmed_reads += 1
        if read.index < oldest:
            raise AssertionError('a read misses an acknowledged write')

    # Clients

    def leaders(self):
        """Return the running hosts whose role is leader."""
        return [
            host
            for host in self.hosts.values()
            if host.node is not None and host.node.role is model.Role.LEADER
        ]

    def leader(self):
        """Return the leader of the newest term, or None."""
        leaders = self.leaders()
        if not leaders:
            return None
        return max(leaders, key=lambda host: host.node.term)

    def propose(self, host):
        """Propose a new command to a host and return its outcome."""
        self._command_count += 1
        command = f'command-{self._command_count}'.encode()
        outcome = host.node.propose(self.now_ms, command)
        if isinstance(outcome, model.Proposed):
            key = (host.disk.replica_id, outcome.index, outcome.term)
            self.proposed[key] = command
        self.flush(host)
        return outcome

    def read(self, host):
        """Request a linearizable read from a host."""
        read_id = f'{self.now_ms}-{len(self.reads)}'
        self.reads[host.disk.replica_id, read_id] = max(
            self.acknowledged, default=0
        )
        host.node.request_read(self.now_ms, read_id)
        self.flush(host)

    def compact(self, host):
        """Take a snapshot at a host if it has applied new entries."""
        node = host.node
        newest = node.snapshot.index if node.snapshot else 0
        if host.applied_index <= newest:
            return
        snapshot = node.compact(
            index=host.applied_index, data=b' '.join(host.applied)
        )
        host.disk.snapshot = snapshot
        if host.crash:
            host.node = None
            return
        host.disk.records = list(node.durable_records())

    def commit(self, count=1):
        """Commit new commands through the current leader."""
        for _ in range(count):
            before = len(self.acknowledged)
            self.run_until(lambda: self._try_commit(before))

    def _try_commit(self, before):
        """Propose a command if the leader has committed its whole log.

        :returns: whether more commands are acknowledged than before.
        """
        leader = self.leader()
        if (
            leader is not None
            and leader.node.commit_index == leader.node.log.last_index
        ):
            self.propose(leader)
        return len(self.acknowledged) > before

    def check_recovery(self):
        """Check that a healed cluster commits and has lost no command."""
        self.heal()
        self.run_until(self._is_recovered, limit_ms=60_000)
        members = self._member_hosts(self.leader().node.configuration)
        self.commit()
        index = max(self.acknowledged)
        expected = set(self.acknowledged.values())
        self.run_until(
            lambda: all(host.applied_index >= index for host in members)
        )
        for host in members:
            missing = expected.difference(host.applied)
            if missing:
                raise AssertionError(f'lost acknowledged commands: {missing}')

    def _is_recovered(self):
        """Return whether no learner and no lost replica is left."""
        leader = self.leader()
        if leader is None or leader.node.configuration.learners:
            return False
        if not leader.node.is_configuration_committed:
            return False
        voters = leader.node.configuration.voters
        return not self.lost_ids.intersection(voters)

    def _member_hosts(self, configuration):
        return [
            host
            for host in self.hosts.values()
            if host.disk.replica_id in configuration.voters
        ]


def request(message_type, *, sender_id, host, term, **fields):
    """Return a message to a host as another replica sends it."""
    if message_type in (messages.VoteRequest, messages.PreVoteRequest):
        fields.setdefault('last_index', 0)
        fields.setdefault('last_term', 0)
    return message_type(
        cluster_id=host.node.cluster_id,
        sender_id=sender_id,
        target_id=host.disk.replica_id,
        term=term,
        **fields,
    )
