"""Runs a whole deployment on this machine, one process for each part.

For demos, trials and measurements: writes keys, settings and a bundle into
a folder, starts the processes, and stops, kills, freezes and thaws them by
their process ids.
"""

import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.request

import attrs

from shallothinge.bundles.model import Bundle
from shallothinge.bundles.model import WorkspaceSpec
from shallothinge.operators import credentials
from shallothinge.settings import model
from shallothinge.standin import model as standin
from shallothinge.transport import keys
from testing import plan as plans
from testing import toml_text

HOST = '127.0.0.1'
ROLES = ('control', 'entry', 'agent', 'operator')
OPERATORS = ('first', 'second')
CLUSTER_ID = 'trial'
STOP_ORDER = ('entry', 'agent', 'standin', 'control')
POLL_S = 0.1
COLD_MARGIN = 2
START_TIMEOUT_S = 60
MAX_PORTS = 400
PORT_RANGE = range(10_000, 32_000)
STOP_TIMEOUT_S = 60
COMMAND_TIMEOUT_S = 60
SOURCE_PROGRAM = (sys.executable, '-m', 'shallothinge.operators.main')


class DeploymentError(RuntimeError):
    """A part of the deployment did not do what it should."""


@attrs.define(kw_only=True)
class Part:
    """One process of the deployment.

    ``url`` is its HTTP address for callers, or of the stand-in;
    ``address`` its zmq address for ``dump``.
    """

    name: str
    role: str
    command: tuple[str, ...]
    url: str = ''
    address: str = ''
    metrics_url: str = ''
    zone: str = ''
    data_folder: pathlib.Path | None = None
    process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def children(self) -> tuple[int, ...]:
        """Return the ids of the processes that it has started."""
        found = []
        for path in pathlib.Path(f'/proc/{self.pid}/task').glob('*/children'):
            found += [int(pid) for pid in path.read_text().split()]
        return tuple(found)

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the process has resident."""
        statm = pathlib.Path(f'/proc/{self.pid}/statm').read_text().split()
        return int(statm[1]) * os.sysconf('SC_PAGE_SIZE')


def free_ports(count: int) -> list[int]:
    """Return port numbers that nothing listens on at the moment.

    They lie below the range from which the system draws the ports of
    outgoing connections, so that none of those takes one meanwhile.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
            opened = stack.enter_context(socket.socket())
            try:
                opened.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
            if len(ports) == count:
                return ports
    raise DeploymentError('not enough free ports')


def get_json(url: str, *, timeout_s: float = 5) -> object:
    """Return the JSON body of a URL."""
    with urllib.request.urlopen(url, timeout=timeout_s) as response:
        return json.load(response)


def post_json(url: str, body: object, *, timeout_s: float = 5) -> object:
    """Post a JSON body and return the JSON answer."""
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={'Content-Type': 'application/json'},
    )
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        content = response.read()
    return json.loads(content) if content else None


