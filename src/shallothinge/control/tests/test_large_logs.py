"""Tests of logs that are large in bytes, though not in entries."""

import pathlib
import random
import tempfile
import tracemalloc
import unittest
from unittest import mock

import attrs
import msgpack

from shallothinge import memory
from shallothinge import wire
from shallothinge.consensus import model
from shallothinge.control import compaction
from shallothinge.control.tests import hosts
from shallothinge.control.tests import lone_stores
from shallothinge.storage import data_folder
from shallothinge.storage import files
from shallothinge.storage import frames

MEGABYTE = memory.MEGABYTE
ENTRY_BYTES = 45_000
LEAST_BYTES = compaction.LEAST_LOG_BYTES


class LastCommandMachine:
    """A state machine whose state is the last command."""

    def __init__(self):
        self.command = b''

    def apply(self, *, index, command):
        """Replace the state."""
        self.command = command
        return b''

    def snapshot(self):
        """Return the state."""
        return self.command

    def restore(self, data):
        """Replace the state by a snapshot."""
        self.command = data


def make_entries(count, *, size_bytes=ENTRY_BYTES):
    """Return entries of random bytes, which take their size anywhere."""
    rng = random.Random(1)
    return tuple(
        model.Entry(index=index, term=1, data=rng.randbytes(size_bytes))
        for index in range(1, count + 1)
    )


def write_in_frames(path, entries):
    """Write a log as it grows, a frame for each entry."""
    folder = lone_stores.open_folder(path)
    for entry in entries:
        folder.append((entry,))
    folder.close()


def write_in_one_frame(path, entries):
    """Write a log as former releases did at each start, in one frame."""
    folder = lone_stores.open_folder(path)
    folder.close()
    codec = wire.Codec(message_types=model.RECORDS)
    records = (folder.identity, model.LogBase(), *entries)
    files.replace_file(
        path / data_folder.LOG_NAME,
        payloads=(msgpack.packb([codec.encode(one) for one in records]),),
        salt=frames.new_salt(),
        sync=lambda _: None,
    )


def start(path):
    """Open a data folder as the control process does."""
    return lone_stores.open_store(path, machine=LastCommandMachine())


