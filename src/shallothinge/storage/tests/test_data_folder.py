"""Tests of a data folder's content after crashes and file damage."""

import io
import os
import pathlib
import shutil
import tempfile
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies

from shallothinge.consensus import model
from shallothinge.storage import data_folder
from shallothinge.storage import errors
from shallothinge.storage import frames
from shallothinge.storage import log_file


def entry(index, *, term=1, data=b'x'):
    """Return a log entry."""
    return model.Entry(index=index, term=term, data=data)


def scan(data, *, salt):
    """Return the scan of a file's bytes and the payloads that it found."""
    file = io.BytesIO(data)
    found = frames.scan(file, salt=salt)
    payloads = tuple(
        frames.SpanReader(file=file, span=span).read(len(data))
        for span in found.spans
    )
    return found, payloads


SNAPSHOT = model.Snapshot(
    index=2, term=1, configuration=model.Configuration(), data=b'state'
)


class DataFolderTest(unittest.TestCase):
    """Reading, writing and reopening one data folder."""

    def setUp(self):
        self.path = pathlib.Path(tempfile.mkdtemp()) / 'data'
        self.addCleanup(shutil.rmtree, self.path.parent)

    def open(self, **kwargs):
        folder = data_folder.DataFolder(
            path=self.path, process_id='c1', **kwargs
        )
        self.addCleanup(folder.close)
        return folder

    def write(self, *batches):
        """Append batches of records and return the path of the log."""
        folder = self.open()
        for batch in batches:
            folder.append(batch)
        folder.close()
        return self.path / data_folder.LOG_NAME

    def test_records_come_back(self):
        self.write(
            (model.Cluster(cluster_id='x'), model.HardState(term=3)),
            (entry(1), entry(2), entry(3)),
            (entry(2, term=2),),
        )
        restored = self.open().restored
        self.assertEqual('x', restored.cluster.cluster_id)
        self.assertEqual(3, restored.hard_state.term)
        self.assertEqual((entry(1), entry(2, term=2)), restored.entries)

    def test_identity_is_kept_and_a_new_folder_is_another_replica(self):
        first = self.open().identity
        shutil.rmtree(self.path)
        second = self.open(rejoin=True)
        self.assertNotEqual(first.replica_id, second.identity.replica_id)
        second.close()
        self.assertEqual(second.identity, self.open().identity)

    def test_incomplete_last_write_is_truncated_at_every_length(self):
        path = self.write((entry(1),))
        intact_bytes = path.stat().st_size
        self.write((entry(2),))
        data = path.read_bytes()
        for size_bytes in range(intact_bytes + 1, len(data)):
            with self.subTest(size_bytes=size_bytes):
                path.write_bytes(data[:size_bytes])
                folder = self.open()
                self.assertEqual((entry(1),), folder.restored.entries)
                folder.append((entry(2, term=9),))
                folder.close()
                folder = self.open()
                self.assertEqual(9, folder.restored.entries[1].term)
                folder.close()

    def test_damage_before_the_last_write_is_refused_at_every_byte(self):
        path = self.write((entry(1),), (entry(2),))
        data = path.read_bytes()
        last = data.rfind(frames.FRAME_MAGIC)
        for offset in range(last):
            damaged = bytearray(data)
            damaged[offset] ^= 0x40
            path.write_bytes(damaged)
            with self.assertRaises(errors.StorageError) as caught:
                self.open()
            self.assertIn(str(path), str(caught.exception))
            self.assertIn(errors.REPAIR_PAGE, str(caught.exception))
            self.assertIn('at byte', str(caught.exception))
        path.write_bytes(data)
        self.assertEqual(2, len(self.open().restored.entries))

    def test_damage_in_a_rewritten_log_loses_no_record(self):
        folder = self.open()
        entries = tuple(entry(index, data=bytes(3)) for index in (1, 2, 3))
        with mock.patch.object(log_file, 'REWRITE_FRAME_BYTES', 1):
            folder.rewrite(entries)
        folder.close()
        path = self.path / data_folder.LOG_NAME
        data = path.read_bytes()
        last = data.rfind(frames.FRAME_MAGIC)
        for offset in range(len(data)):
            damaged = bytearray(data)
            damaged[offset] ^= 0x40
            path.write_bytes(damaged)
            with self.subTest(offset=offset):
                if offset < last:
                    self.assertRaises(errors.StorageError, self.open)
                    continue
                folder = self.open()
                self.assertEqual(entries, folder.restored.entries)
                folder.close()

    def test_damaged_snapshot_is_refused(self):
        folder = self.open()
        folder.store_snapshot(SNAPSHOT)
        folder.close()
        path = self.path / data_folder.SNAPSHOT_NAME
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        path.write_bytes(data)
        with self.assertRaises(errors.StorageDamaged):
            self.open()

    def test_lost_log_with_a_snapshot_is_not_an_empty_folder(self):
        folder = self.open()
        folder.store_snapshot(SNAPSHOT)
        folder.close()
        (self.path / data_folder.LOG_NAME).unlink()
        with self.assertRaises(errors.StorageDamaged):
            self.open()

    def test_folder_is_used_by_one_process_only(self):
        self.open()
        with self.assertRaises(errors.FolderLocked):
            self.open()

    def test_folder_of_another_process_is_refused(self):
        self.open().close()
        with self.assertRaises(errors.StorageError):
            data_folder.DataFolder(path=self.path, process_id='c2')

    def test_failed_sync_is_reported(self):
        self.open().close()
        failing = []

        def sync(descriptor):
            if failing:
                raise OSError(5, 'Input/output error')
            os.fsync(descriptor)

        folder = self.open(sync=sync)
        failing.append(True)
        table = (
            ('append', lambda: folder.append((entry(1),))),
            ('snapshot', lambda: folder.store_snapshot(SNAPSHOT)),
            ('rewrite', lambda: folder.rewrite(())),
        )
        for name, write in table:
            with self.subTest(name):
                with self.assertRaises(errors.WriteFailed):
                    write()

    def test_each_write_syncs_the_file_and_a_replacement_its_folder(self):
        synced = []

        def sync(descriptor):
            synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
            os.fsync(descriptor)

        folder = self.open(sync=sync)
        synced.clear()
        folder.append((entry(1),))
        self.assertEqual([str(self.path / 'log')], synced)
        synced.clear()
        folder.store_snapshot(SNAPSHOT)
        self.assertEqual(
            [str(self.path / 'snapshot.new'), str(self.path)], synced
        )


