"""Runs soaks: one seed, or one after another from a first seed.

    python -m testing.soak.run --seed 7
    python -m testing.soak.run --seed 100 --count 50 --jobs 3
    python -m testing.soak.run --kept

Each seed draws a plan of overlapping faults, and after it rounds in which
control hosts are replaced or lost while other faults go on. Sound backend
servers fall silent all the while, and go on after a second or so. What is not
allowed is printed, and the folder with settings, logs and records of runs is
kept.
"""

import argparse
import asyncio
import concurrent.futures
import datetime
import json
import os
import pathlib
import random
import shutil
import sys
import tempfile
import time
import tomllib

import attrs

from testing.soak import callers
from testing.soak import checks
from testing.soak import deployment
from testing.soak import ends
from testing.soak import faults
from testing.soak import injection
from testing.soak import limits
from testing.soak import notices
from testing.soak import operator
from testing.soak import orders
from testing.soak import resets
from testing.soak import rounds
from testing.soak import silences

DURATION_S = 12.0
ROUNDS = 3
# From the last fault until all is served again: a lease, an election and the
# longest time that a gateway keeps off a backend server.
SETTLE_S = 8.0
LAST_S = 3.0
START_TIMEOUT_S = 40.0
NETS = 200
FIRST_NET = 20
READ_MESSAGES = ('request placed', 'request refused', 'request ended')
KEPT_SEEDS = pathlib.Path(__file__).with_name('kept_seeds.toml')


@attrs.frozen(kw_only=True)
class Result:
    """What a soak found.

    ``held_up`` is the longest time for which the soak itself was held up, and
    with it the callers, the operator and the relays; ``process_held_up`` has
    the longest time of each process that was. ``excused`` counts the requests
    that ended without a status and by the rules may have, by the reason.
    """

    seed: int
    found: tuple[str, ...]
    asked: int
    served: int
    held_up: dict[str, int | None]
    process_held_up: dict[str, dict[str, int | None]]
    excused: dict[str, int]
    faults: tuple[str, ...]
    folder: str


