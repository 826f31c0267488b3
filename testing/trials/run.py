"""Runs trials: load, faults, and a count of what became of each request.

Prints one line a trial. Exits 0 only if nothing was lost, wrong,
doubled or untruthful and no engine holds memory afterwards.
"""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile
import time

import attrs

from testing.trials import bookings
from testing.trials import fleet as fleets
from testing.trials import scenarios

WARM_UP_S = 2


@attrs.frozen(kw_only=True)
class TrialResult:
    """What a trial showed."""

    scenario: str
    seed: int
    command: str
    steps: dict[str, float]
    chats: dict[str, dict]
    calls: bookings.Verdict
    held_tokens_after: int
    exit_statuses: dict[str, int]
    passed: bool


def run_trial(*, name: str, seed: int, rate_per_s: float) -> TrialResult:
    """Run one trial on a deployment of its own."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'trial-{name}-'))
    fleet = fleets.Fleet(folder=folder / 'fleet', plan=fleets.trial_plan())
    fleet.write_settings()
    try:
        fleet.start()
        result = _run_on(fleet, name, seed, rate_per_s)
    except BaseException:
        print(f'logs are in {folder}', file=sys.stderr)
        raise
    finally:
        fleet.kill_all()
    if result.passed:
        shutil.rmtree(folder)
    else:
        print(f'logs are in {folder}', file=sys.stderr)
    return result


def _run_on(fleet, name, seed, rate_per_s) -> TrialResult:
    scenario = scenarios.SCENARIOS[name]
    booked = bookings.Bookings(
        urls=fleet.entry_urls,
        api_key=fleet.api_keys['workspace-0'].key,
        rate_per_s=rate_per_s,
        seed=seed,
    )
    process, output = fleet.start_load(
        name='load',
        arguments=(
            '--rate-per-s',
            str(rate_per_s),
            '--duration-s',
            str(scenario.load_s),
            '--seed',
            str(seed),
        ),
    )
    time.sleep(WARM_UP_S)
    booked.start()
    steps = _strike(fleet, scenario)
    process.wait(scenario.load_s + 120)
    booked.stop()
    chats = _chats(output)
    held = fleet.wait_memory_free()
    calls = booked.verdict(fleet)
    return TrialResult(
        scenario=name,
        seed=seed,
        command=' '.join(sys.argv[1:]),
        steps=steps,
        chats=chats,
        calls=calls,
        held_tokens_after=held,
        exit_statuses=fleet.stop(),
        passed=_passed(scenario, chats, calls, held),
    )


def _strike(fleet, scenario) -> dict[str, float]:
    """Carry out the steps; return how long each took in seconds."""
    started_s = time.monotonic()
    durations = {}
    for step in scenario.steps:
        time.sleep(max(0, started_s + step.at_s - time.monotonic()))
        begun_s = time.monotonic()
        step.act(fleet)
        taken_s = round(time.monotonic() - begun_s, 3)
        durations[f'{step.at_s} s {step.name}'] = taken_s
        print(f'{step.name} took {taken_s} s', file=sys.stderr)
    return durations


def _chats(output: pathlib.Path) -> dict[str, dict]:
    (run,) = json.loads(output.read_text(encoding='utf-8'))
    return {row.pop('kind_name'): row for row in run['summaries']}


def _passed(scenario, chats, calls, held) -> bool:
    verdicts = chats['all']['verdicts']
    wrong = verdicts.get('wrong', 0)
    lost = 0 if scenario.kills_entry else verdicts.get('lost', 0)
    bad_calls = (
        calls.doubled + calls.refused_but_run + calls.answered_but_not_run
    )
    return not (wrong or lost or bad_calls or held)


def _line(result: TrialResult) -> str:
    """Return what a trial came to, in one line."""
    chats = result.chats['all']
    calls = attrs.asdict(result.calls)
    short_ms = result.chats['1k']['first_token_ms'].get('p99')
    verdict = 'passed' if result.passed else 'FAILED'
    return (
        f'{verdict} {result.scenario}: {chats["sent"]} prompts '
        f'{chats["verdicts"]} {chats["error_codes"]}, in time '
        f'{chats["in_time_percent"]} %, 1k first token p99 {short_ms} ms; '
        f'calls {calls}; held after {result.held_tokens_after}; '
        f'steps {result.steps}'
    )


def main() -> int:
    """Run the trials that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'names', nargs='*', default=list(scenarios.SCENARIOS), metavar='TRIAL'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rate-per-s', type=float, default=15.0)
    parser.add_argument('--output', type=pathlib.Path, metavar='JSON')
    arguments = parser.parse_args()
    passed = True
    results = []
    for name in arguments.names:
        result = run_trial(
            name=name, seed=arguments.seed, rate_per_s=arguments.rate_per_s
        )
        print(_line(result), flush=True)
        results.append(attrs.asdict(result))
        passed = passed and result.passed
    if arguments.output:
        arguments.output.write_text(json.dumps(results, indent=1))
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