class FramesTest(unittest.TestCase):
    """Frame encoding and the scan of a file."""

    @given(
        payloads=strategies.lists(strategies.binary(max_size=40), max_size=5),
        cut=strategies.integers(0, 300),
    )
    def test_any_prefix_is_a_torn_tail(self, payloads, cut):
        salt = b'salty123'
        data = frames.encode_header(salt=salt)
        for payload in payloads:
            data += frames.encode_frame(payload, salt=salt)
        found, read = scan(data[: frames.HEADER_BYTES + cut], salt=salt)
        self.assertFalse(found.damaged)
        self.assertEqual(tuple(payloads[: len(read)]), read)

    def test_frame_inside_a_payload_is_not_taken_for_one(self):
        other = frames.encode_frame(b'inner', salt=b'another1')
        frame = frames.encode_frame(other * 3, salt=b'salty123')
        data = frames.encode_header(salt=b'salty123') + frame[:-1]
        self.assertFalse(scan(data, salt=b'salty123')[0].damaged)

    def test_frames_are_found_wherever_the_chunks_of_a_read_end(self):
        salt = b'salty123'
        frame = frames.encode_frame(b'payload', salt=salt)
        for short_by in range(len(frame) + 2):
            junk = bytes(frames.CHUNK_BYTES - short_by)
            with self.subTest(short_by=short_by):
                data = frames.encode_header(salt=salt)
                long = frames.encode_frame(junk, salt=salt)
                self.assertEqual(
                    (junk, b'payload'), scan(data + long + frame, salt=salt)[1]
                )
                found, payloads = scan(data + junk + frame, salt=salt)
                self.assertEqual(((), True), (payloads, found.damaged))
