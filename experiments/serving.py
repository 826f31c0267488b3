"""Slowdown of short requests, and service while a zone leaves and returns.

Each arm starts a fleet of a profile's size with one routing policy and
sends the same seeded schedule twice: without long prompts and with them.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import threading
import time

import attrs

from shallothinge.load import profile
from shallothinge.load import report
from shallothinge.load import result
from shallothinge.settings import model as settings
from shallothinge.standin import model as standin
from testing import plan as plans
from testing.trials import fleet as fleets

ENGINE = standin.EngineOptions(
    models=(plans.MODEL_ID,),
    memory_tokens=300_000,
    prefill_tokens_per_s=20_000,
    step_ms=20,
)
UNBOUNDED = settings.AdmissionSettings(long_share_percent=100)


@attrs.frozen(kw_only=True)
class Arm:
    """Settings of the entries under one policy."""

    routing: settings.RoutingSettings = settings.RoutingSettings()
    admission: settings.AdmissionSettings = settings.AdmissionSettings()


ARMS = {
    'shallothinge': Arm(),
    'round robin, long prompts unbounded': Arm(
        routing=settings.RoutingSettings(policy='round_robin'),
        admission=UNBOUNDED,
    ),
    'random, long prompts unbounded': Arm(
        routing=settings.RoutingSettings(policy='random'),
        admission=UNBOUNDED,
    ),
}
SHORT_CLASSES = ('1k', '10k')
LONG_CLASSES = ('100k', '1M')
SETTLE_S = 4
ANSWER_S = 400


def start_fleet(
    *, folder: pathlib.Path, callers: profile.Profile, arm: str
) -> fleets.Fleet:
    """Start a fleet of the profile's size with an arm's settings."""
    plan = fleets.trial_plan(engines=callers.engines, entries=3)
    engines = tuple(
        attrs.evolve(engine, options=ENGINE) for engine in plan.engines
    )
    plan = attrs.evolve(
        plan,
        engines=engines,
        admission=ARMS[arm].admission,
        routing=ARMS[arm].routing,
    )
    fleet = fleets.Fleet(folder=folder, plan=plan)
    fleet.write_settings()
    fleet.start()
    time.sleep(SETTLE_S)
    return fleet


def send(
    fleet: fleets.Fleet,
    *,
    label: str,
    classes: tuple[str, ...],
    arguments: argparse.Namespace,
) -> dict[str, dict]:
    """Send the schedule, each class from a process of its own."""
    started = []
    for name in classes:
        options = (
            '--profile',
            arguments.profile,
            '--rate-per-s',
            str(arguments.rate_per_s),
            '--duration-s',
            str(arguments.duration_s),
            '--seed',
            str(arguments.seed),
            '--only',
            name,
        )
        started.append(
            fleet.start_load(name=f'{label}-{name}', arguments=options)
        )
    rows = {}
    for process, output in started:
        process.wait(arguments.duration_s + ANSWER_S)
        (run,) = json.loads(output.read_text(encoding='utf-8'))
        rows.update({row['kind_name']: row for row in run['summaries']})
    rows.pop('all', None)
    return rows


def _order(arguments: argparse.Namespace) -> list[tuple[str, tuple]]:
    """Return the parts of a slowdown run in the order asked for."""
    parts = [
        ('alone', SHORT_CLASSES),
        ('mixed', SHORT_CLASSES + LONG_CLASSES),
    ]
    return parts[::-1] if arguments.mixed_first else parts


def measure_slowdown(arm: str, arguments: argparse.Namespace) -> dict:
    """Send short requests without and with long ones; compare."""
    callers = profile.PROFILES[arguments.profile]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'fleet'
        fleet = start_fleet(folder=path, callers=callers, arm=arm)
        try:
            parts = {
                label: send(
                    fleet, label=label, classes=classes, arguments=arguments
                )
                for label, classes in _order(arguments)
            }
            held = fleet.wait_memory_free()
        finally:
            fleet.kill_all()
    alone = parts['alone']
    mixed = parts['mixed']
    ratios = {
        name: {
            percentile: round(
                mixed[name]['first_token_ms'][percentile]
                / alone[name]['first_token_ms'][percentile],
                3,
            )
            for percentile in ('p50', 'p99')
        }
        for name in SHORT_CLASSES
    }
    return {'alone': alone, 'mixed': mixed, 'ratio': ratios, 'held': held}


def measure_zone(arm: str, arguments: argparse.Namespace) -> dict:
    """Take a zone out for the middle third of the run and back again."""
    callers = profile.PROFILES[arguments.profile]
    third_s = arguments.duration_s / 3
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'fleet'
        fleet = start_fleet(folder=path, callers=callers, arm=arm)
        try:
            timers = [
                threading.Timer(
                    third_s * number,
                    fleet.operate,
                    ('zone', order, 'zone-1', '--wait'),
                )
                for number, order in ((1, 'out'), (2, 'in'))
            ]
            for timer in timers:
                timer.start()
            rows = send(
                fleet,
                label='zone',
                classes=SHORT_CLASSES + LONG_CLASSES,
                arguments=arguments,
            )
            held = fleet.wait_memory_free()
        finally:
            fleet.kill_all()
    return {'rows': rows, 'held': held}


MEASURES = {'slowdown': measure_slowdown, 'zone': measure_zone}


def write_report(path: pathlib.Path, measured: dict, arguments) -> None:
    """Write an HTML page with the arms side by side."""
    runs = []
    for arm, outcome in measured.items():
        for part, rows in outcome.items():
            if part not in ('alone', 'mixed', 'rows'):
                continue
            summaries = tuple(result.Summary(**row) for row in rows.values())
            runs.append(
                report.Run(
                    label=f'{arm} ({part})',
                    command=' '.join(sys.argv[1:]),
                    seed=arguments.seed,
                    summaries=summaries,
                )
            )
    report.write_html(path=path, title=arguments.measure, runs=tuple(runs))


def main() -> int:
    """Measure each arm and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('measure', choices=sorted(MEASURES))
    parser.add_argument('--profile', default=profile.MAKAZI_BORA.name)
    parser.add_argument('--rate-per-s', type=float, default=25.0)
    parser.add_argument('--duration-s', type=float, default=40.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--mixed-first', action='store_true', help='long prompts come first'
    )
    parser.add_argument('--arm', action='append', choices=list(ARMS))
    parser.add_argument('--output', type=pathlib.Path, metavar='JSON')
    parser.add_argument('--report', type=pathlib.Path, metavar='HTML')
    arguments = parser.parse_args()
    measured = {}
    for arm in arguments.arm or ARMS:
        measured[arm] = MEASURES[arguments.measure](arm, arguments)
        print(arm, _brief(measured[arm]), flush=True)
    if arguments.output:
        arguments.output.write_text(json.dumps(measured, indent=1))
    if arguments.report:
        write_report(arguments.report, measured, arguments)
    return 0


def _brief(outcome: dict) -> str:
    lines = []
    for part in ('alone', 'mixed', 'rows'):
        for name, row in outcome.get(part, {}).items():
            times = row['first_token_ms']
            lines.append(
                f'{part} {name}: {row["sent"]} sent {row["verdicts"]} '
                f'{row["error_codes"]} in time {row["in_time_percent"]} % '
                f'first token p50 {times.get("p50")} p99 {times.get("p99")}'
            )
    lines.append(f'ratio {outcome.get("ratio")} held {outcome["held"]}')
    return '\n  '.join(lines)


if __name__ == '__main__':
    sys.exit(main())
