"""A small deployment on loopback addresses, as the deploy file starts it.

Each machine has an address of its own; ports are the same on all machines.
Settings are the templates of the deploy file, filled in as the platform does.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TAG = re.compile(r'\{\{([#/]?)([\w.\-]+)(\|json)?\}\}')
ZONES = ('zone-a', 'zone-b', 'zone-c')
PORTS = ('front', 'ready', 'control', 'first', 'last', 'server')
METRICS_PORTS = (9464, 9465)


def find(fields, path):
    """Return what a placeholder names, None if it is missing."""
    for name in path.split('.'):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(name)
        else:
            return None
    return fields


def render(text, fields):
    """Fill in a template: values, JSON values, and sections of one value."""
    out, skipping = [], []
    position = 0
    for tag in TAG.finditer(text):
        if not any(skipping):
            out.append(text[position:tag.start()])
        position = tag.end()
        kind, path, as_json = tag.groups()
        value = find(fields, path)
        if kind == '#':
            skipping.append(not value)
        elif kind == '/':
            skipping.pop()
        elif any(skipping):
            continue
        elif as_json:
            out.append(json.dumps(value))
        elif value is not None:
            out.append(value if isinstance(value, str) else json.dumps(value))
    out.append(text[position:])
    return ''.join(out)


class Process:
    """One daemon, and how it is started again."""

    def __init__(self, deployment, role, host):
        self.role, self.host = role, host
        self.name = f'{role}-{host.ip}'
        self.deployment = deployment
        self.settings = deployment.folder / f'{self.name}.toml'
        self.child = None
        self.log = deployment.folder / f'{self.name}.log'

    def write_settings(self):
        template = self.deployment.roles[self.role]['template']
        text = (ROOT / template).read_text()
        text = render(text, self.deployment.fields(self.host))
        self.settings.write_text(text)

    def start(self):
        if self.deployment.is_over:
            return
        self.write_settings()
        run = render(self.deployment.roles[self.role]['run'],
                     self.deployment.fields(self.host))
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env['SHALLOTHINGE_NODE_FILE'] = str(self.settings)
        with self.log.open('ab') as log:
            self.child = subprocess.Popen(
                run.split(), cwd=ROOT, env=env, stdout=log, stderr=log)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        if self.is_running():
            self.child.kill()
            self.child.wait()

    def peak_bytes(self):
        """Return the most resident memory that it had, 0 if it has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.child.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmHWM:\s+(\d+) kB', text)
        return int(found.group(1)) << 10 if found else 0


class Host:
    """One machine: its address, its zone, and whether it has a disk."""

    def __init__(self, ip, zone, has_disk):
        self.ip, self.zone, self.has_disk = ip, zone, has_disk


class Deployment:
    """Core machines with gateway and control, and further gateways."""

    def __init__(self, *, gateways=3, memory_mb=300, bounds=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        system = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = system['roles']
        self.memory_mb = memory_mb
        self.bounds = {'retry-budget-slack': 112, 'cold-slack': 5,
                       **(bounds or {})}
        self.net = self._free_net(gateways)
        self.hosts = [
            Host(f'{self.net}.{index + 1}', ZONES[index % 3], index < 3)
            for index in range(max(3, gateways))
        ]
        self.first_start = True
        self.is_over = False
        self.controls = [Process(self, 'control', one)
                         for one in self.hosts if one.has_disk]
        self.gateways = [Process(self, 'gateway', one)
                         for one in self.hosts[:gateways]]

    def _free_net(self, gateways):
        rng = random.Random(os.getpid() ^ time.time_ns())
        for _ in range(200):
            net = f'127.{rng.randint(20, 250)}.{rng.randint(1, 250)}'
            base = rng.randint(20, 60) * 500
            ports = {name: base + index * 3
                     for index, name in enumerate(PORTS)}
            ports['last'] = ports['first'] + 2
            wanted = [*ports.values(), *METRICS_PORTS]
            try:
                for index in range(max(3, gateways)):
                    for port in wanted:
                        with socket.socket() as probe:
                            probe.bind((f'{net}.{index + 1}', port))
            except OSError:
                continue
            self.ports = ports
            return net
        raise RuntimeError('no free ports')

    def fields(self, host):
        """Return the platform's settings of a machine."""
        listen = {name: f'{host.ip}:{self.ports[name]}'
                  for name in ('front', 'ready', 'control')}
        index = self.hosts.index(host) + 1
        return {
            'node-name': f'front-{host.zone}-{index}',
            'ip-address': host.ip,
            'zone': host.zone,
            'listen-addresses': listen,
            'internal-port-range': [self.ports['first'], self.ports['last']],
            'seeds': [f'{one.ip}:{self.ports["control"]}'
                      for one in self.hosts if one.has_disk],
            'first-start': self.first_start,
            'limits': {'memory-mb': self.memory_mb},
            'data-directory': (str(self.folder / f'data-{host.ip}')
                               if host.has_disk else None),
            'fault-tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': self.bounds,
        }

    @property
    def processes(self):
        return [*self.controls, *self.gateways]

    def front(self, index):
        """Return host and port of a gateway for consumers."""
        return self.gateways[index].host.ip, self.ports['front']

    def control_addresses(self):
        return [(one.host.ip, self.ports['control']) for one in self.controls]

    def server_ip(self, index):
        return f'{self.net}.{100 + index}'

    def start(self):
        for host in self.hosts:
            if host.has_disk:
                (self.folder / f'data-{host.ip}').mkdir()
        for process in self.processes:
            process.start()
        self.first_start = False

    async def wait_ready(self, *, limit_s=25):
        """Wait until each gateway says that it is ready."""
        ends = time.monotonic() + limit_s
        for process in self.gateways:
            while not await self._is_ready(process):
                if time.monotonic() > ends:
                    raise RuntimeError(f'{process.name} is not ready')
                await asyncio.sleep(0.1)

    async def _is_ready(self, process):
        try:
            reader, writer = await asyncio.open_connection(
                process.host.ip, self.ports['ready'])
        except OSError:
            return False
        try:
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def stop(self):
        """End every process that was started, and remove the folder."""
        self.is_over = True
        for process in self.processes:
            if process.is_running():
                process.signal(signal.SIGCONT)
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
