"""The ``load`` command: sends a profile's requests and reports on them."""

import argparse
import json
import pathlib
import sys

import attrs
from twisted.internet import defer
from twisted.internet import reactor

from shallothinge import clock
from shallothinge.load import caller
from shallothinge.load import profile
from shallothinge.load import report
from shallothinge.load import runner


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command's arguments."""
    parser.add_argument(
        '--entry',
        action='append',
        required=True,
        metavar='URL',
        help='address of an entry; may be given more than once',
    )
    parser.add_argument(
        '--keys',
        required=True,
        type=pathlib.Path,
        metavar='FILE',
        help='workspace API keys, one a line, large workspaces first',
    )
    parser.add_argument('--model', required=True, help='name of the model')
    parser.add_argument(
        '--profile',
        choices=sorted(profile.PROFILES),
        default=profile.MAKAZI_BORA.name,
        help='which deployment\'s callers to act as',
    )
    parser.add_argument('--rate-per-s', type=float, default=20.0)
    parser.add_argument('--duration-s', type=float, default=30.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--only',
        action='append',
        choices=[kind.name for kind in profile.MAKAZI_BORA.prompt_classes],
        help='send only this prompt class; may be given more than once',
    )
    parser.add_argument('--label', default='run', help='name in the report')
    parser.add_argument('--output', type=pathlib.Path, metavar='JSON')
    parser.add_argument('--report', type=pathlib.Path, metavar='HTML')


def run(arguments: argparse.Namespace) -> int:
    """Run the command.

    :returns: 0 if every request got its final answer and none was wrong.
    """
    outcomes = []
    task = _load(arguments)
    task.addCallbacks(outcomes.append, _print_failure)
    task.addBoth(lambda _: reactor.stop())
    reactor.run()
    if not outcomes:
        return 1
    return _finish(arguments, outcomes[0])


def _print_failure(failure) -> None:
    print(failure.getErrorMessage(), file=sys.stderr)


@defer.inlineCallbacks
def _load(arguments):
    callers = profile.PROFILES[arguments.profile]
    if arguments.only:
        callers = callers.restricted_to(tuple(arguments.only))
    keys = arguments.keys.read_text(encoding='utf-8').split()
    target = caller.Target(
        entry_urls=tuple(arguments.entry),
        api_keys=tuple(keys),
        model=arguments.model,
    )
    collector = yield runner.run(
        reactor=reactor,
        target=target,
        callers=callers,
        rate_per_s=arguments.rate_per_s,
        duration_ms=round(arguments.duration_s * clock.MS_PER_SECOND),
        seed=arguments.seed,
    )
    return collector


def _finish(arguments, collector) -> int:
    finished = report.Run(
        label=arguments.label,
        command=' '.join(sys.argv[1:]),
        seed=arguments.seed,
        summaries=collector.summaries(),
    )
    print(json.dumps(attrs.asdict(finished), indent=2))
    if arguments.output:
        report.write_json(path=arguments.output, runs=(finished,))
    if arguments.report:
        report.write_html(
            path=arguments.report, title='Load run', runs=(finished,)
        )
    bad = sum(
        outcome.verdict in ('lost', 'wrong') for outcome in collector.outcomes
    )
    return 1 if bad else 0
