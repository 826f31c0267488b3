"""Which faults come when: a plan drawn from a seed."""

import enum
import random

import attrs

# Faults begin once the deployment serves, and are over before the last
# requests are sent.
MOST_PAUSE_S = 1.2
SHORTEST_S = 0.3
LONGEST_S = 3.0
# A replaced control host takes this long to hold all and get its vote.
CATCH_UP_S = 4.0


class Kind(enum.Enum):
    """What is done to a process or to the connections to it."""

    KILL = 'kill'
    FREEZE = 'freeze'
    STOP = 'stop'
    RELOAD = 'reload'
    WIPE = 'wipe'
    DISK_FULL = 'disk_full'
    DELAY = 'delay'
    ONE_WAY = 'one_way'
    SILENT = 'silent'
    RESET = 'reset'
    KILL_ALL_CONTROL = 'kill_all_control'


BY_ROLE = {
    'control': (
        Kind.KILL,
        Kind.FREEZE,
        Kind.STOP,
        Kind.RELOAD,
        Kind.WIPE,
        Kind.DISK_FULL,
        Kind.KILL_ALL_CONTROL,
    ),
    'gateway': (Kind.KILL, Kind.FREEZE, Kind.STOP, Kind.RELOAD),
    'backend': (
        Kind.KILL,
        Kind.FREEZE,
        Kind.DELAY,
        Kind.ONE_WAY,
        Kind.SILENT,
        Kind.RESET,
    ),
}


@attrs.frozen(kw_only=True)
class Fault:
    """One fault, from ``at_s`` after the start of the plan."""

    at_s: float
    for_s: float
    kind: Kind
    target: str

    @property
    def ends_s(self) -> float:
        """Return when it is over."""
        return self.at_s + self.for_s


def draw_plan(
    *, seed: int, targets: dict[str, list[str]], duration_s: float
) -> list[Fault]:
    """Return faults in the order of their begin; they may overlap.

    One process has one fault at a time, and of the control hosts one is
    faulty at a time, as more than that is not to be borne.

    :param targets: names of processes by role.
    """
    rng = random.Random(seed)
    planned: list[Fault] = []
    free_s: dict[str, float] = {}
    at_s = 0.0
    while True:
        at_s += rng.uniform(0.0, MOST_PAUSE_S)
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        if at_s + for_s > duration_s:
            return planned
        role = rng.choice(sorted(targets))
        target = rng.choice(targets[role])
        kind = rng.choice(BY_ROLE[role])
        group = 'control' if role == 'control' else target
        if free_s.get(group, 0.0) > at_s:
            continue
        fault = Fault(at_s=at_s, for_s=for_s, kind=kind, target=target)
        planned.append(fault)
        recovery_s = CATCH_UP_S if role == 'control' else 0.0
        free_s[group] = fault.ends_s + recovery_s
