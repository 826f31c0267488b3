"""Tests of the rules for waiting, retries and errors, and cold limits."""

import unittest

import attrs

from shallothinge import clock
from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.gateway import cold_rate_limiter
from shallothinge.gateway import policy
from shallothinge.routes import model


def make_route(kind, *, is_resumable=False, attempts=2):
    return model.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=kind,
        timeout_ms=1000,
        split=(model.Split(service='s', weight=1),),
        attempts=attempts,
        is_resumable=is_resumable,
    )


SAFE = make_route(model.RequestKind.SAFE)
UNSAFE = make_route(model.RequestKind.UNSAFE)
STREAM = make_route(model.RequestKind.STREAMING)
RESUMABLE = make_route(model.RequestKind.STREAMING, is_resumable=True)


class WaitingTest(unittest.TestCase):
    """Requests wait for capacity only while an answer can be in time."""

    def test_request_is_given_up_once_its_caller_would_leave(self):
        stream = model.Route(
            name='r',
            host='h',
            path_prefix='/',
            kind=model.RequestKind.STREAMING,
            timeout_ms=10_000,
            split=(),
            objective_ms=300,
            pause_objective_ms=250,
        )
        call = attrs.evolve(stream, kind=model.RequestKind.SAFE)
        rows = (
            # route, waited_ms, service_ms, limit_ms, can answer
            (stream, 1_800, 100.0, 10_000, True),
            (stream, 1_900, 100.0, 10_000, False),
            (
                attrs.evolve(stream, objective_ms=3_000),
                1_900,
                100.0,
                15_000,
                True,
            ),
            (stream, 900, 100.0, 1_000, False),
            (call, 1_900, 0.0, 5_000, True),
            (call, 5_000, 0.0, 5_000, False),
        )
        for route, waited_ms, service_ms, limit_ms, expected in rows:
            with self.subTest(waited_ms=waited_ms, limit_ms=limit_ms):
                self.assertEqual(
                    expected,
                    policy.can_still_answer(
                        route=route,
                        waited_ms=waited_ms,
                        service_ms=service_ms,
                        limit_ms=limit_ms,
                    ),
                )


class RepeatTest(unittest.TestCase):
    """A request that may have run is repeated only if its route allows it."""

    def test_may_repeat(self):
        ran = policy.Progress(sent=1, may_have_run=True)
        refused = policy.Progress(refused=1)
        reasons = policy.NoRetry
        cases = (
            (SAFE, ran, None),
            (RESUMABLE, ran, None),
            (UNSAFE, ran, reasons.MAY_HAVE_RUN),
            (STREAM, ran, reasons.MAY_HAVE_RUN),
            (UNSAFE, refused, None),
            (STREAM, refused, None),
            (
                SAFE,
                policy.Progress(sent=2, may_have_run=True),
                reasons.ATTEMPTS,
            ),
            (
                SAFE,
                policy.Progress(refused=policy.MAX_REFUSALS + 1),
                reasons.REFUSALS,
            ),
        )
        for route, progress, expected in cases:
            with self.subTest(route=route, progress=progress):
                self.assertIs(
                    expected,
                    policy.no_retry_reason(
                        route=route, progress=progress, remaining_ms=100
                    ),
                )

    def test_nothing_is_repeated_past_the_deadline(self):
        self.assertIs(
            policy.NoRetry.DEADLINE,
            policy.no_retry_reason(
                route=SAFE, progress=policy.Progress(), remaining_ms=0
            ),
        )

    def test_error_states_not_run_only_if_certain(self):
        for route in (SAFE, UNSAFE, STREAM, RESUMABLE):
            for may_have_run in (False, True):
                progress = policy.Progress(may_have_run=may_have_run)
                for error in (
                    policy.final_error(
                        route=route,
                        progress=progress,
                        cause=policy.FailureCause.BROKEN,
                    ),
                    policy.deadline_error(progress),
                ):
                    says_not_run = (
                        error.answer.work_state is errors.WorkState.NOT_RUN
                    )
                    self.assertEqual(not may_have_run, says_not_run)

    def test_unknown_outcome_has_its_own_kind(self):
        error = policy.final_error(
            route=UNSAFE,
            progress=policy.Progress(sent=1, may_have_run=True),
            cause=policy.FailureCause.BROKEN,
        )
        self.assertIs(ErrorKind.OUTCOME_UNKNOWN, error.kind)


class ColdShareTest(unittest.TestCase):
    """All gateways together keep to the rate limit of a cold server."""

    def test_sum_over_gateways_in_any_second(self):
        for count in (1, 2, 8, 24):
            for rate_per_s in (28.0, 38.0):
                with self.subTest(count=count, rate_per_s=rate_per_s):
                    sent_ms = self._flood(count=count, rate_per_s=rate_per_s)
                    most = max(
                        sum(at <= other < at + 1000 for other in sent_ms)
                        for at in sent_ms
                    )
                    self.assertLessEqual(most, 1.5 * rate_per_s + 5)
                    self.assertGreater(len(sent_ms), rate_per_s / 2)

    def _flood(self, *, count, rate_per_s):
        ticking = clock.ManualClock()
        shares = [
            cold_rate_limiter.ColdRateLimiter(clock=ticking, slack_requests=5)
            for _ in range(count)
        ]
        sent_ms = []
        for _ in range(300):
            ticking.advance(duration_ms=10)
            for share in shares:
                if share.take(
                    server_id='s', rate_per_s=rate_per_s, gateway_count=count
                ):
                    sent_ms.append(ticking.now_ms())
        return sent_ms
