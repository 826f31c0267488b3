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
# Backend servers that leave, soon after each other, early in a plan: they
# serve on for some seconds after control has acknowledged it.
LEAVINGS = 2
LEAVE_FIRST_S = (0.5, 2.0)
LEAVE_NEXT_S = (0.0, 0.4)
LEAVE_S = 9.0
# From telling a server to leave until the killed leader runs again.
LEADER_AWAY_S = 3.0


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
    # A control host is replaced for good by one at another address.
    REPLACE = 'replace'
    REPLACE_KILLED = 'replace_killed'
    # The server reports that it is leaving, or says at once that it is gone.
    LEAVE = 'leave'
    VANISH = 'vanish'


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


# What comes beside the rounds: nothing of it is the loss of a control host.
BESIDE_ROUNDS = {
    'control': (Kind.RELOAD,),
    'gateway': BY_ROLE['gateway'],
    'backend': (*BY_ROLE['backend'], Kind.LEAVE, Kind.VANISH),
}


@attrs.frozen(kw_only=True)
class Fault:
    """One fault, from ``at_s`` after the start of the plan.

    ``loses_leader`` is for servers that leave: the control host that led when
    this was acknowledged is killed at once.
    """

    at_s: float
    for_s: float
    kind: Kind
    target: str
    loses_leader: bool = False

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
            break
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
    return _with_leavings(planned, seed=seed, backends=targets['backend'])


def _with_leavings(
    planned: list[Fault], *, seed: int, backends: list[str]
) -> list[Fault]:
    """Add servers that leave, drawn apart so that older plans stay."""
    rng = random.Random(f'leave {seed}')
    at_s = rng.uniform(*LEAVE_FIRST_S)
    last_s = at_s + (LEAVINGS - 1) * LEAVE_NEXT_S[1]
    disturbed = {
        fault.target for fault in planned if fault.at_s < last_s + LEAVE_S
    }
    free = [name for name in backends if name not in disturbed]
    is_control_sound = not any(
        fault.target.startswith('control')
        and fault.at_s < last_s + LEADER_AWAY_S + CATCH_UP_S
        for fault in planned
    )
    leaving = []
    for name in rng.sample(free, min(LEAVINGS, len(free))):
        leaving.append(
            Fault(
                at_s=at_s,
                for_s=LEAVE_S,
                kind=rng.choice((Kind.LEAVE, Kind.VANISH)),
                target=name,
            )
        )
        at_s += rng.uniform(*LEAVE_NEXT_S)
    if leaving and is_control_sound:
        leaving[-1] = attrs.evolve(leaving[-1], loses_leader=True)
    return sorted([*planned, *leaving], key=lambda fault: fault.at_s)


def draw_beside(rng: random.Random, *, targets: dict[str, list[str]]) -> Fault:
    """Return a fault that may come beside any loss of a control host."""
    role = rng.choice(sorted(targets))
    kind = rng.choice(BESIDE_ROUNDS[role])
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    if kind in (Kind.LEAVE, Kind.VANISH):
        for_s = LEAVE_S
    return Fault(
        at_s=0.0, for_s=for_s, kind=kind, target=rng.choice(targets[role])
    )
