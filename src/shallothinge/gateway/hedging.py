"""Decides when a call whose answer is overdue is sent to a second server.

A call is a request whose answer is no stream. Its answer may be lost although
its server works, so a call that may run twice is sent to a second server once
the first has been silent for longer than sound answers of its route take.
"""

import collections
import math
import statistics

import attrs

from shallothinge import clock as clocks
from shallothinge.routes import model as routes

# Sound answers are slower than the usual time in one of this many calls.
USUAL_IN = 20
# With fewer answers the usual time is not known: of 20 values, the greatest
# is the least one that another value exceeds in one of 20 cases.
MIN_ANSWERS = 20
# Answers of one route that are kept, and for how long.
MAX_ANSWERS = 200
MAX_AGE_MS = 300_000
# Routes whose answers are kept, those with the latest answers first.
MAX_ROUTES = 1000
# A call is overdue after the usual time and half as much again, because a
# route whose times grow must not have most of its calls hedged.
MARGIN = 1.5
# Processes on busy hosts are delayed by some tens of milliseconds, which
# must not count as silence of a server.
MIN_DELAY_MS = 40
# A prompt that an engine reads takes up to this many times the expected time.
READ_FACTOR = 3.0
# Time for which an estimate is used again, since it costs some microseconds
# for each answer that is kept.
ESTIMATE_MS = 100
_FIRST_QUARTILE = USUAL_IN // 4 - 1


@attrs.frozen(kw_only=True)
class Estimate:
    """How long the recent answers of a route took.

    A quarter of them took ``quick_ms`` at most, and all but one in
    ``USUAL_IN`` took ``usual_ms`` at most. ``count`` is how many are known.
    """

    count: int
    quick_ms: int
    usual_ms: int


@attrs.frozen(kw_only=True)
class Timing:
    """When a call is overdue, and from what this was decided.

    ``delay_ms`` is the silence of its server after which it is overdue, and
    ``latest_ms`` the time from sending after which it is overdue although
    parts of the answer arrive. ``leaves_time`` is whether a second server
    can answer in time after ``delay_ms``. ``estimate`` is None if too few
    answers are known.
    """

    delay_ms: int
    latest_ms: int
    leaves_time: bool
    estimate: Estimate | None


class AnswerTimes:
    """Keeps how long the recent answers of each route took."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._routes: collections.OrderedDict[str, _RouteTimes] = (
            collections.OrderedDict()
        )

    @property
    def count(self) -> int:
        """Return the number of routes with known answers."""
        return len(self._routes)

    def record(self, route_name: str, *, duration_ms: int) -> None:
        """Record that a complete answer arrived just now.

        :param duration_ms: time from sending the call.
        """
        if route_name not in self._routes:
            self._routes[route_name] = _RouteTimes()
        self._routes.move_to_end(route_name)
        self._routes[route_name].answers.append(
            (self._clock.now_ms(), duration_ms)
        )
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)

    def estimate(self, route_name: str) -> Estimate | None:
        """Return how long the answers of a route take.

        :returns: None if too few answers are known.
        """
        times = self._routes.get(route_name)
        if times is None:
            return None
        return times.estimate(self._clock.now_ms())


@attrs.define
class _RouteTimes:
    """Times of arrival and durations of the answers of one route."""

    answers: collections.deque[tuple[int, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_ANSWERS)
    )
    _estimate: Estimate | None = None
    _estimated_ms: int | None = None

    def estimate(self, now_ms: int) -> Estimate | None:
        """Return an estimate, which is at most ``ESTIMATE_MS`` old."""
        if (
            self._estimated_ms is None
            or self._estimated_ms + ESTIMATE_MS <= now_ms
        ):
            self._estimated_ms = now_ms
            while self.answers and self.answers[0][0] < now_ms - MAX_AGE_MS:
                self.answers.popleft()
            self._estimate = _estimate_from(
                [duration_ms for _, duration_ms in self.answers]
            )
        return self._estimate


def _estimate_from(durations_ms: list[int]) -> Estimate | None:
    if len(durations_ms) < MIN_ANSWERS:
        return None
    cuts_ms = statistics.quantiles(durations_ms, n=USUAL_IN)
    return Estimate(
        count=len(durations_ms),
        quick_ms=math.ceil(cuts_ms[_FIRST_QUARTILE]),
        usual_ms=math.ceil(cuts_ms[-1]),
    )


def decide_timing(
    *,
    route: routes.Route,
    estimate: Estimate | None,
    expected_ms: float,
    remaining_ms: int,
) -> Timing | None:
    """Return when a call that is sent now becomes overdue.

    It is not overdue before the usual time of its answers. A margin is added
    to that if this leaves as much time to a second server, which must have
    more than the time of a quarter of the answers: with less, most hedges
    would be in vain.

    :param estimate: times of recent answers of the route, if known.
    :param expected_ms: time that an engine needs to read the prompt, or 0.
    :param remaining_ms: time left until the deadline.
    :returns: None if it is not overdue before its deadline.
    """
    usual_ms = max(
        estimate.usual_ms if estimate else _assumed_usual_ms(route),
        MIN_DELAY_MS,
        math.ceil(READ_FACTOR * expected_ms),
    )
    preferred_ms = usual_ms
    if estimate:
        preferred_ms = math.ceil(MARGIN * usual_ms)
    latest_ms = remaining_ms - preferred_ms
    delay_ms = max(usual_ms, min(preferred_ms, latest_ms))
    least_ms = min_answer_ms(
        route=route, estimate=estimate, expected_ms=expected_ms
    )
    if delay_ms >= remaining_ms:
        return None
    return Timing(
        delay_ms=delay_ms,
        latest_ms=max(delay_ms, latest_ms),
        leaves_time=delay_ms + least_ms < remaining_ms,
        estimate=estimate,
    )


def min_answer_ms(
    *,
    route: routes.Route,
    estimate: Estimate | None,
    expected_ms: float = 0.0,
) -> int:
    """Return the time that must be left for an answer of another server.

    :param estimate: times of recent answers of the route, if known.
    :param expected_ms: time that an engine needs to read the prompt, or 0.
    """
    known_ms = _assumed_usual_ms(route) // 2
    if estimate is not None:
        known_ms = estimate.quick_ms
    return max(known_ms, math.ceil(expected_ms))


def _assumed_usual_ms(route: routes.Route) -> int:
    """Return the usual time of answers that none is known of.

    Operators choose objectives that sound answers keep. Half of the time
    limit leaves a second server as much time as the first one had.
    """
    return min(route.objective_ms, route.timeout_ms // 2)
