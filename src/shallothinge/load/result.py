"""Outcomes of a load run, counted and put into histograms."""

import collections

import attrs
from hdrh import histogram

MAX_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 99.9)
WHOLE = 'whole'
REFUSED = 'refused'
BROKEN = 'broken'
WRONG = 'wrong'
LOST = 'lost'


@attrs.frozen(kw_only=True)
class Outcome:
    """How one request ended, with its times in milliseconds.

    ``verdict`` is ``whole``, ``refused`` (answered as not run), ``broken``
    (answered as cut), ``wrong`` (tokens of another answer) or ``lost`` (no
    final answer). ``first_token_ms`` is -1 if none came.
    """

    kind_name: str
    verdict: str
    error_code: str = ''
    at_ms: float = 0
    first_token_ms: float = -1
    token_gap_ms: float = -1
    total_ms: float = -1
    tokens: int = 0
    in_time: bool = False


@attrs.frozen(kw_only=True)
class Summary:
    """Counts and percentiles of the requests of one prompt class."""

    kind_name: str
    sent: int
    verdicts: dict[str, int]
    error_codes: dict[str, int]
    in_time_percent: float
    first_token_ms: dict[str, float]
    token_gap_ms: dict[str, float]


class Collector:
    """Collects outcomes by prompt class."""

    def __init__(self):
        self.outcomes: list[Outcome] = []

    def add(self, outcome: Outcome) -> None:
        """Take one outcome into account."""
        self.outcomes.append(outcome)

    def summaries(self) -> tuple[Summary, ...]:
        """Return one summary for each class, and one for ``all``."""
        by_kind = collections.defaultdict(list)
        for outcome in self.outcomes:
            by_kind[outcome.kind_name].append(outcome)
            by_kind['all'].append(outcome)
        return tuple(
            _summarise(name, outcomes)
            for name, outcomes in sorted(by_kind.items())
        )


def percentiles(values_ms) -> dict[str, float]:
    """Return the usual percentiles of durations in milliseconds.

    Values are kept in tenths of a millisecond.
    """
    recorded = histogram.HdrHistogram(1, MAX_MS * 10, SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        recorded.record_value(max(1, round(value_ms * 10)))
    if not recorded.get_total_count():
        return {}
    return {
        f'p{percentile}': recorded.get_value_at_percentile(percentile) / 10
        for percentile in PERCENTILES
    }


def _summarise(name: str, outcomes: list[Outcome]) -> Summary:
    verdicts = collections.Counter(one.verdict for one in outcomes)
    codes = collections.Counter(
        one.error_code for one in outcomes if one.error_code
    )
    in_time = sum(one.in_time for one in outcomes)
    return Summary(
        kind_name=name,
        sent=len(outcomes),
        verdicts=dict(verdicts),
        error_codes=dict(codes),
        in_time_percent=round(100 * in_time / len(outcomes), 3),
        first_token_ms=percentiles(
            one.first_token_ms for one in outcomes if one.first_token_ms >= 0
        ),
        token_gap_ms=percentiles(
            one.token_gap_ms for one in outcomes if one.token_gap_ms >= 0
        ),
    )
