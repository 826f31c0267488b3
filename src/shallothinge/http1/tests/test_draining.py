"""Tests of the wait for the last answers of a process that stops."""

import collections
import socket
import threading
import unittest
from unittest import mock

from twisted.internet import epollreactor
from twisted.internet import task

from shallothinge import clock
from shallothinge.http1 import draining
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
LIMIT_MS = 1000
CALLERS, STOPS = 4, 3
TIMEOUT_S = 5.0
# From the start of the callers to the stop, and what an answer takes.
RUN_S, ANSWER_S = 0.1, 0.002


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

    def start(self, *, port=None):
        drain = draining.Drain(
            site=self.site,
            reactor=self.reactor,
            limit_ms=LIMIT_MS,
            port=port,
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

    def test_caller_that_has_just_connected_is_answered(self):
        # Its connection was closed as idle before its request arrived.
        port = mock.Mock()
        self.start(port=port)
        self.advance(draining.FRESH_MS - draining.POLL_INTERVAL_MS)
        port.stopListening.assert_called_once_with()
        port.doRead.assert_called()
        self.connection.dataReceived(GET)
        self.exchanges[0].respond(status=200, headers=(), body=b'')
        self.assertEqual([], self.ended)
        self.connection.connectionLost()
        self.advance(draining.POLL_INTERVAL_MS)
        self.assertEqual([None], self.ended)

    def test_caller_that_sends_nothing_holds_up_the_end_for_a_moment(self):
        self.start(port=mock.Mock())
        self.advance(draining.FRESH_MS - draining.POLL_INTERVAL_MS)
        self.assertEqual([], self.ended)
        self.advance(2 * draining.POLL_INTERVAL_MS)
        self.assertEqual([None], self.ended)

    def test_port_is_closed_once_no_request_is_left_or_at_the_limit(self):
        for is_answered, after_ms in ((True, 200), (False, LIMIT_MS)):
            with self.subTest(is_answered=is_answered):
                self.setUp()
                port = mock.Mock()
                self.connection.dataReceived(GET)
                self.start(port=port)
                self.advance(after_ms - draining.POLL_INTERVAL_MS)
                port.stopListening.assert_not_called()
                if is_answered:
                    self.connection.connectionLost()
                self.advance(draining.POLL_INTERVAL_MS)
                port.stopListening.assert_called_once_with()

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


class LoadTest(unittest.TestCase):
    """A process that stops while callers open one connection after another."""

    def setUp(self):
        self.seen = collections.Counter()
        self.is_over = threading.Event()

    def answer_later(self, exchange):
        self.reactor.callLater(
            ANSWER_S,
            lambda: exchange.respond(status=200, headers=(), body=b'x'),
        )

    def ask_always(self, number):
        """Ask until the process refuses connections, which is safe."""
        while not self.is_over.is_set():
            with socket.socket() as opened:
                opened.settimeout(TIMEOUT_S)
                try:
                    opened.connect(('127.0.0.1', number))
                except OSError:
                    return
                try:
                    opened.sendall(GET)
                    has_answer = bool(opened.recv(1))
                except OSError:
                    has_answer = False
                self.seen['answered' if has_answer else 'cut'] += 1

    def stop_once(self):
        self.reactor = epollreactor.EPollReactor()
        site = server.Site(
            reactor=self.reactor,
            clock=clock.MonotonicClock(),
            handle=self.answer_later,
            refusal=lambda status: ((), b''),
        )
        port = self.reactor.listenTCP(0, site, interface='127.0.0.1')
        callers = [
            threading.Thread(
                target=self.ask_always, args=(port.getHost().port,)
            )
            for _ in range(CALLERS)
        ]

        def stop():
            drain = draining.Drain(
                site=site, reactor=self.reactor, limit_ms=LIMIT_MS, port=port
            )
            drain.start().addCallback(lambda _: self.reactor.stop())

        for caller in callers:
            self.reactor.callWhenRunning(caller.start)
        self.reactor.callLater(RUN_S, stop)
        self.reactor.run(installSignalHandlers=False)
        self.is_over.set()
        for caller in callers:
            caller.join(TIMEOUT_S)
        self.is_over.clear()

    def test_no_accepted_connection_is_cut(self):
        # Of ten stops with four callers, 47 requests were cut unanswered.
        for _ in range(STOPS):
            self.stop_once()
        self.assertGreater(self.seen['answered'], 0)
        self.assertEqual(0, self.seen['cut'])
