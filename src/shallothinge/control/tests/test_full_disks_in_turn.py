"""Tests of control hosts whose disks are full one after the other."""

import errno
import itertools
import os
import pathlib
import shutil
import tempfile
from unittest import mock

from twisted.trial import unittest

from shallothinge.control.tests import hosts
from shallothinge.control.tests import test_discovery
from shallothinge.storage import files

ORIGINAL_WRITE_ALL = files.write_all
ORIGINAL_OPEN = os.open
PROPOSAL_INTERVAL_MS = 200
# Within this time the users want a change acknowledged.
ACK_TIMEOUT_MS = 4000
CALM_MS = 60_000


class FullDisksInTurnTest(unittest.SynchronousTestCase):
    """Three control hosts; never are two disks full at once."""

    def found(self, count, *, is_discovered):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        fields = {'folder': self.folder, 'snapshot_entries': 20}
        if is_discovered:
            host_ids = test_discovery.IDS[:count]
            self.hosts = hosts.Hosts(
                host_ids=(),
                seeds=test_discovery.SEEDS,
                losses_to_bear=count // 3,
                **fields,
            )
            self.hosts.found_with_seeds(host_ids)
        else:
            self.hosts = hosts.Hosts(**fields)
            self.hosts.found()
        self.addCleanup(self.hosts.close)
        self.numbers = itertools.count()
        self.full = ''

    def setUp(self):
        for owner, name, replacement in (
            (files, 'write_all', self.write_all),
            (os, 'open', self.open),
        ):
            patched = mock.patch.object(owner, name, replacement)
            patched.start()
            self.addCleanup(patched.stop)
        self.full = ''

    def is_full(self, path):
        return self.full and str(path).startswith(str(self.folder / self.full))

    def write_all(self, descriptor, data):
        """Write, unless the file is on the full disk."""
        if self.is_full(os.readlink(f'/proc/self/fd/{descriptor}')):
            ORIGINAL_WRITE_ALL(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        ORIGINAL_WRITE_ALL(descriptor, data)

    def open(self, path, flags, *arguments, **more):
        """Open a file; a full disk creates none."""
        if flags & os.O_CREAT and self.is_full(path):
            if not os.path.exists(path):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return ORIGINAL_OPEN(path, flags, *arguments, **more)

    def propose(self):
        """Propose a change if there is a leader; return its answers."""
        answers = []
        leader = self.hosts.leader()
        if leader is not None:
            command = b'%d' % next(self.numbers)
            leader.propose(command).addBoth(answers.append)
        return answers

    def change_for(self, duration_ms):
        """Propose a change each interval; nobody looks at the answers."""
        for _ in range(duration_ms // PROPOSAL_INTERVAL_MS):
            self.propose()
            self.hosts.run(PROPOSAL_INTERVAL_MS)

    def check_calm(self, name):
        """Let a calm minute pass in which each change is acknowledged."""
        self.change_for(ACK_TIMEOUT_MS)
        for _ in range(CALM_MS // ACK_TIMEOUT_MS):
            self.assertIsNotNone(self.hosts.leader(), name)
            answers = self.propose()
            self.hosts.run(ACK_TIMEOUT_MS)
            self.assertTrue(answers, name)
            self.assertIsInstance(answers[0], bytes, name)
        commands = {
            tuple(machine.commands) for machine in self.hosts.machines.values()
        }
        self.assertEqual(1, len(commands), name)
        self.assertEqual([], self.hosts.failures, name)

    def test_changes_are_acknowledged_after_each_disk_was_full(self):
        for kind, order, full_ms, gap_ms in itertools.product(
            ((3, False), (3, True), (6, True)),
            ('in turn', 'leaders'),
            (1000, 6000),
            (200, 4000),
        ):
            count, is_discovered = kind
            name = f'{kind} {order} {full_ms} {gap_ms}'
            self.found(count, is_discovered=is_discovered)
            for host_id in list(self.hosts.replicas):
                if order == 'leaders':
                    self.hosts.run_until(self.hosts.leader)
                    host_id = self.hosts.leader_host()
                self.full = host_id
                self.change_for(full_ms)
                self.full = ''
                self.change_for(gap_ms)
            self.check_calm(name)
