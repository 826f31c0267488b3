"""Replicas with disks, clocks and a faulty network in one test process.

After every write the safety properties of the log are checked against
what was seen of all replicas so far. A check whose outcome follows from an
earlier one is left out: what was seen is only added to, so a log that has
not changed since it was compared passes again.
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
    """What a host has synced."""

    replica_id: str
    rejoin: bool = False
    records: list = attrs.field(factory=list)
    snapshot: model.Snapshot | None = None

    def restored(self):
        """Return what a starting process reads."""
        return data_folder.restore(tuple(self.records), snapshot=self.snapshot)


@attrs.define(kw_only=True)
class Host:
    """A host, its disk and, while its process runs, its node.

    ``crash`` tells at which point the next write is interrupted:
    ``before`` it reaches the disk, or ``after``, or ``between`` the
    snapshot and the log. ``checked_log`` and ``checked_lead`` are what the
    last checks of the log, and of what a leader holds, have looked at.
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
    checked_lead: tuple = ()


@attrs.define(kw_only=True, order=False)
class _Travelling:
    """A message under way."""

    due_ms: int
    message: object


class Cluster:
    """Hosts, the network between them, and what must hold of them."""

    def __init__(self, *, process_ids=('a', 'b', 'c'), seed=0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.hosts = {}
        self.cuts = set()
        self.travelling = []
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
        self._disks = 0
        self._commands = 0
        for process_id in process_ids:
            self.add_host(process_id)

    # Hosts

    def add_host(self, process_id, *, rejoin=False):
        """Add or replace a host by one with an empty disk, and start it."""
        self._disks += 1
        replica_id = model.make_replica_id(
            process_id=process_id, disk_id=str(self._disks)
        )
        self.hosts[process_id] = Host(
            process_id=process_id,
            disk=Disk(replica_id=replica_id, rejoin=rejoin),
        )
        self.start(process_id)

    def found(self, *process_ids):
        """Found a cluster of some hosts and let it elect a leader."""
        ids = process_ids or tuple(self.hosts)
        first = self.hosts[ids[0]]
        replica_ids = tuple(self.hosts[one].disk.replica_id for one in ids)
        first.node.found(name='test', replica_ids=replica_ids)
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
        """Kill a host's process; its disk stays."""
        self.hosts[process_id].node = None

    def lose_disk(self, process_id):
        """Lose a host with its disk; it comes back with an empty one."""
        self.lost_ids.add(self.hosts[process_id].disk.replica_id)
        self.add_host(process_id, rejoin=True)

    def may_lose_disk(self, process_id):
        """Return whether the configurations in force survive the loss."""
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
        """Let time pass for the network and all processes."""
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
        """Let time pass until a condition holds."""
        ends_ms = self.now_ms + limit_ms
        while not condition():
            if self.now_ms >= ends_ms:
                raise AssertionError('the condition did not come to hold')
            self.run(STEP_MS)

    def heal(self):
        """End all faults of the network and of the hosts."""
        self.cuts.clear()
        self.loss = 0.0
        self.repeat = 0.0
        for host in self.hosts.values():
            host.crash = ''
            if host.node is None:
                self.start(host.process_id)
            self.thaw(host.process_id)

    def freeze(self, process_id):
        """Stop a process; what it is sent waits."""
        self.hosts[process_id].frozen = True

    def thaw(self, process_id):
        """Let a process go on with all that waited."""
        host = self.hosts[process_id]
        host.frozen = False
        waiting, host.inbox = host.inbox, []
        for message in waiting:
            self._hand_over(message)

    def _deliver_due(self):
        due = [one for one in self.travelling if one.due_ms <= self.now_ms]
        self.travelling = [
            one for one in self.travelling if one.due_ms > self.now_ms
        ]
        self.rng.shuffle(due)
        for one in due:
            self._hand_over(one.message)

    def _hand_over(self, message):
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
            self.travelling.append(
                _Travelling(due_ms=self.now_ms + delay_ms, message=message)
            )

    def _announce(self):
        """Let replicas without a leader be heard by those they reach."""
        for empty in list(self.hosts.values()):
            if empty.node is None or empty.frozen:
                continue
            if not empty.node.is_unattached:
                continue
            for host in list(self.hosts.values()):
                reached = (empty.process_id, host.process_id) not in self.cuts
                if reached and host.node is not None and not host.frozen:
                    self._hear_of(host, empty)

    def _hear_of(self, host, empty):
        replica_id = empty.disk.replica_id
        host.node.offer_founding(replica_id)
        members = map(model.process_id_of, host.node.configuration.replicas)
        replaces = empty.disk.rejoin and empty.process_id in members
        if replaces or empty.process_id in self.wanted:
            host.node.add_learner(self.now_ms, replica_id)
        self.flush(host)

    # Effects and checks

    def flush(self, host):
        """Do what a host's node asks for, unless it crashes on the way."""
        effects = host.node.collect(self.now_ms)
        if not self._store(host, effects):
            host.node = None
            return
        self._check_log(host)
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
                self._check_complete(other)
        proposal = (host.disk.replica_id, entry.index, entry.term)
        if proposal in self.proposed:
            self.acknowledged[entry.index] = self.proposed[proposal]

    def _check_log(self, host):
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
        self._check_complete(host)

    def _check_complete(self, host):
        """Check that a leader holds all that was committed before it."""
        node = host.node
        if node.role is not model.Role.LEADER:
            return
        log = node.log
        looked_at = (node.term, len(self.committed), log.base, log.entries)
        if looked_at == host.checked_lead:
            return
        for index, entry in self.committed.items():
            if entry.term > node.term or index <= log.base.index:
                continue
            if not log.holds(index=index, term=entry.term):
                raise AssertionError(f'the leader lacks entry {index}')
        host.checked_lead = looked_at

    def _check_read(self, host, read):
        oldest = self.reads.pop((host.disk.replica_id, read.read_id))
        self.confirmed_reads += 1
        if read.index < oldest:
            raise AssertionError('a read is older than an acknowledged write')

    # Clients

    def leaders(self):
        """Return the hosts whose running process believes to lead."""
        return [
            host
            for host in self.hosts.values()
            if host.node is not None and host.node.role is model.Role.LEADER
        ]

    def leader(self):
        """Return the host that leads in the newest term, or None."""
        leaders = self.leaders()
        if not leaders:
            return None
        return max(leaders, key=lambda host: host.node.term)

    def propose(self, host):
        """Propose a new command at a host."""
        self._commands += 1
        command = f'command-{self._commands}'.encode()
        outcome = host.node.propose(self.now_ms, command)
        if isinstance(outcome, model.Proposed):
            key = (host.disk.replica_id, outcome.index, outcome.term)
            self.proposed[key] = command
        self.flush(host)
        return outcome

    def read(self, host):
        """Ask a host for a read that is up to date."""
        read_id = f'{self.now_ms}-{len(self.reads)}'
        self.reads[host.disk.replica_id, read_id] = max(
            self.acknowledged, default=0
        )
        host.node.request_read(self.now_ms, read_id)
        self.flush(host)

    def compact(self, host):
        """Take a snapshot at a host, if it applied anything new."""
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
        """Commit commands through whichever host leads."""
        for _ in range(count):
            before = len(self.acknowledged)
            self.run_until(lambda: self._commit_one(before))

    def _commit_one(self, before):
        """Propose where a leader is; return whether one was committed."""
        leader = self.leader()
        if (
            leader is not None
            and leader.node.commit_index == leader.node.log.last_index
        ):
            self.propose(leader)
        return len(self.acknowledged) > before

    def check_recovery(self):
        """Check that a healed cluster serves and has lost nothing."""
        self.heal()
        self.run_until(self._has_settled, limit_ms=60_000)
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
                raise AssertionError(f'acknowledged and lost: {missing}')

    def _has_settled(self):
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
    """Return a message to a host, as a replica would send it."""
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
