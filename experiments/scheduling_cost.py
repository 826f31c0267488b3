"""Measures what decisions on the order of waiting requests cost.

Prints the mean time of each operation, for queues in which all requests can
be in time, half of them, or none, while other gateways report as well. The
slots of all servers are in use by the same workspaces.

    python -m experiments.scheduling_cost [--waiting N] [--servers N]
"""

import argparse
from collections.abc import Callable
import itertools
import random
import time

from shallothinge import clock as clocks
from shallothinge.scheduling import demand
from shallothinge.scheduling import messages
from shallothinge.scheduling import model
from shallothinge.scheduling import queue
from shallothinge.scheduling import shares
from shallothinge.scheduling import turn

SEED = 1
SERVICE = 'chat'
URGENCIES = 3
SLOTS_PER_SERVER = 6
PEERS = 23
ROUNDS = 2000
NS_PER_US = 1000
LATE_SHARES = (0.0, 0.5, 1.0)
WORKSPACES = (4, 20, 64)
TIME_LIMIT_MS = 60_000


class Load:
    """A queue under load.

    :param late_share: share of the requests that can't be in time.
    """

    def __init__(
        self, *, waiting: int, servers: int, workspaces: int, late_share: float
    ):
        self._rng = random.Random(SEED)
        self._late_share = late_share
        self._workspaces = [f'workspace-{one}' for one in range(workspaces)]
        self.clock = clocks.ManualClock(start_ms=TIME_LIMIT_MS)
        self._used = dict.fromkeys(
            ((SERVICE, one) for one in self._workspaces), 0.0
        )
        # The peers use the slots of the other servers.
        for _ in range(servers * SLOTS_PER_SERVER // (1 + PEERS)):
            self._used[SERVICE, self._rng.choice(self._workspaces)] += 1
        self.peers = demand.PeerDemand(clock=self.clock)
        self.queue = queue.WaitQueue(
            clock=self.clock,
            shares=shares.WorkspaceShares(in_use=self._all_in_use),
            peer_demand=self.peers,
            own_id='own',
        )
        self.reporter = demand.DemandReporter(
            clock=self.clock, queue=self.queue, in_use=lambda: self._used
        )
        self.queue.on_change = self.reporter.record_change
        self._sequences = itertools.count()
        self.ids = [self.queue.join(self._request()) for _ in range(waiting)]
        for index in range(PEERS):
            self.receive(index)

    def _all_in_use(self) -> dict[tuple[str, str], float]:
        total = dict(self.peers.in_use())
        for key, slots in self._used.items():
            total[key] = total.get(key, 0.0) + slots
        return total

    def _request(self) -> model.WaitingRequest:
        now_ms = self.clock.now_ms()
        is_late = self._rng.random() < self._late_share
        due_in_ms = self._rng.randint(1, TIME_LIMIT_MS)
        return model.WaitingRequest(
            service=SERVICE,
            urgency=self._rng.randrange(URGENCIES),
            workspace=self._rng.choice(self._workspaces),
            due_ms=now_ms - due_in_ms if is_late else now_ms + due_in_ms,
            abandon_ms=now_ms + self._rng.randint(1, 2 * TIME_LIMIT_MS),
            min_service_ms=0.0,
        )

    def receive(self, index: int) -> None:
        """Receive a report of one of the peers."""
        start_by_in_ms = [
            self._rng.randint(-TIME_LIMIT_MS, TIME_LIMIT_MS)
            for _ in range(messages.MAX_ENTRIES_PER_SERVICE)
        ]
        report = messages.DemandReported(
            sequence=next(self._sequences),
            waiting=tuple(
                (SERVICE, one % URGENCIES, one % 2 == 0, one, TIME_LIMIT_MS)
                for one in start_by_in_ms
            ),
            in_use=tuple(
                (*key, slots + index % 2, True)
                for key, slots in self._used.items()
            ),
            granted=((SERVICE, next(self._sequences), 0),),
        )
        self.peers.apply_report(report, peer_id=f'peer-{index}')

    def decide(self) -> None:
        """Decide whether any one request may take one of some free slots."""
        waiting_id = self._rng.choice(self.ids)
        first = self.queue.first(SERVICE, SLOTS_PER_SERVER)
        turn.wait_ms(
            position=(
                first.index(waiting_id) if waiting_id in first else len(first)
            ),
            yield_ms=self.queue.yield_ms(waiting_id),
            own_count=SLOTS_PER_SERVER,
            next_turn_in_ms=None,
            oldest_ms=0,
        )

    def replace(self) -> None:
        """Place one request; another one arrives."""
        index = self._rng.randrange(len(self.ids))
        self.queue.granted(self.ids[index])
        self.ids[index] = self.queue.join(self._request())

    def replace_and_decide(self) -> None:
        """Decide after a request was placed and another one has arrived."""
        self.replace()
        self.decide()

    def receive_and_decide(self) -> None:
        """Decide after a report has arrived."""
        self.receive(self._rng.randrange(PEERS))
        self.decide()

    def pass_time_and_decide(self) -> None:
        """Decide 1 ms later."""
        self.clock.advance(duration_ms=1)
        self.decide()

    def report(self) -> None:
        """Build a report."""
        self.reporter.report(complete=True)

    def order(self) -> None:
        """Return all requests in order."""
        self.queue.ranked(SERVICE)

    def first(self) -> None:
        """Return the first requests in order."""
        self.queue.first(SERVICE, SLOTS_PER_SERVER)


def measure_us(call: Callable[[], None], *, rounds: int) -> float:
    """Return the mean time of a call in microseconds."""
    started_ns = time.perf_counter_ns()
    for _ in range(rounds):
        call()
    return (time.perf_counter_ns() - started_ns) / rounds / NS_PER_US


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--waiting', type=int, default=1000)
    parser.add_argument('--servers', type=int, default=1000)
    options = parser.parse_args()
    print('workspaces  late  operation              mean us')
    for workspaces, late_share in itertools.product(WORKSPACES, LATE_SHARES):
        load = Load(
            waiting=options.waiting,
            servers=options.servers,
            workspaces=workspaces,
            late_share=late_share,
        )
        for call, rounds in (
            (load.decide, ROUNDS),
            (load.replace, ROUNDS),
            (load.replace_and_decide, ROUNDS),
            (load.receive_and_decide, ROUNDS),
            (load.report, ROUNDS),
            (load.first, ROUNDS),
            (load.order, ROUNDS // 100),
            (load.pass_time_and_decide, demand.DEMAND_TTL_MS),
        ):
            mean_us = measure_us(call, rounds=rounds)
            name = call.__name__
            print(
                f'{workspaces:10}  {late_share:4}  {name:21}  {mean_us:7.1f}'
            )


if __name__ == '__main__':
    main()
