"""Measures how slow a backend server is compared with its cost model.

A server may be slower than its model: its host is overloaded or throttled.
Its pace is the time that it takes, as a multiple of the expected time. Two
times are measured, if most of the time is known to be spent on the request
itself: that to the first event of a short prompt, and that between two events
of a stream. The latter is the only one known of a server that mostly reads
long prompts, as these are divided among several servers.
"""

import collections
import statistics

import attrs

from shallothinge import clock as clocks
from shallothinge.placement import choice

# Fewer measurements may be chance. With more, it takes longer until a change
# is found.
MIN_MEASUREMENTS = 5
MAX_MEASUREMENTS = 9
# Servers that generate few streams are measured rarely.
MEASUREMENT_TTL_MS = 30_000
# A slow server gets no short prompts, and so is not measured. It counts as
# sound for RETEST_WINDOW_MS every RETEST_INTERVAL_MS, and a single sound
# measurement ends this: new judgements from five late requests every few
# seconds cost nearly as much as no judgement.
RETEST_INTERVAL_MS = 10_000
RETEST_WINDOW_MS = 100
# A read joins a pass that is under way and ends with its own, and reports lag,
# so that a sound server may take up to this multiple of the expected time.
MIN_SLOW_PACE = 1.5
# A server that stands still is found by timeouts; a larger factor would only
# rule it out where every other choice is bad, too.
MAX_PACE = 8.0
# Longer reads are mostly divided, and other servers then have a part in the
# time. The same holds for the time of other reads of the server.
MAX_READ_MS = 100.0
MAX_OTHER_READS_MS = 50.0
# Streams of a server pause together, and a gateway that is held up sees all of
# them pause. At most one pause of a server is measured in this time, so that
# a slow server has been slow for MIN_MEASUREMENTS times this long.
PAUSE_INTERVAL_MS = 200
# A request that took longer to be sent waited for a connection.
MAX_SEND_MS = 20


@attrs.frozen(kw_only=True)
class FirstEvent:
    """The first event of a request, and what the server had to do until then.

    :ivar measured_ms: time from sending the request to the event.
    :ivar expected_ms: the same by the cost model, without other reads.
    :ivar read_ms: time to read the prompt by the cost model.
    :ivar other_reads_ms: the same of prompts that the server had to read
        before or beside it.
    :ivar sent_after_ms: time from the choice of the server until the request
        was sent.
    :ivar is_divided: whether other servers read a part of the prompt.
    """

    measured_ms: float
    expected_ms: float
    read_ms: float
    other_reads_ms: float = 0.0
    sent_after_ms: int = 0
    is_divided: bool = False

    @property
    def is_significant(self) -> bool:
        """Return whether the time depends mostly on the server's pace."""
        return (
            not self.is_divided
            and 0 < self.read_ms <= MAX_READ_MS
            and self.expected_ms > 0
            and self.other_reads_ms <= MAX_OTHER_READS_MS
            and self.sent_after_ms <= MAX_SEND_MS
        )


def build_first_event(
    placement: choice.Placement,
    *,
    measured_ms: float,
    assigned_since_ms: float,
    sent_after_ms: int = 0,
) -> FirstEvent:
    """Return the first event of a request that was placed.

    :param assigned_since_ms: time to read the prompts that the server was
        assigned after this one.
    """
    backlog_ms = placement.load.backlog_ms
    return FirstEvent(
        measured_ms=measured_ms,
        expected_ms=placement.first_event_ms - backlog_ms,
        read_ms=placement.part_ms,
        other_reads_ms=backlog_ms + assigned_since_ms,
        sent_after_ms=sent_after_ms,
        is_divided=bool(placement.helper_ids),
    )


@attrs.frozen(kw_only=True)
class _Measurement:
    at_ms: int
    pace: float


@attrs.define(kw_only=True)
class _ServerPace:
    """What is known of one server.

    ``slow_pace`` is its pace since it was found to be slow, else None.
    ``last_pause_ms`` is when a pause was last measured.
    """

    recent: collections.deque[_Measurement] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_MEASUREMENTS)
    )
    slow_pace: float | None = None
    last_pause_ms: int | None = None

    def add(self, measurement: _Measurement) -> None:
        """Add a measurement and judge the server anew."""
        if self.slow_pace is not None and measurement.pace < MIN_SLOW_PACE:
            self.recent.clear()
        self.slow_pace = None
        self.recent.append(measurement)
        oldest_ms = measurement.at_ms - MEASUREMENT_TTL_MS
        while self.recent[0].at_ms < oldest_ms:
            self.recent.popleft()
        if len(self.recent) >= MIN_MEASUREMENTS:
            median = statistics.median(each.pace for each in self.recent)
            if median >= MIN_SLOW_PACE:
                self.slow_pace = min(median, MAX_PACE)


class ServerPaces:
    """The pace of each server, by its id and incarnation."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._servers: dict[tuple[str, str], _ServerPace] = {}

    def record(self, key: tuple[str, str], first_event: FirstEvent) -> None:
        """Record a first event unless it says little of the server.

        :param key: id and incarnation of the server.
        """
        if not first_event.is_significant:
            return
        expected_ms = first_event.expected_ms + first_event.other_reads_ms
        self._add(key, first_event.measured_ms / expected_ms)

    def record_pause(
        self, key: tuple[str, str], *, measured_ms: float, pass_ms: float
    ) -> None:
        """Record the time between two events of a stream.

        Call this only if the server read no prompt meanwhile.

        :param key: id and incarnation of the server.
        :param pass_ms: the time by the cost model, that of one pass.
        """
        server = self._servers.setdefault(key, _ServerPace())
        now_ms = self._clock.now_ms()
        if (
            server.last_pause_ms is None
            or now_ms - server.last_pause_ms >= PAUSE_INTERVAL_MS
        ):
            server.last_pause_ms = now_ms
            self._add(key, measured_ms / pass_ms)

    def _add(self, key: tuple[str, str], measured_pace: float) -> None:
        server = self._servers.setdefault(key, _ServerPace())
        server.add(
            _Measurement(at_ms=self._clock.now_ms(), pace=measured_pace)
        )

    def pace(self, key: tuple[str, str]) -> float:
        """Return the time that a server takes as a multiple of the expected.

        :returns: the median of recent measurements; 1.0 for a server that is
            not known to be slow, or is to be measured again.
        """
        server = self._servers.get(key)
        if server is None or server.slow_pace is None:
            return 1.0
        age_ms = self._clock.now_ms() - server.recent[-1].at_ms
        is_retested = (
            age_ms >= RETEST_INTERVAL_MS
            and age_ms % RETEST_INTERVAL_MS < RETEST_WINDOW_MS
        )
        if is_retested or age_ms >= MEASUREMENT_TTL_MS:
            return 1.0
        return server.slow_pace

    def forget_unlisted(self, listed: set[tuple[str, str]]) -> None:
        """Discard the measurements of incarnations that are not listed."""
        for key in self._servers.keys() - listed:
            del self._servers[key]
