"""Tests of how a process starts."""

import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

# Tells the process to reload when it is about to load a module.
PROGRAM = """
import os, signal, sys

class Reload:
    def find_spec(self, name, path, target=None):
        if name == sys.argv[1]:
            os.kill(os.getpid(), signal.SIGHUP)

signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.meta_path.insert(0, Reload())
from shallothinge.operators import main
sys.exit(main.main(sys.argv[2:]))
"""
BAD_INPUT = 2


class StartTest(unittest.TestCase):
    """Signals that arrive while a daemon loads its libraries."""

    def start(self, module, *words):
        """Return the exit status of a process that is told to reload."""
        done = subprocess.run(
            (sys.executable, '-c', PROGRAM, module, *words),
            capture_output=True,
            check=False,
        )
        return done.returncode

    def test_daemon_that_is_told_to_reload_while_it_starts_goes_on(self):
        with tempfile.TemporaryDirectory() as folder:
            missing = str(pathlib.Path(folder) / 'none.toml')
            for module in (
                'shallothinge.operators.role_commands',
                'shallothinge.settings.load',
                'twisted.internet.reactor',
            ):
                with self.subTest(module=module):
                    status = self.start(
                        module, 'gateway', '--settings', missing
                    )
                    self.assertEqual(BAD_INPUT, status)

    def test_terminal_commands_end_with_their_terminal(self):
        status = self.start(
            'shallothinge.operators.role_commands', 'keys', '--help'
        )
        self.assertEqual(-signal.SIGHUP, status)