class LargeLogTest(unittest.TestCase):
    """One data folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def start_measured(self, name):
        """Return the peak of the memory of a start and what it wrote."""
        written = []

        def write_all(descriptor, data):
            written.append(len(data))
            return write(descriptor, data)

        write = files.write_all
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with mock.patch.object(files, 'write_all', write_all):
            store = start(self.folder / name)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        store.close()
        return peak_bytes, sum(written)

    # Guards against control hosts that went over their memory at each start.
    def test_start_holds_the_log_once_and_does_not_write_it_anew(self):
        for write in (write_in_frames, write_in_one_frame):
            peaks = []
            for count in (100, 300):
                name = f'{write.__name__}-{count}'
                write(self.folder / name, make_entries(count))
                peak_bytes, written_bytes = self.start_measured(name)
                peaks.append(peak_bytes)
                self.assertLess(written_bytes, MEGABYTE)
            with self.subTest(write.__name__):
                grown_bytes = 200 * ENTRY_BYTES
                self.assertLess(peaks[1] - peaks[0], 1.2 * grown_bytes)
                self.assertLess(peaks[1], 1.2 * 300 * ENTRY_BYTES)

    # Guards against memory that entries took after they had left the log.
    def test_entries_of_a_start_are_released_with_the_log(self):
        lone_stores.found(self.folder / 'c1', machine=LastCommandMachine())
        folder = lone_stores.open_folder(self.folder / 'c1')
        for entry in make_entries(300):
            folder.append((attrs.evolve(entry, index=entry.index + 1),))
        folder.close()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        store = start(self.folder / 'c1')
        lone_stores.apply_all(store)
        self.assertGreater(store.applied_index, 300)
        store.compact_if_due()
        kept_bytes = tracemalloc.get_traced_memory()[0]
        store.close()
        self.assertLess(kept_bytes, 2 * MEGABYTE)

    def test_snapshot_that_replaces_the_log_is_followed_by_a_new_log(self):
        write_in_frames(self.folder / 'c1', make_entries(3, size_bytes=1))
        folder = lone_stores.open_folder(self.folder / 'c1')
        folder.store_snapshot(
            model.Snapshot(
                index=9,
                term=2,
                configuration=model.Configuration(),
                data=b'state',
            )
        )
        folder.close()
        for _ in range(2):
            store = start(self.folder / 'c1')
            self.assertEqual(9, store.node.log.last_index)
            self.assertEqual(9, store.applied_index)
            store.close()


class LogGrowthTest(unittest.TestCase):
    """Three control hosts whose changes are large."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def start_hosts(self):
        started = hosts.Hosts(
            folder=self.folder, make_machine=LastCommandMachine
        )
        self.addCleanup(started.close)
        return started

    # Guards against a log of hundreds of large changes behind a small state.
    def test_log_is_bounded_by_bytes_in_proportion_to_the_state(self):
        started = self.start_hosts()
        started.found()
        rng = random.Random(2)
        for size_bytes, count in ((ENTRY_BYTES, 300), (2 * MEGABYTE, 12)):
            most_bytes = 0
            for _ in range(count):
                started.propose(rng.randbytes(size_bytes))
                for replica in started.replicas.values():
                    sizes = replica.storage_sizes()
                    most_bytes = max(most_bytes, sizes.log_bytes)
            bound_bytes = max(LEAST_BYTES, size_bytes)
            with self.subTest(size_bytes=size_bytes):
                # The part kept for others, and the entry that ends it.
                self.assertLess(most_bytes, 1.5 * bound_bytes + 2 * size_bytes)

    # Guards against an upgrade that finds a log too large to start with.
    def test_large_log_of_a_former_release_is_compacted_after_a_start(self):
        started = self.start_hosts()
        started.found()
        for _ in range(20):
            started.propose(bytes(10))
        for host_id in hosts.HOST_IDS:
            started.stop(host_id)
        for host_id in hosts.HOST_IDS:
            path = self.folder / host_id
            folder = data_folder.DataFolder(path=path, process_id=host_id)
            restored = folder.restored
            last = restored.entries[-1].index
            records = [restored.cluster, restored.hard_state, restored.base]
            more = [
                model.Entry(index=last + entry.index, term=1, data=entry.data)
                for entry in make_entries(200)
            ]
            folder.rewrite((*records, *restored.entries, *more))
            folder.close()
        for host_id in hosts.HOST_IDS:
            started.start(host_id)
        started.run(5000)
        self.assertEqual([], started.failures)
        for host_id in hosts.HOST_IDS:
            sizes = started.replicas[host_id].storage_sizes()
            self.assertLess(sizes.log_bytes, 2 * MEGABYTE)
            self.assertEqual(
                make_entries(200)[-1].data, started.machines[host_id].command
            )


class CompactionPolicyTest(unittest.TestCase):
    """When a snapshot is due."""

    def test_due(self):
        table = (
            ('nothing applied', 0, 50, 0, False),
            ('few and short', 999, 3, 0, False),
            ('many', 1000, 3, 0, True),
            ('many, but shorter than the state', 1000, 3, 6, False),
            ('long', 1, 4, 0, True),
            ('long, but shorter than the state', 1, 5, 6, False),
            ('as long as the state', 1, 6, 6, True),
            ('state larger than the ceiling', 1, 8, 30, True),
        )
        for name, entries, log_mb, snapshot_mb, is_due in table:
            with self.subTest(name):
                self.assertEqual(
                    is_due,
                    lone_stores.POLICY.is_due(
                        entries=entries,
                        log_bytes=log_mb * MEGABYTE,
                        snapshot_bytes=snapshot_mb * MEGABYTE,
                    ),
                )

    def test_ceiling_follows_the_memory_and_the_disk(self):
        table = ((200, 0, 25), (200, 64, 8), (80, 1000, 10), (200, 8, 1))
        for memory_mb, disk_mb, ceiling_mb in table:
            policy = compaction.make_policy(
                snapshot_entries=1000,
                memory_bytes=memory_mb * MEGABYTE,
                disk_mb=disk_mb,
            )
            self.assertEqual(ceiling_mb * MEGABYTE, policy.ceiling_bytes)
            with self.subTest(memory_mb=memory_mb, disk_mb=disk_mb):
                self.assertTrue(
                    policy.is_due(
                        entries=1,
                        log_bytes=ceiling_mb * MEGABYTE,
                        snapshot_bytes=ceiling_mb * MEGABYTE,
                    )
                )


if __name__ == '__main__':
    unittest.main()
