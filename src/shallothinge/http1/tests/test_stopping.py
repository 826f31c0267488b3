"""Tests of the end of a process that still answers, on real sockets."""

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
LOOK_S = 0.01
SHORT = b'x' * 100
# More than the kernel takes at once from a process whose peer does not read.
LONG = b'x' * 8_000_000


class Caller(threading.Thread):
    """Sends a request and reads until the connection ends.

    :param pause_s: how long it does not read what has arrived.
    :param kernel_bytes: what its kernel holds for it at most, None for the
        machine's default.
    """

    def __init__(self, *, port, pause_s, kernel_bytes=None):
        super().__init__(daemon=True)
        self._port = port
        self._pause_s = pause_s
        self._kernel_bytes = kernel_bytes
        self.received = b''

    def run(self):
        """Ask, and read all."""
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
    """A process that stops ends its answers before it goes."""

    def play(self, body, *, events, pause_s=0.0, kernel_bytes=None):
        """Stop as a gateway does, and answer meanwhile.

        :param events: 'head', 'data' and 'end' in the turns of the reactor
            in which they happen. In the last one the process looks whether
            it may end.
        :param kernel_bytes: what the kernel holds at most at the process
            and at its caller, None for the machine's defaults.
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
            reactor.callLater(LOOK_S, answer, exchange, list(events))

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
                reactor.callLater(LOOK_S, answer, exchange, turns)
            else:
                look()

        def look():
            site.is_stopping = True
            site.close_idle()
            if site.is_quiet():
                drained.callback(None)
            else:
                reactor.callLater(LOOK_S, look)

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
                received = self.play(body, events=events)
                self.assertEqual(
                    len(body), len(received.partition(b'\r\n\r\n')[2])
                )

    def test_caller_that_reads_late_gets_what_the_kernel_still_holds(self):
        # A slow reader lost the end of an answer that had left the process:
        # the connection was reset on top of what its kernel had not sent.
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
                received = self.play(
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
            received = self.play(
                LONG, events=[['head', 'data', 'end']], pause_s=0.5
            )
        self.assertEqual(len(LONG), len(received.partition(b'\r\n\r\n')[2]))
