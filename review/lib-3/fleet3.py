"""The operator and the backend servers of a test, by the users' pages."""

import asyncio
import hashlib
import json
import socket
import time

import http3 as http

HOST = 'review.example'


def signature(request_id):
    return 'sig.' + hashlib.sha256(request_id.encode()).hexdigest()[:16]


def service(name, *, engine=None, cold_s=0.0, cold_per_s=0.0):
    fields = {'name': name, 'health-check-path': '/health',
              'connection-limit': 324, 'protocol': 'h1', 'tls': False,
              'cold-start-s': cold_s, 'cold-per-s': cold_per_s}
    if engine:
        fields['engine'] = engine
    return fields


def route(name, prefix, kind, to, **more):
    return {'name': name, 'host': HOST, 'path-prefix': prefix, 'kind': kind,
            'timeout-ms': 10000, 'target-latency-ms': 400, 'priority': 1,
            'service': to, 'attempts': 2, 'allow-anonymous': False,
            'sticky-sessions': False, 'resume-streams': False,
            'target-gap-ms': 250, **more}


def configuration(version, *, routes, services, tenants):
    """Return a configuration; tenants are names with their keys."""
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {'header-bytes': 16384, 'body-bytes': 4194304,
                   'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
        'tenants': [{'name': name, 'api-keys': list(keys), 'priority': 1}
                    for name, keys in tenants.items()],
    }


async def order(addresses, method, target, body=b'', *, limit_s=20.0,
                answer_s=2.0):
    """Give an order until it is acknowledged; return when it was.

    :raises RuntimeError: if it never is, or is refused.
    """
    ends = time.monotonic() + limit_s
    turn = 0
    while time.monotonic() < ends:
        address = addresses[turn % len(addresses)]
        turn += 1
        try:
            status, _, _ = await http.call(
                address, method, target,
                (('Content-Type', 'application/json'),), body,
                limit_s=answer_s)
        except http.Broken:
            status = 0
        if 200 <= status < 300:
            return time.monotonic()
        if status in (400, 409, 412, 413, 422):
            raise RuntimeError(f'{method} {target}: {status}')
        await asyncio.sleep(0.2)
    raise RuntimeError(f'{method} {target}: no ack')


async def configure(addresses, table, **more):
    return await order(addresses, 'PUT', '/configuration',
                       json.dumps(table).encode(), **more)


class Server:
    """One backend server: reports itself and answers what arrives.

    :param answer: called with the server and a request; see ``Request``.
    :param buffer_bytes: how much it reads ahead of what it asks for.
    """

    def __init__(self, *, name, ip, port, zone, of, controls, answer,
                 slots=8, beat_s=1.2, buffer_bytes=8 << 20):
        self.name, self.ip, self.port, self.zone = name, ip, port, zone
        self.of, self.controls, self.answer = of, controls, answer
        self.slots, self.beat_s = slots, beat_s
        self.buffer_bytes = buffer_bytes
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.sequence = 0
        self.arrived = []
        self._server = self._beating = None
        self._writers = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, sock=self._listen(), limit=self.buffer_bytes)
        self._beating = asyncio.create_task(self._beat_always())

    def _listen(self):
        line = socket.socket()
        line.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.buffer_bytes < 1 << 20:
            # The usual segment of an Ethernet, and a buffer of that order.
            line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        line.bind((self.ip, self.port))
        line.listen(256)
        line.setblocking(False)
        return line

    def crash(self):
        """End at once, as a process that is killed does."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, *, after_s=0.0, same_id=False):
        await asyncio.sleep(after_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        if not same_id:
            self.name = f'{self.name.split("+")[0]}+{self.born}'
        await self.start()

    async def beat(self):
        """Report once; return whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps({
            'service': self.of, 'address': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': self.slots, 'state': self.state,
            'cold-remaining-ms': 0, 'sequence': self.sequence,
            'stage': 'both', 'models': [], 'born': self.born,
        }).encode()
        for address in self.controls:
            try:
                status, _, _ = await http.call(
                    address, 'PUT', f'/instances/{self.name}',
                    (('Content-Type', 'application/json'),), body)
            except http.Broken:
                continue
            if status == 200:
                return True
        return False

    async def _beat_always(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.beat_s)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, fields = await http.read_head(reader)
                method, target, _ = first.split(' ')
                request = Request(self, method, target, fields, reader, writer)
                if fields.get('expected-instance') not in (None, self.name):
                    await request.read()
                    await request.reply(421, [('Not-Executed', '1')])
                    continue
                await self.answer(self, request)
        except (http.Broken, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Request:
    """One request as a server gets it."""

    def __init__(self, server, method, target, fields, reader, writer):
        self.server, self.method, self.target = server, method, target
        self.fields, self.reader, self.writer = fields, reader, writer
        self.id = fields.get('request-attempt-id', '')
        self.body = b''

    async def read(self):
        self.body = await http.read_body(self.reader, self.fields)
        return self.body

    def fields_of_answer(self, more=()):
        return [('Request-Attempt-Id', self.id), *more]

    async def reply(self, status, more=(), body=b''):
        """Send a whole answer; one of a run is signed."""
        fields = self.fields_of_answer(more)
        if not any(name == 'Not-Executed' for name, _ in more):
            fields.append(('Response-Signature', signature(self.id)))
        fields.append(('Content-Length', len(body)))
        self.writer.write(http.write_head(f'HTTP/1.1 {status} X', fields))
        self.writer.write(body)
        await self.writer.drain()
