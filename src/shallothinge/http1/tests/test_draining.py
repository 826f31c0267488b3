"""Tests of the wait for the last answers of a process that stops."""

import unittest

from twisted.internet import task

from shallothinge import clock
from shallothinge.http1 import draining
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
LIMIT_MS = 1000


class DrainTest(unittest.TestCase):
    """A site with one connection."""

    def setUp(self):
        self.reactor = task.Clock()
        self.clock = clock.ManualClock()
        self.exchanges = []
        self.site = server.Site(
            reactor=self.reactor,
            clock=self.clock,
            handle=self.exchanges.append,
            refusal=lambda status: ((), b''),
        )
        self.connection = self.site.buildProtocol(None)
        self.transport = fakes.Transport()
        self.connection.makeConnection(self.transport)
        self.ended = []

    def start(self):
        drain = draining.Drain(
            site=self.site, reactor=self.reactor, limit_ms=LIMIT_MS
        )
        drain.start().addCallback(self.ended.append)

    def advance(self, duration_ms):
        for _ in range(0, duration_ms, draining.POLL_INTERVAL_MS):
            self.clock.advance(duration_ms=draining.POLL_INTERVAL_MS)
            self.reactor.advance(draining.POLL_INTERVAL_MS / 1000)

    def test_process_ends_at_once_if_nothing_is_in_progress(self):
        self.start()
        self.assertEqual([None], self.ended)
        self.assertTrue(self.site.is_ended)

    def test_process_ends_when_the_answer_has_left(self):
        self.connection.dataReceived(GET[:9])
        self.start()
        self.connection.dataReceived(GET[9:])
        self.advance(LIMIT_MS // 2)
        self.exchanges[0].respond(status=200, headers=(), body=b'')
        self.assertEqual([], self.ended)
        self.connection.connectionLost()
        self.advance(draining.POLL_INTERVAL_MS)
        self.assertEqual([None], self.ended)

    def test_what_is_open_at_the_limit_is_answered_and_logged(self):
        for data, status in ((GET, b' 500 '), (GET[:9], b' 503 ')):
            with self.subTest(data=data):
                self.setUp()
                self.connection.dataReceived(data)
                self.start()
                self.advance(LIMIT_MS - draining.POLL_INTERVAL_MS)
                self.assertEqual(b'', self.transport.value())
                with self.assertLogs(server.LOG, 'WARNING') as logged:
                    self.advance(draining.POLL_INTERVAL_MS)
                self.assertEqual(1, logged.records[0].connection_count)
                self.assertIn(status, self.transport.value())
                self.assertEqual([], self.ended)
                self.advance(draining.LAST_ANSWERS_MS)
                self.assertEqual([None], self.ended)
