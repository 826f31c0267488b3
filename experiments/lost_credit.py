"""Adds up from gateways' logs what callers lost, by cause.

    python -m experiments.lost_credit day.log --pauses 300=250 1500=600

Lines may begin with a time and a host's name, as a bench prints them. Each
request counts by what a late answer to it weighs (``placement.pricing``): a
late answer loses that module's share of it, one that is not served all. A
request that came back after a refusal or a cut is a new one here.
"""

import argparse
import collections
import json
import pathlib
import sys

from shallothinge.placement import pricing

UNSERVED = {
    'caller_gone': 'caller left',
    'overloaded': 'refused, no room',
    'no_backend_server': 'refused, no server',
    'no_lease': 'refused, no lease',
    'stopping': 'refused, stopping',
    'deadline_exceeded': 'deadline passed',
    'deadline_unreachable': 'deadline passed',
}
NOT_OWED = ('not_found', 'unauthenticated')


def read_lines(path: pathlib.Path):
    """Yield the objects of the log lines that end a request."""
    with path.open(encoding='utf-8', errors='replace') as file:
        for line in file:
            begin = line.find('{')
            if begin < 0 or '"request ' not in line:
                continue
            try:
                fields = json.loads(line[begin:])
            except ValueError:
                # A process was killed in the middle of a line.
                continue
            if fields.get('message') in ('request ended', 'request refused'):
                yield fields


def cause_of(fields: dict, pauses: dict[int, int]) -> tuple[str, float]:
    """Return why a request lost something, and the share that it lost."""
    outcome = fields['outcome']
    if outcome != 'finished':
        return UNSERVED.get(outcome, 'failed or cut'), 1.0
    objective_ms = fields['objective_ms']
    first_ms = fields['first_event_ms']
    if (fields['total_ms'] if first_ms is None else first_ms) > objective_ms:
        return 'late first event', pricing.LATE_LOSS
    pause_ms = fields.get('longest_pause_ms', 0)
    if pause_ms > pauses.get(objective_ms, sys.maxsize):
        return 'late pause', pricing.LATE_LOSS
    return 'in time', 0.0


def add_up(lines, pauses: dict[int, int]) -> dict[str, list[float]]:
    """Return count, weight and loss by cause."""
    sums = collections.defaultdict(lambda: [0, 0.0, 0.0])
    for fields in lines:
        if fields['outcome'] in NOT_OWED:
            continue
        cause, share = cause_of(fields, pauses)
        weight = pricing.weight_of(fields.get('prompt_tokens', 0))
        row = sums[cause]
        row[0] += 1
        row[1] += weight
        row[2] += weight * share
    return sums


def main() -> None:
    """Print a table of causes."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('log', type=pathlib.Path)
    parser.add_argument(
        '--pauses',
        nargs='*',
        default=[],
        metavar='OBJECTIVE_MS=PAUSE_MS',
        help='longest pause allowed, by the objective of the first event',
    )
    arguments = parser.parse_args()
    pauses = {
        int(objective_ms): int(pause_ms)
        for objective_ms, pause_ms in (
            one.split('=') for one in arguments.pauses
        )
    }
    sums = add_up(read_lines(arguments.log), pauses)
    total = sum(row[1] for row in sums.values())
    for cause, (count, _, loss) in sorted(
        sums.items(), key=lambda item: -item[1][2]
    ):
        print(f'{cause:20} {count:6d} requests  {100 * loss / total:5.1f}%')


if __name__ == '__main__':
    main()
