"""Checks of settings that need more than one value, or the file system."""

from collections.abc import Callable
import functools
import logging
import pathlib
import random

import attrs

from shallothinge.routing import choice
from shallothinge.settings import addresses
from shallothinge.settings import faults
from shallothinge.settings import model
from shallothinge.transport import keys

BACKEND_KINDS = ('model', 'service')
CONTROL_COUNTS = (1, 3, 5)
PUBLIC_KEY_HEX_DIGITS = 64
OTHERS_MAY_READ = 0o077
LOG_LEVELS = tuple(logging.getLevelNamesMapping())


class Checker:
    """Checks the settings of one role and notes the faults.

    :param folder: folder of the file, for relative paths.
    """

    def __init__(self, *, folder: pathlib.Path, found: faults.Collector):
        self._folder = folder
        self._found = found
        self._used: dict[addresses.Address, str] = {}

    def check(self, settings: object) -> None:
        """Check the settings of any role."""
        if hasattr(settings, 'process'):
            self._check_process(settings.process)
        discovery = getattr(settings, 'discovery', None)
        if discovery is not None:
            self._check_discovery(discovery)
        elif hasattr(settings, 'control_hosts'):
            self._check_control_hosts(settings)
        if isinstance(settings, model.ControlSettings):
            self._check_log(settings.log)
            self._check_operators(settings.operators)
        if isinstance(settings, model.EntrySettings):
            self._check_http(settings.http)
            self._check_routing(settings.routing)
        if isinstance(settings, model.AgentSettings):
            self._check_backend(settings.backend)

    def _fault(self, key: str, found: object, allowed: str) -> None:
        self._found.add(key=key, found=found, allowed=allowed)

    def _check_process(self, process: model.ProcessSettings) -> None:
        for name in ('process_id', 'zone', 'host'):
            if not getattr(process, name):
                self._fault(f'process.{name}', "''", 'a name')
        if process.log_level not in LOG_LEVELS:
            allowed = ', '.join(LOG_LEVELS)
            self._fault('process.log_level', repr(process.log_level), allowed)
        self._use_zmq('process.address', process.address)
        if process.metrics_address:
            self._use_host_port(
                'process.metrics_address', process.metrics_address
            )
        self._check_keys(process)

    def _check_keys(self, process: model.ProcessSettings) -> None:
        read_key_pair = functools.partial(
            keys.read_key_pair, is_private=process.is_host_shared
        )
        for name, read in (
            ('key_file', read_key_pair),
            ('trust_file', keys.read_trust),
        ):
            try:
                read(path=self._folder / getattr(process, name))
            except keys.KeyFileError as error:
                self._fault(
                    f'process.{name}',
                    str(error),
                    'a file made by "shallothinge keys"',
                )

    def _check_discovery(self, discovery: model.DiscoverySettings) -> None:
        if not discovery.seeds:
            self._fault('discovery.seeds', 'no address', 'IP:PORT of a host')
        for index, seed in enumerate(discovery.seeds):
            host, _, port = seed.rpartition(':')
            if not host or not port.isdigit():
                self._fault(f'discovery.seeds[{index}]', repr(seed), 'IP:PORT')

    def _check_control_hosts(self, settings) -> None:
        hosts = settings.control_hosts
        if len(hosts) not in CONTROL_COUNTS:
            self._fault('control_hosts', f'{len(hosts)} hosts', '1, 3 or 5')
        seen = set()
        for index, host in enumerate(hosts):
            key = f'control_hosts[{index}]'
            if host.process_id in seen:
                self._fault(
                    f'{key}.process_id', repr(host.process_id), 'a unique id'
                )
            seen.add(host.process_id)
            own = isinstance(settings, model.ControlSettings)
            if own and host.process_id == settings.process.process_id:
                self._check_own_address(f'{key}.address', host, settings)
            else:
                self._use_zmq(f'{key}.address', host.address)
        if isinstance(settings, model.ControlSettings):
            if settings.process.process_id not in seen:
                self._fault(
                    'process.process_id',
                    repr(settings.process.process_id),
                    'one of the control_hosts',
                )

    def _check_own_address(self, key, host, settings) -> None:
        if host.address != settings.process.address:
            self._fault(
                key, repr(host.address), repr(settings.process.address)
            )

    def _check_log(self, log: model.LogSettings) -> None:
        if log.election_min_ms <= log.heartbeat_ms:
            self._fault(
                'log.election_min_ms',
                log.election_min_ms,
                f'more than heartbeat_ms, {log.heartbeat_ms}',
            )
        if log.election_max_ms <= log.election_min_ms:
            self._fault(
                'log.election_max_ms',
                log.election_max_ms,
                f'more than election_min_ms, {log.election_min_ms}',
            )
        folder = self._folder / log.data_folder
        if not folder.parent.is_dir():
            self._fault(
                'log.data_folder',
                repr(log.data_folder),
                f'a folder in an existing one; {folder.parent} is missing',
            )

    def _check_operators(self, operators) -> None:
        for index, operator in enumerate(operators):
            try:
                whole = len(bytes.fromhex(operator.public_key)) * 2
            except ValueError:
                whole = 0
            if whole != PUBLIC_KEY_HEX_DIGITS:
                self._fault(
                    f'operators[{index}].public_key',
                    repr(operator.public_key),
                    f'{PUBLIC_KEY_HEX_DIGITS} hex digits',
                )

    def _check_http(self, http: model.HttpSettings) -> None:
        self._use_host_port('http.address', http.address)
        if bool(http.certificate_file) != bool(http.private_key_file):
            missing = 'private_key_file'
            if http.private_key_file:
                missing = 'certificate_file'
            self._fault(f'http.{missing}', 'no such key', 'both or neither')
        for name in ('certificate_file', 'private_key_file'):
            self._check_file(f'http.{name}', getattr(http, name))
        self._check_mode('http.private_key_file', http.private_key_file)

    def _check_routing(self, routing: model.RoutingSettings) -> None:
        try:
            choice.build_policy(name=routing.policy, rng=random.Random(0))
        except ValueError as error:
            allowed = str(error).partition('allowed: ')[2]
            self._fault('routing.policy', repr(routing.policy), allowed)

    def _check_file(self, key: str, name: str) -> None:
        if name and not (self._folder / name).is_file():
            self._fault(key, f'no file {name}', 'a file that exists')

    def _check_mode(self, key: str, name: str) -> None:
        path = self._folder / name
        if not name or not path.is_file():
            return
        mode = path.stat().st_mode & 0o777
        if mode & OTHERS_MAY_READ:
            self._fault(key, f'mode {mode:o}', 'mode 600')

    def _check_backend(self, backend: model.EngineSettings) -> None:
        self._use('backend.url', backend.url, addresses.parse_url)
        if backend.kind not in BACKEND_KINDS:
            self._fault(
                'backend.kind', repr(backend.kind), ', '.join(BACKEND_KINDS)
            )
        if backend.kind == 'service' and not backend.services:
            self._fault('backend.services', '[]', 'at least one service')
        if backend.kind == 'model' and not backend.memory_tokens:
            self._fault(
                'backend.memory_tokens', '0', "the engine's memory in tokens"
            )

    def _use_zmq(self, key: str, text: str) -> None:
        self._use(key, text, addresses.parse_zmq)

    def _use_host_port(self, key: str, text: str) -> None:
        self._use(key, text, addresses.parse_host_port)

    def _use(
        self, key: str, text: str, parse: Callable[[str], addresses.Address]
    ) -> None:
        try:
            address = parse(text)
        except ValueError:
            self._fault(key, repr(text), ALLOWED_FORMS[parse])
            return
        other = self._used.setdefault(address, key)
        if other != key:
            self._fault(key, repr(text), f'an address that {other} leaves')


ALLOWED_FORMS = {
    addresses.parse_zmq: addresses.ZMQ_ALLOWED,
    addresses.parse_host_port: addresses.HTTP_ALLOWED,
    addresses.parse_url: addresses.URL_ALLOWED,
}


def check(
    *, settings: object, folder: pathlib.Path, found: faults.Collector
) -> None:
    """Note the faults of settings whose shape is right."""
    if attrs.has(type(settings)):
        Checker(folder=folder, found=found).check(settings)