class Soak:
    """One deployment under one plan of faults."""

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        duration_s: float,
        round_count: int,
        scale: int,
    ):
        # Of this process, so that soaks run beside each other.
        second, third = divmod(os.getpid() % NETS**2, NETS)
        net = f'127.{FIRST_NET + second}.{1 + third}'
        self._seed = seed
        self._duration_s = duration_s
        self._rounds = rounds.draw(seed=seed, count=round_count)
        self._running = deployment.Deployment(
            folder=folder, net=net, scale=scale
        )
        self._callers = callers.Callers(
            running=self._running,
            rng=random.Random(seed),
            connection_rng=random.Random(f'connections {seed}'),
            failure_rng=random.Random(f'failures {seed}'),
        )
        self._operator = operator.Operator(
            addresses=self._running.api_addresses,
            rng=random.Random(f'tables {seed}'),
            odd_rng=random.Random(f'odd {seed}'),
        )
        self._zone_orders = orders.ZoneOrders(
            addresses=self._running.api_addresses
        )
        self._injection = injection.Injection(
            running=self._running, callers=self._callers
        )
        self._plan: list[faults.Fault] = []
        self._notes: list[str] = []
        self._is_disturbed = True
        self._is_over = False

    async def run(self) -> Result:
        """Start all, inject the faults, end all; return what was found."""
        self._running.prepare()
        try:
            await self._start()
            await self._disturb()
            await self._operator.end()
        finally:
            self._running.stop_all()
        return self._judge()

    async def _start(self) -> None:
        for relayed in self._running.relays.values():
            await relayed.start()
        await asyncio.gather(*map(self._running.start, self._running.parts))
        keys = [callers.KEPT_KEY, callers.REVOKED_KEY]
        await asyncio.wait_for(
            self._operator.put(1, api_keys=keys), START_TIMEOUT_S
        )
        await asyncio.wait_for(self._wait_until_served(), START_TIMEOUT_S)
        self._callers.asked.clear()

    async def _wait_until_served(self) -> None:
        """Ask until ten requests in a row are served."""
        last = self._callers.asked
        while len(last) < 10 or any(one.status != 200 for one in last[-10:]):
            ends_s = time.monotonic() + 0.2
            await self._callers.ask_while(lambda: time.monotonic() < ends_s)

    async def _disturb(self) -> None:
        began_s = time.monotonic()
        self._plan = faults.draw_plan(
            seed=self._seed,
            targets=self._targets(),
            duration_s=self._duration_s,
        )
        asking = asyncio.create_task(
            self._callers.ask_while(lambda: not self._is_over)
        )
        ordering = [
            asyncio.create_task(
                self._operator.change_while(lambda: self._is_disturbed)
            ),
            asyncio.create_task(
                self._operator.read_while(lambda: self._is_disturbed)
            ),
            asyncio.create_task(
                self._zone_orders.order_while(lambda: self._is_disturbed)
            ),
            asyncio.create_task(self._silence_servers()),
            asyncio.create_task(
                self._callers.ask_again_while(lambda: self._is_disturbed)
            ),
        ]
        await asyncio.gather(*map(self._inject, self._plan))
        await asyncio.sleep(began_s + self._duration_s - time.monotonic())
        if self._rounds:
            # As after any loss of a control host.
            await asyncio.sleep(faults.CATCH_UP_S)
            await self._play_rounds()
        self._is_disturbed = False
        self._running.end_limits()
        await asyncio.sleep(SETTLE_S)
        self._callers.are_faults_over = True
        await asyncio.sleep(LAST_S)
        self._is_over = True
        await asyncio.gather(asking, *ordering)

    async def _silence_servers(self) -> None:
        """Let sound servers pause, until the faults are over."""
        rng = random.Random(f'silences {self._seed}')
        groups = self._running.services()
        while self._is_disturbed:
            silence = silences.draw(rng, groups=groups)
            self._note(
                f'silent for {silence.for_s:g} s ({silence.scope.value}): '
                f'{", ".join(silence.targets)}'
            )
            self._running.silence(silence)
            await asyncio.sleep(silence.for_s + silence.gap_s)

    def _targets(self) -> dict[str, list[str]]:
        return {role: self._running.names(role) for role in faults.BY_ROLE}

    async def _inject(self, fault: faults.Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await self._injection.inject(fault)

    async def _play_rounds(self) -> None:
        playing = asyncio.create_task(
            rounds.Rounds(
                running=self._running,
                callers=self._callers,
                operator=self._operator,
                injection=self._injection,
                note=self._note,
                rng=random.Random(f'played {self._seed}'),
            ).play(self._rounds)
        )
        beside: dict[str, asyncio.Task] = {}
        rng = random.Random(f'beside {self._seed}')
        while not playing.done():
            fault = faults.draw_beside(rng, targets=self._targets())
            former = beside.get(fault.target)
            if former is None or former.done():
                self._note(f'{fault.kind.value} {fault.target}')
                beside[fault.target] = asyncio.create_task(
                    self._injection.inject(fault)
                )
            await asyncio.wait(
                {playing}, timeout=rng.uniform(0.0, faults.MOST_PAUSE_S)
            )
        await asyncio.gather(playing, *beside.values())

    def _note(self, what: str) -> None:
        now = datetime.datetime.now(datetime.UTC)
        self._notes.append(f'{now.isoformat(timespec="milliseconds")} {what}')

    def _judge(self) -> Result:
        runs = self._lines('run', checks.Run)
        late = self._lines('late', checks.Late)
        told = self._lines('notice', notices.Notice)
        arrivals = self._lines('arrival', notices.Arrival)
        asked = self._callers.asked
        with (self._running.folder / 'asked').open('w') as file:
            file.writelines(f'{one}\n' for one in asked)
        known = {one.request_id for one in asked}
        # Runs of before the first fault are not judged.
        first_ms = min(one.sent_ms for one in asked)
        runs = [
            run
            for run in runs
            if run.request_id in known or run.at_ms >= first_ms
        ]
        found = checks.check(
            asked=asked,
            runs=runs,
            revoked=self._operator.revoked,
            late=late,
            hold_ups=self._callers.hold_ups,
        )
        found += notices.check(
            asked=asked,
            notices=told,
            arrivals=arrivals,
            disturbances=self._callers.disturbances,
            cuts=self._injection.cuts,
        )
        found += limits.check(
            asked=asked,
            named=self._lines('limit', limits.Named),
            arrivals=arrivals,
            disturbances=self._callers.disturbances,
            cuts=self._injection.cuts,
        )
        cut, excused = ends.check(
            asked=asked,
            records=ends.Records(
                arrivals=arrivals,
                runs=runs,
                notices=told,
                begun=self._lines('begun', ends.Event),
                broken=self._lines('broken', ends.Event),
                gone=self._lines('gone', ends.Gone),
                faults=self._injection.server_faults,
                signals=self._running.signals,
                read_ids=self._logged_ids(*READ_MESSAGES),
                budget_ids=self._logged_ids(
                    'attempt failed', no_retry='budget'
                ),
                services=self._running.services(),
                least_timeout_ms=self._operator.least_timeout_ms,
                hold_ups=self._callers.hold_ups,
            ),
        )
        found += cut
        found += resets.check(
            asked=asked,
            quarantined_ids=self._logged_ids(
                *READ_MESSAGES, outcome='quarantined'
            ),
        )
        found += orders.check(
            orders=self._zone_orders.orders, executed=self._executed_orders()
        )
        return Result(
            seed=self._seed,
            found=(*found, *self._operator.faults),
            asked=len(asked),
            served=sum(one.status == 200 for one in asked),
            held_up=self._callers.held_up,
            process_held_up=self._running.held_up(),
            excused=excused,
            faults=(
                *(
                    f'{one.at_s:.2f}-{one.ends_s:.2f} {one.kind.value} '
                    f'{one.target}'
                    f'{", leader lost" if one.loses_leader else ""}'
                    for one in self._plan
                ),
                *self._notes,
            ),
            folder=str(self._running.folder),
        )

    def _executed_orders(self) -> list[orders.Executed]:
        """Return what all control hosts have logged about zones."""
        return [
            executed
            for name in self._running.names('control', with_gone=True)
            for is_out, message in orders.LINES.items()
            for executed in orders.read_lines(
                self._running.log_lines(name, message), is_out=is_out
            )
        ]

    def _lines(self, what: str, kind: type) -> list:
        """Return what all backend servers have written of one sort."""
        return [
            kind(**one)
            for name in self._running.names('backend')
            for one in self._injection.lines(name, what)
        ]

    def _logged_ids(self, *messages: str, **fields: str) -> frozenset[str]:
        """Return the requests of which gateways have logged something."""
        return frozenset(
            line['request_id']
            for name in self._running.names('gateway')
            for message in messages
            for line in self._running.log_lines(name, message)
            if all(line.get(key) == value for key, value in fields.items())
        )


def run_seed(
    seed: int, duration_s: float, round_count: int = ROUNDS, scale: int = 1
) -> Result:
    """Run one soak; its folder is kept if it found something."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-')) / 'run'
    soak = Soak(
        seed=seed,
        folder=folder,
        duration_s=duration_s,
        round_count=round_count,
        scale=scale,
    )
    try:
        result = asyncio.run(soak.run())
    except asyncio.TimeoutError:
        return Result(
            seed=seed,
            found=('the deployment did not start to serve',),
            asked=0,
            served=0,
            held_up={},
            process_held_up={},
            excused={},
            faults=(),
            folder=str(folder),
        )
    if not result.found:
        shutil.rmtree(folder.parent)
    return result


def _kept_soaks() -> list[tuple[int, float, int]]:
    """Return seeds that failed, with their seconds and rounds."""
    with KEPT_SEEDS.open('rb') as file:
        kept = tomllib.load(file)['kept']
    usual = {'seconds': DURATION_S, 'rounds': ROUNDS}
    soaks = [{**usual, **one} for one in kept]
    return [(one['seed'], one['seconds'], one['rounds']) for one in soaks]


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument('--seed', type=int)
    chosen.add_argument(
        '--kept', action='store_true', help='run the seeds that ever failed'
    )
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=DURATION_S)
    parser.add_argument(
        '--rounds',
        type=int,
        default=ROUNDS,
        help='how many control hosts are replaced or lost in series, '
        f'{rounds.MOST_ROUNDS} at most',
    )
    parser.add_argument(
        '--scale',
        type=int,
        default=1,
        help='how many times the usual gateways and backend servers',
    )
    arguments = parser.parse_args()
    soaks = _kept_soaks()
    if not arguments.kept:
        seeds = range(arguments.seed, arguments.seed + arguments.count)
        soaks = [(seed, arguments.seconds, arguments.rounds) for seed in seeds]
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        scales = [arguments.scale] * len(soaks)
        for result in pool.map(run_seed, *zip(*soaks, strict=True), scales):
            failed += bool(result.found)
            print(json.dumps(attrs.asdict(result)), flush=True)
    print(f'{len(soaks) - failed} seeds passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
