"""Starts the project's programs on loopback addresses, with stand-ins.

Each machine has a loopback address of its own. Its programs are started with
the commands and the settings templates of the deploy file. Servers, callers
and the operator are small stand-ins that speak the users' protocol.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
BOUNDS = {
    'contact-ms': 3000,
    'ack-timeout-ms': 4000,
    'drain-ms': 2000,
    'grace-period-s': 8,
    'config-propagation-ms': 2000,
    'revocation-delay-ms': 5000,
    'retry-budget-slack': 112,
    'cold-slack': 5,
    'outer-bound-ms': 5000,
    'evacuation-delay-ms': 5000,
    'recovery-time-s': 12,
}
CONTACT_S = BOUNDS['contact-ms'] / 1000
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
BEAT_S = 1.2
CALLER_PATIENCE_S = 1.0


class CannotRun(RuntimeError):
    """The case could not be played."""


class Record:
    """Lines of what was sent, answered and run, with seconds since start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, *words):
        text = ' '.join(str(word) for word in words)
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


# Settings


def _find(fields, name):
    if name == '.':
        return fields
    value = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def fill(template, fields):
    """Return a template of the deploy file with its placeholders filled."""

    def section(match):
        return match[2] if _find(fields, match[1]) else ''

    def value(match):
        found = _find(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return '' if found is None else str(found)

    text = re.sub(r'\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}', section, template)
    return re.sub(r'\{\{([\w.-]+)(\|json)?\}\}', value, text)


class Machine:
    """One machine and its programs."""

    def __init__(self, *, site, name, zone, ip, has_control):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.roles = ['gateway'] + (['control'] if has_control else [])
        self.front = f'{ip}:{site.port}'
        self.ready = f'{ip}:{site.port + 1}'
        self.control = f'{ip}:{site.port + 2}' if has_control else None
        self.processes = {}
        self.is_first_start = True
        # (start, end) of what excuses the machine; an open end is None.
        self.impaired = []

    def _fields(self, role):
        site = self.site
        return {
            'node-name': self.name,
            'ip-address': self.ip,
            'zone': self.zone,
            'seeds': site.seeds,
            'first-start': self.is_first_start,
            'internal-port-range': [site.port + 10, site.port + 25],
            'listen-addresses': {
                'front': self.front,
                'ready': self.ready,
                'control': self.control,
            },
            'data-directory': (
                str(site.folder / 'data' / self.name)
                if role == 'control'
                else None
            ),
            'fault-tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
        }

    def start(self):
        """Start all programs that do not run."""
        for role in self.roles:
            if role in self.processes and self.processes[role].poll() is None:
                continue
            deploy = self.site.deploy['roles'][role]
            fields = self._fields(role)
            template = (REPOSITORY / deploy['template']).read_text()
            path = self.site.folder / f'{self.name}-{role}.toml'
            path.write_text(fill(template, fields))
            if fields['data-directory']:
                pathlib.Path(fields['data-directory']).mkdir(
                    parents=True, exist_ok=True
                )
            words = [fill(one, fields) for one in deploy['run'].split()]
            kept = ('PATH', 'HOME', 'LANG')
            environment = {k: os.environ[k] for k in kept if k in os.environ}
            environment['SHALLOTHINGE_NODE_FILE'] = str(path)
            with open(self.site.folder / f'{path.stem}.log', 'ab') as log:
                self.processes[role] = subprocess.Popen(
                    words,
                    cwd=REPOSITORY,
                    env=environment,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
        self.site.record.write('started', self.name)

    def _impair(self):
        self.impaired.append([self.site.record.now(), None])

    def _recover(self):
        if self.impaired and self.impaired[-1][1] is None:
            self.impaired[-1][1] = self.site.record.now()

    def freeze(self):
        """Stop all processes of the machine."""
        self._impair()
        for process in self.processes.values():
            process.send_signal(signal.SIGSTOP)
        self.site.record.write('froze', self.name)

    def thaw(self):
        """Let them go on."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        self._recover()
        self.site.record.write('thawed', self.name)

    def kill(self):
        """Kill all processes of the machine."""
        self._impair()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.site.record.write('killed', self.name)

    def restart(self):
        """Start them again, with their disk."""
        self.is_first_start = False
        self.start()
        self._recover()

    def is_in_touch(self, at):
        """Return whether nothing impaired the machine before an instant."""
        return all(
            at < start or (end is not None and end + CONTACT_S <= at)
            for start, end in self.impaired
        )


class Site:
    """A deployment in a temporary folder."""

    def __init__(self, *, record, machines=3, plain=0):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.deploy = tomllib.loads(
            (REPOSITORY / 'deploy' / 'system.toml').read_text()
        )
        if not (REPOSITORY / 'target' / 'keys').is_dir():
            raise CannotRun('build the deploy file first')
        self.net, self.port = _free_net()
        self.machines = []
        self._hosts = iter(range(1, 250))
        for index in range(machines + plain):
            self.machines.append(
                Machine(
                    site=self,
                    name=f'front-{index + 1}',
                    zone=ZONES[index % len(ZONES)],
                    ip=self.next_ip(),
                    has_control=index < machines,
                )
            )
        self.controls = [one for one in self.machines if one.control]
        self.seeds = [one.control for one in self.controls][:3]

    def next_ip(self):
        return f'{self.net}.{next(self._hosts)}'

    def start(self):
        for machine in self.machines:
            machine.start()

    def close(self):
        """End all that was started here."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print('logs are in', self.folder)


def _free_net():
    for _ in range(50):
        net = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        port = random.randint(11_000, 28_000)
        try:
            with contextlib.ExitStack() as stack:
                for offset in (0, 1, 2, 10, 11, 40):
                    one = stack.enter_context(socket.socket())
                    one.bind((f'{net}.1', port + offset))
            return net, port
        except OSError:
            continue
    raise CannotRun('no free ports')


# HTTP


async def read_head(reader):
    """Return the first line and the fields, or None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    """Return the body, chunked or with a length."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    if 'content-length' in fields:
        return await reader.readexactly(int(fields['content-length']))
    return await reader.read()


async def call(address, method, path, *, fields=(), body=b'', timeout_s=1.0):
    """Return status, fields and body; None without a whole answer in time."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in fields]
            if not any(name.lower() == 'host' for name, _ in fields):
                lines.append(f'Host: {address}')
            if body or method in ('PUT', 'POST'):
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode('latin-1') + body)
            answer = await read_head(reader)
            if answer is None:
                return None
            content = await read_body(reader, answer[1])
            return int(answer[0].split()[1]), answer[1], content
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# Stand-ins


class Runner:
    """A sound server: it announces itself and runs requests."""

    def __init__(
        self, *, site, service, zone, work_s=0.05, ip=None, identifier=None
    ):
        self.site, self.service, self.zone = site, service, zone
        self.record, self.work_s = site.record, work_s
        self.address = f'{ip or site.next_ip()}:{site.port + 40}'
        self.identifier = identifier or f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.state, self.sequence, self.slots = 'ready', 0, 8
        self.controls = [one.control for one in site.controls]
        self.ran = []
        self.is_beating = True
        self._at = None
        self._server = None
        self._tasks = []
        self._open = set()

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=511
        )
        self._tasks.append(asyncio.create_task(self._beat_always()))

    def close(self):
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    def beat_body(self):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold-remaining-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _beat_always(self):
        while True:
            if self.is_beating:
                await self.beat()
            await asyncio.sleep(BEAT_S)

    async def tell(self, method, body=b''):
        """Tell control, at the next daemon after a failure."""
        for _ in range(len(self.controls)):
            at = self._at or random.choice(self.controls)
            answer = await call(
                at, method, f'/instances/{self.identifier}', body=body,
                fields=(('Content-Type', 'application/json'),),
            )
            if answer is not None and 200 <= answer[0] < 300:
                named = json.loads(answer[2] or b'{}').get('heartbeat-address')
                self._at = named or at
                return at
            self._at = None
            if at in self.controls:
                index = self.controls.index(at)
                self._at = self.controls[(index + 1) % len(self.controls)]
        return None

    async def beat(self):
        return await self.tell('PUT', json.dumps(self.beat_body()).encode())

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, fields = head
                has_body = {'content-length', 'transfer-encoding'} & set(
                    fields
                )
                body = await read_body(reader, fields) if has_body else b''
                method, target, _ = first.split(' ')
                await self.answer(method, target, fields, body, writer)
                await writer.drain()
                if fields.get('connection', '').lower() == 'close':
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def reply(self, writer, status, fields, body=b''):
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{name}: {value}' for name, value in fields]
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        writer.write(head.encode('latin-1') + body)

    async def answer(self, method, target, fields, body, writer):
        if target == '/health':
            status = 200 if self.state == 'ready' else 503
            self.reply(writer, status, [('Instance-Id', self.identifier)])
            return
        request_id = fields.get('request-attempt-id', '')
        echoed = [('Request-Attempt-Id', request_id)]
        expected = fields.get('expected-instance')
        if expected not in (None, self.identifier):
            self.record.write('rejected 421', self.identifier, request_id)
            self.reply(writer, 421, [*echoed, ('Not-Executed', '1')])
            return
        await self.run(method, target, fields, body, writer, echoed)

    async def run(self, method, target, fields, body, writer, echoed):
        """Run a request that is meant for this server."""
        request_id = fields.get('request-attempt-id', '')
        self.ran.append((self.record.now(), request_id))
        self.record.write('ran', self.identifier, self.zone, request_id)
        await asyncio.sleep(self.work_s)
        content = f'{self.identifier} {request_id}\n'.encode()
        self.reply(
            writer,
            200,
            [*echoed, ('Response-Signature', f'sig.{request_id}')],
            content,
        )


class Operator:
    """Sends orders, to the next daemon after a second without an answer."""

    def __init__(self, *, site):
        self.site, self.record = site, site.record
        self.controls = [one.control for one in site.controls]

    async def order(self, method, path, body=b'', *, first=None, within_s=12):
        """Return the instant of the ack; first names the daemon to begin."""
        at = first or random.choice(self.controls)
        pause_s, start = 0.1, self.record.now()
        while self.record.now() - start < within_s:
            self.record.write('operator', method, path, 'to', at)
            answer = await call(
                at, method, path, body=body,
                fields=(('Content-Type', 'application/json'),),
                timeout_s=CALLER_PATIENCE_S,
            )
            status = None if answer is None else answer[0]
            self.record.write('operator got', status, 'of', method, path)
            if status is not None and 200 <= status < 300:
                return self.record.now()
            if status in (400, 409, 412, 413, 422):
                return None
            await asyncio.sleep(pause_s)
            pause_s *= 1.5
            index = self.controls.index(at)
            at = self.controls[(index + 1) % len(self.controls)]
        return None

    async def configure(self, configuration, *, within_s=30):
        body = json.dumps(configuration).encode()
        acked = await self.order(
            'PUT', '/configuration', body, within_s=within_s
        )
        if acked is None:
            raise CannotRun('no configuration was accepted')
        return acked


def configuration(*, version=1, routes, services, tenants=None):
    """Return a configuration with the users' usual limits."""
    made = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'header-bytes': 16384,
            'body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }
    if tenants is not None:
        made['tenants'] = tenants
    return made


def route(name, prefix, kind, service, **fields):
    return {
        'name': name,
        'host': 'site.example',
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 5000,
        'target-latency-ms': 400,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'allow-anonymous': False,
        'sticky-sessions': False,
        'resume-streams': False,
        **fields,
    }


def service(name, **fields):
    return {
        'name': name,
        'health-check-path': '/health',
        'connection-limit': 130,
        'protocol': 'h1',
        'tls': False,
        'cold-start-s': 0.0,
        'cold-per-s': 0.0,
        **fields,
    }


async def is_ready(machine):
    answer = await call(machine.ready, 'GET', '/readiness')
    return answer is not None and answer[0] == 200


async def wait_ready(site, *, within_s=40):
    """Wait until all gateways are ready."""
    start = site.record.now()
    while site.record.now() - start < within_s:
        ready = [await is_ready(machine) for machine in site.machines]
        if all(ready):
            site.record.write('all gateways are ready')
            return
        await asyncio.sleep(0.25)
    raise CannotRun('the gateways are not ready')


def new_id():
    return f'{random.getrandbits(64):016x}'


async def send(site, machine, method, path, *, fields=(), body=b'', wait_ms):
    """Send a request as a caller does; return its id and the answer."""
    request_id = new_id()
    site.record.write('caller', method, path, request_id, 'to', machine.name)
    answer = await call(
        machine.front, method, path, body=body, timeout_s=wait_ms / 1000 + 0.5,
        fields=(
            ('Host', 'site.example'),
            ('Request-Attempt-Id', request_id),
            ('Deadline-Milliseconds', wait_ms),
            *fields,
        ),
    )
    status = None if answer is None else answer[0]
    site.record.write('caller got', status, request_id)
    return request_id, answer


def main(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held."""
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.write('disruption', 'on' if IS_TROUBLED else 'off')
    try:
        broken = asyncio.run(play(record))
    except CannotRun as error:
        record.write('could not run:', error)
        print('could not run:', error)
        sys.exit(2)
    for line in broken:
        record.write('BROKEN', line)
    record.write('result', 'broken' if broken else 'held')
    print('broken' if broken else 'held', *broken[:3], sep='\n  ')
    sys.exit(1 if broken else 0)
