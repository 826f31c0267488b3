"""Tests of the end of a process that still answers, on real sockets."""

import socket
import threading
import time
import unittest
from unittest import mock

from twisted.internet import defer
from twisted.internet import epollreactor

from shallothinge import clock
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
    """

    def __init__(self, *, port, pause_s):
        super().__init__(daemon=True)
        self._port = port
        self._pause_s = pause_s
        self.received = b''

    def run(self):
        """Ask, and read all."""
        address = ('127.0.0.1', self._port)
        with socket.create_connection(address, TIMEOUT_S) as opened:
            opened.sendall(REQUEST)
            time.sleep(self._pause_s)
            try:
                while data := opened.recv(65_536):
                    self.received += data
            except ConnectionError:
                return


class StoppingTest(unittest.TestCase):
    """A process that stops ends its answers before it goes."""

    def play(self, body, *, events, pause_s=0.0):
        """Stop as a gateway does, and answer meanwhile.

        :param events: 'head', 'data' and 'end' in the turns of the reactor
            in which they happen. In the last one the process looks whether
            it may end.
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
        caller = Caller(port=port.getHost().port, pause_s=pause_s)
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

    def test_caller_that_reads_late_gets_all_of_its_answer(self):
        with mock.patch.object(server, 'LINGER_MS', 100):
            received = self.play(
                LONG, events=[['head', 'data', 'end']], pause_s=0.5
            )
        self.assertEqual(len(LONG), len(received.partition(b'\r\n\r\n')[2]))
