"""Tests of what a process does besides what its role does."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from shallothinge.transport import keys

# Prints which thread loaded the libraries of the metrics, the name of the
# reactor's thread, and the metrics once they are there.
PROGRAM = """
import json, pathlib, sys, threading
from twisted.internet import reactor
from shallothinge import process
from shallothinge.settings import model

loaded_by = []

class Watch:
    def find_spec(self, name, path, target=None):
        if name == process.METRICS_MODULE:
            loaded_by.append(threading.current_thread().name)

sys.meta_path.insert(0, Watch())
made = process.Process(
    reactor=reactor,
    settings=model.ProcessSettings(
        process_id='p', zone='z', host='h', address='tcp://127.0.0.1:1',
        key_file='entry.key', trust_file='trust.toml',
        metrics_address='127.0.0.1:0', is_host_shared=False,
    ),
    folder=pathlib.Path(sys.argv[1]),
)
made.metrics.count_retry()
made.metrics.observe(name='seen', read=lambda: 7)

def tick():
    if not hasattr(made.metrics, 'pass_on'):
        reactor_thread = threading.current_thread().name
        text = made.metrics.text().decode()
        print(json.dumps([loaded_by, reactor_thread, text]))
        made.close()
        reactor.stop()
        return
    reactor.callLater(0.005, tick)

reactor.callWhenRunning(tick)
reactor.run()
"""


# Prints whether a module and all that it imports leaves the libraries out.
IMPORTS = """
import importlib, sys
importlib.import_module(sys.argv[1])
print('opentelemetry' not in sys.modules)
"""


class MetricsTest(unittest.TestCase):
    """Metrics of a process that has just started."""

    def test_process_serves_while_the_libraries_are_loaded(self):
        with tempfile.TemporaryDirectory() as folder:
            keys.write_deployment(
                folder=pathlib.Path(folder), roles=('entry',)
            )
            done = subprocess.run(
                (sys.executable, '-c', PROGRAM, folder),
                capture_output=True,
                check=False,
                text=True,
                timeout=60,
            )
        self.assertEqual('', done.stderr)
        loaded_by, reactor_thread, text = json.loads(done.stdout)
        self.assertEqual(1, len(loaded_by))
        self.assertNotEqual(reactor_thread, loaded_by[0])
        for line in ('retries_total 1.0', 'seen 7.0'):
            self.assertIn(line, text)

    def test_daemons_that_callers_wait_for_start_without_the_libraries(self):
        for role in ('gateway', 'control'):
            with self.subTest(role=role):
                printed = subprocess.check_output(
                    (
                        *(sys.executable, '-c', IMPORTS),
                        f'shallothinge.{role}.process',
                    ),
                    text=True,
                )
                self.assertEqual('True', printed.strip())
