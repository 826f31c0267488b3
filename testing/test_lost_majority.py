"""Tests of the way back after the control hosts lost their majority.

They follow "When it is lost for good" of docs/operators/lost-majority.md on
running processes: two of three data folders are lost, and a new cluster is
founded.
"""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import json
import os
import pathlib
import secrets
import shutil
import signal
import tempfile
import time
import unittest
import urllib.error
import urllib.request

from shallothinge.operators import exit_codes
from shallothinge.platform import names
from shallothinge.standin import model as standin
from testing import demo
from testing import deployment
from testing import plan
from testing.soak import callers
from testing.soak import deployment as soak
from testing.soak import operator
from testing.soak import wire

# Far beyond what a step takes, also on a machine under load.
WAIT_S = 60.0
POLL_S = 0.1
ASK_S = 15.0
MAX_TOKENS = 4
PROMPT = 'Which day is the lift inspected?'
REFUSED = 503
# Loopback addresses of this test, beside those of the soaks.
NET = '127.10.1'
VERSION = 5
DEADLINE_MS = 10_000


def wait_for(condition: Callable[[], object], what: str) -> object:
    """Return what a condition gives, as soon as that is true.

    :raises AssertionError: naming what did not come.
    """
    ends_s = time.monotonic() + WAIT_S
    while not (found := condition()):
        if time.monotonic() > ends_s:
            raise AssertionError(f'not seen: {what}')
        time.sleep(POLL_S)
    return found


def lines_of(path: pathlib.Path, message: str) -> list[dict]:
    """Return the lines that a process has logged with a message."""
    found = []
    for line in path.read_text(encoding='utf-8').splitlines():
        if f'"{message}"' in line:
            found.append(json.loads(line))
    return found


def metrics_of(url: str) -> dict[str, float]:
    """Return the metrics without labels that a process publishes."""
    with urllib.request.urlopen(url, timeout=ASK_S) as response:
        lines = response.read().decode().splitlines()
    return {
        name: float(value)
        for name, _, value in (line.rpartition(' ') for line in lines)
        if name.isidentifier()
    }


def set_aside(folder: pathlib.Path) -> pathlib.Path:
    """Move a control host's data folder aside; return where it is."""
    aside = folder.with_name(f'{folder.name}.former')
    os.rename(folder, aside)
    return aside


