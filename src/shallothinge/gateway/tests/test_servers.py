"""Tests of how a gateway tracks its listed backend servers."""

import unittest

import attrs

from shallothinge.gateway.tests import rig


class ServersTest(unittest.TestCase):
    """Logging and counts of changes of the server list."""

    def setUp(self):
        self.rig = rig.Rig(server_count=2)
        self.servers = self.rig.parts.servers
        self.members = self.rig.holder.members

    def sync(self):
        """Synchronize with the list; return the log record of the change."""
        with self.assertLogs('shallothinge.gateway.servers') as logs:
            self.servers.sync_members()
        self.assertEqual(1, len(logs.records))
        return logs.records[0]

    def test_changes_of_the_list_are_logged_with_their_origin(self):
        line = self.sync()
        self.assertEqual(['desk-0', 'desk-1', 'llm-0', 'llm-1'], line.joined)
        self.assertEqual(('e', 1), (line.members_epoch, line.members_version))
        del self.members['desk-1']
        self.members['llm-0'] = attrs.evolve(
            self.members['llm-0'], leaving=True
        )
        line = self.sync()
        self.assertEqual((['desk-1'], ['llm-0']), (line.left, line.leaving))
        counts = (self.servers.count, self.servers.leaving_count)
        self.assertEqual((3, 1), counts)
        with self.assertNoLogs('shallothinge.gateway.servers'):
            self.servers.sync_members()
