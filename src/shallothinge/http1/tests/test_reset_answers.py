"""Tests of answers without framing from servers that reset the connection.

The sockets are real, as it depends on the kernel's buffers what a client sees
of a reset.
"""

import socket
import struct
import threading
import time
import unittest

from twisted.internet import epollreactor

from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.http1.tests import fakes

UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nok'
FRAMED = b'HTTP/1.1 413 Too Long\r\nContent-Length: 2\r\n\r\nno'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
SIZES = (0, 800, 300_000, 4_000_000)
ROUNDS = 3
TIMEOUT_S = 5.0
# Between what a server does at the end of a connection.
PAUSE_S = 0.002
READ_BYTES = 65_536


def read_head(connection):
    """Read up to the end of the head; return what came of the body."""
    data = b''
    while b'\r\n\r\n' not in data:
        data += connection.recv(1)
    return data.partition(b'\r\n\r\n')[2]


def read_all(connection, size):
    """Read a whole request with a body of some size."""
    left = size - len(read_head(connection))
    while left > 0:
        left -= len(connection.recv(READ_BYTES))


def close_unread(connection, size):
    """Answer at once, and close with the body unread."""
    read_head(connection)
    connection.sendall(UNFRAMED)
    connection.close()


def finish_and_close_unread(connection, size):
    """Answer at once, end the answer, and close with the body unread."""
    read_head(connection)
    connection.sendall(UNFRAMED)
    connection.shutdown(socket.SHUT_WR)
    connection.close()


def finish_and_close_later(connection, size):
    """As before, with a pause before the close."""
    read_head(connection)
    connection.sendall(UNFRAMED)
    connection.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S)
    connection.close()


def read_and_reset(connection, size):
    """Read the whole request, end the answer, and reset the connection."""
    read_all(connection, size)
    connection.sendall(UNFRAMED)
    connection.shutdown(socket.SHUT_WR)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def read_and_close(connection, size):
    """Read the whole request, answer, and close."""
    read_all(connection, size)
    connection.sendall(UNFRAMED)
    connection.close()


def answer_and_read_on(connection, size):
    """Answer and end the answer at once, then read the rest, and close."""
    left = size - len(read_head(connection))
    connection.sendall(UNFRAMED)
    connection.shutdown(socket.SHUT_WR)
    while left > 0:
        left -= len(connection.recv(READ_BYTES))
    connection.close()


def frame_and_close_unread(connection, size):
    """Refuse a long body with a framed answer, and read on for a while."""
    read_head(connection)
    connection.sendall(FRAMED)
    time.sleep(PAUSE_S)
    connection.close()


class Server:
    """Treats one connection as a function tells."""

    def __init__(self, *, treat, size):
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._socket.getsockname()[1]
        self._treat, self._size = treat, size
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        connection, _ = self._socket.accept()
        try:
            self._treat(connection, self._size)
        except OSError:
            # The client went first.
            connection.close()
        self._socket.close()

    def join(self):
        """Return once the connection was treated."""
        self._thread.join(TIMEOUT_S)


class EndListener(fakes.Listener):
    """Tells when an exchange is over."""

    def __init__(self, *, on_over):
        super().__init__()
        self._on_over = on_over

    def on_end(self, end):
        """Record the end."""
        super().on_end(end)
        self._on_over()

    def on_failure(self, failure):
        """Record the failure."""
        super().on_failure(failure)
        self._on_over()


class ResetAnswerTest(unittest.TestCase):
    """What a client makes of the end of an answer without framing."""

    def ask(self, treat, size):
        """Send a request; return what became of it."""
        reactor = epollreactor.EPollReactor()
        server = Server(treat=treat, size=size)
        listener = EndListener(on_over=reactor.stop)
        client.HttpClient(reactor=reactor, connect_timeout_ms=1000).call(
            address=server.address,
            head=messages.RequestHead(
                method='POST', target='/a', headers=(('host', 'h'),)
            ),
            body=b'x' * size,
            listener=listener,
        )
        late = reactor.callLater(TIMEOUT_S, reactor.stop)
        reactor.run(installSignalHandlers=False)
        self.assertTrue(late.active(), 'no end in time')
        server.join()
        return listener

    def test_answer_cut_by_a_reset_is_not_complete(self):
        # Callers got the bytes before a reset as a whole, signed answer.
        for treat in (
            close_unread,
            finish_and_close_unread,
            finish_and_close_later,
            read_and_reset,
        ):
            # Of a request without a body nothing is left unread.
            for size in SIZES[1:]:
                with self.subTest(treat=treat.__name__, size=size):
                    for _ in range(ROUNDS):
                        listener = self.ask(treat, size)
                        self.assertFalse(listener.has_ended)
                        self.assertTrue(listener.failure.was_sent)

    def test_answer_that_ends_with_its_connection_is_complete(self):
        for treat in (read_and_close, answer_and_read_on):
            for size in SIZES:
                with self.subTest(treat=treat.__name__, size=size):
                    for _ in range(ROUNDS):
                        listener = self.ask(treat, size)
                        self.assertIsNone(listener.failure)
                        self.assertIs(client.AnswerEnd.CLOSE, listener.end)
                        self.assertEqual(b'ok', listener.body)

    def test_framed_refusal_of_a_long_body_is_complete(self):
        for size in SIZES[1:]:
            with self.subTest(size=size):
                for _ in range(ROUNDS):
                    listener = self.ask(frame_and_close_unread, size)
                    self.assertIsNone(listener.failure)
                    self.assertEqual(413, listener.head.status)
                    self.assertEqual(b'no', listener.body)


if __name__ == '__main__':
    unittest.main()
