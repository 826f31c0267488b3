"""Tests of answers that the gateway itself can't complete."""

import unittest
from unittest import mock

import h11

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes

LOGGER = 'shallothinge.gateway.request_log'
HEAD = (
    f'POST {test_forwarding.STREAM} HTTP/1.1\r\nHost: a.example\r\n'
    f'Request-Attempt-Id: {rig.REQUEST_ID}\r\nCredential: k1\r\n'
    'Token-Counts: 50,10\r\n'
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
