"""Tests of answers that have no body by the rules of HTTP."""

import unittest

from twisted.internet import task

from shallothinge import clock
from shallothinge.http1 import messages
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
HEAD = b'HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n'
LONG_HEAD = b'HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n'


class BodilessTest(unittest.TestCase):
    """A caller gets the head alone where HTTP allows no body."""

    def setUp(self):
        self.exchanges = []
        self.site = server.Site(
            reactor=task.Clock(),
            clock=clock.ManualClock(),
            handle=self.exchanges.append,
            refusal=lambda status: ((), b'refused'),
            limits=messages.Limits(body_bytes=10),
        )
        self.connection = self.site.buildProtocol(None)
        self.transport = fakes.Transport()
        self.connection.makeConnection(self.transport)

    def received(self):
        return self.transport.value().partition(b'\r\n\r\n')

    def test_answer_is_not_reset_for_its_body(self):
        rows = ((HEAD, 200), (HEAD, 503), (GET, 204), (GET, 304))
        for request, status in rows:
            with self.subTest(request=request, status=status):
                self.setUp()
                self.connection.dataReceived(request)
                self.exchanges[0].respond(
                    status=status, headers=(), body=b'refused'
                )
                head, _, body = self.received()
                self.assertIn(f'HTTP/1.1 {status} '.encode(), head)
                self.assertEqual(b'', body)
                self.assertFalse(self.transport.was_aborted)
                self.connection.dataReceived(GET)
                self.assertEqual(2, len(self.exchanges))

    def test_body_of_the_next_answer_is_sent(self):
        self.connection.dataReceived(HEAD + GET)
        for index in range(2):
            self.exchanges[index].respond(status=200, headers=(), body=b'yes')
        self.assertTrue(self.transport.value().endswith(b'yes'))
        self.assertEqual(1, self.transport.value().count(b'yes'))

    def test_refusal_while_the_request_is_read_is_not_cut(self):
        self.connection.dataReceived(LONG_HEAD)
        head, _, body = self.received()
        self.assertIn(b'HTTP/1.1 413 ', head)
        self.assertEqual(b'', body)
        self.assertTrue(self.transport.was_half_closed)
