"""Tests of the shutdown of a process that answers, on real sockets."""

import socket
import threading
import time
import unittest
from unittest import mock

from twisted.internet import defer
from twisted.internet import epollreactor

from shallothinge import clock
from shallothinge.http1 import closing
from shallothinge.http1 import server

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01
SHORT = b'x' * 100
# More than the kernel buffers for a connection whose peer does not read.
LONG = b'x' * 8_000_000


class Caller(threading.Thread):
    """Sends a request and reads until the connection ends.

    :param pause_s: how long it waits before it reads.
    :param kernel_bytes: size of its receive buffer, None for the default of
        the machine.
    """

    def __init__(self, *, port, pause_s, kernel_bytes=None):
        super().__init__(daemon=True)
        self._port = port
        self._pause_s = pause_s
        self._kernel_bytes = kernel_bytes
        self.received = b''

    def run(self):
        """Send the request and read the whole answer."""
        with socket.socket() as opened:
            opened.settimeout(TIMEOUT_S)
            if self._kernel_bytes is not None:
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._kernel_bytes
                )
            opened.connect(('127.0.0.1', self._port))
            opened.sendall(REQUEST)
            time.sleep(self._pause_s)
            try:
                while data := opened.recv(65_536):
                    self.received += data
            except ConnectionError:
                return


class StoppingTest(unittest.TestCase):
    """A process completes its answers before it exits."""

    def run_shutdown(self, body, *, events, pause_s=0.0, kernel_bytes=None):
        """Shut down as a gateway does, and answer a request meanwhile.

        :param events: lists of 'head', 'data' and 'end', one list for each
            iteration of the reactor. After the last one the process checks
            whether it may exit.
        :param kernel_bytes: sizes of the send buffer of the process and the
            receive buffer of the caller, None for the machine's defaults.
        :returns: the bytes that the caller received.
        """
        reactor = epollreactor.EPollReactor()
        drained = defer.Deferred()
        site = server.Site(
            reactor=reactor,
            clock=clock.MonotonicClock(),
            handle=lambda exchange: stop(exchange),
            refusal=lambda status: ((), b''),
        )

        def stop(exchange):
            reactor.addSystemEventTrigger(
                'before', 'shutdown', lambda: drained
            )
            reactor.stop()
            reactor.callLater(POLL_INTERVAL_S, answer, exchange, list(events))

        def answer(exchange, turns):
            for event in turns.pop(0):
                if event == 'head':
                    length = str(len(body))
                    exchange.begin(
                        status=200, headers=(('content-length', length),)
                    )
                elif event == 'data':
                    exchange.write(body)
                else:
                    exchange.finish()
            if turns:
                reactor.callLater(POLL_INTERVAL_S, answer, exchange, turns)
            else:
                poll_drained()

        def poll_drained():
            site.is_stopping = True
            site.close_idle()
            if site.is_drained():
                drained.callback(None)
            else:
                reactor.callLater(POLL_INTERVAL_S, poll_drained)

        port = reactor.listenTCP(0, site, interface='127.0.0.1')
        caller_bytes = None
        if kernel_bytes is not None:
            sent_bytes, caller_bytes = kernel_bytes
            port.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, sent_bytes
            )
        caller = Caller(
            port=port.getHost().port,
            pause_s=pause_s,
            kernel_bytes=caller_bytes,
        )
        caller.start()
        reactor.run(installSignalHandlers=False)
        caller.join(TIMEOUT_S)
        return caller.received

    def test_process_does_not_end_before_its_answers_are_written(self):
        rows = (
            ('all at once', SHORT, [['head', 'data', 'end']]),
            ('end after the rest', SHORT, [['head', 'data'], ['end']]),
            ('data with the end', SHORT, [['head'], ['data', 'end']]),
            ('long answer', LONG, [['head', 'data', 'end']]),
        )
        for name, body, events in rows:
            with self.subTest(name):
                received = self.run_shutdown(body, events=events)
                self.assertEqual(
                    len(body), len(received.partition(b'\r\n\r\n')[2])
                )

    def test_caller_that_reads_late_gets_what_the_kernel_still_holds(self):
        # Guards against a truncated answer: the connection was reset while
        # the kernel still had data to send to a slow reader.
        small = b'x' * 300_000
        rows = (
            ('kernel holds all', small, (1_000_000, 4_000)),
            ('kernel holds half', small, (80_000, 4_000)),
            ('kernel holds little', small, (8_000, 4_000)),
            ('kernel of the caller holds all', small, (8_000, 1_000_000)),
            ('large answer', LONG, (1_000_000, 200_000)),
        )
        for name, body, kernel_bytes in rows:
            with (
                self.subTest(name),
                mock.patch.object(closing, 'LINGER_MS', 100),
            ):
                received = self.run_shutdown(
                    body,
                    events=[['head', 'data', 'end']],
                    pause_s=0.5,
                    kernel_bytes=kernel_bytes,
                )
                self.assertEqual(
                    len(body), len(received.partition(b'\r\n\r\n')[2])
                )

    def test_caller_that_reads_late_gets_all_of_its_answer(self):
        with mock.patch.object(closing, 'LINGER_MS', 100):
            received = self.run_shutdown(
                LONG, events=[['head', 'data', 'end']], pause_s=0.5
            )
        self.assertEqual(len(LONG), len(received.partition(b'\r\n\r\n')[2]))

    def test_request_at_the_stop_limit_gets_a_status(self):
        reactor = epollreactor.EPollReactor()
        drained = defer.Deferred()
        site = server.Site(
            reactor=reactor,
            clock=clock.MonotonicClock(),
            handle=lambda exchange: reactor.stop(),
            refusal=lambda status: ((), b''),
        )

        def stop():
            site.end()
            reactor.callLater(POLL_INTERVAL_S, drained.callback, None)
            return drained

        reactor.addSystemEventTrigger('before', 'shutdown', stop)
        port = reactor.listenTCP(0, site, interface='127.0.0.1')
        caller = Caller(port=port.getHost().port, pause_s=0.0)
        caller.start()
        with self.assertLogs('shallothinge.http1.server', 'WARNING') as logs:
            reactor.run(installSignalHandlers=False)
        caller.join(TIMEOUT_S)
        self.assertIn(b'HTTP/1.1 500 ', caller.received)
        self.assertEqual(1, logs.records[0].connection_count)
