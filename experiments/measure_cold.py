"""Measures whether a cold engine gets more than it can carry.

Three callers ask one agent for streams at random times, as entries would.
Half way through, the engine turns cold without a restart. The same run is
made once with the agent's cold limit and once without it (a cold limit as
large as the memory), and both are printed as JSON.
"""

import argparse
import json
import pathlib
import random
import tempfile

import attrs
from twisted.internet import defer
from twisted.internet import task

from experiments import measure_agent
from shallothinge.standin import model as standin
from testing import deployment
from testing import plan as plans

CALLERS = 3
RUN_S = 16
REQUESTS_PER_S = 30
PROMPT_SIZES_TOKENS = (500, 1000, 2000, 6000)
ANSWER_TOKENS = 32
WARM_S = 6


@attrs.frozen(kw_only=True)
class Row:
    """One run; ``falls`` counts how often the engine fell over."""

    name: str
    agent_cold_limit_tokens: int
    sent: int
    finished: int
    refused: int
    failed: int
    falls: int
    peak_cold_tokens: int
    engine_cold_limit_tokens: int


def make_plan(*, options: standin.EngineOptions, limit_tokens: int):
    """Return one engine with its agent, and no entries."""
    engine = plans.EnginePlan(
        zone='zone-1',
        options=options,
        agent={'cold_limit_tokens': limit_tokens},
    )
    return plans.Plan(controls=1, entries=0, engines=(engine,))


@defer.inlineCallbacks
def run_load(reactor, running, *, seed: int):
    """Send the load and turn the engine cold; fires with the callers."""
    rng = random.Random(seed)
    agent = running.by_role('agent')[0]
    callers = [
        measure_agent.Caller(
            reactor=reactor,
            folder=running.folder,
            address=agent.address,
            name=f'entry-{number}',
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        yield measure_agent.until(reactor, lambda c=caller: c.statuses)
    yield measure_agent.pause(reactor, WARM_S)
    sent = 0
    for number in range(RUN_S * REQUESTS_PER_S):
        if number == RUN_S * REQUESTS_PER_S // 2:
            url = running.engine_urls[0]
            deployment.post_json(f'{url}/faults', {'turn_cold': True})
        sent += rng.choice(callers).start(
            f'cold-{number}',
            prompt_tokens=rng.choice(PROMPT_SIZES_TOKENS),
            max_tokens=ANSWER_TOKENS,
        )
        yield measure_agent.pause(reactor, rng.expovariate(REQUESTS_PER_S))
    yield measure_agent.until(
        reactor,
        lambda: sum(c.finished + c.refused + c.failed for c in callers)
        >= sent,
    )
    for caller in callers:
        caller.close()
    return sent, callers


@defer.inlineCallbacks
def measure(reactor, *, name: str, limit_tokens: int, seed: int):
    """Fires with the row of one run."""
    options = standin.EngineOptions(models=(plans.MODEL_ID,))
    with tempfile.TemporaryDirectory() as scratch:
        running = deployment.Deployment(
            folder=pathlib.Path(scratch) / 'run',
            plan=make_plan(options=options, limit_tokens=limit_tokens),
        )
        try:
            running.write_settings()
            running.start()
            sent, callers = yield run_load(reactor, running, seed=seed)
            url = running.engine_urls[0]
            counters = deployment.get_json(f'{url}/counters')
        finally:
            running.kill_all()
    return Row(
        name=name,
        agent_cold_limit_tokens=limit_tokens,
        sent=sent,
        finished=sum(caller.finished for caller in callers),
        refused=sum(caller.refused for caller in callers),
        failed=sum(caller.failed for caller in callers),
        falls=counters['falls'],
        peak_cold_tokens=counters['peak_cold_tokens'],
        engine_cold_limit_tokens=options.cold_limit_tokens,
    )


@defer.inlineCallbacks
def _run(reactor, seed: int):
    options = standin.EngineOptions()
    rows = []
    for name, limit_tokens in (
        ('cold limit', options.cold_limit_tokens // 2),
        ('no cold limit', options.memory_tokens),
    ):
        row = yield measure(
            reactor, name=name, limit_tokens=limit_tokens, seed=seed
        )
        rows.append(attrs.asdict(row))
    print(json.dumps({'seed': seed, 'rows': rows}, indent=2))


def main() -> None:
    """Run the measurement and print both rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    task.react(_run, (arguments.seed,))


if __name__ == '__main__':
    main()
