"""Runs soaks: one seed, or one after another from a first seed.

    python -m testing.soak.run --seed 7
    python -m testing.soak.run --seed 100 --count 50 --jobs 3
    python -m testing.soak.run --kept

Each seed draws a plan of overlapping faults. What is not allowed is printed,
and the folder with settings, logs and records of runs is kept.
"""

import argparse
import asyncio
import concurrent.futures
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib

import attrs

from shallothinge import clock
from testing.soak import callers
from testing.soak import checks
from testing.soak import deployment
from testing.soak import faults
from testing.soak import notices
from testing.soak import operator
from testing.soak import relay

DURATION_S = 12.0
# From the last fault until all is served again: a lease, an election and the
# longest time that a gateway keeps off a backend server.
SETTLE_S = 8.0
LAST_S = 3.0
START_TIMEOUT_S = 40.0
PLANNED_STOP_S = 9.0
RESET_AGAIN_S = 0.3
LEFT_POLL_S = 0.002
NETS = 200
FIRST_NET = 20
KEPT_SEEDS = pathlib.Path(__file__).with_name('kept_seeds.toml')


@attrs.frozen(kw_only=True)
class Result:
    """What a soak found."""

    seed: int
    found: tuple[str, ...]
    asked: int
    served: int
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
        scale: int,
    ):
        # Of this process, so that soaks run beside each other.
        second, third = divmod(os.getpid() % NETS**2, NETS)
        net = f'127.{FIRST_NET + second}.{1 + third}'
        self._seed = seed
        self._duration_s = duration_s
        self._running = deployment.Deployment(
            folder=folder, net=net, scale=scale
        )
        self._callers = callers.Callers(
            running=self._running, rng=random.Random(seed)
        )
        self._operator = operator.Operator(
            addresses=self._running.api_addresses
        )
        self._plan: list[faults.Fault] = []
        self._cuts: list[notices.Cut] = []

    async def run(self) -> Result:
        """Start all, inject the faults, end all; return what was found."""
        self._running.prepare()
        try:
            await self._start()
            await self._disturb()
            await self._operator.read_back()
        finally:
            self._running.stop_all()
        return self._judge()

    async def _start(self) -> None:
        for relayed in self._running.relays.values():
            await relayed.start()
        for name in self._running.parts:
            self._running.start(name)
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
            await self._callers.ask_until(time.monotonic() + 0.2)

    async def _disturb(self) -> None:
        began_s = time.monotonic()
        self._plan = faults.draw_plan(
            seed=self._seed,
            targets={
                role: self._running.names(role) for role in faults.BY_ROLE
            },
            duration_s=self._duration_s,
        )
        faults_end_s = began_s + max(
            self._duration_s, *(fault.ends_s for fault in self._plan)
        )
        asking = asyncio.create_task(
            self._callers.ask_until(faults_end_s + SETTLE_S + LAST_S)
        )
        changing = asyncio.create_task(
            self._operator.change_until(faults_end_s)
        )
        await asyncio.gather(*map(self._inject, self._plan))
        await asyncio.sleep(faults_end_s + SETTLE_S - time.monotonic())
        self._callers.are_faults_over = True
        await asyncio.gather(asking, changing)

    async def _inject(self, fault: faults.Fault) -> None:
        await asyncio.sleep(fault.at_s)
        self._callers.disturb(fault.target)
        from_ms = clock.WallClock().now_ms()
        if fault.kind in RELAYED:
            await self._relay(fault)
        else:
            await ACTIONS[fault.kind](self, fault)
        self._callers.disturb(fault.target)
        if fault.kind in RELAYED or fault.kind is faults.Kind.RESET:
            self._cuts.append(
                notices.Cut(
                    name=fault.target,
                    from_ms=from_ms,
                    until_ms=clock.WallClock().now_ms(),
                )
            )

    async def _relay(self, fault: faults.Fault) -> None:
        relayed = self._running.relays[fault.target]
        relayed.set_mode(RELAYED[fault.kind])
        await asyncio.sleep(fault.for_s)
        relayed.set_mode(relay.Mode.PASS)

    async def _reset(self, fault: faults.Fault) -> None:
        ends_s = time.monotonic() + fault.for_s
        while time.monotonic() < ends_s:
            self._running.relays[fault.target].reset_all()
            await asyncio.sleep(RESET_AGAIN_S)

    async def _kill(self, fault: faults.Fault) -> None:
        self._running.kill(fault.target)
        await asyncio.sleep(fault.for_s)
        self._running.start(fault.target)

    async def _kill_all_control(self, fault: faults.Fault) -> None:
        names = self._running.names('control')
        for name in names:
            self._running.kill(name)
        await asyncio.sleep(fault.for_s)
        for name in names:
            self._running.start(name)

    async def _freeze(self, fault: faults.Fault) -> None:
        self._running.signal(fault.target, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self._running.signal(fault.target, signal.SIGCONT)

    async def _stop(self, fault: faults.Fault) -> None:
        self._running.signal(fault.target, signal.SIGTERM)
        ends_s = time.monotonic() + PLANNED_STOP_S
        while self._running.is_running(fault.target):
            if time.monotonic() > ends_s:
                self._running.kill(fault.target)
            await asyncio.sleep(0.05)
        self._running.start(fault.target)

    async def _leave(self, fault: faults.Fault) -> None:
        known = len(self._lines(fault.target, 'left'))
        is_leaving = fault.kind is faults.Kind.LEAVE
        self._running.signal(
            fault.target, signal.SIGTERM if is_leaving else signal.SIGUSR1
        )
        ends_s = time.monotonic() + fault.for_s
        while len(self._lines(fault.target, 'left')) == known:
            if time.monotonic() > ends_s:
                break
            await asyncio.sleep(LEFT_POLL_S)
        else:
            if fault.loses_leader:
                left = self._lines(fault.target, 'left')[-1]
                await self._lose_leader(left['leader'])
        await asyncio.sleep(max(0, ends_s - time.monotonic()))
        self._running.kill(fault.target)
        self._running.start(fault.target)

    async def _lose_leader(self, address: str) -> None:
        number = self._running.api_addresses.index(address)
        name = self._running.names('control')[number]
        self._callers.disturb(name)
        self._running.kill(name)
        await asyncio.sleep(faults.LEADER_AWAY_S)
        self._running.start(name)

    def _lines(self, name: str, what: str) -> list[dict]:
        """Return what a backend server has written of one sort so far."""
        path = self._running.record_of(name)
        lines = path.read_text(encoding='utf-8').splitlines()
        found = [json.loads(line) for line in lines]
        return [one for one in found if one.pop('what') == what]

    async def _reload(self, fault: faults.Fault) -> None:
        self._running.signal(fault.target, signal.SIGHUP)

    async def _wipe(self, fault: faults.Fault) -> None:
        self._running.kill(fault.target)
        self._running.wipe(fault.target)
        await asyncio.sleep(fault.for_s)
        self._running.start(fault.target)

    async def _fill_disk(self, fault: faults.Fault) -> None:
        """Restart with a disk that is nearly full, then with a free one."""
        self._running.kill(fault.target)
        self._running.start(fault.target, is_disk_full=True)
        await asyncio.sleep(fault.for_s)
        self._running.kill(fault.target)
        self._running.start(fault.target)

    def _judge(self) -> Result:
        runs, late, told, arrivals = [], [], [], []
        for name in self._running.names('backend'):
            runs += [checks.Run(**one) for one in self._lines(name, 'run')]
            late += [checks.Late(**one) for one in self._lines(name, 'late')]
            told += [
                notices.Notice(**one) for one in self._lines(name, 'notice')
            ]
            arrivals += [
                notices.Arrival(**one) for one in self._lines(name, 'arrival')
            ]
        asked = self._callers.asked
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
        )
        found += notices.check(
            asked=asked,
            notices=told,
            arrivals=arrivals,
            disturbances=self._callers.disturbances,
            cuts=self._cuts,
        )
        return Result(
            seed=self._seed,
            found=(*found, *self._operator.faults),
            asked=len(asked),
            served=sum(one.status == 200 for one in asked),
            faults=tuple(
                f'{one.at_s:.2f}-{one.ends_s:.2f} {one.kind.value} '
                f'{one.target}{", leader lost" if one.loses_leader else ""}'
                for one in self._plan
            ),
            folder=str(self._running.folder),
        )


