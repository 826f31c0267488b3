"""Tests of replicas with real data folders on a simulated reactor."""

import pathlib
import shutil
import tempfile

from twisted.trial import unittest

from shallothinge import errors
from shallothinge.control import repair
from shallothinge.control.tests import hosts
from shallothinge.storage import data_folder
from shallothinge.storage import errors as storage_errors


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
        self.hosts.isolated.add(self.hosts.leader_host())
        read = self.hosts.wait(former.confirm_read())
        self.assertEqual(errors.ErrorKind.NOT_LEADER, read.value.kind)
        self.assertFalse(former.is_leader)

    def test_lost_leadership_leaves_the_outcome_open(self):
        self.hosts.found()
        former = self.hosts.leader()
        self.hosts.isolated.add(self.hosts.leader_host())
        outcome = self.hosts.wait(former.propose(b'x'))
        self.assertEqual(errors.ErrorKind.INTERNAL, outcome.value.kind)

    def test_planned_stop_hands_over(self):
        self.hosts.found()
        former = self.hosts.leader_host()
        self.hosts.wait(self.hosts.leader().transfer_leadership())
        self.hosts.run_until(self.hosts.leader, limit_ms=200)
        self.assertNotEqual(former, self.hosts.leader_host())

    def test_repaired_host_gets_its_vote_back_and_a_second_may_fail(self):
        self.hosts.found()
        for number in range(50):
            self.hosts.propose(str(number).encode())
        self.hosts.stop('c2')
        (self.folder / 'c2' / 'log').write_bytes(b'damaged')
        with self.assertRaises(storage_errors.StorageDamaged):
            self.hosts.start('c2')
        repaired = repair.repair(folder=self.folder / 'c2', process_id='c2')
        self.hosts.start('c2')
        self.hosts.run_until(
            lambda: self.hosts.leader()
            and repaired.replica_id in self.hosts.leader().dump().voters
        )
        self.hosts.stop('c1')
        shutil.rmtree(self.folder / 'c1')
        self.assertEqual(b'51', self.hosts.propose(b'last'))
        self.hosts.run(300)
        commands = self.hosts.machines['c2'].commands
        self.assertEqual(51, len(commands))

    def test_empty_folder_without_a_repair_stays_outside(self):
        self.hosts.found()
        self.hosts.stop('c2')
        shutil.rmtree(self.folder / 'c2')
        self.hosts.start('c2')
        self.hosts.run(5000)
        self.assertEqual('', self.hosts.replicas['c2'].dump().cluster_id)

    def test_repair_refuses_folders_in_use_and_healthy_ones(self):
        self.hosts.found()
        folder = self.folder / 'c2'
        with self.assertRaises(repair.RepairRefused):
            repair.repair(folder=folder, process_id='c2')
        self.hosts.stop('c2')
        with self.assertRaises(repair.RepairRefused):
            repair.repair(folder=folder, process_id='c2')
        done = repair.repair(
            folder=folder, process_id='c2', discard_healthy=True
        )
        self.assertNotEqual(done.former_id, done.replica_id)
        self.assertTrue((done.aside / 'log').exists())

    def test_failed_sync_ends_the_process_before_any_answer(self):
        self.hosts.found()
        leader = self.hosts.leader()
        host_id = self.hosts.leader_host()
        self.patch(data_folder.DataFolder, 'append', _fail_write)
        answered = leader.propose(b'x')
        self.hosts.reactor.advance(0)
        self.assertEqual(1, len(self.hosts.failures))
        self.assertEqual(
            errors.ErrorKind.INTERNAL,
            self.failureResultOf(answered).value.kind,
        )
        self.assertFalse(leader.is_leader)
        self.hosts.replicas.pop(host_id)

    def test_host_behind_the_snapshot_gets_it(self):
        self.hosts.close()
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        self.hosts = hosts.Hosts(folder=self.folder, snapshot_entries=20)
        self.addCleanup(self.hosts.close)
        self.hosts.found()
        self.hosts.stop('c3')
        for number in range(100):
            self.hosts.propose(str(number).encode())
        self.hosts.start('c3')
        machine = self.hosts.machines['c3']
        self.hosts.run_until(lambda: len(machine.commands) == 100)
        self.assertGreater(self.hosts.replicas['c3'].dump().snapshot_index, 50)

    def test_large_state_is_not_written_more_often_than_the_log(self):
        self.hosts.close()
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        self.hosts = hosts.Hosts(folder=self.folder, snapshot_entries=5)
        self.addCleanup(self.hosts.close)
        self.hosts.found()
        self.hosts.propose(b'x' * 20_000)
        for number in range(30):
            self.hosts.propose(b'y')
        self.assertLess(self.hosts.leader().dump().snapshot_index, 15)
        self.hosts.propose(b'x' * 30_000)
        self.assertGreater(self.hosts.leader().dump().snapshot_index, 30)

    def test_members_are_removed_and_added(self):
        self.hosts.found()
        self.hosts.run_until(self.hosts.leader)
        other = next(
            one for one in hosts.HOST_IDS if one != self.hosts.leader_host()
        )
        leader = self.hosts.leader()
        self.assertIsNone(
            self.hosts.wait(leader.remove_member(process_id=other))
        )
        self.assertEqual(2, len(leader.dump().voters))
        self.hosts.run(2000)
        self.assertIsNone(self.hosts.wait(leader.add_member(process_id=other)))
        self.assertEqual(3, len(leader.dump().voters))


def _fail_write(folder, records):
    raise storage_errors.WriteFailed('log: Input/output error')
