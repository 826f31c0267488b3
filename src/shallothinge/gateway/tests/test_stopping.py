"""Tests of a gateway's planned stop: who is answered, and when it ends."""

import unittest
from unittest import mock

from shallothinge.gateway import drain
from shallothinge.gateway import shutdown
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.http1 import draining
from shallothinge.http1 import exchange as exchanges
from shallothinge.settings import model

STREAM = '/lohu930/1'
OTHER_STREAM = '/other/1'
BOOKING = '/book/1'
DEADLINE_MS = 9000
PROMPT_TOKENS = 5000
# No set of servers of the sample reads this in less than three seconds.
LONG_TOKENS = 300_000
WAIT_MS, LIMIT_MS = 2500, 7400
STEP_MS = 10


def event(number):
    return f'id: {number}\ndata: {number}\n\n'.encode()


def fill_all(rig):
    for server in rig.holder.members.values():
        for _ in range(server.slots):
            rig.load.start(rig.work_at(server.server_id))


def refuse_cold_permits(rig):
    rig.parts.servers.take_permit = mock.Mock(return_value=False)


class StopLimitTest(unittest.TestCase):
    """Each request gets an answer before the process ends."""

    def setUp(self):
        fields = test_forwarding.only_engines({'target-latency-ms': 3000})
        other = {'name': 'r-3', 'path-prefix': '/other/'}
        fields['routes'].append({**fields['routes'][0], **other})
        self.rig = rig.Rig(configuration=fields)

    @property
    def calls(self):
        return self.rig.caller.calls

    def ask(self, path=STREAM, *, tokens=PROMPT_TOKENS, answer_tokens=10):
        return self.rig.request(
            path,
            deadline_ms=DEADLINE_MS,
            **{'token-counts': f'{tokens},{answer_tokens}'},
        )

    def stop(self, *, duration_ms=LIMIT_MS):
        self.rig.parts.shutdown.begin(duration_ms=duration_ms)

    def end(self, exchange):
        """Simulate the stop limit for one connection."""
        exchange.early_end = exchanges.EarlyEnd.STOP_LIMIT
        exchange.on_disconnect()

    def assert_refused(self, exchange):
        self.assertEqual(503, exchange.status)
        self.assertTrue(exchange.is_whole)
        self.assertEqual('0.1', exchange.headers['retry-after'])

    def test_request_that_still_waits_at_the_stop_limit_is_refused(self):
        for prepare in (fill_all, refuse_cold_permits):
            with self.subTest(prepare=prepare.__name__):
                self.setUp()
                prepare(self.rig)
                exchange = self.ask()
                self.stop()
                self.end(exchange)
                self.assert_refused(exchange)
                self.rig.advance(DEADLINE_MS)
                self.assertEqual([], self.calls)

    def test_request_that_runs_at_the_stop_limit_gets_an_error(self):
        for path in (STREAM, BOOKING):
            with self.subTest(path):
                self.setUp()
                exchange = self.ask(path)
                self.stop()
                self.end(exchange)
                self.assertEqual(502, exchange.status)
                self.assertTrue(exchange.is_whole)
                self.assertTrue(self.calls[0].is_cancelled)

    def test_request_is_refused_at_once_if_the_stop_comes_before_its_end(self):
        rows = (
            ('in time', PROMPT_TOKENS, 10, 1000, False),
            ('long prompt', LONG_TOKENS, 10, 1000, True),
            ('long answer, in time', PROMPT_TOKENS, 2000, 5000, False),
            ('long answer', PROMPT_TOKENS, 2000, 2000, True),
        )
        for name, tokens, answer_tokens, duration_ms, is_refused in rows:
            with self.subTest(name):
                self.setUp()
                self.stop(duration_ms=duration_ms)
                exchange = self.ask(tokens=tokens, answer_tokens=answer_tokens)
                self.assertEqual(not is_refused, bool(self.calls))
                if is_refused:
                    self.assert_refused(exchange)

    def test_delay_of_recent_answers_is_expected_of_the_next(self):
        window_ms = shutdown.DELAY_WINDOW_MS
        for name, path, age_ms, left_ms, is_refused in (
            ('as slow', STREAM, 0, 3500, True),
            ('time for both', STREAM, 0, 4500, False),
            ('long ago', STREAM, window_ms, 3500, False),
            ('another route', OTHER_STREAM, 0, 3500, False),
            ('no engine', BOOKING, 0, 3500, False),
        ):
            with self.subTest(name):
                self.setUp()
                self.ask()
                self.calls[0].answer(200, body=event(0), ends=False)
                for number in range(1, 9):
                    self.rig.advance(500)
                    self.calls[0].listener.on_data(event(number))
                self.calls[0].end()
                self.rig.advance(age_ms)
                self.stop(duration_ms=left_ms)
                exchange = self.ask(path)
                self.assertEqual(1 if is_refused else 2, len(self.calls))
                if is_refused:
                    self.assert_refused(exchange)

    def test_call_is_not_sent_late_in_the_stop(self):
        # The route of the bookings has a timeout of 1500 ms.
        rows = (
            ('may not be repeated', 'unsafe', 1400, True),
            ('may not be repeated, in time', 'unsafe', 1600, False),
            ('may be repeated', 'safe', 300, True),
            ('may be repeated, in time', 'safe', 500, False),
        )
        for name, kind, left_ms, is_refused in rows:
            with self.subTest(name):
                self.configure_bookings(kind)
                self.stop(duration_ms=left_ms)
                exchange = self.ask(BOOKING, tokens=0)
                self.assertEqual(not is_refused, bool(self.calls))
                if is_refused:
                    self.assert_refused(exchange)

    def test_call_is_expected_to_last_like_recent_ones(self):
        self.configure_bookings('safe')
        self.ask(BOOKING, tokens=0)
        self.rig.advance(1200)
        self.calls[0].answer(200)
        self.stop(duration_ms=1000)
        self.assert_refused(self.ask(BOOKING, tokens=0))

    def test_stream_that_may_not_be_repeated_is_doubted_more(self):
        for is_resumable, is_refused in ((True, False), (False, True)):
            with self.subTest(is_resumable=is_resumable):
                fields = test_forwarding.only_engines(
                    {
                        'target-latency-ms': 3000,
                        'resume-streams': is_resumable,
                    }
                )
                self.rig = rig.Rig(configuration=fields)
                self.stop(duration_ms=2900)
                self.ask()
                self.assertEqual(not is_refused, bool(self.calls))

    def configure_bookings(self, kind):
        fields = test_forwarding.only_engines()
        fields['routes'][1].update({'kind': kind, 'target-latency-ms': 400})
        self.rig = rig.Rig(configuration=fields)

    def test_waiting_request_is_refused_once_the_stop_comes_too_soon(self):
        fill_all(self.rig)
        exchange = self.ask(answer_tokens=2000)
        self.stop(duration_ms=5000)
        self.rig.advance(2000)
        self.assertIsNone(exchange.status)
        self.rig.advance(1000)
        self.assert_refused(exchange)


