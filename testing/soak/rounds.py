"""Control hosts that are replaced, lose their disks or stop, in series.

Of three control hosts one is lost at a time. A host is lost while it is down
and for some seconds after it is back; one that was replaced, until its
successor has had as long. Whatever is no loss may come meanwhile.
"""

import asyncio
from collections.abc import Callable
import random
import time

import attrs

from testing.soak import callers
from testing.soak import deployment
from testing.soak import faults
from testing.soak import injection
from testing.soak import operator

# Kinds of a round and how often each is drawn; the last round is mostly the
# loss of a disk, as that shows who is counted that is gone.
WEIGHTS = {
    faults.Kind.REPLACE: 5,
    faults.Kind.REPLACE_KILLED: 2,
    faults.Kind.WIPE: 3,
    faults.Kind.KILL: 1,
    faults.Kind.FREEZE: 1,
    faults.Kind.STOP: 1,
    faults.Kind.DISK_FULL: 1,
    faults.Kind.KILL_ALL_CONTROL: 1,
}
# Each may take a new address.
MOST_ROUNDS = deployment.MOST_CONTROL - deployment.CONTROL_COUNT
LAST_WIPE_SHARE = 0.7
LEADER_SHARE = 0.6
KILLS_OTHERS_SHARE = 0.3
AFTER_ACKNOWLEDGEMENT_SHARE = 0.5
# From the start of a successor to the planned stop of the host that goes.
LAG_S = (0.0, 6.0)
# For a process to listen; it takes about a second on an idle machine.
START_S = 40.0
# From the end of a loss to the next round.
GAP_S = (0.0, 5.0)
# All processes that are killed at the same moment are back soon.
ALL_DOWN_S = (0.3, 1.0)
SUCCESSOR_AFTER_S = 1.0
# From a change of the list of control hosts to the last reload.
SEED_LAG_S = 3.0
# From when all hosts are back until orders and callers are served again:
# with a majority that was up all the while, the time to catch up and to
# propagate; otherwise the time to recover.
SERVED_S = faults.CATCH_UP_S + operator.PROPAGATION_MS / 1000
RECOVERED_S = 12.0
POLL_S = 0.05
ROLE_LINE = 'role in the replicated log changed'


@attrs.frozen(kw_only=True)
class Round:
    """One loss of a control host and the time until the next may come.

    ``lag_s`` is the time for which a successor runs before a planned stop,
    ``reload_s`` the time until processes are told who serves control now.
    ``kills_others`` is for lost disks: all other processes are killed at the
    same moment, and keep their disks.
    """

    kind: faults.Kind
    is_leader: bool
    is_after_acknowledgement: bool
    kills_others: bool
    down_s: float
    lag_s: float
    gap_s: float
    reload_s: float

    @property
    def served_s(self) -> float:
        """Return how long it may take until all is served again."""
        keeps_majority = not (
            self.kills_others or self.kind is faults.Kind.KILL_ALL_CONTROL
        )
        return SERVED_S if keeps_majority else RECOVERED_S


def draw(*, seed: int, count: int) -> list[Round]:
    """Return the rounds of a soak."""
    rng = random.Random(f'rounds {seed}')
    drawn = []
    for number in range(count):
        kind = rng.choices([*WEIGHTS], [*WEIGHTS.values()])[0]
        if rng.random() < LAST_WIPE_SHARE and number == count - 1:
            kind = faults.Kind.WIPE
        kills_others = rng.random() < KILLS_OTHERS_SHARE
        kills_others = kills_others and kind is faults.Kind.WIPE
        down_s = rng.uniform(faults.SHORTEST_S, faults.LONGEST_S)
        all_down_s = rng.uniform(*ALL_DOWN_S)
        drawn.append(
            Round(
                kind=kind,
                is_leader=rng.random() < LEADER_SHARE,
                is_after_acknowledgement=rng.random()
                < AFTER_ACKNOWLEDGEMENT_SHARE,
                kills_others=kills_others,
                down_s=all_down_s if kills_others else down_s,
                lag_s=rng.uniform(*LAG_S),
                gap_s=rng.uniform(*GAP_S),
                reload_s=rng.uniform(0.0, SEED_LAG_S),
            )
        )
    return drawn


