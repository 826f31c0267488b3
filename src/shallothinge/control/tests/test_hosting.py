"""Tests of control hosts whose disks fill up."""

import errno
import os
import pathlib
import shutil
import tempfile
from unittest import mock

from twisted.trial import unittest

from shallothinge import errors
from shallothinge.control import hosting
from shallothinge.control import replica
from shallothinge.control import unavailable_replica
from shallothinge.control.tests import hosts
from shallothinge.storage import data_folder
from shallothinge.storage import errors as storage_errors
from shallothinge.storage import files

ORIGINAL_WRITE_ALL = files.write_all


class FullDiskTest(unittest.SynchronousTestCase):
    """Three control hosts, one of which has a full disk."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.hosts = hosts.Hosts(folder=self.folder)
        self.addCleanup(self.hosts.close)
        self.full = ''
        self.error = errno.ENOSPC
        patched = mock.patch.object(files, 'write_all', self.write_all)
        patched.start()
        self.addCleanup(patched.stop)

    def write_all(self, descriptor, data):
        """Write, unless the file is on the full disk."""
        path = os.readlink(f'/proc/self/fd/{descriptor}')
        if self.full and path.startswith(str(self.folder / self.full)):
            ORIGINAL_WRITE_ALL(descriptor, data[: len(data) // 2])
            raise OSError(self.error, os.strerror(self.error))
        ORIGINAL_WRITE_ALL(descriptor, data)

    def is_absent(self, host_id):
        return isinstance(
            self.hosts.replicas[host_id],
            unavailable_replica.UnavailableReplica,
        )

    def fill_disk_of_leader(self):
        self.hosts.found()
        self.assertEqual(b'1', self.hosts.propose(b'a'))
        self.full = self.hosts.leader_host()
        answered = self.hosts.leader().propose(b'b')
        failures = []
        answered.addErrback(failures.append)
        self.hosts.run(10)
        return failures

    def test_leader_with_a_full_disk_fails_the_proposal(self):
        [failure] = self.fill_disk_of_leader()
        self.assertEqual(errors.ErrorKind.INTERNAL, failure.value.kind)
        self.assertTrue(self.is_absent(self.full))
        self.assertEqual([], self.hosts.failures)

    def test_others_go_on_without_the_host(self):
        self.fill_disk_of_leader()
        self.hosts.propose(b'c')
        self.assertNotEqual(self.full, self.hosts.leader_host())
        self.assertTrue(self.is_absent(self.full))

    def test_host_takes_part_again_once_there_is_room(self):
        self.fill_disk_of_leader()
        self.hosts.propose(b'c')
        host_id, self.full = self.full, ''
        with self.assertLogs(hosting.LOG, 'INFO') as logged:
            self.hosts.run(2 * hosting.REOPEN_INTERVAL_MS)
        self.assertIn('space is available again', logged.output[0])
        self.assertIsInstance(self.hosts.replicas[host_id], replica.Replica)
        self.hosts.propose(b'd')
        self.hosts.run(1000)
        self.assertEqual(
            [b'a', b'c', b'd'], self.hosts.machines[host_id].commands[:3]
        )

    def test_what_was_acknowledged_survives_a_full_disk_and_a_restart(self):
        self.fill_disk_of_leader()
        self.hosts.propose(b'c')
        host_id = self.full
        self.hosts.stop(host_id)
        self.hosts.start(host_id)
        self.assertTrue(self.is_absent(host_id))
        self.full = ''
        self.hosts.run(3000)
        for other_id in hosts.HOST_IDS:
            self.hosts.stop(other_id)
        for other_id in hosts.HOST_IDS:
            self.hosts.start(other_id)
        self.hosts.propose(b'd')
        self.assertEqual(b'a', self.hosts.machines[host_id].commands[0])

    def test_damage_found_while_reopening_ends_the_process(self):
        self.fill_disk_of_leader()
        host_id, self.full = self.full, ''
        (self.folder / host_id / data_folder.LOG_NAME).write_bytes(b'rubbish')
        self.hosts.run(2 * hosting.REOPEN_INTERVAL_MS)
        [error] = self.hosts.failures
        self.assertIsInstance(error, storage_errors.StorageDamaged)

    def test_other_failures_of_the_disk_end_the_process(self):
        self.error = errno.EIO
        self.fill_disk_of_leader()
        self.assertEqual(1, len(self.hosts.failures))
