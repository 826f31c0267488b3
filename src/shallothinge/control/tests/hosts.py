"""Control hosts connected in memory, for tests of replicas and hosts."""

import collections
import functools
import random

import attrs
from twisted.internet import defer
from twisted.internet import task

from shallothinge import memory as memories
from shallothinge.consensus import model as consensus_model
from shallothinge.control import hosting
from shallothinge.settings import model
from shallothinge.transport import endpoint

STEP_MS = 5
# Time from SIGTERM to SIGKILL.
GRACE_MS = 8000
PORT = 7000
HOST_IDS = ('c1', 'c2', 'c3')


class ReactorClock:
    """A clock that follows a Twisted test reactor."""

    def __init__(self, *, reactor):
        self._reactor = reactor

    def now_ms(self) -> int:
        """Return the reactor's time in milliseconds."""
        return round(self._reactor.seconds() * 1000)


class RecordingMachine:
    """A state machine that records all commands."""

    def __init__(self):
        self.commands = []

    def apply(self, *, index, command):
        """Record the command; the answer is the number of commands."""
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def snapshot(self):
        """Return the commands, one per line."""
        return b'\n'.join(self.commands)

    def restore(self, data):
        """Restore the commands from a snapshot."""
        self.commands = data.split(b'\n') if data else []


class FreezableReactor:
    """The reactor of one process; while it is frozen, due calls wait."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._waiting = None

    def seconds(self):
        """Return the time, which advances while the process is frozen."""
        return self._reactor.seconds()

    def callLater(self, delay_s, call, *args):
        """Call after a delay, or on ``thaw`` if frozen by then."""
        return self._reactor.callLater(delay_s, self.run, call, *args)

    def run(self, call, *args):
        """Call now, or on ``thaw`` while the process is frozen."""
        if self._waiting is None:
            call(*args)
        else:
            self._waiting.append((call, args))

    def freeze(self):
        """Delay all calls from now on until ``thaw``."""
        self._waiting = []

    def thaw(self):
        """Make the calls that waited and stop delaying calls."""
        waiting, self._waiting = self._waiting or (), None
        for call, args in waiting:
            call(*args)


@attrs.define(kw_only=True)
class _Link:
    """A connection that loses messages to hosts that do not run."""

    hosts: 'Hosts'
    sender_id: str
    target_id: str
    heard_ms: float

    @property
    def silent_ms(self):
        """Return the time since the peer was heard; a reachable peer pings."""
        now_ms = self.hosts.reactor.seconds() * 1000
        if self.hosts.can_reach(self.sender_id, self.target_id):
            self.heard_ms = now_ms
        return now_ms - self.heard_ms

    def send(self, message):
        """Deliver a message through the simulated network."""
        return self.hosts.send(self.sender_id, self.target_id, message)

    def close(self):
        """Remove this connection from the open connections."""
        self.hosts.links.remove(self)


@attrs.define(kw_only=True)
class _Process:
    """The parts of a process that a replica uses."""

    hosts: 'Hosts'
    process_id: str
    reactor: FreezableReactor
    clock: ReactorClock
    folder: object
    memory: memories.Budget = attrs.field(factory=memories.divide)

    def connect(self, *, address, role, on_message):
        """Open a connection; the address holds the other host's id."""
        opened = _Link(
            hosts=self.hosts,
            sender_id=self.process_id,
            target_id=address.removeprefix('tcp://'),
            heard_ms=self.reactor.seconds() * 1000,
        )
        self.hosts.links.append(opened)
        return opened


