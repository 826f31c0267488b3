"""A request that crashes its servers comes from four callers at a time.

Four gateways, ten servers. Every four seconds four callers of one tenant send
the same request, with the same path and body, one at each gateway. Each server
that begins to run it crashes and is back 2.5 s later. Sound requests of the
same tenant and route go on beside it.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import harness  # noqa: E402

GATEWAYS, SERVERS = 4, 10
DOWN_S = 2.5
GROUPS, GAP_S = 6, 4.0
SOUND_GAP_S = 0.2
CONTACT_S = harness.BOUNDS['contact-ms'] / 1000
MOST_AFTER = 3
DEADLY_PATH, DEADLY_BODY = '/look/4711', b'the request that crashes servers'


class Case:
    """Keeps when the deadly request reaches servers and crashes them."""

    def __init__(self, record):
        self.record = record
        self.arrivals_s, self.crashes_s = [], []
        self.restarts = set()

    async def handle(self, runner, request, writer):
        is_deadly = request.body == DEADLY_BODY
        if not (is_deadly and harness.is_troubled()):
            runner.note('run', request)
            await asyncio.sleep(0.03)
            await runner.answer(request, writer)
            return
        self.arrivals_s.append(self.record.now_s())
        runner.note('deadly request reaches a server', request)
        # It begins to run.
        await asyncio.sleep(0.02)
        self.crashes_s.append(self.record.now_s())
        task = asyncio.create_task(runner.crash(down_s=DOWN_S))
        self.restarts.add(task)


async def ask(deployment, index, path, body):
    request_id = harness.new_id()
    gateway = deployment.front[index % GATEWAYS]
    deployment.record.write('sent', request_id=request_id, gateway=gateway,
                            path=path)
    answer = await harness.call(
        gateway, 'POST', path, body=body, timeout_s=4,
        headers={
            'host': 'app.example', 'request-attempt-id': request_id,
            'credential': 'key-1', 'deadline-milliseconds': '1500',
        })
    deployment.record.write('answered', request_id=request_id,
                            status=answer.status, end=answer.end, path=path)
    return answer


async def sound_load(deployment, asked):
    number = 0
    while True:
        asked.append(asyncio.create_task(
            ask(deployment, number, f'/look/{number}', b'sound')))
        number += 1
        await asyncio.sleep(SOUND_GAP_S)


async def play(deployment):
    case = Case(deployment.record)
    deployment.start_all()
    runners = [
        await harness.Runner(
            deployment, number=index, service='desk',
            zone=deployment.zones[index % 3], handle=case.handle,
            slots=6).start()
        for index in range(SERVERS)
    ]
    await deployment.put_configuration(harness.configuration(
        1,
        routes=[harness.route('look', '/look/', 'unsafe', 'desk')],
        services=[harness.service('desk')],
        tenants=[{'name': 't1', 'api-keys': ['key-1'], 'priority': 1}]))
    await deployment.wait_ready()
    await asyncio.sleep(CONTACT_S)
    sound = []
    load = asyncio.create_task(sound_load(deployment, sound))
    for _ in range(GROUPS):
        await asyncio.gather(*(
            ask(deployment, index, DEADLY_PATH, DEADLY_BODY)
            for index in range(GATEWAYS)))
        await asyncio.sleep(GAP_S)
    load.cancel()
    answers = await asyncio.gather(*sound)
    for runner in runners:
        runner.close()
    for task in case.restarts:
        task.cancel()
    after = []
    if len(case.crashes_s) >= 3:
        from_s = case.crashes_s[2] + CONTACT_S
        after = [one for one in case.arrivals_s if one > from_s]
    served = sum(one.status == 200 for one in answers)
    deployment.record.write(
        'sum', deadly_sent=GROUPS * GATEWAYS,
        deadly_arrivals_s=case.arrivals_s, deadly_arrivals_after=len(after),
        sound_asked=len(answers), sound_served=served)
    if len(after) > MOST_AFTER:
        return [f'the request reached servers {len(after)} times later than '
                f'{CONTACT_S:g} s after it had crashed the third; 3 may']
    return []


if __name__ == '__main__':
    sys.exit(harness.main(HERE, play, gateways=GATEWAYS))
