"""Tests that a control host reads the data folder of an earlier release.

``testing/stored/RELEASE`` holds the log and the snapshot of a control host
of that release, after prompts, calls and a rolled bundle.
"""

import pathlib
import shutil
import tempfile
import unittest

from shallothinge.consensus import model
from shallothinge.control import state
from shallothinge.storage import data_folder

STORED = pathlib.Path(__file__).with_name('stored')
PROCESS_ID = 'control-1'
PROMPT_TOKENS = 300_012


class StoredDataTest(unittest.TestCase):
    """Data folders of earlier releases."""

    def open(self, stored):
        folder = pathlib.Path(tempfile.mkdtemp()) / 'data'
        self.addCleanup(shutil.rmtree, folder.parent)
        shutil.copytree(stored, folder)
        opened = data_folder.DataFolder(path=folder, process_id=PROCESS_ID)
        self.addCleanup(opened.close)
        return opened

    def test_snapshot_and_log_of_former_releases_are_read(self):
        folders = sorted(STORED.iterdir())
        self.assertTrue(folders)
        for stored in folders:
            with self.subTest(release=stored.name):
                restored = self.open(stored).restored
                machine = state.ControlState()
                machine.restore(restored.snapshot.data)
                # The state is encoded again under the same names.
                self.assertEqual(restored.snapshot.data, machine.snapshot())
                for entry in restored.entries:
                    is_command = entry.kind is model.EntryKind.COMMAND
                    if is_command and entry.index > restored.snapshot.index:
                        machine.apply(index=entry.index, command=entry.data)
                self.assertEqual(1, machine.data.config.bundle.version)
                self.assertEqual(
                    PROMPT_TOKENS,
                    sum(
                        row.prompt_tokens for row in machine.data.ledger.rows()
                    ),
                )
