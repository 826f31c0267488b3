"""Property test of the replicated log under random sequences of faults."""

import unittest

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge.consensus import model
from shallothinge.consensus.tests import cluster

HOSTS = strategies.sampled_from(('a', 'b', 'c', 'd', 'e'))
SHARES = strategies.sampled_from((0.0, 0.1, 0.3))


class FaultyCluster(stateful.RuleBasedStateMachine):
    """Three founders and two more hosts, under every allowed fault."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def build(self, seed):
        self.cluster = cluster.Cluster(
            process_ids=('a', 'b', 'c', 'd', 'e'), seed=seed
        )
        self.cluster.found('a', 'b', 'c')

    def teardown(self):
        if hasattr(self, 'cluster'):
            self.cluster.check_recovery()

    def running(self, process_id):
        host = self.cluster.hosts[process_id]
        return host.node is not None and not host.frozen

    @stateful.rule(duration_ms=strategies.integers(10, 2000))
    def run(self, duration_ms):
        self.cluster.run(duration_ms)

    @stateful.rule(duration_ms=strategies.integers(1500, 4000))
    def run_past_elections(self, duration_ms):
        self.cluster.run(duration_ms)

    @stateful.rule(count=strategies.integers(1, 8))
    def propose(self, count):
        for host in self.cluster.leaders():
            for _ in range(count):
                if self.running(host.process_id):
                    self.cluster.propose(host)
        self.cluster.run(50)

    @stateful.rule()
    def read(self):
        for host in self.cluster.leaders():
            if self.running(host.process_id):
                self.cluster.read(host)

    @stateful.rule(loss=SHARES, repeat=SHARES)
    def disturb_network(self, loss, repeat):
        self.cluster.loss = loss
        self.cluster.repeat = repeat

    @stateful.rule(sender=HOSTS, receiver=HOSTS)
    def cut_one_way(self, sender, receiver):
        self.cluster.cuts.add((sender, receiver))

    @stateful.rule(process_id=HOSTS)
    def cut_off(self, process_id):
        for other in self.cluster.hosts:
            self.cluster.cuts.add((process_id, other))
            self.cluster.cuts.add((other, process_id))

    @stateful.rule()
    def cut_off_leader(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.cut_off(leader.process_id)

    @stateful.rule(duration_ms=strategies.integers(0, 1000))
    def mend_network(self, duration_ms):
        self.cluster.cuts.clear()
        self.cluster.run(duration_ms)

    @stateful.rule(count=strategies.integers(1, 5))
    def recover(self, count):
        """Let the cluster serve for a while before the next faults."""
        self.cluster.heal()
        self.cluster.run(1500)
        self.propose(count)
        self.read()
        self.cluster.run(200)

    @stateful.rule(process_id=HOSTS)
    def silent_host_returns(self, process_id):
        """Cut one host off for long; its return must change no term."""
        self.cluster.heal()
        self.cluster.run(3000)
        leader = self.cluster.leader()
        if leader is None or leader.process_id == process_id:
            return
        term = leader.node.term
        self.cut_off(process_id)
        self.cluster.run(3000)
        self.cluster.cuts.clear()
        self.cluster.run(1000)
        if (leader.node.role, leader.node.term) != (model.Role.LEADER, term):
            raise AssertionError('a returning host deposed the leader')

    @stateful.rule()
    def kill_leader(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.propose(1)
            self.cluster.kill(leader.process_id)
            self.cluster.run(1500)

    @stateful.rule(process_id=HOSTS)
    def kill(self, process_id):
        self.cluster.kill(process_id)

    @stateful.rule(process_id=HOSTS)
    def restart(self, process_id):
        self.cluster.start(process_id)

    @stateful.rule(process_id=HOSTS)
    def freeze(self, process_id):
        self.cluster.freeze(process_id)

    @stateful.rule(process_id=HOSTS)
    def thaw(self, process_id):
        if self.cluster.hosts[process_id].node is not None:
            self.cluster.thaw(process_id)

    @stateful.rule(
        process_id=HOSTS,
        point=strategies.sampled_from(('before', 'after', 'between')),
    )
    def crash_in_next_write(self, process_id, point):
        self.cluster.hosts[process_id].crash = point

    @stateful.rule(point=strategies.sampled_from(('before', 'after')))
    def crash_followers_in_write_then_leader(self, point):
        leader = self.cluster.leader()
        if leader is None:
            return
        for host in self.cluster.hosts.values():
            if host is not leader:
                host.crash = point
        self.propose(2)
        self.cluster.run(100)
        self.cluster.kill(leader.process_id)
        for host in self.cluster.hosts.values():
            if host is not leader:
                self.cluster.start(host.process_id)
        self.cluster.run(2000)

    @stateful.rule(process_id=HOSTS)
    def lose_disk(self, process_id):
        if self.cluster.may_lose_disk(process_id):
            self.cluster.lose_disk(process_id)

    @stateful.rule(process_id=HOSTS)
    def compact(self, process_id):
        if self.running(process_id):
            self.cluster.compact(self.cluster.hosts[process_id])

    @stateful.rule(process_id=HOSTS)
    def add_member(self, process_id):
        self.cluster.wanted.add(process_id)

    @stateful.rule(process_id=HOSTS)
    def remove_member(self, process_id):
        leader = self.cluster.leader()
        if leader is None or not self.running(leader.process_id):
            return
        voters = leader.node.configuration.voters
        if len(voters) <= 3 or self.cluster.lost_ids.intersection(voters):
            return
        self.cluster.wanted.discard(process_id)
        for replica_id in leader.node.configuration.replicas:
            if model.process_id_of(replica_id) == process_id:
                leader.node.remove(self.cluster.now_ms, replica_id)
        self.cluster.flush(leader)

    @stateful.rule()
    def hand_over(self):
        leader = self.cluster.leader()
        if leader is not None and self.running(leader.process_id):
            leader.node.transfer(self.cluster.now_ms)
            self.cluster.flush(leader)


class FaultyClusterTest(unittest.TestCase):
    """Runs thousands of steps, the same ones in each run.

    A failure is reported unshrunk, as shrinking takes minutes. Add
    ``Phase.shrink`` temporarily to investigate one.
    """

    def test_safety_holds_and_healed_clusters_serve(self):
        stateful.run_state_machine_as_test(
            FaultyCluster,
            settings=settings(
                max_examples=200,
                stateful_step_count=60,
                deadline=None,
                phases=(Phase.generate,),
            ),
        )