class ListedHostsTest(unittest.TestCase):
    """Hosts that are listed in the settings, with entries and agents."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.running = deployment.Deployment(
            folder=pathlib.Path(folder) / 'run',
            plan=plan.small_plan(
                entries=1,
                engines=(
                    plan.EnginePlan(
                        zone='zone-1',
                        options=standin.EngineOptions(
                            models=(plan.MODEL_ID,), checks_fencing=True
                        ),
                    ),
                ),
                services=(),
                service_specs=(),
            ),
        )
        self.running.write_settings()
        self.addCleanup(self.running.kill_all)
        self.running.start()

    def lines(self, part, message):
        path = self.running.folder / 'logs' / f'{part.name}.log'
        return lines_of(path, message)

    def ask(self):
        """Send a prompt; return its answer."""
        caller = demo.Caller(
            url=self.running.entry_urls[0],
            key=self.running.api_keys['tenants'].key,
        )
        return caller.chat(
            prompt=PROMPT, max_tokens=MAX_TOKENS, timeout_s=ASK_S
        )

    def is_served(self):
        with contextlib.suppress(urllib.error.HTTPError):
            return self.ask().done
        return False

    def refusal(self):
        """Send a prompt; return the code of its refusal, '' if served."""
        try:
            self.ask()
        except urllib.error.HTTPError as error:
            self.assertEqual(REFUSED, error.code)
            return json.load(error)['error']['code']
        return ''

    def lose(self, part):
        """Lose a control host with its disk."""
        self.running.kill(part.name)
        shutil.rmtree(part.data_folder)

    def lose_majority(self):
        """Lose the leader and another host; return the one that is left."""
        leader = self.running.find_leader()
        other, left = (
            part for part in self.running.by_role('control') if part != leader
        )
        self.lose(other)
        wait_for(
            lambda: metrics_of(leader.metrics_url)['control_losses_borne']
            == 0,
            'a leader that bears no further loss',
        )
        # The metric is worked out as it is read, the lines with each tick.
        for message in ('voter is silent', 'no further loss is borne'):
            wait_for(functools.partial(self.lines, leader, message), message)
        self.lose(leader)
        return left

    def check_loss(self, left):
        """Check what the page names as the signs of a lost majority."""
        line, *_ = wait_for(
            lambda: self.lines(left, 'no leader: too few voters are heard'),
            'the line on too few voters',
        )
        self.assertEqual(2, line['needed'])
        self.assertEqual(1, len(line['heard']))
        self.assertEqual(2, len(line['silent']))
        found = metrics_of(left.metrics_url)
        self.assertEqual(-1, found['control_losses_borne'])
        self.assertEqual(0, found['control_leader_known'])
        wait_for(
            lambda: self.refusal() == 'no_lease', 'a refusal with no_lease'
        )
        done = self.running.run_command('bundle', 'status')
        self.assertEqual(exit_codes.ExitCode.NO_ANSWER, done.returncode)

    def stop_role(self, role):
        for part in self.running.by_role(role):
            if part.running:
                self.assertEqual(0, self.running.stop_part(part.name))

    def start_role(self, role):
        for part in self.running.by_role(role):
            self.running.start_part(part.name)

    def status(self):
        return json.loads(self.running.operate('bundle', 'status'))

    def test_cluster_that_is_founded_anew_serves_again(self):
        self.running.write_bundle(version=2, replaces_version=1)
        self.running.roll(version=2)
        self.running.operate('zone', 'out', 'zone-3')
        # Its engine now knows a fencing number that the new cluster gives
        # to none of its first agents.
        self.stop_role('agent')
        self.start_role('agent')
        wait_for(self.is_served, 'a prompt that is served')
        left = self.lose_majority()
        self.check_loss(left)

        self.stop_role('control')
        aside = set_aside(left.data_folder)
        for role in ('entry', 'agent', 'standin'):
            self.stop_role(role)
        self.start_role('standin')
        self.start_role('control')
        self.running.operate('control', 'found', '--cluster-id', 'second')
        for role in ('agent', 'entry'):
            self.start_role(role)
        self.assertEqual([], self.status()['zones_out'])

        # As it was rolled, it replaces a bundle that is not in force.
        path = str(self.running.folder / 'bundle-2.toml')
        self.running.operate('bundle', 'submit', path)
        self.running.operate('bundle', 'sign-off', path, operator='second')
        done = self.running.run_command('bundle', 'roll', path)
        self.assertEqual(exit_codes.ExitCode.REFUSED, done.returncode)
        self.assertIn('use replaces_version = 0', done.stderr)
        self.running.write_bundle(version=2, replaces_version=0)
        self.running.roll(version=2)
        self.running.operate('zone', 'out', 'zone-3', '--wait')

        self.running.wait_ready()
        wait_for(self.is_served, 'a prompt that is served')
        status = self.status()
        self.assertEqual(2, status['bundle_version'])
        self.assertEqual(['zone-3'], status['zones_out'])
        self.assertTrue(any(aside.iterdir()))
        statuses = self.running.stop()
        self.assertEqual({0}, set(statuses.values()), statuses)


class DiscoveredHostsTest(unittest.IsolatedAsyncioTestCase):
    """Hosts that find each other, with gateways and backend servers."""

    async def asyncSetUp(self):
        # The test itself holds the loop up, for instance to read metrics.
        asyncio.get_running_loop().slow_callback_duration = WAIT_S
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.running = soak.Deployment(
            folder=pathlib.Path(folder) / 'run', net=NET
        )
        self.running.prepare()
        self.addCleanup(self.running.stop_all)
        self.operator = operator.Operator(addresses=self.running.api_addresses)
        for relayed in self.running.relays.values():
            await relayed.start()
        await self.start(self.running.parts)

    async def start(self, names_of_parts):
        await asyncio.gather(*map(self.running.start, names_of_parts))

    async def wait_for(self, condition, what):
        """Return what a condition gives, as soon as that is true."""
        return await asyncio.to_thread(wait_for, condition, what)

    async def put(self, version):
        await asyncio.wait_for(
            self.operator.put(version, api_keys=[callers.KEPT_KEY]), WAIT_S
        )

    async def status_at(self, name):
        """Send a call to a gateway; return its status, 0 for none."""
        request_id = secrets.token_hex(8)
        asked = wire.exchange(
            address=self.running.caller_addresses[name],
            method='POST',
            target=f'/{wire.CALLS}/book/{request_id}',
            fields=(
                (names.REQUEST_ID, request_id),
                (names.API_KEY, callers.KEPT_KEY),
                (names.DEADLINE_MS, str(DEADLINE_MS)),
            ),
            body=request_id.encode(),
        )
        with contextlib.suppress(OSError, wire.BrokenAnswer):
            answer = await asyncio.wait_for(asked, ASK_S)
            return answer.status
        return 0

    async def wait_for_status(self, status):
        """Wait until each gateway answers calls with a status."""
        ends_s = time.monotonic() + WAIT_S
        for name in self.running.names('gateway'):
            while (found := await self.status_at(name)) != status:
                self.assertLess(time.monotonic(), ends_s, (name, found))
                await asyncio.sleep(POLL_S)

    def lines(self, name, message):
        return self.running.log_lines(name, message)

    def metrics(self, name):
        settings = self.running.parts[name].settings
        return metrics_of(f'http://{settings.process.metrics_address}/metrics')

    async def lose_majority(self):
        """Lose the leader and another host; return the one that is left."""

        def leader():
            for name in self.running.names('control'):
                if 'control_voters_heard' in self.metrics(name):
                    return name
            return ''

        first = await self.wait_for(leader, 'a leader')
        second, left = (
            name for name in self.running.names('control') if name != first
        )
        for name in (second, first):
            await self.running.kill(name)
            shutil.rmtree(self.running.data_of(name))
        return left

    async def stop(self, name):
        """Stop a process as planned."""
        self.running.signal(name, signal.SIGTERM)
        await self.wait_for(
            lambda: not self.running.is_running(name), f'the end of {name}'
        )

    async def test_seeds_that_may_found_serve_again(self):
        await self.put(VERSION)
        self.running.allow_founding(False)
        await self.wait_for_status(200)
        left = await self.lose_majority()
        await self.wait_for(
            lambda: self.lines(left, 'no leader: too few voters are heard'),
            'the line on too few voters',
        )
        self.assertEqual(-1, self.metrics(left)['control_losses_borne'])
        await self.wait_for_status(REFUSED)

        for name in (left, *self.running.names('gateway')):
            await self.stop(name)
        set_aside(self.running.data_of(left))
        self.running.allow_founding(True)
        await self.start(self.running.names('control'))
        await self.wait_for(
            lambda: len(self.lines('control-1', 'cluster founded')) == 2,
            'a second cluster',
        )
        self.running.allow_founding(False)
        await self.start(self.running.names('gateway'))
        await self.put(VERSION)
        await self.wait_for_status(200)
        await self.operator.end()
        self.assertEqual([], self.operator.faults)


if __name__ == '__main__':
    unittest.main()
