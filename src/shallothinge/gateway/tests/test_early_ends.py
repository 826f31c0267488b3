"""Tests of answers that the gateway itself can't complete."""

import unittest
from unittest import mock

import h11

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes
from shallothinge.platform import names

LOGGER = 'shallothinge.gateway.request_log'
HEAD = (
    f'POST {test_forwarding.STREAM} HTTP/1.1\r\nHost: a.example\r\n'
    f'{names.REQUEST_ID}: {rig.REQUEST_ID}\r\n{names.API_KEY}: k1\r\n'
    f'{names.TOKEN_COUNTS}: 50,10\r\n'
)
WHOLE = f'{HEAD}Content-Length: 0\r\n\r\n'.encode()


class EarlyEndTest(unittest.TestCase):
    """One connection of a caller to the request path of a gateway."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())
        self.site = server.Site(
            reactor=self.rig.reactor,
            clock=self.rig.clock,
            handle=self.rig.ingress.handle,
            refusal=lambda status: ((), b''),
        )
        self.connection = self.site.buildProtocol(None)
        self.transport = fakes.Transport()
        self.connection.makeConnection(self.transport)

    def wait(self):
        """Send a stream for which no server is listed."""
        self.rig.holder.is_settled = False
        self.rig.holder.members.clear()
        self.connection.dataReceived(WHOLE)

    def run_unanswered(self):
        """Send a stream whose server does not answer."""
        self.connection.dataReceived(WHOLE)

    def begin(self):
        """Send a stream whose answer begins; return the call."""
        self.connection.dataReceived(WHOLE)
        (call,) = self.rig.caller.calls
        call.answer(200, body=test_forwarding.event(1), ends=False)
        return call

    def test_server_does_not_go_on_after_an_answer_that_breaks_http(self):
        call = self.begin()
        error = h11.LocalProtocolError('injected')
        with (
            mock.patch.object(
                h11.Connection, 'send', autospec=True, side_effect=error
            ),
            self.assertLogs(LOGGER, 'INFO') as logs,
        ):
            call.listener.on_data(test_forwarding.event(2))
        self.assertTrue(call.is_cancelled)
        self.assertEqual({}, self.rig.load.loads())
        self.assertEqual('cut_invalid_answer', logs.records[-1].outcome)
        self.connection.connectionLost()
        self.assertEqual([], self.rig.reactor.getDelayedCalls())

    def test_stop_limit_is_no_caller_that_left(self):
        rows = (
            ('waits', self.wait, 'stopping', b' 503 '),
            ('runs', self.run_unanswered, 'backend_failed', b' 502 '),
            ('begun', self.begin, 'cut_stop_limit', b''),
        )
        for name, start, outcome, status in rows:
            with self.subTest(name):
                self.setUp()
                start()
                with self.assertLogs(LOGGER, 'INFO') as logs:
                    self.site.end()
                (record,) = logs.records
                self.assertEqual(outcome, record.outcome)
                self.assertEqual(start != self.wait, record.sent)
                self.assertEqual({}, self.rig.load.loads())
                self.assertIn(status, self.transport.value())
                self.assertEqual(not status, self.transport.was_aborted)

    def test_request_that_is_read_at_the_stop_limit_is_refused(self):
        for part in (WHOLE[:9], f'{HEAD}Content-Length: 9\r\n\r\n'.encode()):
            with self.subTest(part=part):
                self.setUp()
                self.connection.dataReceived(part)
                self.site.end()
                self.assertIn(b'HTTP/1.1 503 ', self.transport.value())
                self.assertFalse(self.transport.was_aborted)
                self.assertEqual([], self.rig.caller.calls)

    def test_request_behind_another_is_refused_at_the_stop_limit(self):
        # Guards against a silent end: only the request before was answered.
        body_missing = f'{HEAD}Content-Length: 9\r\n\r\n'.encode()
        for part in (WHOLE[:9], body_missing, WHOLE):
            with self.subTest(part=part):
                self.setUp()
                self.wait()
                self.connection.dataReceived(part)
                self.site.is_stopping = True
                self.site.end()
                answers = self.transport.value().count(b'HTTP/1.1 503 ')
                self.assertEqual(2, answers)
                self.assertFalse(self.transport.was_aborted)

    def test_request_that_waits_for_the_lease_is_refused_at_the_limit(self):
        # Guards against a 500, which leaves open whether it has run.
        self.rig.holder.is_leased = False
        self.connection.dataReceived(WHOLE)
        with self.assertLogs('shallothinge.gateway.ingress') as logs:
            self.site.end()
            self.rig.advance(2000)
        (record,) = logs.records
        self.assertEqual('stopping', record.outcome)
        self.assertIn(b'HTTP/1.1 503 ', self.transport.value())
