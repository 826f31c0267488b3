"""Tests of servers that send an answer twice, or to the wrong request."""

import unittest

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_overdue_calls
from shallothinge.http1 import client
from shallothinge.http1.tests import endless
from shallothinge.http1.tests import wires
from shallothinge.platform import names

SEARCH = test_overdue_calls.SEARCH


def answer_to(request_id, body):
    """Return the bytes of a signed answer that keeps its connection."""
    fields = (
        f'{names.REQUEST_ID}: {request_id}',
        f'{names.SIGNATURE}: s',
        'Connection: keep-alive',
        f'Content-Length: {len(body)}',
        '',
    )
    return endless.head(*fields) + body


class LateCopyTest(unittest.TestCase):
    """No caller gets an answer that is not its own."""

    def setUp(self):
        self.reactor = wires.Reactor()
        self.rig = rig.Rig(
            configuration=test_overdue_calls.configuration(),
            server_count=1,
            reactor=self.reactor,
            caller=client.HttpClient(
                reactor=self.reactor, connect_timeout_ms=1000
            ),
        )

    @property
    def wires(self):
        return self.reactor.wires

    def start(self, request_id):
        """Send a request, which opens its connection; return it."""
        exchange = self.rig.request(
            SEARCH, **{'request-attempt-id': request_id}
        )
        self.rig.advance(0)
        return exchange

    def test_copy_on_the_connection_of_an_answer_reaches_nobody(self):
        """A connection that is used again would bring it to the next."""
        first = self.start('1')
        old = self.wires[0]
        answer = answer_to('1', b'first')
        old.send(answer)
        second = self.start('2')
        # The client has closed its side, but bytes may be on their way.
        old.protocol.dataReceived(answer)
        self.assertIsNone(second.status)
        self.assertEqual(2, len(self.wires))
        self.assertTrue(old.transport.disconnecting)
        self.assertEqual(1, old.request.count(b'HTTP/1.1'))
        self.wires[1].send(answer_to('2', b'second'))
        self.assertEqual(
            (b'first', b'second'), (first.received, second.received)
        )

    def test_each_request_has_a_connection_that_ends_with_it(self):
        for number in range(3):
            self.start(str(number))
            wire = self.wires[-1]
            self.assertIn(b'connection: close', wire.request.lower())
            wire.send(answer_to(str(number), b'ok'))
            self.assertTrue(wire.transport.disconnecting)
        self.assertEqual(3, len(self.wires))

    def test_copy_on_a_new_connection_is_not_the_answer(self):
        """A server may mix up its own connections."""
        for copy, rest in (
            (answer_to('1', b'first'), b''),
            (answer_to('1', b'first'), answer_to('2', b'second')),
        ):
            with self.subTest(rest=rest):
                self.setUp()
                self.start('1')
                self.wires[0].send(answer_to('1', b'first'))
                second = self.start('2')
                self.wires[1].send(copy + rest)
                self.assertEqual(502, second.status)
                self.assertNotIn(b'first', second.received)
                self.assertTrue(self.wires[1].transport.was_aborted)

    def test_late_answer_of_a_hedged_call_reaches_nobody(self):
        """The answer of the server that lost must not meet another caller."""
        self.rig.add_server('desk', 1)
        first = self.start('1')
        for _ in range(30):
            self.rig.advance(10)
        lost, won = self.wires
        won.send(answer_to('1', b'won'))
        self.assertTrue(lost.transport.was_aborted)
        second = self.start('2')
        lost.protocol.dataReceived(answer_to('1', b'lost'))
        lost.close()
        self.assertEqual(b'won', first.received)
        self.assertIsNone(second.status)
        self.assertEqual(3, len(self.wires))
        self.wires[2].send(answer_to('2', b'second'))
        self.assertEqual(b'second', second.received)
