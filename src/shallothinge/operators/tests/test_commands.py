"""Tests of commands that need no running process."""

import contextlib
import hashlib
import io
import pathlib
import stat
import tempfile
import unittest

from shallothinge.operators import command_line
from shallothinge.operators import credentials
from shallothinge.operators import exit_codes
from shallothinge.operators import main
from shallothinge.settings import load
from shallothinge.settings import model
from shallothinge.storage import data_folder
from shallothinge.transport import keys
from testing import deployment
from testing import plan

ExitCode = exit_codes.ExitCode


class CommandsTest(unittest.TestCase):
    """Commands run in this process, on files of their own."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_command(self, *arguments):
        self.output = io.StringIO()
        with contextlib.redirect_stdout(self.output):
            with contextlib.redirect_stderr(self.output):
                try:
                    return main.main([str(each) for each in arguments])
                except SystemExit as ended:
                    return ended.code

    def write_deployment(self):
        made = deployment.Deployment(
            folder=self.folder / 'run', plan=plan.small_plan()
        )
        made.write_settings()
        return made

    def test_each_role_takes_a_folder_for_relative_paths(self):
        for role in ('control', 'entry', 'agent', 'gateway'):
            with self.subTest(role=role):
                chosen = command_line.build_parser().parse_args(
                    [role, '--settings', 'a.toml']
                )
                self.assertIsNone(chosen.folder)

    def test_exit_statuses(self):
        missing = self.folder / 'none.toml'
        wrong = self.folder / 'wrong.toml'
        wrong.write_text('[http]\nport = 1\n')
        for arguments, status in (
            (('config', 'check', missing), ExitCode.BAD_INPUT),
            (('config', 'check', wrong), ExitCode.BAD_INPUT),
            (('entry', '--settings', missing), ExitCode.BAD_INPUT),
            (('bundle', 'check', missing), ExitCode.BAD_INPUT),
            (('bundle', 'check', wrong), ExitCode.BAD_INPUT),
            (('control',), ExitCode.BAD_INPUT),
            (('dance',), ExitCode.BAD_INPUT),
            (('zone', 'out'), ExitCode.BAD_INPUT),
            (('--help',), ExitCode.OK),
        ):
            with self.subTest(arguments=arguments):
                self.assertEqual(status, self.run_command(*arguments))
                self.assertTrue(self.output.getvalue())

    def test_config_check_accepts_files_of_each_role(self):
        made = self.write_deployment()
        for name in ('control-1', 'entry-1', 'agent-engine-1'):
            with self.subTest(name=name):
                path = made.folder / f'{name}.toml'
                status = self.run_command('config', 'check', path)
                self.assertEqual(ExitCode.OK, status)

    def test_keys_are_readable_by_their_owner_only(self):
        role = self.folder / 'agent.key'
        signing = self.folder / 'achieng.key'
        self.assertEqual(0, self.run_command('keys', 'role', 'agent', role))
        self.assertEqual(0, self.run_command('keys', 'operator', signing))
        public = self.output.getvalue().strip()
        for path in (role, signing):
            mode = stat.S_IMODE(path.stat().st_mode)
            self.assertEqual(0o600, mode)
        self.assertEqual(64, len(public))
        self.assertEqual(64, len(credentials.read_signing_key(path=signing)))
        trust = self.folder / 'trust.toml'
        self.assertEqual(0, self.run_command('keys', 'trust', trust, role))
        pair = keys.read_key_pair(path=role)
        read = keys.read_trust(path=trust)
        self.assertEqual('agent', read.role_of(public=pair.public))

    def test_keys_are_not_overwritten(self):
        path = self.folder / 'agent.key'
        self.run_command('keys', 'role', 'agent', path)
        before = path.read_text()
        status = self.run_command('keys', 'role', 'agent', path)
        self.assertEqual(ExitCode.BAD_INPUT, status)
        self.assertEqual(before, path.read_text())

    def test_workspace_key_comes_with_its_hash(self):
        self.run_command('keys', 'workspace')
        key, key_hash = (
            line.partition(': ')[2]
            for line in self.output.getvalue().splitlines()
        )
        digest = hashlib.sha256(key.encode()).hexdigest()
        self.assertEqual(digest, key_hash)

    def test_repair_sets_the_folder_aside_and_makes_an_empty_one(self):
        made = self.write_deployment()
        part = made.parts['control-1']
        path = made.folder / 'control-1.toml'
        settings = load.read(path=path, file_type=model.ControlSettings)
        before = data_folder.DataFolder(
            path=part.data_folder, process_id=part.name
        )
        status = self.run_command('control', 'repair', '--settings', path)
        self.assertEqual(ExitCode.REFUSED, status, 'the folder is in use')
        before.close()
        status = self.run_command('control', 'repair', '--settings', path)
        self.assertEqual(ExitCode.OK, status)
        after = data_folder.DataFolder(
            path=made.folder / settings.log.data_folder, process_id=part.name
        )
        self.addCleanup(after.close)
        self.assertTrue(after.identity.rejoin)
        self.assertNotEqual(
            before.identity.replica_id, after.identity.replica_id
        )
        kept = list(part.data_folder.glob('discarded-*/log'))
        self.assertEqual(1, len(kept))
