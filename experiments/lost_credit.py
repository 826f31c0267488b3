"""Adds up from gateways' logs what callers lost, by cause.

    python -m experiments.lost_credit day.log --pauses 300=250 --list 3

Lines may begin with a time and a host's name, as a bench prints them. Each
request counts by what a late answer to it weighs (``placement.pricing``): a
late answer loses that module's share of it, one that is not served all. A
request that came back after a refusal or a cut is a new one here.
"""

import argparse
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import sys

import attrs

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
# Seconds for which losses are added up, and how many of the worst are shown.
WINDOW_S = 2
WINDOWS_SHOWN = 3
ENDS = ('request ended', 'request refused')
STEPS = ('request waits', 'attempt failed')
TOLD = (*ENDS, *STEPS)
NOT_OWED = ('not_found', 'unauthenticated')


@attrs.define(kw_only=True)
class Story:
    """What the log tells of one request.

    ``at`` is the time of its last line as printed, ``second`` the seconds in
    front of the line, if a bench printed them. ``steps`` are the waits and
    failed attempts before its end.
    """

    at: str
    second: float | None
    end: dict
    steps: tuple[str, ...] = ()


def read_stories(lines: Iterable[str]) -> Iterator[Story]:
    """Yield the story of each request when its end is found."""
    steps = collections.defaultdict(list)
    for line in lines:
        begin = line.find('{')
        if begin < 0 or not any(text in line for text in TOLD):
            continue
        try:
            fields = json.loads(line[begin:])
        except ValueError:
            # A process was killed in the middle of a line.
            continue
        request_id = fields.get('request_id', '')
        message = fields.get('message')
        if message in STEPS:
            steps[request_id].append(f'{message}: {fields["cause"]}')
        elif message in ENDS:
            yield Story(
                at=fields.get('time', ''),
                second=_second_of(line[:begin]),
                end=fields,
                steps=tuple(steps.pop(request_id, ())),
            )


def _second_of(prefix: str) -> float | None:
    words = prefix.split()
    try:
        return float(words[0]) if words else None
    except ValueError:
        return None


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


@attrs.define(kw_only=True)
class Row:
    """Requests with one cause.

    ``lost_by_window`` has the loss in each window of the log.
    """

    count: int = 0
    lost: float = 0.0
    lost_by_window: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    stories: list[Story] = attrs.field(factory=list)

    def add(self, story: Story, lost: float) -> None:
        """Add a request."""
        self.count += 1
        self.lost += lost
        self.stories.append(story)
        if story.second is not None:
            window = int(story.second // WINDOW_S) * WINDOW_S
            self.lost_by_window[window] += lost

    def worst(self) -> str:
        """Return the windows in which most was lost."""
        return ', '.join(
            f'{window} to {window + WINDOW_S} s'
            for window, lost in self.lost_by_window.most_common(WINDOWS_SHOWN)
            if lost
        )


def add_up(
    stories: Iterable[Story], pauses: dict[int, int]
) -> tuple[dict[str, Row], float]:
    """Return what was lost by cause, and the weight of all requests."""
    rows = collections.defaultdict(Row)
    total = 0.0
    for story in stories:
        if story.end['outcome'] in NOT_OWED:
            continue
        cause, share = cause_of(story.end, pauses)
        weight = pricing.weight_of(story.end.get('prompt_tokens', 0))
        total += weight
        rows[cause].add(story, weight * share)
    return rows, total


def describe(story: Story) -> str:
    """Return one line on a request: what was known before its end."""
    end = story.end
    steps = '; '.join(story.steps) or 'no wait, no failed attempt'
    return (
        f'    {story.at} {end.get("request_id", "")} {end["outcome"]} after '
        f'{end.get("total_ms", 0)} ms at {end.get("host", "")}: {steps}'
    )


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
    parser.add_argument(
        '--list',
        type=int,
        default=0,
        metavar='COUNT',
        help='for each cause, list so many requests and what was known of '
        'them before their end',
    )
    arguments = parser.parse_args()
    pauses = {
        int(objective_ms): int(pause_ms)
        for objective_ms, pause_ms in (
            one.split('=') for one in arguments.pauses
        )
    }
    with arguments.log.open(encoding='utf-8', errors='replace') as file:
        rows, total = add_up(read_stories(file), pauses)
    for cause, row in sorted(rows.items(), key=lambda item: -item[1].lost):
        lost_percent = 100 * row.lost / total
        print(
            f'{cause:20} {row.count:6d} requests  {lost_percent:5.1f}%  '
            f'{row.worst()}'
        )
        if row.lost:
            for story in row.stories[: arguments.list]:
                print(describe(story))


if __name__ == '__main__':
    main()
