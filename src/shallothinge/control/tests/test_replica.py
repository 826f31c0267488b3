"""Tests of replicas with their data folders on a test reactor."""

import pathlib
import shutil
import tempfile

from twisted.trial import unittest

from shallothinge import errors
from shallothinge.control.tests import hosts


class ReplicaTest(unittest.SynchronousTestCase):
    """Three control hosts in one cluster."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.hosts = hosts.Hosts(folder=self.folder)
        self.addCleanup(self.hosts.close)

    def test_empty_hosts_found_nothing_by_themselves(self):
        self.hosts.run(5000)
        for replica in self.hosts.replicas.values():
            self.assertEqual('', replica.dump().cluster_id)
            self.assertEqual(0, replica.dump().term)

    def test_commands_are_answered_and_reach_every_host(self):
        self.hosts.found()
        self.assertEqual(b'1', self.hosts.propose(b'a'))
        self.assertEqual(b'2', self.hosts.propose(b'b'))
        self.hosts.run(500)
        for machine in self.hosts.machines.values():
            self.assertEqual([b'a', b'b'], machine.commands)

    def test_committed_commands_survive_a_restart_of_all(self):
        self.hosts.found()
        self.hosts.propose(b'a')
        for host_id in hosts.HOST_IDS:
            self.hosts.stop(host_id)
        for host_id in hosts.HOST_IDS:
            self.hosts.start(host_id)
        self.assertEqual(b'2', self.hosts.propose(b'b'))

    def test_follower_names_the_leader(self):
        self.hosts.found()
        leader_host = self.hosts.leader_host()
        self.hosts.run(300)
        for host_id, replica in self.hosts.replicas.items():
            if host_id == leader_host:
                continue
            failure = self.failureResultOf(replica.propose(b'x'))
            self.assertEqual(errors.ErrorKind.NOT_LEADER, failure.value.kind)
            self.assertEqual(leader_host, failure.value.leader_id)

    def test_read_is_confirmed_by_a_majority(self):
        self.hosts.found()
        self.assertIsNone(self.hosts.wait(self.hosts.leader().confirm_read()))

    def test_cut_off_leader_neither_reads_nor_commits(self):
        self.hosts.found()
        former = self.hosts.leader()
        self.hosts.cut.add(self.hosts.leader_host())
        read = self.hosts.wait(former.confirm_read())
        self.assertEqual(errors.ErrorKind.NOT_LEADER, read.value.kind)
        self.assertFalse(former.is_leader)

    def test_lost_leadership_leaves_the_outcome_open(self):
        self.hosts.found()
        former = self.hosts.leader()
        self.hosts.cut.add(self.hosts.leader_host())
        outcome = self.hosts.wait(former.propose(b'x'))
        self.assertEqual(errors.ErrorKind.INTERNAL, outcome.value.kind)

    def test_planned_stop_hands_over(self):
        self.hosts.found()
        former = self.hosts.leader_host()
        self.hosts.wait(self.hosts.leader().transfer_leadership())
        self.hosts.run_until(self.hosts.leader, limit_ms=200)
        self.assertNotEqual(former, self.hosts.leader_host())
