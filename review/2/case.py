"""A revoked key works again once the last tenant is taken away."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import harness  # noqa: E402

KEY, UNKNOWN_KEY = 'n2ctnfzs989anu6wsjnb', 'zzzzneverheldzzzzzzz'
REVOCATION_DELAY_S = harness.BOUNDS['revocation-delay-ms'] / 1000


def configuration(version, tenants):
    return harness.configuration(
        version=version,
        routes=[
            harness.route('status', '/jobs/', 'safe', 'desk',
                          **{'timeout-ms': 800})
        ],
        services=[harness.service('desk')],
        tenants=tenants,
    )


async def ask(site, runner, key):
    """Send one request to each machine; return those that ran."""
    ran = []
    for machine in site.machines:
        request_id, _ = await harness.send(
            site, machine, 'GET', '/jobs/1', wait_ms=1500,
            fields=(('Credential', key),),
        )
        site.record.write('its key was', key)
        if any(one == request_id for _, one in runner.ran):
            ran.append(request_id)
    return ran


async def play(record):
    site = harness.Site(record=record, machines=3)
    runner = None
    try:
        site.start()
        runner = harness.Runner(site=site, service='desk', zone='zone-a')
        await runner.start()
        operator = harness.Operator(site=site)
        await operator.configure(
            configuration(1, [{'name': 'first', 'api-keys': [KEY]}])
        )
        await harness.wait_ready(site)
        await asyncio.sleep(harness.CONTACT_S)
        if len(await ask(site, runner, KEY)) < 3:
            raise harness.CannotRun('the key was not accepted')
        if await ask(site, runner, UNKNOWN_KEY):
            raise harness.CannotRun('an unknown key was accepted')

        # The key is taken away: its tenant has none left.
        revoked = await operator.configure(
            configuration(2, [{'name': 'first', 'api-keys': []}])
        )
        await asyncio.sleep(revoked + REVOCATION_DELAY_S + 1 - record.now())
        broken = [
            f'CONFIG: {one} ran with a key that version 2 took away'
            for one in await ask(site, runner, KEY)
        ]
        if harness.IS_TROUBLED:
            # The tenant, which has no keys any more, is removed.
            changed = await operator.configure(configuration(3, []))
            await asyncio.sleep(
                changed + REVOCATION_DELAY_S + 1 - record.now()
            )
        broken += [
            f'CONFIG: {one} ran with a key that version 2 took away'
            for one in await ask(site, runner, KEY)
        ]
        broken += [
            f'ROUTE: {one} ran with a key that no configuration ever held'
            for one in await ask(site, runner, UNKNOWN_KEY)
        ]
        return broken
    finally:
        if runner is not None:
            runner.close()
        site.close()


harness.main(FOLDER, play)
