"""Seconds until a change is in force, and cost of control, by fleet size.

Starts fleets of growing size without load, takes a zone out and back
several times, then lets the fleet idle and reads what each role uses.
"""

import argparse
import json
import pathlib
import statistics
import sys
import tempfile
import time

from experiments import proc
from shallothinge.load import result
from shallothinge.operators import messages
from shallothinge.operators import terminal as terminals
from shallothinge.settings import load as settings_files
from shallothinge.settings import model
from testing.trials import fleet as fleets

SIZES = (3, 6, 12, 24)
ROLES = ('control', 'entry', 'agent')
IDLE_S = 10
SETTLE_S = 4
TIMEOUT_MS = 20_000


def change_times_ms(fleet: fleets.Fleet, *, changes: int) -> list[float]:
    """Take a zone out and in; return how long each took to be in force."""
    path = fleet.folder / 'operator-first.toml'
    settings = settings_files.read(path=path, file_type=model.OperatorSettings)
    times_ms = []

    async def act(terminal):
        for number in range(changes):
            started_s = time.monotonic()
            answer = await terminal.ask(
                messages.SetZone(
                    order_id=terminals.new_id(),
                    operator=terminal.operator,
                    zone='zone-1',
                    out=number % 2 == 0,
                )
            )
            await terminal.wait_in_force(state_version=answer.state_version)
            times_ms.append((time.monotonic() - started_s) * 1000)
        return 0

    terminals.run(
        settings=settings,
        folder=fleet.folder,
        timeout_ms=TIMEOUT_MS,
        action=act,
    )
    return times_ms


def idle_costs(fleet: fleets.Fleet) -> dict[str, dict[str, float]]:
    """Return the mean use of a process of each role while idle."""
    before = _read_all(fleet)
    time.sleep(IDLE_S)
    after = _read_all(fleet)
    costs = {}
    for role in ROLES:
        names = [part.name for part in fleet.by_role(role)]
        costs[role] = _costs_of(names, before=before, after=after)
    leader = fleet.find_leader().name
    costs['leader'] = _costs_of([leader], before=before, after=after)
    return costs


def _costs_of(
    names: list[str],
    *,
    before: dict[str, proc.Usage],
    after: dict[str, proc.Usage],
) -> dict[str, float]:
    """Return the mean use of the named processes between two readings."""
    pairs = [(before[name], after[name]) for name in names]
    return {
        'cpu_percent': _mean_rate(pairs, 'cpu_s') * 100,
        'memory_mb': statistics.mean(
            later.memory_bytes / 1e6 for _, later in pairs
        ),
        'control_bytes_per_s': _mean_rate(pairs, 'control_bytes'),
        'control_messages_per_s': _mean_rate(pairs, 'control_messages'),
    }


def _read_all(fleet: fleets.Fleet) -> dict[str, proc.Usage]:
    return {
        part.name: proc.read_usage(part)
        for role in ROLES
        for part in fleet.by_role(role)
    }


def _mean_rate(pairs, field: str) -> float:
    return statistics.mean(
        (getattr(later, field) - getattr(earlier, field)) / IDLE_S
        for earlier, later in pairs
    )


def measure(*, engines: int, changes: int) -> dict:
    """Measure one fleet size."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(
            folder=pathlib.Path(folder) / 'fleet',
            plan=fleets.trial_plan(engines=engines),
        )
        fleet.write_settings()
        try:
            fleet.start()
            time.sleep(SETTLE_S)
            costs = idle_costs(fleet)
            times_ms = change_times_ms(fleet, changes=changes)
        finally:
            fleet.kill_all()
    holders = engines + len(fleet.plan.services) + fleet.plan.entries
    return {
        'holders': holders,
        'in_force_ms': result.percentiles(times_ms),
        'idle': costs,
    }


def main() -> int:
    """Measure one fleet size, given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=SIZES[0])
    parser.add_argument('--changes', type=int, default=20)
    arguments = parser.parse_args()
    measured = measure(engines=arguments.engines, changes=arguments.changes)
    print(json.dumps(measured))
    return 0


if __name__ == '__main__':
    sys.exit(main())
