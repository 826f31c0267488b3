"""Watches the servers of one call for answers that are overdue."""

import attrs

from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import hedging
from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.gateway import request_log

# A timer that expires so late tells of a pause of this process. Data that
# arrived in the meantime is read first, which takes one turn of the reactor.
MAX_TIMER_DELAY_MS = 20
READ_FIRST_MS = 10


@attrs.define(kw_only=True)
class _Watched:
    """An attempt's timing, None if it is not overdue before its deadline."""

    timing: hedging.Timing | None
    expected_ms: float
    decided_ms: int
    was_delayed: bool = False


class OverdueWatch:
    """Judges the silence of the servers that one call is sent to."""

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
        log: request_log.RequestLog,
    ):
        self._parts = parts
        self._route = accepted.route
        self._log = log
        self._watched: dict[attempts.Attempt, _Watched] = {}

    def expect_answer(
        self,
        attempt: attempts.Attempt,
        *,
        expected_ms: float,
        remaining_ms: int,
    ) -> None:
        """Set the timeout of an attempt that starts.

        :param expected_ms: time that an engine needs to read the prompt.
        :param remaining_ms: time left until the deadline.
        """
        timing = self._watch(attempt, expected_ms, remaining_ms)
        if timing is not None:
            attempt.stall.expect_within(timing.delay_ms)

    def expect_rest(
        self, attempt: attempts.Attempt, *, remaining_ms: int
    ) -> None:
        """Set the timeout of an attempt whose server was silent before.

        :param remaining_ms: time left until the deadline.
        """
        expected_ms = self._watched[attempt].expected_ms
        timing = self._watch(attempt, expected_ms, remaining_ms)
        if timing is not None:
            attempt.stall.extend(timing.delay_ms)

    def _watch(
        self,
        attempt: attempts.Attempt,
        expected_ms: float,
        remaining_ms: int,
    ) -> hedging.Timing | None:
        timing = hedging.decide_timing(
            route=self._route,
            estimate=self._parts.answer_times.estimate(self._route.name),
            expected_ms=expected_ms,
            remaining_ms=remaining_ms,
        )
        self._watched[attempt] = _Watched(
            timing=timing,
            expected_ms=expected_ms,
            decided_ms=self._parts.clock.now_ms(),
        )
        return timing

    def waits_for_data(self, attempt: attempts.Attempt) -> bool:
        """Extend a timeout that has expired if the server was not silent.

        :returns: False if the answer is overdue.
        """
        watched = self._watched[attempt]
        if (
            not watched.was_delayed
            and attempt.stall.delay_ms > MAX_TIMER_DELAY_MS
        ):
            watched.was_delayed = True
            attempt.stall.extend(READ_FIRST_MS)
            return True
        latest_in_ms = (
            watched.decided_ms
            + watched.timing.latest_ms
            - self._parts.clock.now_ms()
        )
        wait_ms = min(
            watched.timing.delay_ms - attempt.silent_ms, latest_in_ms
        )
        if wait_ms <= 0:
            return False
        attempt.stall.extend(wait_ms)
        return True

    def record_overdue(
        self,
        attempt: attempts.Attempt,
        *,
        remaining_ms: int,
        no_takeover: policy.NoRetry | None,
    ) -> policy.NoRetry | None:
        """Record a server whose answer is overdue.

        :param remaining_ms: time left until the deadline.
        :param no_takeover: why the call may not run at another server.
        :returns: why no other server is asked, None if one is.
        """
        self._parts.servers.record_stall(attempt.server_id)
        timing = self._watched[attempt].timing
        if no_takeover is None and not timing.leaves_time:
            no_takeover = policy.NoRetry.DEADLINE
        estimate = timing.estimate
        self._log.overdue(
            attempt,
            no_takeover=no_takeover,
            silent_ms=attempt.silent_ms,
            delay_ms=timing.delay_ms,
            latest_ms=timing.latest_ms,
            usual_ms=estimate and estimate.usual_ms,
            quick_ms=estimate and estimate.quick_ms,
            answer_count=estimate.count if estimate else 0,
            remaining_ms=remaining_ms,
            has_credit=self._parts.budget.has_hedge_credit,
        )
        return no_takeover

    def record_answer(self, attempt: attempts.Attempt) -> None:
        """Record how long a complete answer took."""
        self._parts.answer_times.record(
            self._route.name, duration_ms=attempt.age_ms
        )
