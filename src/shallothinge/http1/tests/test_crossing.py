"""Tests of requests that arrive while their connection is being closed."""

import errno
import socket
import threading
import time
import unittest

from twisted.internet import epollreactor

from shallothinge import clock
from shallothinge.http1 import messages
from shallothinge.http1 import server

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n0\r\n\r\n'
)
TIMEOUT_S = 10.0
SHORT_S = 0.01
# The interval of a gateway.
LONG_S = 0.25
REFUSED_BODY = b'refused'
# Longer than a lingering close of an idle connection would take.
CLOSED_S = 3.0


class Machine:
    """A site on a real socket, and a caller in a thread of its own.

    :param interval_s: how often a stopping process closes idle connections.
    """

    def __init__(self, *, interval_s=SHORT_S, limits=messages.Limits()):
        self.reactor = epollreactor.EPollReactor()
        self.site = server.Site(
            reactor=self.reactor,
            clock=clock.MonotonicClock(),
            handle=self.answer,
            refusal=lambda status: ((), REFUSED_BODY),
            limits=limits,
        )
        self.interval_s = interval_s
        self.read_bytes = 0
        self.targets = []
        self.closed_count = threading.Semaphore(0)
        self.received = b''
        self.failure = None

    def answer(self, exchange):
        """Answer a request at once."""
        self.targets.append(exchange.head.target)
        exchange.respond(status=200, headers=(), body=exchange.body)

    def count_reads(self, connection):
        """Count the bytes that the process reads from a connection."""
        read = connection.dataReceived

        def data_received(data):
            self.read_bytes += len(data)
            read(data)

        connection.dataReceived = data_received

    def when(self, condition, function):
        """Call a function as soon as a condition holds."""
        if condition():
            function()
        else:
            self.reactor.callLater(SHORT_S / 2, self.when, condition, function)

    def stop(self):
        """Stop as a gateway does."""
        self.site.is_stopping = True
        self.site.close_idle()
        self.closed_count.release()
        if self.site.is_drained():
            self.reactor.stop()
        else:
            self.reactor.callLater(self.interval_s, self.stop)

    def run(self, *, call, start):
        """Run until the process has stopped.

        :param call: what the caller does with its socket, in its thread.
        :param start: called once the connection is established.
        """
        build = self.site.buildProtocol

        def build_protocol(address):
            connection = build(address)
            self.count_reads(connection)
            # Such calls run before the timers, in the next iteration.
            self.reactor.callFromThread(start)
            return connection

        self.site.buildProtocol = build_protocol
        port = self.reactor.listenTCP(0, self.site, interface='127.0.0.1')
        caller = threading.Thread(
            target=self._call, args=(port.getHost().port, call), daemon=True
        )
        self.reactor.callWhenRunning(caller.start)
        limit = self.reactor.callLater(TIMEOUT_S, self.reactor.stop)
        self.reactor.run(installSignalHandlers=False)
        is_late = not limit.active()
        caller.join(TIMEOUT_S)
        if is_late:
            raise AssertionError('the process did not stop')

    def _call(self, port, call):
        with socket.create_connection(('127.0.0.1', port)) as opened:
            opened.settimeout(TIMEOUT_S)
            try:
                call(opened)
            except OSError as error:
                self.failure = error

    def read_all(self, opened):
        """Read until the connection ends."""
        while data := opened.recv(65_536):
            self.received += data


class StoppingTest(unittest.TestCase):
    """A request that has arrived in part when its process stops."""

    def run_stop(self, pieces, *, interval_s):
        machine = Machine(interval_s=interval_s)

        def call(opened):
            for number, piece in enumerate(pieces):
                if number:
                    machine.closed_count.acquire(timeout=TIMEOUT_S)
                    machine.closed_count.acquire(timeout=TIMEOUT_S)
                opened.sendall(piece)
            machine.read_all(opened)

        machine.run(
            call=call,
            start=lambda: machine.when(
                lambda: machine.read_bytes >= len(pieces[0]), machine.stop
            ),
        )
        return machine

    def test_request_that_arrives_in_pieces_is_answered(self):
        rows = [
            (f'{name} after {length} bytes', [data[:length], data[length:]])
            for name, data, lengths in (
                ('head', GET, (1, 5, 16, 20, len(GET) - 1)),
                ('body', POST, (len(POST) - 4, len(POST) - 1)),
                ('chunks', CHUNKED, (len(CHUNKED) - 12, len(CHUNKED) - 2)),
                ('second head', GET + GET, (len(GET) + 1, len(GET) + 20)),
                ('second body', GET + POST, (len(GET + POST) - 1,)),
            )
            for length in lengths
        ]
        rows.append(('three', [GET[:3], GET[3:9], GET[9:]]))
        for interval_s in (SHORT_S, LONG_S):
            for name, pieces in rows:
                with self.subTest(name, interval_s=interval_s):
                    machine = self.run_stop(pieces, interval_s=interval_s)
                    count = b''.join(pieces).count(b' /a HTTP/1.1\r\n')
                    self.assertEqual(
                        count, machine.received.count(b'HTTP/1.1 200 ')
                    )
                    self.assertEqual(count, len(machine.targets))
                    self.assertIsNone(machine.failure)
                    self.assertEqual(
                        1,
                        machine.received.lower().count(b'connection: close'),
                    )

    def test_process_does_not_end_while_a_request_is_being_read(self):
        machine = Machine()
        drained = []

        def call(opened):
            opened.sendall(GET[:9])
            machine.read_all(opened)

        def look():
            machine.site.close_idle()
            drained.append(machine.site.is_drained())
            machine.reactor.stop()

        machine.run(
            call=call,
            start=lambda: machine.when(lambda: machine.read_bytes, look),
        )
        self.assertEqual([False], drained)

    def test_caller_that_never_finishes_its_head_is_refused(self):
        limits = messages.Limits(header_timeout_ms=200)
        for name, data in (('first', GET[:9]), ('second', GET + GET[:9])):
            with self.subTest(name):
                machine = Machine(limits=limits)

                def call(opened):
                    opened.sendall(data)
                    machine.read_all(opened)

                machine.run(
                    call=call,
                    start=lambda: machine.when(
                        lambda: machine.read_bytes, machine.stop
                    ),
                )
                self.assertIn(b'HTTP/1.1 408 ', machine.received)


