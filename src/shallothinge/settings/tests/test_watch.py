"""Tests of settings that are read anew."""

import pathlib
import tempfile
import unittest

from shallothinge.settings import model
from shallothinge.settings import watch
from shallothinge.transport import keys

TEXT = """
[process]
process_id = "g1"
zone = "z1"
host = "h1"
address = "tcp://127.0.0.1:7001"
key_file = "entry.key"
trust_file = "trust.toml"
[callers]
address = "127.0.0.1:7002"
readiness_address = "127.0.0.1:7003"
[discovery]
seeds = [{seeds}]
port = 7000
"""


class SettingsWatchTest(unittest.TestCase):
    """A gateway's settings file that changes."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        pair = keys.generate_key_pair(role='entry')
        keys.write_key_pair(path=self.folder / 'entry.key', pair=pair)
        keys.write_trust(path=self.folder / 'trust.toml', pairs=(pair,))
        self.seen = []
        self.watch = watch.SettingsWatch(
            path=self.folder / 'gateway.toml',
            file_type=model.GatewaySettings,
            folder=self.folder,
        )
        self.watch.subscribe(
            lambda settings: self.seen.append(settings.discovery.seeds)
        )

    def write(self, seeds):
        text = TEXT.format(seeds=seeds)
        (self.folder / 'gateway.toml').write_text(text, encoding='utf-8')

    def test_changed_seeds_are_told(self):
        self.write('"10.0.0.1:80"')
        self.watch.reload()
        self.write('"10.0.0.2:80", "10.0.0.3:80"')
        self.watch.reload()
        self.assertEqual(
            [('10.0.0.1:80',), ('10.0.0.2:80', '10.0.0.3:80')], self.seen
        )

    def test_unusable_file_changes_nothing(self):
        for seeds in ('', '7', '"no address"'):
            self.write(seeds)
            with self.assertLogs(level='ERROR'):
                self.watch.reload()
        self.assertEqual([], self.seen)