class DrainTest(unittest.TestCase):
    """When the process ends, and what it does before."""

    def drain(self, *, drained_after_ms):
        """Stop a gateway; return when it ended its requests, and itself."""
        made = rig.Rig()
        site = mock.Mock(clock=made.clock)
        site.is_drained.side_effect = lambda **_: (
            passed_ms >= drained_after_ms
        )

        def end():
            nonlocal requests_ended_ms
            requests_ended_ms = passed_ms

        site.end = end
        stopping = mock.Mock()
        ended = drain.GatewayDrain(
            reactor=made.reactor,
            clock=made.clock,
            callers=model.CallersSettings(
                address='127.0.0.1:1',
                readiness_address='127.0.0.1:2',
                stop_wait_ms=WAIT_MS,
                stop_limit_ms=LIMIT_MS,
            ),
            ingress=made.ingress,
            site=site,
            shutdown=stopping,
        ).start()
        passed_ms = 0
        requests_ended_ms = None
        while not ended.called and passed_ms < 2 * LIMIT_MS:
            passed_ms += STEP_MS
            made.advance(STEP_MS)
        stopping.begin.assert_called_once_with(duration_ms=LIMIT_MS)
        self.assertTrue(made.ingress.is_stopping)
        self.assertTrue(site.is_ended)
        return requests_ended_ms, passed_ms

    def test_requests_are_answered_before_the_process_ends(self):
        requests_ended_ms, ended_ms = self.drain(drained_after_ms=100_000)
        self.assertGreaterEqual(requests_ended_ms, LIMIT_MS)
        self.assertLess(
            requests_ended_ms, LIMIT_MS + draining.POLL_INTERVAL_MS
        )
        left_ms = ended_ms - requests_ended_ms
        self.assertGreaterEqual(left_ms, draining.LAST_ANSWERS_MS)
        self.assertLessEqual(left_ms, draining.LAST_ANSWERS_MS + STEP_MS)

    def test_process_ends_with_its_last_request(self):
        requests_ended_ms, ended_ms = self.drain(drained_after_ms=3000)
        self.assertLessEqual(ended_ms, 3000 + draining.POLL_INTERVAL_MS)
        self.assertIsNone(requests_ended_ms)


if __name__ == '__main__':
    unittest.main()
