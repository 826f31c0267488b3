"""Tests of what a process does besides what its role does."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from shallothinge.transport import keys

# Prints the most processor time that the reactor's thread took between two
# ticks, and the metrics once they are there.
PROGRAM = """
import json, pathlib, sys, time
from twisted.internet import reactor
from shallothinge import process
from shallothinge.settings import model

made = process.Process(
    reactor=reactor,
    settings=model.ProcessSettings(
        process_id='p', zone='z', host='h', address='tcp://127.0.0.1:1',
        key_file='entry.key', trust_file='trust.toml',
        metrics_address='127.0.0.1:0', is_host_shared=False,
    ),
    folder=pathlib.Path(sys.argv[1]),
)
longest_s = 0.0
spent_s = time.thread_time()
made.metrics.count_retry()

def tick():
    global longest_s, spent_s
    longest_s = max(longest_s, time.thread_time() - spent_s)
    if 'shallothinge.metrics' in sys.modules and made._metrics is not None:
        print(json.dumps([longest_s, made.metrics.text().decode()]))
        made.close()
        reactor.stop()
        return
    spent_s = time.thread_time()
    reactor.callLater(0.005, tick)

reactor.callWhenRunning(tick)
reactor.run()
"""
MOST_S = 0.08


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
        longest_s, text = json.loads(done.stdout)
        self.assertLess(longest_s, MOST_S)
        self.assertIn('retries_total 1.0', text)
