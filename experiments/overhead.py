"""Overhead of the whole path against a direct call to the engine.

Sends the same prompts in turn to a stand-in engine directly and through
entry and agent, one at a time, and prints medians and their ratios.
"""

import argparse
import json
import pathlib
import statistics
import sys
import tempfile
import time
import urllib.request

import attrs

from testing import plan as plans
from testing.trials import fleet as fleets

WARM_UP = 5
PROMPT_BYTES = 4000
TOKENS = 50
TIMEOUT_S = 30


@attrs.frozen(kw_only=True)
class Timing:
    """Times of one streamed answer."""

    first_token_ms: float
    tokens_per_s: float


def read_stream(request: urllib.request.Request) -> Timing:
    """Send a request and time the events of its answer."""
    started_s = time.monotonic()
    arrivals_s = []
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        for line in response:
            if line.startswith(b'data:') and _has_token(line):
                arrivals_s.append(time.monotonic())
    first_s = arrivals_s[0]
    return Timing(
        first_token_ms=(first_s - started_s) * 1000,
        tokens_per_s=(TOKENS - 1) / (arrivals_s[-1] - first_s),
    )


def _has_token(line: bytes) -> bool:
    return (
        b'"tokens"' in line
        or b'"content": "' in line
        or (b'"content":"' in line)
    )


def _request(url: str, body: dict, headers: dict) -> urllib.request.Request:
    fields = {'Content-Type': 'application/json', **headers}
    return urllib.request.Request(
        url, data=json.dumps(body).encode(), headers=fields
    )


def direct(fleet: fleets.Fleet, number: int) -> Timing:
    """Ask the engine itself."""
    body = {
        'request_id': f'direct-{number}',
        'model': plans.MODEL_ID,
        'prompt': _prompt(f'direct {number}'),
        'max_tokens': TOKENS,
    }
    url = fleet.engine_urls[0] + '/v1/completions'
    return read_stream(_request(url, body, {}))


def whole_path(fleet: fleets.Fleet, number: int) -> Timing:
    """Ask an entry."""
    body = {
        'model': plans.MODEL_NAME,
        'messages': [{'role': 'user', 'content': _prompt(f'path {number}')}],
        'max_tokens': TOKENS,
        'stream': True,
    }
    key = fleet.api_keys['workspace-0'].key
    headers = {'Authorization': f'Bearer {key}'}
    url = fleet.entry_urls[0] + '/v1/chat/completions'
    return read_stream(_request(url, body, headers))


def _prompt(label: str) -> str:
    return (label + ' leaking tap ' * PROMPT_BYTES)[:PROMPT_BYTES]


def measure(fleet: fleets.Fleet, *, requests: int) -> dict:
    """Alternate between both ways; return medians and ratios."""
    timings = {'direct': [], 'path': []}
    for number in range(WARM_UP + requests):
        timings['direct'].append(direct(fleet, number))
        timings['path'].append(whole_path(fleet, number))
    medians = {
        way: {
            field.name: statistics.median(
                getattr(timing, field.name) for timing in taken[WARM_UP:]
            )
            for field in attrs.fields(Timing)
        }
        for way, taken in timings.items()
    }
    ratios = {
        name: value / medians['direct'][name]
        for name, value in medians['path'].items()
    }
    return {'requests': requests, 'medians': medians, 'ratio': ratios}


def main() -> int:
    """Start a fleet of one engine, measure and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=50)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(
            folder=pathlib.Path(folder) / 'fleet',
            plan=fleets.trial_plan(engines=1, entries=1),
        )
        fleet.write_settings()
        try:
            fleet.start()
            measured = measure(fleet, requests=arguments.requests)
        finally:
            fleet.kill_all()
    print(json.dumps(measured))
    return 0


if __name__ == '__main__':
    sys.exit(main())
