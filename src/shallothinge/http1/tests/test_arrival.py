"""Tests of the time at which a request counts as received."""

import socket
import time

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from shallothinge import clock as clocks
from shallothinge.http1 import arrival
from shallothinge.http1 import server

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
BLOCKED_S = 0.4
# The kernel measures time in ticks of up to 10 ms.
TICK_MS = 10


class ArrivalTest(unittest.TestCase):
    """A site on a real socket, in a process that is blocked."""

    def setUp(self):
        self.clock = clocks.MonotonicClock()
        self.received = defer.Deferred()
        site = server.Site(
            reactor=reactor,
            clock=self.clock,
            handle=self.take,
            refusal=lambda status: ((), b''),
        )
        port = server.listen(site=site, address='127.0.0.1:0', reactor=reactor)
        self.addCleanup(port.stopListening)
        self.caller = socket.create_connection(
            ('127.0.0.1', port.getHost().port)
        )
        self.addCleanup(self.caller.close)

    def take(self, exchange):
        self.received.callback(exchange.received_ms)
        exchange.abort()

    @defer.inlineCallbacks
    def test_request_is_received_when_its_bytes_came(self):
        before_ms = self.clock.now_ms()
        self.caller.sendall(GET)
        sent_ms = self.clock.now_ms()
        time.sleep(BLOCKED_S)
        received_ms = yield self.received
        self.assertGreaterEqual(received_ms, before_ms - TICK_MS)
        self.assertLessEqual(received_ms, sent_ms + TICK_MS)


class UnknownTest(unittest.TestCase):
    """Transports without a socket."""

    def test_what_is_not_known_counts_as_no_time(self):
        self.assertEqual(0, arrival.waited_ms(object()))
