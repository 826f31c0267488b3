"""Measures the replicated log with real processes, sockets and syncs.

Prints JSON: commit latency and rate, bytes a record, failover time after
the leader is killed, and the cost of a snapshot by its size.
"""

import argparse
import json
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

from shallothinge.consensus import model
from shallothinge.storage import data_folder
from shallothinge.transport import keys

NS_PER_MS = 1_000_000
COMMAND_BYTES = 200
SNAPSHOT_BYTES = (100_000, 1_000_000, 10_000_000, 50_000_000)
SNAPSHOT_REPEATS = 5


class Replica:
    """A replica in a process of its own."""

    def __init__(self, *, folder, process_id, addresses):
        self._command = (
            sys.executable,
            '-m',
            'experiments.log_replica',
            str(folder),
            process_id,
            json.dumps(addresses),
        )
        self.process_id = process_id
        self._child = None

    def start(self):
        """Start the process."""
        self._child = subprocess.Popen(
            self._command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def kill(self):
        """Kill the process and return the instant in milliseconds."""
        self._child.kill()
        killed_ms = time.monotonic_ns() / NS_PER_MS
        self._child.wait()
        return killed_ms

    def ask(self, **order):
        """Give an order and return its answer.

        :returns: the answer, with ``leads_since_ms`` if the process has
            told since the last order that it leads.
        """
        self._child.stdin.write(json.dumps(order) + '\n')
        self._child.stdin.flush()
        told = {}
        while True:
            answer = json.loads(self._child.stdout.readline())
            if 'leads_since_ms' not in answer:
                return {**answer, **told}
            told = answer


class Cluster:
    """Replicas on loopback with their data in one folder."""

    def __init__(self, *, folder, count):
        self._ids = [f'c{number}' for number in range(1, count + 1)]
        write_keys(folder)
        addresses = dict(zip(self._ids, free_addresses(count)))
        self.replicas = [
            Replica(folder=folder, process_id=one, addresses=addresses)
            for one in self._ids
        ]

    def found(self):
        """Start all processes and found the cluster."""
        for replica in self.replicas:
            replica.start()
        self.replicas[0].ask(order='found', members=self._ids)

    def leader(self):
        """Wait for a leader and return its replica and its answer."""
        while True:
            for replica in self.replicas:
                status = replica.ask(order='status')
                if status['leads']:
                    return replica, status
            time.sleep(0.02)

    def settle(self, replica):
        """Wait until a restarted replica follows the leader again."""
        while not replica.ask(order='status')['leader_id']:
            time.sleep(0.02)

    def close(self):
        """Kill all processes."""
        for replica in self.replicas:
            replica.kill()


def write_keys(folder):
    """Write the keys that all replicas share."""
    pair = keys.generate_key_pair(role='control')
    keys.write_key_pair(path=folder / 'control.key', pair=pair)
    keys.write_trust(path=folder / 'trust.toml', pairs=(pair,))


def free_addresses(count):
    """Return addresses of ports that are free now."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return [f'tcp://127.0.0.1:{port}' for port in ports]


def measure_commits(cluster, *, duration_ms):
    """Return latency and rate by the number of proposals under way."""
    found = {}
    for concurrent in (1, 8, 64):
        leader, _ = cluster.leader()
        found[str(concurrent)] = leader.ask(
            order='load',
            concurrent=concurrent,
            duration_ms=duration_ms,
            size_bytes=COMMAND_BYTES,
        )
    return found


def measure_failover(cluster, *, runs, rng):
    """Return the times from a leader's death until a successor serves."""
    times_ms = []
    for _ in range(runs):
        former, _ = cluster.leader()
        time.sleep(rng.uniform(0.2, 0.6))
        killed_ms = former.kill()
        rest = [one for one in cluster.replicas if one is not former]
        times_ms.append(wait_for_successor(rest) - killed_ms)
        former.start()
        cluster.settle(former)
    times_ms.sort()
    return {
        'runs': runs,
        'median_ms': round(times_ms[runs // 2], 1),
        'p99_ms': round(times_ms[int(runs * 0.99)], 1),
        'max_ms': round(times_ms[-1], 1),
    }


def wait_for_successor(replicas):
    """Return the instant at which one of the replicas began to lead."""
    while True:
        for replica in replicas:
            status = replica.ask(order='status')
            if status['leads'] and 'leads_since_ms' in status:
                return status['leads_since_ms']
        time.sleep(0.02)


def measure_record_bytes(folder):
    """Return the bytes in the log file of one record, by batch size."""
    found = {}
    disk = data_folder.DataFolder(path=folder / 'records', process_id='c1')
    for batch in (1, 8, 64):
        entries = [
            model.Entry(index=index, term=1, data=bytes(COMMAND_BYTES))
            for index in range(1, batch + 1)
        ]
        before_bytes = disk.log_bytes
        disk.append(entries)
        grown_bytes = disk.log_bytes - before_bytes
        found[str(batch)] = round(grown_bytes / batch, 1)
    disk.close()
    return found


def measure_snapshots(folder):
    """Return the milliseconds to store a snapshot, by its bytes."""
    found = {}
    disk = data_folder.DataFolder(path=folder / 'snapshots', process_id='c1')
    for size_bytes in SNAPSHOT_BYTES:
        snapshot = model.Snapshot(
            index=1,
            term=1,
            configuration=model.Configuration(),
            data=bytes(size_bytes),
        )
        times_ms = []
        for _ in range(SNAPSHOT_REPEATS):
            started_ns = time.monotonic_ns()
            disk.store_snapshot(snapshot)
            times_ms.append((time.monotonic_ns() - started_ns) / NS_PER_MS)
        found[str(size_bytes)] = round(sorted(times_ms)[2], 1)
    disk.close()
    return found


def main():
    """Measure what the arguments ask for and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--duration-ms', type=int, default=5000)
    parser.add_argument('--failovers', type=int, default=25)
    parser.add_argument('--folder', type=pathlib.Path, help='on the disk')
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    result = {'seed': arguments.seed, 'command_bytes': COMMAND_BYTES}
    for count in (3, 5):
        with tempfile.TemporaryDirectory(dir=arguments.folder) as name:
            cluster = Cluster(folder=pathlib.Path(name), count=count)
            try:
                cluster.found()
                found = measure_commits(
                    cluster, duration_ms=arguments.duration_ms
                )
                result[f'commits_{count}_replicas'] = found
                if arguments.failovers:
                    result[f'failover_{count}_replicas'] = measure_failover(
                        cluster, runs=arguments.failovers, rng=rng
                    )
            finally:
                cluster.close()
    with tempfile.TemporaryDirectory(dir=arguments.folder) as name:
        result['record_bytes_by_batch'] = measure_record_bytes(
            pathlib.Path(name)
        )
        result['snapshot_store_ms_by_bytes'] = measure_snapshots(
            pathlib.Path(name)
        )
    print(json.dumps(result, indent=2))


if __name__ == '__main__':
    main()