RELAYED = {
    faults.Kind.DELAY: relay.Mode.DELAY,
    faults.Kind.ONE_WAY: relay.Mode.ONE_WAY,
    faults.Kind.SILENT: relay.Mode.SILENT,
}
ACTIONS = {
    faults.Kind.KILL: Soak._kill,
    faults.Kind.FREEZE: Soak._freeze,
    faults.Kind.STOP: Soak._stop,
    faults.Kind.RELOAD: Soak._reload,
    faults.Kind.WIPE: Soak._wipe,
    faults.Kind.DISK_FULL: Soak._fill_disk,
    faults.Kind.RESET: Soak._reset,
    faults.Kind.KILL_ALL_CONTROL: Soak._kill_all_control,
    faults.Kind.LEAVE: Soak._leave,
    faults.Kind.VANISH: Soak._leave,
}


def run_seed(seed: int, duration_s: float, scale: int = 1) -> Result:
    """Run one soak; its folder is kept if it found something."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-')) / 'run'
    soak = Soak(seed=seed, folder=folder, duration_s=duration_s, scale=scale)
    try:
        result = asyncio.run(soak.run())
    except asyncio.TimeoutError:
        return Result(
            seed=seed,
            found=('the deployment did not start to serve',),
            asked=0,
            served=0,
            faults=(),
            folder=str(folder),
        )
    if not result.found:
        shutil.rmtree(folder.parent)
    return result


def _kept_soaks() -> list[tuple[int, float]]:
    """Return seeds that failed, with the seconds for which they ran."""
    with KEPT_SEEDS.open('rb') as file:
        kept = tomllib.load(file)['kept']
    return [(one['seed'], one.get('seconds', DURATION_S)) for one in kept]


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
        '--scale',
        type=int,
        default=1,
        help='how many times the usual gateways and backend servers',
    )
    arguments = parser.parse_args()
    soaks = _kept_soaks()
    if not arguments.kept:
        seeds = range(arguments.seed, arguments.seed + arguments.count)
        soaks = [(seed, arguments.seconds) for seed in seeds]
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
