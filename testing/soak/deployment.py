"""Control hosts, gateways and backend servers as separate processes.

Each host has a loopback address of its own, as hosts find each other by
address. Gateways reach backend servers through relays.
"""

import asyncio
import json
import operator
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys

import attrs

from shallothinge import clock
from shallothinge.settings import model
from shallothinge.transport import keys
from testing import toml_text
from testing.soak import limits
from testing.soak import relay
from testing.soak import silences
from testing.soak import wire

ROLES = ('control', 'entry')
CONTROL_COUNT = 3
# Hosts at the start and their successors, each at an address of its own.
MOST_CONTROL = 9
# A settings file names this many control hosts.
SEED_COUNT = 3
# Of the usual size; a scale multiplies both.
GATEWAY_COUNT = 3
BACKENDS = (wire.STREAMS,) * 3 + (wire.CALLS,) * 2
# Last numbers of addresses; there is room for a scale of 28.
FIRST_HOSTS = {'control': 1, 'gateway': 10, 'backend': 110}
CONTROL_PORT, GATEWAY_PORT, API_PORT = 7001, 7002, 7003
CALLER_PORT, READINESS_PORT, BACKEND_PORT, RELAY_PORT = 7004, 7005, 7006, 7007
METRICS_PORT, GATEWAY_METRICS_PORT = 7008, 7009
STOP_TIMEOUT_S = 12.0
# A full disk: the log may not grow by more than this.
SPARE_BYTES = 200


@attrs.frozen(kw_only=True)
class Signal:
    """A signal that the soak sent to a process, in Unix milliseconds.

    ``number`` is None where it started the process, and SIGCHLD where one
    that it killed has ended.
    """

    name: str
    number: signal.Signals | None
    at_ms: int


@attrs.define(kw_only=True, eq=False)
class Part:
    """One process, and how it is started again.

    ``settings`` is None for backend servers. A control host that
    ``is_gone`` was replaced and never starts again.
    """

    name: str
    role: str
    command: tuple[str, ...]
    settings: model.ControlSettings | model.GatewaySettings | None = None
    process: subprocess.Popen | None = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    is_frozen: bool = False
    is_gone: bool = False


