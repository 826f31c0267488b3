"""A withdrawal of an evacuation that a frozen machine carries out late."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import harness  # noqa: E402

ZONE = 'zone-a'
# The site's day trouble-1 freezes a machine of the core for 7.4 s.
FREEZE_S = 5.0
WATCH_S = 14.0
OUTER_S = harness.BOUNDS['outer-bound-ms'] / 1000
EVACUATION_DELAY_S = harness.BOUNDS['evacuation-delay-ms'] / 1000


async def send_always(site):
    """Send status look-ups at all machines, ten a second."""
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
        await asyncio.sleep(0.1)


async def play(record):
    site = harness.Site(record=record, machines=3)
    runners = []
    traffic = None
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
        traffic = asyncio.create_task(send_always(site))
        await asyncio.sleep(harness.CONTACT_S + 1)

        slow, quick = site.controls[2], site.controls[0]
        path = f'/evacuation/{ZONE}'
        if await operator.order('POST', path, first=quick.control) is None:
            raise harness.CannotRun('the evacuation was not acknowledged')
        await asyncio.sleep(3)

        if harness.IS_TROUBLED:
            slow.freeze()
        frozen_at = record.now()
        # The operator picks a machine that has just frozen, gets no answer
        # within a second and goes on to the next one.
        if await operator.order('DELETE', path, first=slow.control) is None:
            raise harness.CannotRun('the withdrawal was not acknowledged')
        await asyncio.sleep(1)
        acked = await operator.order('POST', path, first=quick.control)
        if acked is None:
            raise harness.CannotRun('no second acknowledgement')
        record.write('evacuated again, acknowledged')
        await asyncio.sleep(max(0, frozen_at + FREEZE_S - record.now()))
        thawed_at = record.now()
        if harness.IS_TROUBLED:
            slow.thaw()
        await asyncio.sleep(acked + WATCH_S - record.now())

        # All machines are in touch from contact-ms after the freeze has
        # ended. An unstable core stretches the bound by outer-bound-ms.
        since = max(
            acked + EVACUATION_DELAY_S + OUTER_S,
            thawed_at + harness.CONTACT_S,
        )
        evacuated = [one for one in runners if one.zone == ZONE][0]
        if not any(at > since for one in runners for at, _ in one.ran):
            raise harness.CannotRun('nothing was served any more')
        late = [one for one in evacuated.ran if one[0] > since]
        return [
            f'EVAC: {request_id} reached {evacuated.identifier} in {ZONE} '
            f'{at - acked:.2f} s after its evacuation was acknowledged'
            for at, request_id in late
        ]
    finally:
        if traffic is not None:
            traffic.cancel()
        for runner in runners:
            runner.close()
        site.close()


harness.main(FOLDER, play)
