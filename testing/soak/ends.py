"""Whether each whole request got a whole answer or a status.

A gateway that has read a request answers it, also while it is stopped as
planned, reloads its settings or gets a new configuration, and while the
backend server is silent. What else may end a request is an ``Excuse``.
"""

import collections
from collections.abc import Callable
import enum
import operator
import signal

import attrs

from testing.soak import checks
from testing.soak import connections
from testing.soak import deployment
from testing.soak import notices
from testing.soak import tables

# The clocks of a gateway and its caller, each rounded.
ROUNDING_MS = 5
# A connection may be closed as a request is on its way to the gateway: by
# then it has gone unread for this long at most.
CROSSING_MS = 200
# From a planned stop: until when requests are still served, and when the last
# sixth of the time that it may take begins.
STOP_SERVED_MS, STOP_LATE_MS = 3000, 6667
# For so long after a fault, or after an answer that it broke, gateways may
# keep off a backend server.
KEPT_OFF_MS = 8000


class Excuse(enum.Enum):
    """Why a request may end without a whole answer and without a status."""

    # The connection was refused, or it ended before the last byte was sent,
    # and no gateway or server had read the request.
    NOT_SENT = 'the whole request was never sent'
    # A process that is gone can't answer; one that was frozen may have lost
    # its connections and its lease.
    GATEWAY_KILLED = 'the gateway was killed or frozen meanwhile'
    # Callers do not wait for longer than they say.
    TIME_LIMIT = 'the time limit of the caller or of the route was reached'
    # Nobody had read the request, and the connection could be closed: it was
    # idle before, or the gateway was told to stop.
    CROSSED = 'the request crossed the close of an idle connection'
    # An answer that has begun can not become a status.
    SERVER_BROKE_OFF = 'the server broke off and no other could go on'
    # The rules limit how much is sent to servers again. Only the gateway's
    # log tells that its share is spent; that the server broke off does not
    # rest on it.
    BUDGET_SPENT = 'the server broke off, the retry budget was spent'
    # As the answer has begun and lasts longer than the process may.
    STOP_TIME = 'a planned stop came to its end'


@attrs.frozen(kw_only=True)
class Event:
    """Something that happened to a request at a backend server."""

    server_id: str
    request_id: str
    at_ms: int


@attrs.frozen(kw_only=True)
class Gone:
    """A backend server that ended by itself."""

    server_id: str
    at_ms: int


@attrs.frozen(kw_only=True)
class ServerFault:
    """A fault of a backend server, or of the connections to it.

    ``breaks`` tells that connections end by it, at any time from then on.
    """

    name: str
    from_ms: int
    until_ms: int
    breaks: bool


@attrs.frozen(kw_only=True)
class Records:
    """What is known of a soak besides its requests.

    :param begun: streams of which a server has sent an event.
    :param broken: answers that a server breaks.
    :param read_ids: the requests that gateways have logged.
    :param budget_ids: those that they have not sent again, as they say, for
        the retry budget was spent.
    :param signals: all that were sent to processes.
    :param services: names of backend servers by service.
    :param least_timeout_ms: of a target and a span, the least time limit
        that may have been in force.
    """

    arrivals: list[notices.Arrival]
    runs: list[checks.Run]
    notices: list[notices.Notice]
    begun: list[Event]
    broken: list[Event]
    gone: list[Gone]
    faults: list[ServerFault]
    signals: list[deployment.Signal]
    read_ids: frozenset[str]
    budget_ids: frozenset[str]
    services: dict[str, list[str]]
    least_timeout_ms: Callable[..., int]
    hold_ups: list[tuple[int, int]]