class Rounds:
    """Plays rounds one after the other.

    :param note: told of each event, in words.
    """

    def __init__(
        self,
        *,
        running: deployment.Deployment,
        callers: callers.Callers,
        operator: operator.Operator,
        injection: injection.Injection,
        note: Callable[[str], None],
        rng: random.Random,
    ):
        self._running = running
        self._callers = callers
        self._operator = operator
        self._injection = injection
        self._note = note
        self._rng = rng
        self._reloads: set[asyncio.Task] = set()

    async def play(self, drawn: list[Round]) -> None:
        """Play all, or until control does not come back in time."""
        for one in drawn:
            if one.is_after_acknowledgement:
                await self._operator.wait_for_acknowledgement()
            started_s = await self._lose(one)
            back_s = time.monotonic()
            self._note('all hosts are back')
            if not await self._wait_until_served(back_s, one.served_s):
                break
            sound_s = max(
                back_s, started_s + faults.CATCH_UP_S, time.monotonic()
            )
            await asyncio.sleep(sound_s + one.gap_s - time.monotonic())
        await asyncio.gather(*self._reloads)

    async def _lose(self, one: Round) -> float:
        """Lose a host; return when it, or its successor, was back."""
        if one.kind is faults.Kind.REPLACE:
            return await self._replace(one)
        name = self._choose(one, self._running.names('control'))
        self._note(f'{one.kind.value} {name}')
        if one.kind is faults.Kind.REPLACE_KILLED:
            await self._running.kill(name)
            self._running.remove_control(name)
            await asyncio.sleep(SUCCESSOR_AFTER_S)
            await self._start_successor(one)
        elif one.kills_others:
            await self._kill_all_and_wipe(one, name)
        else:
            await self._injection.inject(
                faults.Fault(
                    at_s=0.0, for_s=one.down_s, kind=one.kind, target=name
                )
            )
        for each in self._running.names('control'):
            await self._wait_until_listening(each)
        return time.monotonic()

    async def _replace(self, one: Round) -> float:
        former = self._running.names('control')
        successor = await self._start_successor(one)
        started_s = time.monotonic()
        await asyncio.sleep(one.lag_s)
        if one.is_after_acknowledgement:
            await self._operator.wait_for_acknowledgement()
        name = self._choose(one, former)
        self._note(f'replace {name} by {successor}: SIGTERM')
        await self._injection.end(name)
        self._running.remove_control(name)
        self._list_seeds(one)
        return started_s

    async def _start_successor(self, one: Round) -> str:
        name = self._running.add_control()
        self._list_seeds(one)
        await self._running.start(name)
        self._note(f'{name} starts with an empty disk')
        await self._wait_until_listening(name)
        return name

    async def _wait_until_listening(self, name: str) -> None:
        """Wait until a process has started, which load may hold up."""
        host, _, port = self._running.api_address_of(name).rpartition(':')
        ends_s = time.monotonic() + START_S
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                if time.monotonic() > ends_s:
                    self._operator.faults.append(
                        f'{name} does not start: '
                        f'{self._running.parts[name].process.poll()}'
                    )
                    return
                await asyncio.sleep(POLL_S)
            else:
                writer.close()
                return

    async def _kill_all_and_wipe(self, one: Round, name: str) -> None:
        self._note('all other processes are killed')
        gateways = self._running.names('gateway')
        everyone = [*self._running.names('control'), *gateways]
        for each in everyone:
            self._callers.disturb(each)
        await asyncio.gather(*map(self._running.kill, everyone))
        self._running.wipe(name)
        await asyncio.sleep(one.down_s)
        await asyncio.gather(*map(self._running.start, everyone))
        for each in everyone:
            self._callers.disturb(each)

    def _list_seeds(self, one: Round) -> None:
        """Name some of the present hosts in all settings, as operators do."""
        addresses = self._running.api_addresses
        seeds = self._rng.sample(addresses, deployment.SEED_COUNT)
        self._running.list_seeds(tuple(seeds))
        task = asyncio.create_task(self._reload_after(one.reload_s))
        self._reloads.add(task)

    async def _reload_after(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._running.reload()
        self._note('all were told to reload')

    def _choose(self, one: Round, names: list[str]) -> str:
        leader = self._leader()
        if one.is_leader and leader in names:
            return leader
        return self._rng.choice([name for name in names if name != leader])

    def _leader(self) -> str:
        """Return the control host that was elected last, by its log."""
        terms = {
            line['term']: name
            for name in self._running.names('control')
            for line in self._running.log_lines(name, ROLE_LINE)
            if line['role_in_log'] == 'leader'
        }
        return terms[max(terms)]

    async def _wait_until_served(self, since_s: float, limit_s: float) -> bool:
        """Wait for an order, a read and a caller that are served again."""
        ends_s = since_s + limit_s
        while True:
            seen = {
                'order acknowledged': self._operator.acknowledged_s,
                'configuration read': self._operator.read_s,
                'caller served': self._callers.served_s,
            }
            missing = [what for what, at_s in seen.items() if at_s < since_s]
            if not missing:
                self._note('served again')
                return True
            if time.monotonic() > ends_s:
                break
            await asyncio.sleep(POLL_S)
        self._operator.faults.append(
            f'{limit_s:g} s after the hosts were back: '
            f'no {", no ".join(missing)}'
        )
        return False
