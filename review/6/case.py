"""A part of prompts crashes servers; it stands behind 64 other parts.

Two gateways, six servers. Sound prompts and prompts with the deadly part come
in turn; they share their caller and all other parts, and no two are alike.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import harness  # noqa: E402

SERVERS = 6
DOWN_S = 2.5
PLAY_S = 32.0
GAP_S = 0.7
# Shared parts of a prompt, as PROTOCOL.md writes them. With the deadly one
# and its own part a prompt lists 72; the header has 0.9 KB of 16 KB.
SHARED = [f'{0x5C1E0700 + index:08x}' for index in range(70)]
DEADLY = 'dead07a2'
DEADLY_AT = 68
CONTACT_S = harness.BOUNDS['contact-ms'] / 1000
MOST_AFTER = 3


class Case:
    """Counts the crashes, and the deadly prompts that reach servers."""

    def __init__(self, record):
        self.record = record
        self.crashes_s = []
        self.arrivals_s = []
        self.restarts = set()

    async def handle(self, runner, request, writer):
        runner.note('arrival', request)
        parts = request.headers.get('prompt-prefix', '')
        if DEADLY in parts:
            self.arrivals_s.append(self.record.now_s())
            runner.note('deadly part reaches a server', request)
            # It begins to write, and crashes.
            await asyncio.sleep(0.02)
            self.crashes_s.append(self.record.now_s())
            task = asyncio.create_task(runner.crash(down_s=DOWN_S))
            self.restarts.add(task)
            return
        runner.note('run', request)
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {request.id}\r\n'
            f'Response-Signature: {runner.id}.{request.id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode())
        for number in range(1, 9):
            await asyncio.sleep(0.03)
            event = f'id: {number}\ndata: {"t" * 40}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def prefix(number, *, deadly):
    parts = list(SHARED)
    if deadly:
        parts.insert(DEADLY_AT, DEADLY)
    parts.append(f'{0xA0000000 + number:08x}')
    return ','.join(f'{one}:40' for one in parts)


async def ask(deployment, number, *, deadly):
    gateway = deployment.front[number // 2 % len(deployment.front)]
    request_id = harness.new_id()
    record = deployment.record
    record.write('sent', request_id=request_id, gateway=gateway,
                 deadly=deadly)
    answer = await harness.call(
        gateway, 'POST', f'/chat/{number}', body=b'q' * 600, timeout_s=6,
        headers={
            'host': 'app.example', 'request-attempt-id': request_id,
            'credential': 'key-1', 'deadline-milliseconds': '5000',
            'model': 'm', 'token-counts': '2900,80',
            'prompt-prefix': prefix(number, deadly=deadly),
        })
    record.write('answered', request_id=request_id, status=answer.status,
                 end=answer.end, deadly=deadly)
    return answer


async def play(deployment):
    case = Case(deployment.record)
    deployment.start_all()
    runners = [
        await harness.Runner(
            deployment, number=index, service='llm',
            zone=deployment.zones[index % 3], handle=case.handle).start()
        for index in range(SERVERS)
    ]
    await deployment.put_configuration(harness.configuration(
        1,
        routes=[harness.route('chat', '/chat/', 'streaming', 'llm',
                              timeout_ms=5000, aim_ms=500,
                              **{'resume-streams': True,
                                 'target-gap-ms': 500,
                                 'sticky-sessions': True})],
        services=[harness.service('llm')],
        tenants=[{'name': 't1', 'api-keys': ['key-1'], 'priority': 1}]))
    await deployment.wait_ready()
    await asyncio.sleep(CONTACT_S)
    begin_s = case.record.now_s()
    asked, number = [], 0
    while case.record.now_s() < begin_s + PLAY_S:
        # Every second prompt has the deadly part.
        deadly = harness.is_troubled() and number % 2 == 1
        asked.append(asyncio.create_task(
            ask(deployment, number, deadly=deadly)))
        number += 1
        await asyncio.sleep(GAP_S)
    answers = await asyncio.gather(*asked)
    for runner in runners:
        runner.close()
    for task in case.restarts:
        task.cancel()
    whole = sum(one.status == 200 and one.is_whole for one in answers)
    after = []
    if len(case.crashes_s) >= 5:
        from_s = case.crashes_s[4] + CONTACT_S
        after = [one for one in case.arrivals_s if one > from_s]
    case.record.write(
        'sum', asked=len(answers), answered_whole=whole,
        crashes=len(case.crashes_s), deadly_arrivals=len(case.arrivals_s),
        deadly_arrivals_after=len(after))
    if not harness.is_troubled() and whole < len(answers):
        return [f'{len(answers) - whole} sound prompts were not answered']
    if len(after) > MOST_AFTER:
        return [f'{len(after)} requests with the part reached servers later '
                f'than {CONTACT_S:g} s after the fifth crash; 3 may']
    return []


if __name__ == '__main__':
    sys.exit(harness.main(HERE, play, gateways=2))
