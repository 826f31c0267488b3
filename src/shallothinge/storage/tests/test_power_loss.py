"""Tests of a data folder whose machine loses power, at every sync."""

import itertools
import pathlib
import random
import tempfile
import unittest

from shallothinge.consensus import model
from shallothinge.storage import data_folder
from shallothinge.storage.tests import volatile_disk

ENTRIES = tuple(model.Entry(index=index, term=1) for index in range(1, 6))
# Received from a leader that is ahead: no entry before it is in the log.
RECEIVED = model.Snapshot(
    index=9, term=1, configuration=model.Configuration(), data=b'state'
)
# All of a start and of the work after it.
MAX_SYNCS = 8
# Each chooses other unsynced changes to survive.
SEEDS = range(10)


class Stopped(BaseException):
    """Ends a process at a sync."""


class Machine:
    """One machine with a disk, whose process can be stopped at a sync."""

    def __init__(self, *, folder, seed):
        self.path = pathlib.Path(folder) / 'data'
        self.disk = volatile_disk.VolatileDisk(
            rng=random.Random(seed), on_sync=self._on_sync
        )
        self._syncs_left = None

    def run(self, work, *, stop_at=None):
        """Open the folder and work on it until done or stopped.

        :param stop_at: number of the sync before which the process ends.
        """
        self._syncs_left = stop_at
        try:
            folder = data_folder.DataFolder(
                path=self.path, process_id='c1', sync=self.disk.sync
            )
            work(folder)
            folder.close()
        except Stopped:
            pass
        self._syncs_left = None
        # The lock of a process that ends is released.
        (self.path / data_folder.LOCK_NAME).unlink(missing_ok=True)

    def _on_sync(self, _, is_done):
        if self._syncs_left is None or is_done:
            return
        if not self._syncs_left:
            raise Stopped
        self._syncs_left -= 1


class PowerLossTest(unittest.TestCase):
    """Kills at one sync, then a loss of power at another."""

    def check(self, *, before, work, check):
        """Kill the process in its work; lose power when it is repeated."""
        stops = itertools.product(range(MAX_SYNCS), range(MAX_SYNCS), SEEDS)
        for killed_at, lost_at, seed in stops:
            with (
                self.subTest(killed_at=killed_at, lost_at=lost_at, seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                machine = Machine(folder=folder, seed=seed)
                if before is not None:
                    machine.run(before)
                machine.run(work, stop_at=killed_at)
                machine.run(work, stop_at=lost_at)
                machine.disk.lose_power(machine.path)
                machine.run(check)
                machine.disk.close()

    def test_rewritten_log_does_not_outlive_its_snapshot(self):
        def append(folder):
            folder.append(ENTRIES)

        def install(folder):
            if folder.restored.snapshot is None:
                folder.store_snapshot(RECEIVED)
            folder.rewrite((model.LogBase(index=RECEIVED.index, term=1),))

        def check(folder):
            restored = folder.restored
            if restored.base.index:
                self.assertEqual(RECEIVED, restored.snapshot)
            else:
                self.assertEqual(ENTRIES, restored.entries)

        self.check(before=append, work=install, check=check)

    def test_folder_of_a_killed_first_start_keeps_what_was_appended(self):
        appended_to = set()

        def append(folder):
            folder.append(ENTRIES)
            appended_to.add(folder.path)

        def check(folder):
            if folder.path in appended_to:
                self.assertEqual(ENTRIES, folder.restored.entries)

        self.check(before=None, work=append, check=check)

    def test_records_that_a_start_found_are_durable(self):
        """What a killed process wrote counts once its successor read it."""
        found = {}

        def append(folder):
            found[folder.path] = folder.restored.entries
            folder.append(ENTRIES)

        def check(folder):
            self.assertEqual(
                found.get(folder.path, ()),
                folder.restored.entries[: len(found.get(folder.path, ()))],
            )

        self.check(before=None, work=append, check=check)
