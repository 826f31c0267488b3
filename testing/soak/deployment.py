"""Control hosts, gateways and backend servers as separate processes.

Each host has a loopback address of its own, as hosts find each other by
address. Gateways reach backend servers through relays.
"""

import pathlib
import resource
import shutil
import signal
import subprocess
import sys

import attrs

from shallothinge.settings import model
from shallothinge.transport import keys
from testing import toml_text
from testing.soak import relay
from testing.soak import wire

ROLES = ('control', 'entry')
CONTROL_COUNT = 3
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


@attrs.define(kw_only=True, eq=False)
class Part:
    """One process, and how it is started again."""

    name: str
    role: str
    command: tuple[str, ...]
    process: subprocess.Popen | None = None
    is_frozen: bool = False


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
        self.api_addresses = [
            f'{net}.{1 + index}:{API_PORT}' for index in range(CONTROL_COUNT)
        ]
        self.caller_addresses: dict[str, str] = {}
        self._net = net
        self._scale = scale

    def prepare(self) -> None:
        """Write keys and settings."""
        (self.folder / 'logs').mkdir(parents=True)
        (self.folder / 'data').mkdir()
        keys.write_deployment(folder=self.folder, roles=ROLES)
        for index in range(CONTROL_COUNT):
            self._add_control(f'control-{index + 1}', may_found=True)
        for index in range(GATEWAY_COUNT * self._scale):
            self._add_gateway(index)
        for index, service in enumerate(BACKENDS * self._scale):
            self._add_backend(index, service)

    def record_of(self, name: str) -> pathlib.Path:
        """Return the file in which a backend server writes its runs."""
        return self.folder / f'{name}.runs'

    def data_of(self, name: str) -> pathlib.Path:
        """Return the data folder of a control host."""
        return self.folder / 'data' / name

    def names(self, role: str) -> list[str]:
        """Return the names of a role's processes."""
        return [part.name for part in self.parts.values() if part.role == role]

    def _host(self, role: str, index: int) -> str:
        return f'{self._net}.{FIRST_HOSTS[role] + index}'

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
            seeds=tuple(self.api_addresses),
            port=CONTROL_PORT,
            may_found=may_found,
        )

    def _add_control(self, name: str, *, may_found: bool) -> None:
        host = self._host('control', int(name.rpartition('-')[2]) - 1)
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
        path = self.folder / f'{name}.toml'
        path.write_text(toml_text.write(settings), encoding='utf-8')
        command = (
            *(sys.executable, '-m', 'shallothinge.operators.main', role),
            *('--settings', str(path)),
        )
        self.parts[name] = Part(name=name, role=role, command=command)

    def _add_backend(self, index: int, service: str) -> None:
        host = self._host('backend', index)
        name = f'backend-{index + 1}'
        listen, address = f'{host}:{BACKEND_PORT}', f'{host}:{RELAY_PORT}'
        self.relays[name] = relay.Relay(listen=address, target=listen)
        command = (
            *(sys.executable, '-m', 'testing.soak.backend'),
            *('--name', name, '--service', service, '--listen', listen),
            *('--address', address, '--control', *self.api_addresses),
            *('--record', str(self.record_of(name))),
        )
        self.parts[name] = Part(name=name, role='backend', command=command)

    def start(self, name: str, *, is_disk_full: bool = False) -> None:
        """Start a process, unless an overlapping fault has done so.

        :param is_disk_full: whether its files may hardly grow any more.
        """
        if self.is_running(name):
            return
        part = self.parts[name]
        limit = self._limit_files(name) if is_disk_full else None
        log_path = self.folder / 'logs' / f'{name}.log'
        with log_path.open('ab') as log:
            part.process = subprocess.Popen(
                part.command,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=limit,
            )

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

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        part = self.parts[name]
        if self.is_running(name):
            part.process.kill()
            part.process.wait()
        part.is_frozen = False

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that runs."""
        part = self.parts[name]
        if not self.is_running(name):
            return
        part.process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            part.is_frozen = number is signal.SIGSTOP

    def wipe(self, name: str) -> None:
        """Take away a stopped control host's disk; it may not found anew."""
        shutil.rmtree(self.data_of(name), ignore_errors=True)
        self._add_control(name, may_found=False)

    def stop_all(self) -> None:
        """End every process that was started here, and the relays."""
        for relayed in self.relays.values():
            relayed.close()
        for name in self.parts:
            self.kill(name)
