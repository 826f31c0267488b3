"""A runner that has left under an id of before is listed again."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import harness  # noqa: E402

DRAIN_S = harness.BOUNDS['drain-ms'] / 1000
# The site file kills a machine of the core for up to 3.5 s.
DOWN_S = 0.2
# When the last status report of the runner arrives, after its sending.
LATE_S = 5.0
WATCH_S = 7.0


async def send_always(site):
    """Send status look-ups at all machines, twenty a second."""
    index = 0
    tasks = set()
    while True:
        machine = site.machines[index % len(site.machines)]
        index += 1
        task = asyncio.create_task(
            harness.send(site, machine, 'GET', f'/jobs/{index}', wait_ms=1500)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.05)


async def leave(runner, record, *, within_s):
    """Tell control that the runner is gone; return the instant of the ack."""
    start = record.now()
    while record.now() - start < within_s:
        record.write('runner', runner.identifier, 'sends DELETE')
        if await runner.tell('DELETE') is not None:
            record.write('runner', runner.identifier, 'DELETE acknowledged')
            return record.now()
        await asyncio.sleep(0.2)
    raise harness.CannotRun('the departure was not acknowledged')


async def hold_up(record, address, body, identifier):
    """Send a status report that arrives late, to a machine that runs."""
    await asyncio.sleep(LATE_S)
    answer = await harness.call(
        address, 'PUT', f'/instances/{identifier}', body=body,
        fields=(('Content-Type', 'application/json'),),
    )
    status = None if answer is None else answer[0]
    record.write('the late status report has arrived, answer', status)


async def play(record):
    site = harness.Site(record=record, machines=3)
    runners, tasks = [], []
    try:
        site.start()
        for zone in harness.ZONES:
            runner = harness.Runner(site=site, service='desk', zone=zone)
            await runner.start()
            runners.append(runner)
        operator = harness.Operator(site=site)
        await operator.configure(
            harness.configuration(
                routes=[
                    harness.route('status', '/jobs/', 'safe', 'desk',
                                  **{'timeout-ms': 800})
                ],
                services=[harness.service('desk')],
            )
        )
        await harness.wait_ready(site)
        tasks.append(asyncio.create_task(send_always(site)))
        await asyncio.sleep(harness.CONTACT_S)

        # The first lifetime: a planned shutdown, and a new start under the
        # same identifier.
        first = runners[0]
        first.state = 'draining'
        if await first.beat() is None:
            raise harness.CannotRun('draining was not acknowledged')
        first.is_beating = False
        await asyncio.sleep(DRAIN_S + 0.5)
        await leave(first, record, within_s=5)
        first.close()
        await asyncio.sleep(1)
        again = harness.Runner(
            site=site, service='desk', zone='zone-a',
            identifier=first.identifier,
        )
        again.born = int(time.time() * 1000)
        await again.start()
        runners.append(again)
        await asyncio.sleep(6)
        if not again.ran:
            raise harness.CannotRun('the new lifetime got no requests')

        # Its next status report is held up on its way.
        again.is_beating = False
        await again.beat()
        leader = again._at
        others = [one for one in site.controls if one.control != leader]
        body = json.dumps(again.beat_body()).encode()
        tasks.append(
            asyncio.create_task(
                hold_up(record, others[0].control, body, again.identifier)
            )
        )
        killed = [one for one in site.controls if one.control == leader][0]
        if harness.IS_TROUBLED:
            killed.kill()
        killed_at = record.now()

        async def bring_back():
            await asyncio.sleep(DOWN_S)
            killed.restart()

        if harness.IS_TROUBLED:
            tasks.append(asyncio.create_task(bring_back()))
        again._at = None
        again.controls = [one.control for one in others]
        acked = await leave(again, record, within_s=8)
        back_at = killed_at + (DOWN_S if harness.IS_TROUBLED else 0)
        if harness.IS_TROUBLED and acked < back_at + harness.CONTACT_S:
            raise harness.CannotRun('no machine in touch acknowledged it')
        await asyncio.sleep(killed_at + LATE_S + WATCH_S - record.now())

        since = max(acked + DRAIN_S, back_at + harness.CONTACT_S)
        late = [one for one in again.ran if one[0] > since]
        return [
            f'DRAIN: {request_id} reached {again.identifier} '
            f'{at - acked:.2f} s after its DELETE was acknowledged'
            for at, request_id in late
        ]
    finally:
        for task in tasks:
            task.cancel()
        for runner in runners:
            runner.close()
        site.close()


harness.main(FOLDER, play)
