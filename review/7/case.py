"""A server runs bookings and fails some of them with 503, as other failures.

Two gateways, seven servers of a booking service. One of them fails part of
its requests after it ran them; its health checks stay good. It never sends
Not-Executed, as it did run them. A caller that gets 429 or 503 takes the
promise at its word and books again, once, under a new id.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import harness  # noqa: E402

SERVERS = 7
GREY = 3
FAIL_EVERY = 5, 2  # Two of five of its requests fail.
BOOKINGS = 150
GAP_S = 0.1
PROMISES = (408, 421, 429, 503)


class Case:
    """Keeps what ran, by the id of the attempt and by the booking."""

    def __init__(self, record):
        self.record = record
        self.ran = {}
        self.bookings = {}
        self.grey_count = 0

    async def handle(self, runner, request, writer):
        runner.note('run', request)
        self.ran[request.id] = self.ran.get(request.id, 0) + 1
        booking = request.body.decode()
        self.bookings[booking] = self.bookings.get(booking, 0) + 1
        await asyncio.sleep(0.045)
        status = 200
        if harness.is_troubled() and runner.number == GREY:
            self.grey_count += 1
            of, failed = FAIL_EVERY
            if self.grey_count % of < failed:
                status = 503
        runner.note('run ended', request, status=status)
        await runner.answer(request, writer, status=status)


async def book(deployment, case, number, broken):
    gateway = deployment.front[number % len(deployment.front)]
    for attempt in range(2):
        request_id = harness.new_id()
        case.record.write('sent', request_id=request_id, booking=number,
                          attempt=attempt, gateway=gateway)
        answer = await harness.call(
            gateway, 'POST', f'/book/{number}',
            body=f'booking-{number}'.encode(), timeout_s=3,
            headers={
                'host': 'app.example', 'request-attempt-id': request_id,
                'credential': 'key-1', 'deadline-milliseconds': '1500',
            })
        signature = answer.headers.get('response-signature', '')
        case.record.write('answered', request_id=request_id, booking=number,
                          status=answer.status, end=answer.end,
                          signature=signature)
        if answer.status not in PROMISES:
            return
        await asyncio.sleep(0.2)
        if case.ran.get(request_id):
            broken.append(f'booking {number}: {answer.status} to attempt '
                          f'{request_id}, which has run')


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
        routes=[harness.route('book', '/book/', 'unsafe', 'desk')],
        services=[harness.service('desk')],
        tenants=[{'name': 't1', 'api-keys': ['key-1'], 'priority': 1}]))
    await deployment.wait_ready()
    await asyncio.sleep(harness.BOUNDS['contact-ms'] / 1000)
    broken, asked = [], []
    for number in range(BOOKINGS):
        asked.append(asyncio.create_task(
            book(deployment, case, number, broken)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*asked)
    for runner in runners:
        runner.close()
    doubled = sorted(one for one, count in case.bookings.items() if count > 1)
    case.record.write('sum', bookings=BOOKINGS, refused_but_run=len(broken),
                      booked_twice=doubled)
    if broken:
        broken.append(f'{len(doubled)} bookings ran twice in all')
    return broken


if __name__ == '__main__':
    sys.exit(harness.main(HERE, play, gateways=2))
