"""Tests that no answer denies that a request may have run.

A status that promises this makes callers send the request again, so that an
action is done twice.
"""

import json
import unittest
from unittest import mock

from shallothinge import errors
from shallothinge.gateway import caller_answer
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding

BOOKING, LOOKUP, STREAM = '/book/1', '/look/1', '/lohu930/1'
PROMISES = (408, 429, 503)
OTHER_FAILURES = (400, 404, 409, 413, 500, 502, 504)
OWN_ID, SIGNATURE = rig.SIGNED


def with_lookups():
    """Return a configuration with streams, bookings and lookups."""
    fields = test_forwarding.only_engines({'attempts': 2})
    fields['routes'].append(
        {
            'name': 'r-3',
            'host': 'a.example',
            'path-prefix': '/look/',
            'kind': 'safe',
            'timeout-ms': 1500,
            'target-latency-ms': 400,
            'service': 'desk',
            'attempts': 2,
        }
    )
    return fields


class ServerPromiseTest(unittest.TestCase):
    """Failures of servers that do not state that the request has not run."""

    def setUp(self):
        self.rig = rig.Rig(configuration=with_lookups())

    @property
    def calls(self):
        return self.rig.caller.calls

    def test_promising_status_of_a_request_that_has_run_is_not_passed_on(self):
        # Callers took a server's 503 for a promise and booked twice.
        for path in (BOOKING, LOOKUP, STREAM):
            for status in PROMISES:
                with self.subTest(path=path, status=status):
                    self.setUp()
                    exchange = self.rig.request(
                        path, tokens=5000 * (path == STREAM)
                    )
                    while not exchange.is_ended:
                        self.calls[-1].answer(status, body=b'no')
                    self.assertEqual(502, exchange.status)
                    self.assertNotIn(SIGNATURE[0], exchange.headers)
                    error = json.loads(exchange.received)
                    self.assertIn(f'status {status}', error['detail'])
                    self.assertTrue(exchange.is_whole)

    def test_other_failures_of_servers_are_passed_on_unchanged(self):
        for status in OTHER_FAILURES:
            with self.subTest(status=status):
                self.setUp()
                exchange = self.rig.request(BOOKING)
                self.calls[0].answer(status, body=b'no')
                self.assertEqual(status, exchange.status)
                self.assertEqual(b'no', exchange.received)
                self.assertEqual(SIGNATURE[1], exchange.headers[SIGNATURE[0]])

    def test_statement_that_a_request_has_not_run_is_passed_on(self):
        for status, headers in (
            (503, (OWN_ID, ('not-executed', '1'))),
            (429, (OWN_ID, ('not-executed', '1'))),
            (421, (OWN_ID,)),
        ):
            with self.subTest(status=status):
                self.setUp()
                exchange = self.rig.request(BOOKING)
                while not exchange.is_ended:
                    self.calls[-1].answer(status, headers=headers, ends=False)
                    self.rig.advance(20)
                self.assertEqual(503, exchange.status)

    def test_pause_of_a_server_is_passed_on_for_what_may_be_repeated(self):
        pause = ('retry-after', '0.4')
        for path, expected in ((LOOKUP, '0.4'), (BOOKING, None)):
            for status in PROMISES:
                with self.subTest(path=path, status=status):
                    self.setUp()
                    exchange = self.rig.request(path)
                    while not exchange.is_ended:
                        self.calls[-1].answer(
                            status, headers=(*rig.SIGNED, pause)
                        )
                    self.assertEqual(
                        expected, exchange.headers.get('retry-after')
                    )


class EarlierAttemptTest(unittest.TestCase):
    """Requests of which an earlier attempt may have run."""

    def test_refusal_after_an_attempt_that_may_have_run_promises_nothing(self):
        # The last server states that it has not run, an earlier one does not.
        def break_off(call):
            call.fail(was_sent=True)

        def fail(call):
            call.answer(503, body=b'no')

        def refuse(call):
            call.refuse()

        def send_elsewhere(call):
            call.answer(421, headers=(OWN_ID,), ends=False)

        def lose_connection(call):
            call.fail(was_sent=False)

        for first in (break_off, fail):
            for last in (refuse, send_elsewhere, lose_connection, fail):
                with self.subTest(first=first.__name__, last=last.__name__):
                    tested = rig.Rig(configuration=with_lookups())
                    exchange = tested.request(LOOKUP)
                    first(tested.caller.calls[0])
                    for _ in range(20):
                        if exchange.is_ended:
                            break
                        last(tested.caller.calls[-1])
                        tested.advance(100)
                    self.assertEqual(502, exchange.status)


class OwnErrorTest(unittest.TestCase):
    """Errors of the gateway's own, whatever step they come from."""

    def test_error_that_would_deny_a_run_is_replaced_and_logged(self):
        # Each step is to ask what may have run; this is the last one to.
        for kind, answer in errors.ANSWERS.items():
            for may_have_run in (False, True):
                with self.subTest(kind=kind, may_have_run=may_have_run):
                    exchange = rig.Exchange(head=None)
                    tested = rig.Rig(configuration=with_lookups())
                    answered = caller_answer.CallerAnswer(
                        parts=tested.parts,
                        exchange=exchange,
                        request=mock.Mock(
                            request_id=rig.REQUEST_ID, last_event_id=''
                        ),
                        route=mock.Mock(is_repeatable=False),
                        may_have_run=lambda may=may_have_run: may,
                        on_over=mock.Mock(),
                    )
                    is_unrun = answer.work_state is errors.WorkState.NOT_RUN
                    if may_have_run and is_unrun:
                        with self.assertLogs(level='ERROR'):
                            answered.refuse(errors.ServingError(kind=kind))
                        self.assertEqual(502, exchange.status)
                    else:
                        answered.refuse(errors.ServingError(kind=kind))
                        self.assertEqual(answer.http_status, exchange.status)
