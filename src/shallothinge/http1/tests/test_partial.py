"""Tests of the log line on a request that was read and got no answer."""

import unittest

from twisted.internet import task

from shallothinge import clock
from shallothinge.http1 import partial
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
LAST = b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
IDLE_S = 15.1


class PartialTest(unittest.TestCase):
    """One connection that ends."""

    def setUp(self):
        self.reactor = task.Clock()
        self.exchanges = []
        self.site = server.Site(
            reactor=self.reactor,
            clock=clock.ManualClock(),
            handle=self.exchanges.append,
            refusal=lambda status: ((), b''),
        )
        self.connection = self.site.buildProtocol(None)
        self.connection.makeConnection(fakes.Transport())

    def receive(self, data):
        self.connection.dataReceived(data)

    def respond(self):
        self.exchanges.pop(0).respond(status=200, headers=(), body=b'')

    def answer_last(self):
        self.receive(LAST)
        self.respond()

    def answer_at_stop(self):
        self.receive(GET)
        self.site.is_stopping = True
        self.respond()

    def half_close(self):
        self.connection.readConnectionLost()

    def close_idle(self):
        self.site.close_idle()

    def end_process(self):
        self.site.is_ended = True

    def test_request_without_answer_is_logged_with_the_cause(self):
        def cut():
            self.exchanges.pop(0).abort()

        rows = (
            ('part of a head', [GET[:9]], 9, 'caller_left'),
            ('part of a body', [POST[:-1]], len(POST) - 1, 'caller_left'),
            ('pipelined', [GET + GET[:9], self.respond], 9, 'caller_left'),
            ('half-close', [GET[:9], self.half_close], 9, 'caller_left'),
            ('end of the process', [GET[:9], self.end_process], 9, 'stop'),
            (
                'after the last at a stop',
                [self.answer_at_stop, GET],
                len(GET),
                'connection_close',
            ),
            (
                'after a close',
                [self.answer_last, GET[:5], GET[5:]],
                len(GET),
                'connection_close',
            ),
            ('behind a cut answer', [GET + GET[:9], cut], 9, 'answer_cut'),
        )
        for name, steps, read_bytes, cause in rows:
            with self.subTest(name):
                self.setUp()
                with self.assertLogs(partial.LOG, 'INFO') as logged:
                    self.play(steps)
                (record,) = logged.records
                self.assertEqual(read_bytes, record.read_bytes)
                self.assertEqual(cause, record.cause)

    def play(self, steps):
        for step in steps:
            if isinstance(step, bytes):
                self.receive(step)
            else:
                step()
        self.connection.connectionLost()

    def test_connections_without_such_a_request_are_not_logged(self):
        def wait():
            self.reactor.advance(IDLE_S)

        rows = (
            ('no byte', []),
            ('answered', [GET, self.respond]),
            ('answered, then idle', [GET, self.respond, wait]),
            ('closed as idle', [self.close_idle]),
            ('head that is late', [GET[:9], wait, GET[9:]]),
            ('body that is late', [POST[:-2], wait, POST[-2:]]),
            ('no request', [b'nonsense\r\n\r\n', b'more']),
            ('refused as it crosses', [self.close_idle, GET[:9], GET[9:]]),
            ('being answered', [GET]),
        )
        for name, steps in rows:
            with self.subTest(name), self.assertNoLogs(partial.LOG):
                self.setUp()
                self.play(steps)
