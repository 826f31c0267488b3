"""The operator raises ``header-bytes``; consumers keep their channels."""

import asyncio
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-3'))

import case3  # noqa: E402
import deployment  # noqa: E402
import fleet3  # noqa: E402
import http3  # noqa: E402

CONSUMERS = 12
REQUESTS = 4
FORMER_BYTES, RAISED_BYTES = 16_384, 65_536
PARTS = 1800
# config-propagation-ms is 2,000, contact-ms 3,000.
PROPAGATION_S, CONTACT_S = 2.0, 3.0
KEY = 'key-one'


async def answer(server, request):
    await request.read()
    server.record.note('runs', server.name, request.id)
    await asyncio.sleep(0.05)
    await request.reply(200, body=b'b' * 800)


def table(version, header_bytes):
    made = fleet3.configuration(
        version, tenants={'tenant-one': [KEY]},
        services=[fleet3.service('desk')],
        routes=[fleet3.route('look', '/look/', 'safe', 'desk'),
                fleet3.route('book', '/book/', 'unsafe', 'desk')])
    made['limits']['header-bytes'] = header_bytes
    return made


def head_of(request_id, target, parts):
    fields = [('Host', fleet3.HOST), ('Request-Attempt-Id', request_id),
              ('Deadline-Milliseconds', 5000), ('Credential', KEY),
              ('Content-Length', 0)]
    if parts:
        listed = ','.join(f'{one:08x}:64' for one in range(parts))
        fields.append(('Prompt-Prefix', listed))
    return http3.write_head(f'POST {target} HTTP/1.1', fields)


async def ask(reader, writer, target, parts):
    """Send one request in two writes; return id, status and head's bytes."""
    request_id = secrets.token_hex(8)
    head = head_of(request_id, target, parts)
    cut = len(head) - 1000
    writer.write(head[:cut])
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(head[cut:])
    first, fields = await asyncio.wait_for(http3.read_head(reader), 6)
    await http3.read_body(reader, fields)
    return request_id, int(first.split()[1]), len(head)


async def consume(system, record, index, raised, denied, sent):
    """Ask on a kept channel before the change, and again after it."""
    target = ('/look/1', '/book/1')[index % 2]
    reader, writer = await asyncio.open_connection(*system.front(index % 2))
    record.note('before', index, *await ask(reader, writer, target, 0))
    await raised.wait()
    for turn in range(REQUESTS):
        if writer is None:
            reader, writer = await asyncio.open_connection(
                *system.front(index % 2))
        try:
            request_id, status, size = await ask(
                reader, writer, target, PARTS)
        except (http3.Broken, OSError, asyncio.TimeoutError) as error:
            record.note('no answer', index, repr(error))
            writer.close()
            writer = None
            continue
        sent.append(request_id)
        record.note('asked', index, turn, request_id, 'head bytes', size,
                    'status', status)
        if 300 <= status < 500 and status not in (408, 421, 429):
            denied.append(request_id)
            writer.close()
            writer = None
        await asyncio.sleep(0.1)
    if writer is not None:
        writer.close()


async def play(record):
    system = deployment.Deployment(gateways=3)
    servers = []
    controls = system.control_addresses()
    try:
        system.start()
        at_first = FORMER_BYTES if case3.TROUBLE else RAISED_BYTES
        await fleet3.configure(controls, table(1, at_first))
        for index in range(3):
            server = fleet3.Server(
                name=f'i-{index}', ip=system.server_ip(index),
                port=system.ports['server'], zone=deployment.ZONES[index],
                of='desk', controls=controls, answer=answer)
            server.record = record
            servers.append(server)
            await server.start()
        await system.wait_ready()
        await asyncio.sleep(6)
        raised, denied, sent = asyncio.Event(), [], []
        consumers = asyncio.gather(*(
            consume(system, record, one, raised, denied, sent)
            for one in range(CONSUMERS)))
        await asyncio.sleep(1)
        if case3.TROUBLE:
            await fleet3.configure(controls, table(2, RAISED_BYTES))
            record.note('acknowledged: header-bytes', RAISED_BYTES)
        await asyncio.sleep(PROPAGATION_S + CONTACT_S)
        raised.set()
        await consumers
        allowed = 5 + len(sent) / 500
        record.note('asked', len(sent), 'denied', len(denied),
                    'allowed', allowed, *denied)
        return len(denied) > allowed
    finally:
        for server in servers:
            server.crash()
        system.stop()


case3.run(FOLDER, play)
