"""Tests of listening before the program is loaded, on real sockets."""

import socket
import threading
import unittest

from twisted.internet import epollreactor

from shallothinge import clock
from shallothinge.http1 import early
from shallothinge.http1 import server

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 10.0


class EarlyTest(unittest.TestCase):
    """Callers that connect while the process starts."""

    def test_caller_that_connects_before_the_start_is_answered(self):
        opened = early.open_listening('127.0.0.1:0')
        host, port = opened.getsockname()
        with socket.create_connection((host, port), TIMEOUT_S) as caller:
            caller.sendall(REQUEST)
            reactor = epollreactor.EPollReactor()
            site = server.Site(
                reactor=reactor,
                clock=clock.MonotonicClock(),
                handle=lambda exchange: exchange.respond(
                    status=200, headers=(), body=b'late'
                ),
                refusal=lambda status: ((), b''),
            )
            server.listen(
                site=site,
                address=f'{host}:{port}',
                reactor=reactor,
                opened=opened,
            )
            received = []

            def read():
                received.append(caller.recv(1000))
                reactor.callFromThread(reactor.stop)

            reader = threading.Thread(target=read, daemon=True)
            reader.start()
            reactor.run(installSignalHandlers=False)
            reader.join(TIMEOUT_S)
        self.assertIn(b'200', received[0])
        self.assertIn(b'late', received[0])

    def test_address_in_use_is_an_error_of_the_system(self):
        with early.open_listening('127.0.0.1:0') as opened:
            host, port = opened.getsockname()
            with self.assertRaises(OSError):
                early.open_listening(f'{host}:{port}')