class Hosts:
    """Replicas of several hosts on one test reactor.

    :param make_machine: creates the state machine of each started process.
    """

    def __init__(
        self,
        *,
        folder,
        host_ids=HOST_IDS,
        snapshot_entries=1000,
        seeds=(),
        make_machine=RecordingMachine,
        losses_to_bear=1,
    ):
        self.losses_to_bear = losses_to_bear
        self.reactor = task.Clock()
        self.seeds = seeds
        self.folder = folder
        self.host_ids = host_ids
        self.snapshot_entries = snapshot_entries
        self.replicas = {}
        self.make_machine = make_machine
        self.replica_hosts = {}
        self.reactors = {}
        self.machines = {}
        self.failures = []
        self.isolated = set()
        self.links = []
        self.starts = collections.Counter()
        self._rng = random.Random(7)
        for host_id in host_ids:
            self.start(host_id)

    def start(self, host_id, *, may_found=False):
        """Start a host's process.

        :param may_found: whether this is a deployment's first start.
        """
        self.starts[host_id] += 1
        settings = model.ControlSettings(
            process=None,
            log=model.LogSettings(
                data_folder=host_id, snapshot_entries=self.snapshot_entries
            ),
            control_hosts=tuple(
                model.ControlHost(process_id=one, address=one)
                for one in self.host_ids
            ),
            discovery=self._discovery(may_found),
        )
        self.reactors[host_id] = FreezableReactor(reactor=self.reactor)
        process = _Process(
            hosts=self,
            process_id=host_id,
            reactor=self.reactors[host_id],
            clock=ReactorClock(reactor=self.reactor),
            folder=self.folder,
        )
        self.replica_hosts[host_id] = hosting.ReplicaSupervisor(
            process=process,
            settings=settings,
            make_machine=self.make_machine,
            on_replaced=functools.partial(self._replace, host_id),
            on_failure=self.failures.append,
            rng=random.Random(self._rng.random()),
        )
        self.replica_hosts[host_id].open()

    def _replace(self, host_id, replica, machine):
        self.replicas[host_id] = replica
        self.machines[host_id] = machine

    def _discovery(self, may_found):
        if not self.seeds:
            return None
        return model.DiscoverySettings(
            seeds=self.seeds,
            port=PORT,
            may_found=may_found,
            losses_to_bear=self.losses_to_bear,
        )

    def stop(self, host_id):
        """Kill a host's process."""
        self.replica_hosts.pop(host_id).close()
        self.replicas.pop(host_id).close()
        self.reactors.pop(host_id)

    def stop_as_planned(self, host_id):
        """Stop a process as SIGTERM does: transfer leadership and leave.

        :returns: fires when the process has ended.
        """
        replica = self.replicas[host_id]
        ended = defer.Deferred()

        def end(_=None):
            if self.replicas.get(host_id) is replica:
                self.stop(host_id)
            if not ended.called:
                ended.callback(None)

        stopping = defer.succeed(None)
        if replica.is_leader:
            stopping = replica.transfer_leadership()
        if hasattr(replica, 'leave'):
            stopping.addCallback(lambda _: replica.leave())
        stopping.addBoth(end)
        self.reactor.callLater(GRACE_MS / 1000, end)
        return ended

    def freeze(self, host_id):
        """Freeze a host's process; messages to it wait."""
        self.reactors[host_id].freeze()

    def thaw(self, host_id):
        """Resume a host's process and make the calls that waited."""
        self.reactors[host_id].thaw()

    def reload(self, *, seeds):
        """Change the seeds in the settings of all hosts."""
        self.seeds = seeds
        settings = model.ControlSettings(
            process=None, log=None, discovery=self._discovery(False)
        )
        for replica_host in self.replica_hosts.values():
            replica_host.update_seeds(settings)

    def can_reach(self, sender_id, target_id):
        """Return whether a host runs and neither end is isolated."""
        is_isolated = self.isolated & {sender_id, target_id}
        return target_id in self.replicas and not is_isolated

    def linked_to(self, target_id):
        """Return the ids of the hosts that are connected to a host."""
        return {
            opened.sender_id
            for opened in self.links
            if opened.target_id == target_id
        }

    def send(self, sender_id, target_id, message):
        """Deliver a message unless one end is isolated."""
        if self.isolated & {sender_id, target_id}:
            return False
        self.deliver_later(0.001, sender_id, target_id, message)
        return True

    def deliver_later(self, delay_s, sender_id, target_id, message):
        """Deliver a message after a delay."""
        peer = endpoint.Peer(
            route=b'',
            role='control',
            process_id=sender_id,
            incarnation=str(self.starts[sender_id]),
        )
        self.reactor.callLater(
            delay_s, self._deliver, target_id, peer, message
        )

    def _deliver(self, target_id, peer, message):
        if target_id in self.replicas:
            self.reactors[target_id].run(
                self._receive, target_id, peer, message
            )

    def _receive(self, target_id, peer, message):
        self.replicas[target_id].receive(peer, message)

    def run(self, duration_ms):
        """Let time pass."""
        for _ in range(duration_ms // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)

    def run_until(self, condition, *, limit_ms=20_000):
        """Let time pass until a condition holds."""
        for _ in range(limit_ms // STEP_MS):
            if condition():
                return
            self.reactor.advance(STEP_MS / 1000)
        raise AssertionError('condition was not met within the time limit')

    def found(self):
        """Found a cluster of all hosts and wait for its leader."""
        answered = self.replicas[self.host_ids[0]].found(
            cluster_id='test', member_ids=self.host_ids
        )
        self.wait(answered)
        self.run_until(self.leader)

    def found_with_seeds(self, host_ids, *, founder_count=3):
        """Start new hosts, found a cluster and wait until all are members."""
        for host_id in host_ids:
            self.start(host_id, may_found=True)
        self.wait(
            self.replicas[host_ids[0]].found(
                cluster_id='test', member_ids=host_ids[:founder_count]
            )
        )
        self.run_until(lambda: self.has_members(host_ids))

    def leader(self):
        """Return the replica that leads, or None."""
        for replica in self.replicas.values():
            if replica.is_leader:
                return replica
        return None

    def has_members(self, host_ids):
        """Return whether the leader has exactly these members.

        Each must be a voter; of an even number, one may be a standby
        without a vote.
        """
        leader = self.leader()
        if leader is None:
            return False
        shown = leader.dump()
        voters = {consensus_model.process_id_of(one) for one in shown.voters}
        learners = {
            consensus_model.process_id_of(one) for one in shown.learners
        }
        return (
            voters | learners == set(host_ids)
            and not voters & learners
            and len(voters) >= len(host_ids) - (len(host_ids) + 1) % 2
        )

    def leader_host(self):
        """Return the id of the host that leads."""
        for host_id, replica in self.replicas.items():
            if replica.is_leader:
                return host_id
        return ''

    def wait(self, answered: defer.Deferred):
        """Let time pass until a Deferred fires and return its result."""
        results = []
        answered.addBoth(results.append)
        self.run_until(lambda: results)
        return results[0]

    def propose(self, command):
        """Propose a command at the leader and return the answer."""
        self.run_until(self.leader)
        return self.wait(self.leader().propose(command))

    def close(self):
        """Stop all hosts."""
        for host_id in list(self.replicas):
            self.stop(host_id)
