"""Tests that a removed host that comes back can join again."""

import pathlib
import shutil
import tempfile
import unittest

from shallothinge.control import former_members
from shallothinge.control.tests import hosts

IDS = tuple(f'10.0.0.{number}:{hosts.PORT}' for number in range(1, 7))
SEEDS = tuple(f'10.0.0.{number}:80' for number in range(1, 4))
GONE_SEEDS = ('10.0.0.8:80', '10.0.0.9:80')
# Long enough to remove the vote of a lost host, or to elect a new leader.
VOTE_REMOVAL_MS = 4000


class FormerMembersTest(unittest.TestCase):
    """Six hosts; one stops and comes back when its seeds are gone."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.hosts = hosts.Hosts(folder=self.folder, host_ids=(), seeds=SEEDS)
        self.addCleanup(self.hosts.close)
        self.hosts.found_with_seeds(IDS)
        self.gone_id = next(
            one
            for one in IDS[3:]
            if one != self.hosts.leader_host() and one in self.voters()
        )

    def voters(self):
        return self.hosts_of(self.hosts.leader().dump().voters)

    def hosts_of(self, replica_ids):
        return {one.partition('/')[0] for one in replica_ids}

    def run_until_voters(self, host_ids):
        """Wait for these members; of an even number, one may be a standby."""
        self.hosts.run_until(lambda: self.hosts.has_members(host_ids))

    def lose(self, *, with_disk):
        """Stop the host and wait until the others remove it."""
        self.hosts.stop(self.gone_id)
        if with_disk:
            shutil.rmtree(self.folder / self.gone_id)
        self.hosts.run(VOTE_REMOVAL_MS)
        self.assertNotIn(self.gone_id, self.hosts.leader().member_ids)

    def come_back(self):
        self.hosts.seeds = GONE_SEEDS
        self.hosts.start(self.gone_id)

    def test_host_without_disk_and_seeds_joins_after_its_removal(self):
        self.lose(with_disk=True)
        self.come_back()
        self.run_until_voters(IDS)

    def test_host_without_seeds_joins_with_its_disk(self):
        self.lose(with_disk=False)
        self.come_back()
        self.run_until_voters(IDS)

    def test_host_joins_though_the_leader_that_removed_it_is_gone(self):
        self.lose(with_disk=True)
        leader_id = self.hosts.leader_host()
        self.hosts.stop(leader_id)
        self.hosts.run(VOTE_REMOVAL_MS)
        self.come_back()
        self.run_until_voters(set(IDS) - {leader_id})

    def test_host_is_probed_until_shortly_before_the_end(self):
        self.lose(with_disk=True)
        self.hosts.run(former_members.PROBE_DURATION_MS - VOTE_REMOVAL_MS)
        self.come_back()
        self.run_until_voters(IDS)

    def test_host_that_is_gone_for_good_is_not_probed_for_ever(self):
        self.lose(with_disk=True)
        self.hosts.run(former_members.PROBE_DURATION_MS)
        sent = []
        send = self.hosts.send

        def note_and_send(sender_id, target_id, message):
            if target_id == self.gone_id:
                sent.append(message)
            return send(sender_id, target_id, message)

        self.hosts.send = note_and_send
        self.hosts.run(VOTE_REMOVAL_MS)
        self.assertEqual([], sent)
        self.assertEqual(set(), self.hosts.linked_to(self.gone_id))


if __name__ == '__main__':
    unittest.main()
