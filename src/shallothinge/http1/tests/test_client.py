"""Tests of requests to backend servers."""

import unittest

from twisted.internet import error as net_errors
from twisted.python import failure

from shallothinge import memory
from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.http1.client import FailureKind
from shallothinge.http1.tests import fakes

DONE = failure.Failure(net_errors.ConnectionDone())
LOST = failure.Failure(net_errors.ConnectionLost())


class ClientTest(unittest.TestCase):
    """Answers of a backend server, and the callbacks to the owner."""

    def setUp(self):
        self.listener = fakes.Listener()
        self.exchange = client.ClientExchange(
            head=messages.RequestHead(
                method='POST', target='/a', headers=(('host', 'h'),)
            ),
            body=b'abc',
            listener=self.listener,
            bodies=memory.divide().answers,
        )
        self.transport = fakes.Transport()
        self.exchange.makeConnection(self.transport)

    def test_request_is_sent_whole(self):
        sent = self.transport.value()
        self.assertTrue(sent.startswith(b'POST /a HTTP/1.1\r\n'))
        self.assertTrue(sent.endswith(b'\r\n\r\nabc'))
        self.assertIn(b'content-length: 3', sent.lower())

    def test_answers_that_are_whole(self):
        framing, close = client.AnswerEnd.FRAMING, client.AnswerEnd.CLOSE
        chunks = b'2\r\nok\r\n0\r\n\r\n'
        cases = (
            (b'Content-Length: 2\r\n\r\nok', None, framing),
            (b'Transfer-Encoding: chunked\r\n\r\n' + chunks, None, framing),
            (b'Content-Length: 2\r\n\r\nokHTTP/1.1 200 extra', None, framing),
            (b'\r\nok', DONE, close),
        )
        for rest, reason, end in cases:
            with self.subTest(rest=rest):
                self.setUp()
                self.exchange.dataReceived(b'HTTP/1.1 200 OK\r\n' + rest)
                if reason is not None:
                    self.assertFalse(self.listener.has_ended)
                    self.exchange.connectionLost(reason)
                self.assertIs(end, self.listener.end)
                self.assertEqual(b'ok', self.listener.body)
                self.assertIsNone(self.listener.failure)

    def test_answers_that_are_not(self):
        head = b'HTTP/1.1 200 OK\r\n'
        cases = (
            (b'', DONE, FailureKind.BROKEN),
            (b'', LOST, FailureKind.BROKEN),
            (head + b'Content-Length: 3\r\n\r\nok', DONE, FailureKind.BROKEN),
            (head + b'\r\nok', LOST, FailureKind.BROKEN),
            (b'\x00nonsense\r\n\r\n', None, FailureKind.MALFORMED),
            *(
                (
                    b'HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok' % status,
                    None,
                    FailureKind.MALFORMED,
                )
                # No statuses of an answer, though some have three digits.
                for status in (b'000', b'099', b'600', b'999', b'20')
            ),
        )
        for data, reason, kind in cases:
            with self.subTest(data=data, reason=reason):
                self.setUp()
                if data:
                    self.exchange.dataReceived(data)
                if reason is not None:
                    self.exchange.connectionLost(reason)
                self.assertFalse(self.listener.has_ended)
                self.assertIs(kind, self.listener.failure.kind)
                self.assertTrue(self.listener.failure.was_sent)

    def test_without_a_connection_nothing_was_sent(self):
        exchange = client.ClientExchange(
            head=messages.RequestHead(method='GET', target='/', headers=()),
            body=b'',
            listener=self.listener,
            bodies=memory.divide().answers,
        )
        exchange.not_connected('refused')
        self.assertFalse(self.listener.failure.was_sent)

    def test_nothing_is_told_after_cancel(self):
        self.exchange.cancel()
        self.exchange.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n')
        self.exchange.connectionLost(DONE)
        self.assertTrue(self.transport.was_aborted)
        self.assertIsNone(self.listener.head)
        self.assertIsNone(self.listener.failure)