class UnreadTest(unittest.TestCase):
    """Bytes that this host has received and the process has not read."""

    def run_unread(self, close, *, data=GET, limits=messages.Limits()):
        """Let bytes arrive while the process is busy, then close.

        :param close: called with the machine and a function that waits until
            the bytes have arrived.
        """
        machine = Machine(limits=limits)
        may_send = threading.Event()
        was_sent = threading.Event()

        def call(opened):
            may_send.wait(TIMEOUT_S)
            opened.sendall(data)
            was_sent.set()
            machine.read_all(opened)

        def wait_for_bytes():
            may_send.set()
            was_sent.wait(TIMEOUT_S)

        machine.run(call=call, start=lambda: close(machine, wait_for_bytes))
        return machine

    def test_request_is_answered_if_it_is_unread_when_its_process_stops(self):
        def stop(machine, wait_for_bytes):
            wait_for_bytes()
            machine.stop()

        for name, data in (('whole', GET), ('with a body', POST)):
            with self.subTest(name):
                machine = self.run_unread(stop, data=data)
                self.assertIn(b'HTTP/1.1 200 ', machine.received)
                self.assertIsNone(machine.failure)

    def test_request_is_answered_if_it_is_unread_at_the_idle_timeout(self):
        limits = messages.Limits(idle_timeout_ms=50)

        def block(machine, wait_for_bytes):
            wait_for_bytes()
            time.sleep(0.1)
            machine.when(lambda: not machine.site.connections, machine.stop)

        machine = self.run_unread(block, limits=limits)
        self.assertIn(b'HTTP/1.1 200 ', machine.received)

    def test_request_is_refused_if_it_comes_before_the_close_is_sent(self):
        def close(machine, wait_for_bytes):
            machine.site.close_idle()
            wait_for_bytes()
            machine.when(lambda: not machine.site.connections, machine.stop)

        for name, data in (('whole', GET), ('part', GET[:9])):
            with self.subTest(name):
                machine = self.run_unread(close, data=data)
                self.assertIn(b'HTTP/1.1 503 ', machine.received)
                self.assertTrue(machine.received.endswith(REFUSED_BODY))
                self.assertIn(b'connection: close', machine.received.lower())
                self.assertEqual([], machine.targets)

    def test_request_that_comes_after_the_close_is_reset_unread(self):
        kept = messages.Limits()
        short = messages.Limits(idle_timeout_ms=50)
        for name, first, is_stop, limits in (
            ('new connection', b'', True, kept),
            ('kept connection', GET, True, kept),
            ('idle timeout', GET, False, short),
        ):
            with self.subTest(name):
                machine = Machine()
                errors = []

                def call(opened):
                    opened.sendall(first)
                    machine.read_all(opened)
                    opened.sendall(POST)
                    end_s = time.monotonic() + CLOSED_S
                    while not errors and time.monotonic() < end_s:
                        error = opened.getsockopt(
                            socket.SOL_SOCKET, socket.SO_ERROR
                        )
                        if error:
                            errors.append(error)
                        time.sleep(SHORT_S)

                def close():
                    if is_stop:
                        machine.site.close_idle()
                    machine.when(
                        lambda: not machine.site.connections, machine.stop
                    )

                def start():
                    # The timeout counts from the first answer.
                    machine.site.limits = limits
                    machine.when(
                        lambda: len(machine.targets) == bool(first), close
                    )

                machine.run(call=call, start=start)
                self.assertEqual(len(first), machine.read_bytes)
                self.assertEqual(1, len(errors))
                self.assertIn(errors[0], (errno.ECONNRESET, errno.EPIPE))
