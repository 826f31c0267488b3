"""Plays requests that crash the runners that run them, among sound ones."""

import asyncio
import secrets
import time

import deployment
import fleet3
import http3

KEY = 'key-one'
SERVERS = 6
BACK_S = 2.0
# contact-ms of the sites with three zones.
CONTACT_S = 3.0
EVENTS, EVENT_S = 20, 0.05


class Crashing:
    """Runners, sound consumers and one that sends what crashes runners.

    :param kind: of the route: its name, and whether it streams.
    :param is_deadly: tells of a request whether it crashes its runner.
    :param crash_after_s: time from the first event, or from the arrival of a
        call, to the crash.
    """

    def __init__(self, record, *, route, is_deadly, crash_after_s):
        self.record = record
        self.route = route
        self.is_deadly, self.crash_after_s = is_deadly, crash_after_s
        self.system = deployment.Deployment(gateways=3)
        self.servers = []
        self.arrived = []
        self.crashed = []
        self.sound = []

    async def start(self):
        controls = self.system.control_addresses()
        self.system.start()
        await fleet3.configure(controls, fleet3.configuration(
            1, tenants={'tenant-one': [KEY]},
            services=[fleet3.service('pool')], routes=[self.route]))
        for index in range(SERVERS):
            server = fleet3.Server(
                name=f'i-{index}', ip=self.system.server_ip(index),
                port=self.system.ports['server'],
                zone=deployment.ZONES[index % 3], of='pool',
                controls=controls, answer=self.answer)
            server.is_down = False
            self.servers.append(server)
            await server.start()
        await self.system.wait_ready()
        await asyncio.sleep(5)

    async def answer(self, server, request):
        await request.read()
        deadly = self.is_deadly(request)
        self.record.note('runs', server.name, request.id,
                         'deadly' if deadly else 'sound')
        if deadly:
            self.arrived.append(time.monotonic())
        if self.route['kind'] != 'streaming':
            await asyncio.sleep(self.crash_after_s if deadly else 0.05)
            if deadly:
                self.crash(server)
            await request.reply(200, body=b's' * 800)
            return
        request.writer.write(http3.write_head('HTTP/1.1 200 OK', [
            *request.fields_of_answer(),
            ('Response-Signature', fleet3.signature(request.id)),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked')]))
        began = time.monotonic()
        first = int(request.fields.get('last-event-id') or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {number}\n\n'.encode()
            request.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(EVENT_S)
            if deadly and time.monotonic() - began >= self.crash_after_s:
                self.crash(server)
        request.writer.write(b'0\r\n\r\n')
        await request.writer.drain()

    def crash(self, server):
        """End a server at once; it is back after some seconds."""
        if not server.is_down:
            server.is_down = True
            self.crashed.append(time.monotonic())
            self.record.note('crashes', server.name, len(self.crashed))
            server.crash()
            asyncio.get_running_loop().create_task(self._return(server))
        raise http3.Broken('crashed')

    async def _return(self, server):
        await server.restart(after_s=BACK_S)
        server.is_down = False

    async def ask(self, index, target, fields=(), body=b''):
        """Send one request; return status and whether its answer is whole."""
        request_id = secrets.token_hex(8)
        try:
            status, _, got = await http3.call(
                self.system.front(index % 3), 'POST', target,
                [('Host', fleet3.HOST), ('Request-Attempt-Id', request_id),
                 ('Deadline-Milliseconds', 8000), ('Credential', KEY),
                 *fields], body, limit_s=9)
        except http3.Broken as error:
            status, got = repr(error)[:50], b''
        self.record.note('asked', request_id, target, status, len(got))
        return status

    async def play(self, *, send_deadly, send_sound, play_s, every_s):
        """Send both for a while; return what came after the time allowed."""
        ends = time.monotonic() + play_s

        async def repeat(send, pause_s):
            turn = 0
            while time.monotonic() < ends:
                turn += 1
                status = await send(turn)
                if send is send_sound:
                    self.sound.append(status)
                await asyncio.sleep(pause_s)

        await asyncio.gather(
            repeat(send_deadly, every_s),
            *(repeat(send_sound, 0.2) for _ in range(4)))
        good = sum(status == 200 for status in self.sound)
        self.record.note('sound requests', len(self.sound), 'served', good)

    def late(self, *, after_crash):
        """Return how many deadly requests came too late after a crash."""
        if len(self.crashed) < after_crash:
            return 0
        since = self.crashed[after_crash - 1] + CONTACT_S
        return sum(at > since for at in self.arrived)

    def stop(self):
        for server in self.servers:
            server.crash()
        self.system.stop()