class Deployment:
    """The processes of a plan, in a folder of their own.

    :param folder: created; settings, keys, logs and data go there.
    :param program: command that runs ``shallothinge``.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        plan: plans.Plan,
        program: tuple[str, ...] = SOURCE_PROGRAM,
    ):
        self.folder = folder
        self.plan = plan
        self.parts: dict[str, Part] = {}
        self.api_keys: dict[str, credentials.ApiKey] = {}
        self._program = program
        self._free_ports = iter(free_ports(MAX_PORTS))
        self._signing_keys: dict[str, credentials.SigningKey] = {}
        self._control_hosts: tuple[model.ControlHost, ...] = ()

    # Settings

    def write_settings(self) -> None:
        """Make keys, settings files and the bundle; plan every process."""
        (self.folder / 'logs').mkdir(parents=True)
        (self.folder / 'data').mkdir()
        self._write_keys()
        self._plan_controls()
        self._plan_entries()
        self._plan_backends()
        self._write_operator_settings()
        self.write_bundle(version=1, replaces_version=0)

    def _write_keys(self) -> None:
        keys.write_deployment(folder=self.folder, roles=ROLES)
        for name in OPERATORS:
            key = credentials.generate_signing_key()
            self._signing_keys[name] = key
            path = self.folder / f'{name}.signing-key'
            credentials.write_signing_key(path=path, key=key)
        for workspace in self.plan.workspaces:
            key = credentials.generate_api_key()
            self.api_keys[workspace.name] = key

    def _key_path(self, role: str) -> pathlib.Path:
        return self.folder / f'{role}.key'

    def _ports(self, count: int) -> list[int]:
        return list(itertools.islice(self._free_ports, count))

    def _zone(self, number: int) -> str:
        return self.plan.zones[number % len(self.plan.zones)]

    def _process_settings(
        self, *, name: str, role: str, zone: str, ports: list[int]
    ) -> model.ProcessSettings:
        return model.ProcessSettings(
            process_id=name,
            zone=zone,
            host=f'host-{name}',
            address=f'tcp://{HOST}:{ports[0]}',
            key_file=self._key_path(role).name,
            trust_file='trust.toml',
            log_level=self.plan.log_level,
            metrics_address=f'{HOST}:{ports[1]}',
        )

    def _write(self, name: str, settings: object) -> pathlib.Path:
        path = self.folder / f'{name}.toml'
        path.write_text(toml_text.write(settings), encoding='utf-8')
        return path

    def _add_part(self, settings, *, role: str, **fields) -> None:
        process = settings.process
        path = self._write(process.process_id, settings)
        self.parts[process.process_id] = Part(
            name=process.process_id,
            role=role,
            command=(*self._program, role, '--settings', str(path)),
            address=process.address,
            metrics_url=f'http://{process.metrics_address}/metrics',
            zone=process.zone,
            **fields,
        )

    def _plan_controls(self) -> None:
        processes = []
        for number in range(self.plan.controls):
            processes.append(
                self._process_settings(
                    name=f'control-{number + 1}',
                    role='control',
                    zone=self._zone(number),
                    ports=self._ports(2),
                )
            )
        self._control_hosts = tuple(
            model.ControlHost(
                process_id=process.process_id, address=process.address
            )
            for process in processes
        )
        operators = tuple(
            model.OperatorKey(name=name, public_key=key.public)
            for name, key in self._signing_keys.items()
        )
        for process in processes:
            folder = self.folder / 'data' / process.process_id
            settings = model.ControlSettings(
                process=process,
                log=model.LogSettings(data_folder=str(folder)),
                control_hosts=self._control_hosts,
                leases=self.plan.leases,
                operators=operators,
            )
            self._add_part(settings, role='control', data_folder=folder)

    def _plan_entries(self) -> None:
        for number in range(self.plan.entries):
            ports = self._ports(3)
            settings = model.EntrySettings(
                process=self._process_settings(
                    name=f'entry-{number + 1}',
                    role='entry',
                    zone=self._zone(number),
                    ports=ports,
                ),
                http=model.HttpSettings(address=f'{HOST}:{ports[2]}'),
                control_hosts=self._control_hosts,
                admission=self.plan.admission,
                routing=self.plan.routing,
            )
            url = f'http://{HOST}:{ports[2]}'
            self._add_part(settings, role='entry', url=url)

    def _plan_backends(self) -> None:
        for number, engine in enumerate(self.plan.engines, start=1):
            self._plan_engine(f'engine-{number}', engine)
        for number, service in enumerate(self.plan.services, start=1):
            self._plan_service(f'service-{number}', service)

    def _plan_engine(self, name: str, engine: plans.EnginePlan) -> None:
        port, *ports = self._ports(3)
        url = f'http://{HOST}:{port}'
        options = attrs.evolve(engine.options, own_url=url)
        self._add_standin(
            name,
            kind='engine',
            zone=engine.zone,
            url=url,
            settings=standin.EngineFile(engine=options),
        )
        fields = {
            'kind': 'model',
            'url': url,
            'models': options.models,
            'memory_tokens': options.memory_tokens,
            'checks_fencing': options.checks_fencing,
            'cold_limit_tokens': options.cold_limit_tokens // COLD_MARGIN,
            **engine.agent,
        }
        self._add_agent(name, engine.zone, ports, fields)

    def _plan_service(self, name: str, service: plans.ServicePlan) -> None:
        port, *ports = self._ports(3)
        url = f'http://{HOST}:{port}'
        self._add_standin(
            name,
            kind='service',
            zone=service.zone,
            url=url,
            settings=standin.ServiceFile(service=service.options),
        )
        fields = {'kind': 'service', 'url': url, 'services': (service.name,)}
        self._add_agent(name, service.zone, ports, fields)

    def _add_standin(self, name, *, kind, zone, url, settings) -> None:
        path = self._write(name, settings)
        listen = url.removeprefix('http://')
        self.parts[name] = Part(
            name=name,
            role='standin',
            command=(
                *self._program,
                'standin',
                kind,
                '--listen',
                listen,
                '--settings',
                str(path),
            ),
            url=url,
            zone=zone,
        )

    def _add_agent(self, name, zone, ports, fields) -> None:
        settings = model.AgentSettings(
            process=self._process_settings(
                name=f'agent-{name}', role='agent', zone=zone, ports=ports
            ),
            backend=model.EngineSettings(**fields),
            control_hosts=self._control_hosts,
        )
        self._add_part(settings, role='agent')

    def _write_operator_settings(self) -> None:
        for name in OPERATORS:
            identity = model.OperatorIdentity(
                name=name,
                signing_key_file=f'{name}.signing-key',
                key_file=self._key_path('operator').name,
                trust_file='trust.toml',
            )
            settings = model.OperatorSettings(
                operator=identity, control_hosts=self._control_hosts
            )
            self._write(f'operator-{name}', settings)

    def write_bundle(
        self, *, version: int, replaces_version: int
    ) -> pathlib.Path:
        """Write a bundle of the plan, ``bundle-VERSION.toml``."""
        model_ids = tuple(
            f'{spec.name}@{spec.version}' for spec in self.plan.models
        )
        services = tuple(spec.name for spec in self.plan.service_specs)
        bundle = Bundle(
            version=version,
            replaces_version=replaces_version,
            zones=self.plan.zones,
            models=self.plan.models,
            services=self.plan.service_specs,
            workspaces=tuple(
                WorkspaceSpec(
                    name=workspace.name,
                    key_hashes=(self.api_keys[workspace.name].key_hash,),
                    models=model_ids,
                    services=services,
                    allowance_tokens_per_month=(
                        workspace.allowance_tokens_per_month
                    ),
                    weight=workspace.weight,
                )
                for workspace in self.plan.workspaces
            ),
        )
        return self._write(f'bundle-{version}', bundle)

    # Processes

    def start(self) -> None:
        """Start every process, found the cluster and roll the bundle."""
        for part in self.parts.values():
            self.start_part(part.name)
        self.operate('control', 'found', '--cluster-id', CLUSTER_ID)
        self.roll(version=1)
        self.wait_ready()

    def start_part(self, name: str) -> Part:
        """Start one process, or start it again."""
        part = self.parts[name]
        if part.running:
            raise DeploymentError(f'{name} is running')
        log = self.folder / 'logs' / f'{name}.log'
        with log.open('ab') as handle:
            part.process = subprocess.Popen(
                part.command,
                stdin=subprocess.DEVNULL,
                stdout=handle,
                stderr=handle,
                cwd=self.folder,
            )
        return part

    def roll(self, *, version: int) -> None:
        """Submit, sign off and roll a bundle that was written."""
        path = str(self.folder / f'bundle-{version}.toml')
        self.operate('bundle', 'submit', path)
        self.operate('bundle', 'sign-off', path, operator='second')
        self.operate('bundle', 'roll', path, '--wait')

    def run_command(
        self, *arguments: str, operator: str = 'first'
    ) -> subprocess.CompletedProcess:
        """Run an operator's command and return how it ended."""
        settings = self.folder / f'operator-{operator}.toml'
        return subprocess.run(
            (
                *self._program,
                *arguments,
                '--operator-settings',
                str(settings),
            ),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )

    def operate(self, *arguments: str, operator: str = 'first') -> str:
        """Run an operator's command that must succeed.

        :returns: what it printed.
        :raises DeploymentError: if its exit status is not 0.
        """
        done = self.run_command(*arguments, operator=operator)
        if done.returncode != 0:
            raise DeploymentError(
                f'{" ".join(arguments)}: exit status {done.returncode}: '
                f'{done.stdout}{done.stderr}'
            )
        return done.stdout

    def wait_ready(self, *, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every entry that runs is ready for callers.

        :raises DeploymentError: if one is not ready in time.
        """
        ends_s = time.monotonic() + timeout_s
        for part in self.by_role('entry'):
            while part.running and not _is_ready(part.url):
                if time.monotonic() > ends_s:
                    raise DeploymentError(f'{part.name} is not ready')
                time.sleep(POLL_S)

    def by_role(self, role: str) -> list[Part]:
        """Return the processes of a role."""
        return [part for part in self.parts.values() if part.role == role]

    @property
    def entry_urls(self) -> list[str]:
        """Return the callers' addresses of the entries."""
        return [part.url for part in self.by_role('entry')]

    @property
    def engine_urls(self) -> list[str]:
        """Return the addresses of the stand-in engines."""
        return self._standin_urls('engine')

    @property
    def service_urls(self) -> list[str]:
        """Return the addresses of the stand-in plain services."""
        return self._standin_urls('service')

    def _standin_urls(self, kind: str) -> list[str]:
        return [
            part.url
            for part in self.by_role('standin')
            if part.name.startswith(kind)
        ]

    def held_tokens(self) -> int:
        """Return the memory that the running engines hold in all."""
        return sum(
            get_json(f'{part.url}/counters')['held_tokens']
            for part in self.by_role('standin')
            if part.running and part.name.startswith('engine')
        )

    def wait_memory_free(self, *, timeout_s: float = 20) -> int:
        """Wait until no engine holds memory.

        :returns: the tokens that are still held when the time is over.
        """
        ends_s = time.monotonic() + timeout_s
        while True:
            held = self.held_tokens()
            if held == 0 or time.monotonic() > ends_s:
                return held
            time.sleep(POLL_S)

    def find_leader(self) -> Part:
        """Return the control host that leads.

        :raises DeploymentError: if none says that it does.
        """
        for part in self.by_role('control'):
            if not part.running:
                continue
            done = self.run_command('dump', part.address)
            if done.returncode == 0:
                replica = json.loads(done.stdout).get('replica', {})
                if replica.get('role') == 'leader':
                    return part
        raise DeploymentError('no control host leads')

    def kill(self, name: str) -> None:
        """End a process at once, as a crash does."""
        part = self.parts[name]
        os.kill(part.pid, signal.SIGKILL)
        part.process.wait(STOP_TIMEOUT_S)

    def freeze(self, name: str) -> None:
        """Suspend a process without closing its connections."""
        os.kill(self.parts[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a suspended process go on."""
        os.kill(self.parts[name].pid, signal.SIGCONT)

    def stop_part(self, name: str) -> int:
        """Stop one process as planned and return its exit status."""
        part = self.parts[name]
        if part.running:
            part.process.send_signal(signal.SIGTERM)
        return self._wait_end(part)

    def stop(self) -> dict[str, int]:
        """Stop everything as planned.

        :returns: the exit status of each process that was running.
        """
        statuses = {}
        for role in STOP_ORDER:
            running = [part for part in self.by_role(role) if part.running]
            for part in running:
                os.kill(part.pid, signal.SIGCONT)
                part.process.send_signal(signal.SIGTERM)
            for part in running:
                statuses[part.name] = self._wait_end(part)
        return statuses

    def kill_all(self) -> None:
        """End whatever still runs, when a run has failed."""
        for part in self.parts.values():
            if part.running:
                self.kill(part.name)

    def _wait_end(self, part: Part) -> int:
        try:
            return part.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise DeploymentError(f'{part.name} did not stop') from error


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f'{url}/readyz', timeout=2) as response:
            return response.status == 200
    except OSError:
        return False