class Deployment:
    """All processes of one soak.

    :param folder: for settings, keys, data and logs.
    :param net: first three numbers of the loopback addresses to use.
    :param scale: how many times the usual gateways and backend servers.
    """

    def __init__(self, *, folder: pathlib.Path, net: str, scale: int = 1):
        self.folder = folder
        self.parts: dict[str, Part] = {}
        self.relays: dict[str, relay.Relay] = {}
        self.caller_addresses: dict[str, str] = {}
        self.signals: list[Signal] = []
        self._net = net
        self._scale = scale
        self._is_over = False
        # Of the hosts that serve control, in the order in which they came.
        self.api_addresses = [
            self._api_address(index) for index in range(CONTROL_COUNT)
        ]
        self._seeds = tuple(self.api_addresses)

    def prepare(self) -> None:
        """Write keys and settings; ignore SIGHUP from now on.

        All that is started inherits this, as no program outlives a signal
        that comes before its interpreter runs.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        (self.folder / 'logs').mkdir(parents=True)
        (self.folder / 'data').mkdir()
        keys.write_deployment(folder=self.folder, roles=ROLES)
        for index in range(CONTROL_COUNT):
            self._add_control(index, may_found=True)
        for index in range(GATEWAY_COUNT * self._scale):
            self._add_gateway(index)
        for index, service in enumerate(BACKENDS * self._scale):
            self._add_backend(index, service)

    def services(self) -> dict[str, list[str]]:
        """Return the names of backend servers by their service."""
        found: dict[str, list[str]] = {}
        for index, service in enumerate(BACKENDS * self._scale):
            found.setdefault(service, []).append(f'backend-{index + 1}')
        return found

    def silence(self, silence: silences.Silence) -> None:
        """Tell backend servers to fall silent for a while."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for name in silence.targets:
                host, _, port = self.relays[name].target.rpartition(':')
                sender.sendto(silence.order(), (host, int(port)))

    def end_limits(self) -> None:
        """Let no backend server name a limit any more."""
        (self.folder / limits.OVER_NAME).touch()

    def record_of(self, name: str) -> pathlib.Path:
        """Return the file in which a backend server writes its runs."""
        return self.folder / f'{name}.runs'

    def log_lines(self, name: str, message: str) -> list[dict]:
        """Return the lines that a process has logged with a message."""
        path = self.folder / 'logs' / f'{name}.log'
        lines = path.read_text(encoding='utf-8', errors='replace')
        found = []
        for line in lines.splitlines():
            if f'"{message}"' not in line:
                continue
            try:
                found.append(json.loads(line))
            except ValueError:
                # Its process was killed as it wrote.
                continue
        return found

    def held_up(self) -> dict[str, dict[str, int | None]]:
        """Return the longest time for which each process was held up."""
        longest = {}
        for name, part in self.parts.items():
            if part.settings is None:
                continue
            lines = self.log_lines(name, 'the process was held up')
            if lines:
                line = max(lines, key=operator.itemgetter('late_ms'))
                fields = ('time', 'late_ms', 'ran_ms', 'ready_ms')
                longest[name] = {field: line[field] for field in fields}
        return longest

    def data_of(self, name: str) -> pathlib.Path:
        """Return the data folder of a control host."""
        return self.folder / 'data' / name

    def names(self, role: str, *, with_gone: bool = False) -> list[str]:
        """Return the names of a role's processes that are not gone.

        :param with_gone: whether to return those that are gone, too.
        """
        return [
            part.name
            for part in self.parts.values()
            if part.role == role and (with_gone or not part.is_gone)
        ]

    def api_address_of(self, name: str) -> str:
        """Return the address of a control host's API."""
        return self.parts[name].settings.api.address

    def _host(self, role: str, index: int) -> str:
        return f'{self._net}.{FIRST_HOSTS[role] + index}'

    def _api_address(self, index: int) -> str:
        return f'{self._host("control", index)}:{API_PORT}'

    def _process(self, name, host, key, port, metrics_port):
        return model.ProcessSettings(
            process_id=name,
            zone='zone-1',
            host=host,
            address=f'tcp://{host}:{port}',
            key_file=f'{key}.key',
            trust_file='trust.toml',
            metrics_address=f'{host}:{metrics_port}',
            is_host_shared=False,
        )

    def _discovery(self, *, may_found: bool = False):
        return model.DiscoverySettings(
            seeds=self._seeds,
            port=CONTROL_PORT,
            may_found=may_found,
        )

    def add_control(self) -> str:
        """Add a control host with an empty disk; return its name."""
        index = sum(part.role == 'control' for part in self.parts.values())
        name = self._add_control(index, may_found=False)
        self.api_addresses.append(self.api_address_of(name))
        return name

    def remove_control(self, name: str) -> None:
        """Forget a control host that has ended and never starts again."""
        self.parts[name].is_gone = True
        self.api_addresses.remove(self.api_address_of(name))

    def list_seeds(self, seeds: tuple[str, ...]) -> None:
        """Write other control hosts into all settings files."""
        self._seeds = seeds
        for part in self.parts.values():
            if part.settings is not None and not part.is_gone:
                self._write(part, self._discovery())

    def allow_founding(self, is_allowed: bool) -> None:
        """Write into the settings whether control hosts may found."""
        for name in self.names('control'):
            self._write(
                self.parts[name], self._discovery(may_found=is_allowed)
            )

    def reload(self) -> None:
        """Tell all processes to read their settings files anew."""
        for part in self.parts.values():
            if part.settings is not None:
                self.signal(part.name, signal.SIGHUP)

    def _add_control(self, index: int, *, may_found: bool) -> str:
        host, name = self._host('control', index), f'control-{index + 1}'
        settings = model.ControlSettings(
            process=self._process(
                f'{host}:{CONTROL_PORT}',
                host,
                'control',
                CONTROL_PORT,
                METRICS_PORT,
            ),
            log=model.LogSettings(data_folder=str(self.data_of(name))),
            discovery=self._discovery(may_found=may_found),
            api=model.ControlApiSettings(address=f'{host}:{API_PORT}'),
            leases=model.LeaseSettings(member_silence_ms=4000),
        )
        self._add(name, 'control', settings)
        return name

    def _add_gateway(self, index: int) -> None:
        host = self._host('gateway', index)
        name = f'gateway-{index + 1}'
        settings = model.GatewaySettings(
            process=self._process(
                name, host, 'entry', GATEWAY_PORT, GATEWAY_METRICS_PORT
            ),
            callers=model.CallersSettings(
                address=f'{host}:{CALLER_PORT}',
                readiness_address=f'{host}:{READINESS_PORT}',
            ),
            discovery=self._discovery(),
        )
        self.caller_addresses[name] = f'{host}:{CALLER_PORT}'
        self._add(name, 'gateway', settings)

    def _add(self, name: str, role: str, settings) -> None:
        command = (
            *(sys.executable, '-m', 'shallothinge.operators.main', role),
            *('--settings', str(self.folder / f'{name}.toml')),
        )
        part = Part(name=name, role=role, command=command, settings=settings)
        self.parts[name] = part
        self._write(part, settings.discovery)

    def _write(self, part: Part, discovery: model.DiscoverySettings) -> None:
        """Write a settings file; who starts meanwhile reads a whole one."""
        part.settings = attrs.evolve(part.settings, discovery=discovery)
        path = self.folder / f'{part.name}.toml'
        fresh = path.with_suffix('.fresh')
        fresh.write_text(toml_text.write(part.settings), encoding='utf-8')
        os.replace(fresh, path)

    def _add_backend(self, index: int, service: str) -> None:
        host = self._host('backend', index)
        name = f'backend-{index + 1}'
        listen, address = f'{host}:{BACKEND_PORT}', f'{host}:{RELAY_PORT}'
        # Successors too: a backend server is told them once, at its start.
        controls = [self._api_address(each) for each in range(MOST_CONTROL)]
        self.relays[name] = relay.Relay(listen=address, target=listen)
        command = (
            *(sys.executable, '-m', 'testing.soak.backend'),
            *('--name', name, '--service', service, '--listen', listen),
            *('--address', address, '--control', *controls),
            *('--record', str(self.record_of(name))),
        )
        self.parts[name] = Part(name=name, role='backend', command=command)

    async def start(self, name: str, *, is_disk_full: bool = False) -> None:
        """Start a process, unless an overlapping fault has done so.

        A child that gets no processor can hold its parent up for seconds,
        which must not hold up callers and relays.

        :param is_disk_full: whether its files may hardly grow any more.
        """
        part = self.parts[name]
        async with part.lock:
            if part.is_gone or self.is_running(name):
                return
            limit = self._limit_files(name) if is_disk_full else None
            self._note_signal(name, None)
            await asyncio.to_thread(self._spawn, part, limit)

    def _spawn(self, part: Part, limit) -> None:
        log_path = self.folder / 'logs' / f'{part.name}.log'
        with log_path.open('ab') as log:
            part.process = subprocess.Popen(
                part.command,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=limit,
            )
        if self._is_over:
            part.process.kill()
            part.process.wait()

    def _limit_files(self, name: str):
        sizes = [
            path.stat().st_size
            for path in self.data_of(name).rglob('*')
            if path.is_file()
        ]
        most = max(sizes, default=0) + SPARE_BYTES
        return lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (most, most))

    def is_running(self, name: str) -> bool:
        """Return whether a process runs."""
        process = self.parts[name].process
        return process is not None and process.poll() is None

    async def kill(self, name: str) -> None:
        """Kill a process at once; return when it has ended."""
        part = self.parts[name]
        async with part.lock:
            if self.is_running(name):
                self._note_signal(name, signal.SIGKILL)
                part.process.kill()
                await asyncio.to_thread(part.process.wait)
                self._note_signal(name, signal.SIGCHLD)
            part.is_frozen = False

    def _note_signal(self, name: str, number: signal.Signals | None) -> None:
        at_ms = clock.WallClock().now_ms()
        self.signals.append(Signal(name=name, number=number, at_ms=at_ms))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that runs."""
        part = self.parts[name]
        if not self.is_running(name):
            return
        self._note_signal(name, number)
        part.process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            part.is_frozen = number is signal.SIGSTOP

    def wipe(self, name: str) -> None:
        """Take away a stopped control host's disk; it may not found anew."""
        shutil.rmtree(self.data_of(name), ignore_errors=True)
        self._write(self.parts[name], self._discovery())

    def stop_all(self) -> None:
        """End every process that was started here, and the relays."""
        self._is_over = True
        for relayed in self.relays.values():
            relayed.close()
        for name, part in self.parts.items():
            if self.is_running(name):
                part.process.kill()
                part.process.wait()
