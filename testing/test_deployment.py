"""Tests of the settings that a deployment writes."""

import pathlib
import tempfile
import unittest

from shallothinge.bundles import text
from shallothinge.settings import load
from shallothinge.settings import model
from shallothinge.standin import model as standin
from testing import deployment
from testing import plan

FILE_TYPES = {
    **load.ROLE_TYPES,
    'operator': model.OperatorSettings,
    'engine': standin.EngineFile,
    'service': standin.ServiceFile,
}


class WriteSettingsTest(unittest.TestCase):
    """The small plan, written but not started."""

    def test_every_file_is_accepted(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name) / 'run'
            made = deployment.Deployment(folder=folder, plan=plan.small_plan())
            made.write_settings()
            text.parse_bundle((folder / 'bundle-1.toml').read_text())
            paths = [
                path
                for path in folder.glob('*-*.toml')
                if not path.name.startswith('bundle')
            ]
            for path in paths:
                with self.subTest(name=path.name):
                    role = path.name.partition('-')[0]
                    load.read(path=path, file_type=FILE_TYPES[role])
            self.assertEqual(3 + 2 + 2 * 5 + 2, len(paths))
            self.assertEqual(2, len(made.entry_urls))
            self.assertEqual(4, len(made.engine_urls))
