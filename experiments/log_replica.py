"""One replica of the log as a process of its own, for measurements.

Reads orders as JSON lines from standard input and answers each with a JSON
line on standard output. Started by ``experiments.measure_log``.
"""

import json
import pathlib
import resource
import sys
import time

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import stdio
from twisted.protocols import basic

from shallothinge import process as processes
from shallothinge.control import replica as replicas
from shallothinge.settings import model

NS_PER_MS = 1_000_000


class Counter:
    """A state machine that counts commands and holds a set amount."""

    def __init__(self):
        self.commands = 0

    def apply(self, *, index, command):
        """Count the command."""
        self.commands += 1
        return b''

    def snapshot(self):
        """Return the count."""
        return str(self.commands).encode()

    def restore(self, data):
        """Take the count back."""
        self.commands = int(data)


class Load:
    """Keeps a number of proposals under way for a time."""

    def __init__(self, *, replica, concurrent, duration_ms, size_bytes):
        self._replica = replica
        self._command = b'x' * size_bytes
        self._running = concurrent
        self._ends_ns = time.monotonic_ns() + duration_ms * NS_PER_MS
        self._latencies_ns = []
        self._failed = 0
        self._started_ns = time.monotonic_ns()
        self._cpu_s = _cpu_seconds()
        self.done = defer.Deferred()

    def start(self):
        """Begin with all proposals."""
        for _ in range(self._running):
            self._propose()

    def _propose(self):
        sent_ns = time.monotonic_ns()
        answered = self._replica.propose(self._command)
        answered.addCallbacks(self._committed, self._fail, (sent_ns,))

    def _committed(self, _, sent_ns):
        now_ns = time.monotonic_ns()
        self._latencies_ns.append(now_ns - sent_ns)
        if now_ns < self._ends_ns:
            self._propose()
        else:
            self._end_one()

    def _fail(self, _):
        self._failed += 1
        self._end_one()

    def _end_one(self):
        self._running -= 1
        if self._running == 0:
            self.done.callback(self._result())

    def _result(self):
        ordered = sorted(self._latencies_ns)
        count = len(ordered)
        elapsed_s = (time.monotonic_ns() - self._started_ns) / 1e9
        cpu_s = _cpu_seconds() - self._cpu_s
        return {
            'commits': count,
            'failed': self._failed,
            'commits_per_s': round(count / elapsed_s, 1),
            'latency_median_ms': round(ordered[count // 2] / NS_PER_MS, 3),
            'latency_p99_ms': round(ordered[int(count * 0.99)] / NS_PER_MS, 3),
            'leader_cpu_us_per_commit': round(cpu_s / count * 1e6, 1),
        }


class Orders(basic.LineReceiver):
    """Orders of the measuring process."""

    delimiter = b'\n'

    def __init__(self, *, replica):
        self._replica = replica

    def lineReceived(self, line):
        """Carry out one order."""
        order = json.loads(line)
        if order['order'] == 'found':
            done = self._replica.found(
                cluster_id='measure', member_ids=tuple(order['members'])
            )
            done.addCallback(lambda _: self._answer({'founded': True}))
        elif order['order'] == 'status':
            self._answer(
                {
                    'leads': self._replica.is_leader,
                    'cluster': self._replica.dump().cluster_id,
                    'leader_id': self._replica.leader_id,
                }
            )
        else:
            load = Load(
                replica=self._replica,
                concurrent=order['concurrent'],
                duration_ms=order['duration_ms'],
                size_bytes=order['size_bytes'],
            )
            load.done.addCallback(self._answer)
            load.start()

    def connectionLost(self, reason=None):
        """Stop when the measuring process is gone."""
        if reactor.running:
            reactor.stop()

    def _answer(self, fields):
        self.sendLine(json.dumps(fields).encode())


def tell_leadership(leads):
    """Print when this process began to lead."""
    if leads:
        instant_ms = time.monotonic_ns() / NS_PER_MS
        print(json.dumps({'leads_since_ms': instant_ms}), flush=True)


def main():
    """Run a replica until standard input ends."""
    folder = pathlib.Path(sys.argv[1])
    process_id = sys.argv[2]
    addresses = json.loads(sys.argv[3])
    settings = model.ControlSettings(
        process=model.ProcessSettings(
            process_id=process_id,
            zone='zone-1',
            host=process_id,
            address=addresses[process_id],
            key_file='control.key',
            trust_file='trust.toml',
        ),
        log=model.LogSettings(
            data_folder=f'data-{process_id}', snapshot_entries=10_000
        ),
        control_hosts=tuple(
            model.ControlHost(process_id=one, address=address)
            for one, address in addresses.items()
        ),
    )
    process = processes.Process(
        reactor=reactor, settings=settings.process, folder=folder
    )
    replica = replicas.Replica(
        process=process,
        settings=settings,
        machine=Counter(),
        on_leadership=tell_leadership,
    )
    process.listen(on_message=replica.receive)
    replica.start()
    stdio.StandardIO(Orders(replica=replica))
    reactor.run()


def _cpu_seconds():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == '__main__':
    main()
