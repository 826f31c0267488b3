"""The faults of each trial and the instants at which they strike."""

from collections.abc import Callable

import attrs

from testing.trials import fleet as fleets

ZONE = 'zone-1'
CHANGES = 40


@attrs.frozen(kw_only=True)
class Step:
    """Something done to the fleet, ``at_s`` after the load began."""

    at_s: float
    name: str
    act: Callable[[fleets.Fleet], object]


@attrs.frozen(kw_only=True)
class Scenario:
    """A trial: what it shows, its steps and how long its load lasts.

    ``kills_entry`` is true where callers lose their connection by design.
    """

    shows: str
    steps: tuple[Step, ...]
    load_s: float = 25
    kills_entry: bool = False


def _restart(name: str):
    return lambda fleet: fleet.start_part(name)


def _kill(name: str):
    return lambda fleet: fleet.kill(name)


def _freeze(name: str):
    return lambda fleet: fleet.freeze(name)


def _thaw(name: str):
    return lambda fleet: fleet.thaw(name)


def _stop(name: str):
    return lambda fleet: fleet.stop_part(name)


def _operate(*arguments: str):
    return lambda fleet: fleet.operate(*arguments)


def _steps(*rows) -> tuple[Step, ...]:
    return tuple(
        Step(at_s=at_s, name=name, act=act) for at_s, name, act in rows
    )


def _restart_killed(fleet: fleets.Fleet) -> None:
    for part in fleet.by_role('control'):
        if not part.running:
            fleet.start_part(part.name)


def _change_often(fleet: fleets.Fleet) -> None:
    """Make many changes of configuration."""
    for number in range(CHANGES):
        order = 'out' if number % 2 == 0 else 'in'
        fleet.operate('backend', order, 'agent-engine-6')


SCENARIOS = {
    'no-fault': Scenario(shows='the same load without a fault', steps=()),
    'leader-killed': Scenario(
        shows='losing the leader refuses nothing',
        steps=_steps(
            (5, 'kill leader', lambda fleet: fleet.kill_leader()),
            (12, 'restart it', _restart_killed),
            (17, 'kill leader', lambda fleet: fleet.kill_leader()),
            (21, 'restart it', _restart_killed),
        ),
    ),
    'control-frozen': Scenario(
        shows='a silent control host harms nothing, nor does its return',
        steps=_steps(
            (4, 'freeze', _freeze('control-1')),
            (18, 'thaw', _thaw('control-1')),
        ),
    ),
    'zone-out-and-in': Scenario(
        shows='a zone leaves and returns under load',
        steps=_steps(
            (6, 'zone out', _operate('zone', 'out', ZONE, '--wait')),
            (16, 'zone in', _operate('zone', 'in', ZONE, '--wait')),
        ),
    ),
    'engine-killed': Scenario(
        shows='an engine dies after first tokens and returns',
        steps=_steps(
            (5, 'kill engine', _kill('engine-1')),
            (8, 'kill engine', _kill('engine-2')),
            (12, 'restart engine', _restart('engine-1')),
            (14, 'restart engine', _restart('engine-2')),
        ),
    ),
    'agent-killed': Scenario(
        shows='an agent dies with streams and calls under way',
        steps=_steps(
            (5, 'kill agent', _kill('agent-engine-1')),
            (6, 'kill agent', _kill('agent-service-1')),
            (10, 'restart agent', _restart('agent-engine-1')),
            (11, 'restart agent', _restart('agent-service-1')),
        ),
    ),
    'agent-frozen': Scenario(
        shows='an agent freezes past its lease and thaws',
        steps=_steps(
            (5, 'freeze agent', _freeze('agent-engine-1')),
            (6, 'freeze agent', _freeze('agent-service-1')),
            (13, 'thaw agent', _thaw('agent-engine-1')),
            (14, 'thaw agent', _thaw('agent-service-1')),
        ),
    ),
    'entry-killed': Scenario(
        shows='an entry dies; engines get their memory back',
        kills_entry=True,
        steps=_steps(
            (6, 'kill entry', _kill('entry-1')),
            (12, 'restart entry', _restart('entry-1')),
        ),
    ),
    'entry-frozen': Scenario(
        shows='an entry freezes past its lease and thaws',
        kills_entry=True,
        steps=_steps(
            (6, 'freeze entry', _freeze('entry-1')),
            (13, 'thaw entry', _thaw('entry-1')),
        ),
    ),
    'planned-stops': Scenario(
        shows='planned stops cut off nothing',
        steps=_steps(
            (4, 'stop agent', _stop('agent-engine-1')),
            (8, 'start agent', _restart('agent-engine-1')),
            (11, 'stop control', _stop('control-2')),
            (14, 'start control', _restart('control-2')),
            (16, 'stop agent', _stop('agent-service-1')),
            (19, 'start agent', _restart('agent-service-1')),
        ),
    ),
    'lost-disks': Scenario(
        shows='a second host is lost right after the repair of the first',
        load_s=40,
        steps=_steps(
            (5, 'lose disk', lambda fleet: fleet.lose_disk('control-3')),
            (7, 'repair', lambda fleet: fleet.repair('control-3')),
            (8, 'lose disk', lambda fleet: fleet.lose_disk('control-1')),
            (25, 'repair', lambda fleet: fleet.repair('control-1')),
        ),
    ),
    'control-restarted': Scenario(
        shows='all control hosts restart after many changes',
        load_s=60,
        steps=_steps(
            (2, 'many changes', _change_often),
            (45, 'restart', lambda fleet: fleet.restart_controls()),
        ),
    ),
}
