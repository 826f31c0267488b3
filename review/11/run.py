"""Hundreds of changes of a large configuration; then the core is killed."""

import asyncio
import json
import pathlib
import random
import secrets
import string
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-3'))

import case3  # noqa: E402
import deployment  # noqa: E402
import fleet3  # noqa: E402
import http3  # noqa: E402

MEMORY_MB = 200
# idle_routes 240, and big_config with its largest count, twice.
ROUTES = 240 + 2 * 1680
CHANGES = 660
LEAST_CHANGES = 550
CHANGING_S = 55
ORDERS_AT_ONCE = 3
DOWN_S = 0.5
RECOVERY_S = 15
ASKED_S = 12
KEY = 'key-one'


def text(rng, length):
    return ''.join(rng.choice(string.ascii_lowercase + string.digits)
                   for _ in range(length))


def make_table():
    rng = random.Random(56)
    routes = [
        fleet3.route(f'r-{text(rng, 7)}', f'/{text(rng, 7)}/', 'streaming',
                     'desk')
        for _ in range(ROUTES)]
    routes.append(fleet3.route('look', '/look/', 'safe', 'desk'))
    return fleet3.configuration(
        1, routes=routes, services=[fleet3.service('desk')],
        tenants={'tenant-one': [KEY]})


def with_change(document, version):
    """Return the document of a version that changes one time-out."""
    return document.replace(
        '"version": 1,', f'"version": {version},', 1).replace(
        '"timeout-ms": 10000', f'"timeout-ms": {9000 + version}', 1).encode()


async def answer(server, request):
    await request.read()
    await asyncio.sleep(0.03)
    await request.reply(200, body=b's' * 800)


class Play:
    """One run of the case."""

    def __init__(self, record):
        self.record = record
        self.system = deployment.Deployment(gateways=3, memory_mb=MEMORY_MB)
        self.controls = self.system.control_addresses()
        self.acknowledged = 1
        self.next_version = 1
        self.most_mb = {}
        self.ended = []
        self.asked = []

    async def change(self, number, document, ends):
        """Send one change after another, each until it is acknowledged."""
        turn = self.controls[number % 3:] + self.controls[:number % 3]
        while self.next_version < CHANGES and time.monotonic() < ends:
            self.next_version += 1
            version = self.next_version
            await fleet3.order(turn, 'PUT', '/configuration',
                               with_change(document, version),
                               answer_s=5.0)
            self.acknowledged = max(self.acknowledged, version)

    async def watch_memory(self):
        """End and restart what is over its limit, as the platform does."""
        while True:
            for process in self.system.processes:
                used_mb = process.peak_bytes() >> 20
                self.most_mb[process.name] = max(
                    used_mb, self.most_mb.get(process.name, 0))
                if used_mb > MEMORY_MB:
                    self.record.note('over its limit', process.name, used_mb)
                    self.ended.append(process.name)
                    process.kill()
                    asyncio.get_running_loop().call_later(
                        DOWN_S, process.start)
            await asyncio.sleep(0.02)

    async def consume(self, index):
        while True:
            started = time.monotonic()
            request_id = secrets.token_hex(8)
            try:
                status, _, _ = await http3.call(
                    self.system.front(index % 3), 'POST', '/look/1',
                    [('Host', fleet3.HOST),
                     ('Request-Attempt-Id', request_id),
                     ('Deadline-Milliseconds', 3000), ('Credential', KEY)],
                    limit_s=3.5)
            except http3.Broken as error:
                status = repr(error)[:60]
            self.record.note('asked', request_id, status)
            self.asked.append((started, status == 200))
            await asyncio.sleep(0.3)

    async def read_back(self, ends):
        """Ask for the configuration until it comes; return its version."""
        turn = 0
        while time.monotonic() < ends:
            address = self.controls[turn % 3]
            turn += 1
            try:
                status, _, body = await http3.call(
                    address, 'GET', '/configuration', limit_s=3)
            except http3.Broken as error:
                status, body = repr(error)[:60], b''
            self.record.note('read', address[0], status, len(body))
            if status == 200:
                return json.loads(body)['version']
            await asyncio.sleep(0.5)
        return None

    def share(self, since, until):
        found = [good for at, good in self.asked if since <= at < until]
        return sum(found) / max(1, len(found)), len(found)

    async def play(self):
        record, system = self.record, self.system
        system.start()
        table = make_table()
        document = json.dumps(table)
        record.note('bytes of the configuration', len(document))
        await fleet3.configure(self.controls, table)
        for index in range(3):
            server = fleet3.Server(
                name=f'i-{index}', ip=system.server_ip(index),
                port=system.ports['server'], zone=deployment.ZONES[index],
                of='desk', controls=self.controls, answer=answer)
            await server.start()
        await system.wait_ready()
        background = [
            asyncio.create_task(self.watch_memory()),
            *(asyncio.create_task(self.consume(one)) for one in range(6))]
        began = time.monotonic()
        await asyncio.gather(*(
            self.change(one, document, began + CHANGING_S)
            for one in range(ORDERS_AT_ONCE)))
        record.note('acknowledged', self.acknowledged, 'most MB', self.most_mb)
        if self.acknowledged < LEAST_CHANGES:
            raise RuntimeError(f'only {self.acknowledged} changes in time')
        await asyncio.sleep(2)
        struck = time.monotonic()
        self.most_mb.clear()
        if case3.TROUBLE:
            record.note('the processes of the core are killed')
            for process in system.controls:
                process.kill()
            await asyncio.sleep(DOWN_S)
            for process in system.controls:
                process.start()
            record.note('they are started again')
        await asyncio.sleep(DOWN_S + RECOVERY_S)
        version = await self.read_back(time.monotonic() + ASKED_S)
        for task in background:
            task.cancel()
        before = self.share(began, struck)
        after = self.share(struck + DOWN_S + RECOVERY_S, time.monotonic() + 1)
        record.note('served before', before, 'from', RECOVERY_S, 's on', after)
        record.note('most MB after', self.most_mb, 'ended', len(self.ended))
        record.note('acknowledged', self.acknowledged, 'read back', version)
        is_lost = version is None or version < self.acknowledged
        is_down = after[1] > 0 and after[0] < 0.25 <= before[0]
        return is_lost or is_down


async def play(record):
    one = Play(record)
    try:
        return await one.play()
    finally:
        one.system.stop()


case3.run(FOLDER, play, limit_s=118)
