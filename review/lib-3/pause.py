"""A second runner turns a call away just as the first one answers it.

No case of its own: it shows the entry of soak seed 530104 in KNOWN-RED.txt.
"""

import asyncio
import pathlib
import secrets
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import case3  # noqa: E402
import deployment  # noqa: E402
import fleet3  # noqa: E402
import http3  # noqa: E402

KEY = 'key-one'
SLOW_S = 1.2
PAUSE_S = 5.0
ROUNDS = 4
CALLS_AT_ONCE = 14
# Requests that may reach a runner in its pause.
ALLOWED = 2


class Play:
    """Two runners, one gateway, and callers that come in bursts."""

    def __init__(self, record):
        self.record = record
        self.system = deployment.Deployment(gateways=1)
        self.servers = []
        self.slow = {}
        self.told = None
        self.late = []

    async def answer(self, server, request):
        await request.read()
        now = time.monotonic()
        self.record.note('arrives', server.name, request.id)
        if self.told is not None and server is self.told[0]:
            left = self.told[1] + PAUSE_S - now
            if left > 0:
                if now - self.told[1] > 0.5:
                    self.late[-1] += 1
                await self.turn_away(request, left)
                return
        if request.id in self.slow:
            first = self.slow[request.id]
            if first is None:
                self.slow[request.id] = request
                await asyncio.sleep(SLOW_S)
                if not request.is_answered:
                    await self.reply(request)
                return
            self.told = (server, now)
            self.record.note('turned away with a pause', server.name,
                             request.id)
            if case3.TROUBLE:
                await self.reply(first)
                await self.turn_away(request, PAUSE_S)
            else:
                await self.turn_away(request, PAUSE_S)
                await asyncio.sleep(0.1)
                await self.reply(first)
            return
        await asyncio.sleep(0.05)
        await self.reply(request)

    async def reply(self, request):
        request.is_answered = True
        await request.reply(200, body=b's' * 800)

    async def turn_away(self, request, pause_s):
        await request.reply(503, [('Not-Executed', '1'),
                                  ('Retry-After', f'{pause_s:.2f}')])

    async def ask(self, request_id=None):
        request_id = request_id or secrets.token_hex(8)
        try:
            status, _, _ = await http3.call(
                self.system.front(0), 'POST', '/look/1',
                [('Host', fleet3.HOST), ('Request-Attempt-Id', request_id),
                 ('Deadline-Milliseconds', 3000), ('Credential', KEY)],
                limit_s=3.5)
        except http3.Broken as error:
            status = repr(error)[:50]
        self.record.note('asked', request_id, status)

    async def play(self):
        controls = self.system.control_addresses()
        self.system.start()
        await fleet3.configure(controls, fleet3.configuration(
            1, tenants={'tenant-one': [KEY]},
            services=[fleet3.service('desk')],
            routes=[fleet3.route('look', '/look/', 'safe', 'desk',
                                 **{'timeout-ms': 3000,
                                    'target-latency-ms': 300})]))
        for index in range(2):
            server = fleet3.Server(
                name=f'i-{index}', ip=self.system.server_ip(index),
                port=self.system.ports['server'],
                zone=deployment.ZONES[index], of='desk', slots=16,
                controls=controls, answer=self.answer)
            self.servers.append(server)
            await server.start()
        await self.system.wait_ready()
        await asyncio.sleep(5)
        for _ in range(ROUNDS):
            for _ in range(30):
                await self.ask()
                await asyncio.sleep(0.02)
            request_id = secrets.token_hex(8)
            self.slow[request_id], self.told = None, None
            self.late.append(0)
            await self.ask(request_id)
            if self.told is not None:
                wait_s = self.told[1] + 0.7 - time.monotonic()
                await asyncio.sleep(max(0, wait_s))
                await asyncio.gather(
                    *(self.ask() for _ in range(CALLS_AT_ONCE)))
                await asyncio.sleep(PAUSE_S)
            self.record.note('round: too late', self.late[-1],
                             'second runner asked', self.told is not None)
        self.record.note('requests in the pause by round', self.late,
                         'allowed', ALLOWED)
        return max(self.late) > ALLOWED


async def play(record):
    one = Play(record)
    fleet3.Request.is_answered = False
    try:
        return await one.play()
    finally:
        for server in one.servers:
            server.crash()
        one.system.stop()


case3.run(FOLDER, play)