class Judge:
    """Judges requests by the records of a soak."""

    def __init__(self, records: Records):
        self._records = records
        self._arrivals = _by_request(records.arrivals)
        self._runs = _by_request(records.runs)
        self._excuses = {
            Excuse.NOT_SENT: self._was_not_sent,
            Excuse.GATEWAY_KILLED: self._was_gateway_killed,
            Excuse.TIME_LIMIT: self._has_reached_its_limit,
            Excuse.CROSSED: self._crossed_a_close,
            Excuse.SERVER_BROKE_OFF: self._was_broken_off,
            Excuse.BUDGET_SPENT: self._was_budget_spent,
            Excuse.STOP_TIME: self._was_stop_over,
        }

    def find_excuse(self, one: checks.Asked) -> Excuse | None:
        """Return why a request without a status may have none."""
        if one.ending is connections.Ending.UNREADABLE:
            return None
        for excuse, is_given in self._excuses.items():
            if is_given(one):
                return excuse
        return None

    def describe(self, one: checks.Asked) -> str:
        """Return what was seen of a request, in words."""
        servers = ', '.join(
            f'{arrival.server_id} after {arrival.at_ms - one.sent_ms} ms'
            for arrival in self._arrivals[one.request_id]
        )
        return (
            f'{one.request_id}: {one.ending.value} by {one.gateway} after '
            f'{one.took_ms} ms; reached {servers or "no server"}'
        )

    def _was_read(self, one: checks.Asked) -> bool:
        return (
            bool(self._arrivals[one.request_id])
            or one.request_id in self._records.read_ids
        )

    def _was_not_sent(self, one: checks.Asked) -> bool:
        is_unsent = one.ending is connections.Ending.NOT_SENT
        return is_unsent and not self._was_read(one)

    def _was_gateway_killed(self, one: checks.Asked) -> bool:
        from_ms = None
        for sent in self._records.signals:
            if sent.name != one.gateway:
                continue
            if sent.number in (signal.SIGSTOP, signal.SIGKILL):
                from_ms = from_ms or sent.at_ms
            elif sent.number in (signal.SIGCONT, signal.SIGCHLD):
                # A process that is killed takes a while to end.
                if from_ms and _overlaps(one, from_ms, sent.at_ms):
                    return True
                from_ms = None
        return from_ms is not None and from_ms <= one.ended_ms

    def _has_reached_its_limit(self, one: checks.Asked) -> bool:
        limit_ms = self._records.least_timeout_ms(
            one.target, from_ms=one.sent_ms, until_ms=one.ended_ms
        )
        return one.took_ms + ROUNDING_MS >= min(limit_ms, one.deadline_ms)

    def _crossed_a_close(self, one: checks.Asked) -> bool:
        if self._was_read(one) or one.whole_ms is None:
            return False
        if one.ending not in (
            connections.Ending.CLOSED,
            connections.Ending.RESET,
        ):
            return False
        own_ms = checks.own_ms(one, self._records.hold_ups)
        if one.ended_ms - one.whole_ms - own_ms > CROSSING_MS:
            return False
        return one.is_reused or self._stop_of(one) is not None

    def _stop_of(self, one: checks.Asked) -> int | None:
        """Return when the gateway was told to stop, if it was stopping."""
        stop_ms = None
        for sent in self._records.signals:
            if sent.name != one.gateway or sent.at_ms > one.ended_ms:
                continue
            if sent.number is signal.SIGTERM:
                stop_ms = sent.at_ms
            elif sent.number is None and sent.at_ms <= one.sent_ms:
                # What was sent later went to the next process.
                stop_ms = None
        return stop_ms

    def _was_stop_over(self, one: checks.Asked) -> bool:
        stop_ms = self._stop_of(one)
        return (
            stop_ms is not None
            and one.ending is connections.Ending.CUT
            and bool(self._runs[one.request_id])
            and one.sent_ms <= stop_ms + STOP_SERVED_MS
            and one.ended_ms >= stop_ms + STOP_LATE_MS
        )

    def _was_budget_spent(self, one: checks.Asked) -> bool:
        is_spent = one.request_id in self._records.budget_ids
        return is_spent and self._has_broken_off(one)

    def _has_broken_off(self, one: checks.Asked) -> bool:
        """Return whether each run of a begun answer was broken.

        One that sent nothing new is given up once another one does.
        """
        runs = self._runs[one.request_id]
        begun = {
            (event.server_id, event.request_id)
            for event in self._records.begun
        }
        return (
            one.ending is connections.Ending.CUT
            and bool(runs)
            and all(
                self._was_run_broken(run, one)
                or any(
                    (later.server_id, one.request_id) in begun
                    for later in runs[index + 1 :]
                )
                for index, run in enumerate(runs)
            )
        )

    def _was_broken_off(self, one: checks.Asked) -> bool:
        """Return whether a server broke off and no other could go on."""
        if not self._has_broken_off(one):
            return False
        runs = self._runs[one.request_id]
        if len(runs) >= tables.ATTEMPTS:
            return True
        tried = {
            _name_of(arrival.server_id)
            for arrival in self._arrivals[one.request_id]
        }
        [service] = {
            service
            for service, each in self._records.services.items()
            if _name_of(runs[0].server_id) in each
        }
        return not any(
            self._was_at_hand(name, one)
            for name in self._records.services[service]
            if name not in tried
        )

    def _was_run_broken(self, run: checks.Run, one: checks.Asked) -> bool:
        name = _name_of(run.server_id)
        return (
            any(
                broken.server_id == run.server_id
                and broken.request_id == one.request_id
                for broken in self._records.broken
            )
            or any(
                gone.server_id == run.server_id
                and run.at_ms <= gone.at_ms <= one.ended_ms
                for gone in self._records.gone
            )
            or any(
                fault.breaks
                and fault.name == name
                and fault.from_ms <= one.ended_ms
                and run.at_ms <= fault.until_ms
                for fault in self._records.faults
            )
        )

    def _was_at_hand(self, name: str, one: checks.Asked) -> bool:
        """Return whether a gateway had no reason to keep off a server."""
        from_ms = one.sent_ms - KEPT_OFF_MS
        lines = [
            *self._records.broken,
            *self._records.gone,
            *self._records.notices,
        ]
        return not any(
            _name_of(line.server_id) == name
            and from_ms <= line.at_ms <= one.ended_ms
            for line in lines
        ) and not any(
            fault.name == name
            and fault.from_ms <= one.ended_ms
            and from_ms <= fault.until_ms
            for fault in self._records.faults
        )


def check(
    *, asked: list[checks.Asked], records: Records
) -> tuple[list[str], dict[str, int]]:
    """Return what is not allowed, and how many were excused by what."""
    judge = Judge(records)
    found, excused = [], collections.Counter()
    for one in asked:
        if one.status is not None:
            continue
        excuse = judge.find_excuse(one)
        if excuse is None:
            found.append(judge.describe(one))
        else:
            excused[excuse.name.lower()] += 1
    return found, dict(excused)


def _overlaps(one: checks.Asked, from_ms: int, until_ms: int) -> bool:
    return (
        from_ms - checks.NEAR_MS <= one.ended_ms
        and one.sent_ms <= until_ms + checks.NEAR_MS
    )


def _name_of(server_id: str) -> str:
    return server_id.rpartition('-')[0]


def _by_request(lines) -> dict[str, list]:
    found = collections.defaultdict(list)
    for line in sorted(lines, key=operator.attrgetter('at_ms')):
        found[line.request_id].append(line)
    return found
