"""Tests of control hosts that discover each other through seeds."""

import pathlib
import shutil
import tempfile
import unittest

from shallothinge.consensus import messages
from shallothinge.control.tests import hosts

IDS = tuple(f'10.0.0.{number}:{hosts.PORT}' for number in range(1, 7))
SEEDS = tuple(f'10.0.0.{number}:80' for number in range(1, 4))


class DiscoveryTest(unittest.TestCase):
    """Six hosts, three of which are seeds."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.hosts = hosts.Hosts(folder=self.folder, host_ids=(), seeds=SEEDS)
        self.addCleanup(self.hosts.close)

    def found(self, host_ids=IDS):
        """Start hosts for the first time and let all of them join."""
        self.hosts.found_with_seeds(host_ids)
        self.hosts.run_until(
            lambda: all(
                set(host_ids) == set(self.hosts.replicas[one].member_ids)
                for one in host_ids
            )
        )

    def run_until_voters(self, host_ids):
        """Wait for these members; of an even number, one may be a standby."""
        self.hosts.run_until(lambda: self.hosts.has_members(host_ids))

    def test_hosts_beside_the_seeds_join_by_themselves(self):
        self.found()
        for host_id in IDS:
            self.assertEqual(
                set(IDS), set(self.hosts.replicas[host_id].member_ids)
            )

    def test_two_of_six_may_be_lost(self):
        self.found()
        self.hosts.propose(b'one')
        for host_id in IDS[:2]:
            self.hosts.stop(host_id)
        self.assertEqual(b'2', self.hosts.propose(b'two'))

    def test_host_that_lost_its_disk_joins_again(self):
        self.found(IDS[:3])
        self.hosts.propose(b'one')
        self.hosts.stop(IDS[1])
        shutil.rmtree(self.folder / IDS[1])
        self.hosts.start(IDS[1])
        self.hosts.run(3000)
        self.run_until_voters(IDS[:3])
        self.hosts.stop(IDS[0])
        self.assertEqual(b'2', self.hosts.propose(b'two'))

    def test_hosts_that_lost_their_disks_join_though_no_seed_is_left(self):
        self.found()
        self.hosts.stop(IDS[1])
        self.hosts.run(4000)
        wiped = IDS[0], IDS[2]
        for host_id in wiped:
            self.hosts.stop(host_id)
            shutil.rmtree(self.folder / host_id)
        for host_id in wiped:
            self.hosts.start(host_id)
        wiped_ids = {
            self.hosts.replicas[host_id].dump().replica_id for host_id in wiped
        }
        self.hosts.run_until(
            lambda: self.hosts.leader()
            and wiped_ids <= set(self.hosts.leader().dump().voters)
        )

    def test_new_host_takes_the_place_of_a_lost_one(self):
        self.found(IDS[:3])
        self.hosts.propose(b'one')
        self.hosts.stop(self.hosts.leader_host())
        left = set(self.hosts.replicas)
        self.hosts.start(IDS[5])
        self.run_until_voters(left | {IDS[5]})
        self.assertEqual(b'2', self.hosts.propose(b'two'))

    def test_host_that_was_replaced_while_frozen_joins_again(self):
        self.found(IDS[:3])
        self.hosts.isolated = {IDS[2]}
        self.hosts.start(IDS[5])
        self.run_until_voters({IDS[0], IDS[1], IDS[5]})
        self.hosts.isolated = set()
        self.run_until_voters({IDS[0], IDS[1], IDS[2], IDS[5]})

    def test_connections_to_a_host_that_is_gone_for_good_are_closed(self):
        rows = (('seed', IDS[0], 2), ('member', IDS[3], 3))
        for name, gone_id, seed_count in rows:
            with self.subTest(name):
                self.setUp()
                self.found(IDS[:4])
                self.hosts.stop(gone_id)
                self.hosts.start(IDS[5])
                left = set(IDS[:4]) - {gone_id} | {IDS[5]}
                self.run_until_voters(left)
                self.hosts.reload(seeds=SEEDS[3 - seed_count :])
                self.hosts.run(20_000)
                self.assertEqual(set(), self.hosts.linked_to(gone_id))

    def test_empty_host_joins_by_seeds_that_came_after_its_start(self):
        self.found(IDS[:3])
        self.hosts.seeds = ('10.0.0.8:80', '10.0.0.9:80')
        self.hosts.start(IDS[3])
        self.hosts.run(5000)
        self.hosts.reload(seeds=SEEDS)
        self.run_until_voters(IDS[:4])

    def test_host_that_leaves_is_not_taken_in_again_before_it_ends(self):
        self.found(IDS[:4])
        leaving_id = next(
            one for one in IDS[:4] if one != self.hosts.leader_host()
        )
        self.hosts.wait(self.hosts.replicas[leaving_id].leave())
        for _ in range(30):
            self.hosts.run(100)
            self.assertNotIn(leaving_id, self.hosts.leader().member_ids)

    def test_late_leave_request_takes_no_vote_of_a_host_that_is_back(self):
        for count in (4, 5):
            with self.subTest(hosts=count):
                self.setUp()
                self.found(IDS[:count])
                self.hosts.run(1000)
                leader = self.hosts.leader().dump()
                voter = next(
                    one for one in leader.voters if one != leader.replica_id
                )
                host_id = voter.rpartition('/')[0]
                request = messages.LeaveRequest(
                    cluster_id=leader.cluster_id,
                    sender_id=voter,
                    target_id=leader.replica_id,
                )
                self.hosts.deliver_later(
                    1.0, host_id, self.hosts.leader_host(), request
                )
                self.hosts.stop(host_id)
                self.hosts.start(host_id)
                for _ in range(30):
                    self.hosts.run(50)
                    self.assertEqual(
                        leader.voters, self.hosts.leader().dump().voters
                    )

    def test_leader_is_elected_soon_after_all_were_restarted(self):
        self.found(IDS[:3])
        for host_id in IDS[:3]:
            self.hosts.stop(host_id)
        for host_id in IDS[:3]:
            self.hosts.start(host_id)
        self.hosts.run_until(self.hosts.leader, limit_ms=600)

    def test_empty_hosts_after_the_first_start_found_nothing(self):
        for host_id in IDS[:3]:
            self.hosts.start(host_id)
        self.hosts.run(5000)
        self.assertIsNone(self.hosts.leader())
