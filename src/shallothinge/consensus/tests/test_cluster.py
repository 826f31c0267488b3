"""Tests that the simulated cluster's safety checks detect violations."""

import unittest

import attrs

from shallothinge.consensus.tests import cluster


class ChecksTest(unittest.TestCase):
    """Logs are damaged after they have passed the checks once.

    This guards against a skipped check that hides a violation.
    """

    def setUp(self):
        self.cluster = cluster.Cluster(process_ids=('a', 'b', 'c'), seed=1)
        self.cluster.found()
        self.cluster.commit(3)
        self.cluster.run(500)
        self.leader = self.cluster.leader()
        self.follower = next(
            host
            for host in self.cluster.hosts.values()
            if host is not self.leader
        )

    def assert_check_fails(self, host, message):
        with self.assertRaisesRegex(AssertionError, message):
            self.cluster.flush(host)

    def test_entry_that_changed_in_place(self):
        for host in (self.leader, self.follower):
            with self.subTest(host.process_id):
                self.setUp()
                host = self.cluster.hosts[host.process_id]
                log = host.node.log
                last = log.entry_at(log.last_index)
                log.truncate_from(last.index)
                log.append(attrs.evolve(last, data=b'another'))
                self.assert_check_fails(host, 'logs differ')

    def test_entry_before_others_of_which_the_term_changed(self):
        log = self.follower.node.log
        first = log.entry_at(log.last_index - 1)
        last = log.entry_at(log.last_index)
        log.truncate_from(first.index)
        log.append(attrs.evolve(first, term=first.term + 7))
        log.append(last)
        self.assert_check_fails(self.follower, 'logs differ')

    def test_leader_that_lost_what_is_committed(self):
        log = self.leader.node.log
        log.truncate_from(log.last_index)
        self.assert_check_fails(self.leader, 'the leader lacks')

    def test_leader_that_lacks_what_is_committed_by_another(self):
        last = self.leader.node.log.entry_at(self.leader.node.log.last_index)
        index = last.index + 1
        self.cluster.committed[index] = attrs.evolve(last, index=index)
        self.assert_check_fails(self.leader, 'the leader lacks')

    def test_committed_entry_that_changed(self):
        last = self.leader.node.log.entry_at(self.leader.node.log.last_index)
        self.follower.applied_index = last.index - 1
        with self.assertRaisesRegex(AssertionError, 'committed entry'):
            self.cluster._apply(
                self.follower, attrs.evolve(last, data=b'another')
            )
