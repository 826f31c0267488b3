"""Tests of the HTTP/1.1 server."""

import itertools
import unittest
from unittest import mock

from twisted.internet import task

from shallothinge import clock
from shallothinge import memory
from shallothinge.http1 import closing
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1 import messages
from shallothinge.http1 import server
from shallothinge.http1.tests import fakes

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
OK = b'HTTP/1.1 200 '
PUT = b'PUT /a HTTP/1.1\r\nHost: h\r\n'
CHUNKED = PUT + b'Transfer-Encoding: chunked\r\n\r\n'
MOST_ENDLESS_BYTES = 100_000
TRICKLE_MS = 25
# Rows of a name, the first bytes and the bytes to repeat.
ENDLESS = (
    ('no request at all', b'', b'\x00\xff'),
    ('blank lines', b'', b'\r\n'),
    ('method', b'', b'x'),
    ('target', b'PUT /', b'x'),
    ('header line', PUT + b'X: ', b'x'),
    ('header lines', PUT, b'X: y\r\n'),
    ('length', PUT + b'Content-Length: ', b'9'),
    ('length of 150 digits', PUT + b'Content-Length: ' + b'9' * 150, b'\r\n'),
    ('long chunks', CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    ('short chunks', CHUNKED, b'1\r\nx\r\n'),
    ('chunk size', CHUNKED, b'0'),
    ('chunk extension', CHUNKED + b'1;x=', b'x'),
    ('trailer line', CHUNKED + b'0\r\nX: ', b'x'),
    ('trailer lines', CHUNKED + b'0\r\n', b'X: y\r\n'),
)


class ServerTest(unittest.TestCase):
    """One connection of a caller."""

    def setUp(self):
        self.reactor = task.Clock()
        self.exchanges = []
        self.site = server.Site(
            reactor=self.reactor,
            clock=clock.ManualClock(),
            handle=self.exchanges.append,
            refusal=lambda status: ((), b'refused'),
            limits=messages.Limits(
                header_bytes=200,
                body_bytes=10,
                header_timeout_ms=3000,
                idle_timeout_ms=15000,
            ),
        )
        self.connection = self.site.buildProtocol(None)
        self.transport = fakes.Transport()
        self.connection.makeConnection(self.transport)

    def receive(self, data):
        self.connection.dataReceived(data)

    def respond(self, exchange):
        exchange.respond(status=200, headers=(), body=b'yes')

    def connect(self):
        """Return another connection of the site, with its transport."""
        connection = self.site.buildProtocol(None)
        transport = fakes.Transport()
        connection.makeConnection(transport)
        return connection, transport

    def test_bodies_beyond_their_memory_are_refused_until_some_is_free(self):
        # Callers with bodies took a process over its memory limit.
        self.site.bodies = memory.Share(name='requests', limit_bytes=12)
        self.receive(PUT + b'Content-Length: 8\r\n\r\n' + b'x' * 8)
        rows = (
            (PUT + b'Content-Length: 8\r\n\r\n', 0),
            (CHUNKED + b'8\r\n' + b'x' * 8 + b'\r\n', 0),
            (PUT + b'Content-Length: 4\r\n\r\n' + b'x' * 4, 1),
        )
        for data, taken in rows:
            with self.subTest(data=data):
                del self.exchanges[1:]
                connection, transport = self.connect()
                connection.dataReceived(data)
                refused = transport.value().startswith(b'HTTP/1.1 503 ')
                self.assertEqual(not taken, refused)
                self.assertEqual(taken, len(self.exchanges) - 1)
                connection.connectionLost()
                self.assertEqual(8, self.site.bodies.held_bytes)
        self.assertEqual(2, self.site.bodies.exceeded_count)
        self.respond(self.exchanges[0])
        self.assertEqual(0, self.site.bodies.held_bytes)

    def test_memory_of_a_body_is_free_however_its_request_ends(self):
        self.site.bodies = memory.Share(name='requests', limit_bytes=12)
        whole = PUT + b'Content-Length: 8\r\n\r\n' + b'x' * 8
        for name, data, end in (
            ('answered', whole, lambda one: self.respond(self.exchanges[-1])),
            ('cut', whole, lambda one: self.exchanges[-1].abort()),
            ('caller gone', whole, lambda one: one.connectionLost()),
            ('broken off', whole[:-2], lambda one: one.connectionLost()),
            ('malformed', CHUNKED + b'2\r\nxx\r\nzz\r\n', lambda one: None),
        ):
            with self.subTest(name):
                connection, _ = self.connect()
                connection.dataReceived(data)
                end(connection)
                self.assertEqual(0, self.site.bodies.held_bytes)

    def test_whole_request_is_handed_over(self):
        self.receive(b'POST /a?b HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n')
        self.receive(b'Content-Length: 3\r\n\r\nab')
        self.assertEqual([], self.exchanges)
        self.receive(b'c')
        (exchange,) = self.exchanges
        self.assertEqual('/a?b', exchange.head.target)
        self.assertEqual('1', exchange.head.get('x-a'))
        self.assertEqual(b'abc', exchange.body)

    def test_request_that_breaks_its_handler_is_answered_at_once(self):
        stopped = []

        def handle(exchange):
            exchange.on_disconnect = lambda: stopped.append(exchange)
            raise ValueError('no such thing')

        self.site.handle = handle
        with self.assertLogs('shallothinge.http1.server', 'ERROR'):
            self.receive(GET)
        self.assertIn(b'HTTP/1.1 500 ', self.transport.value())
        self.assertEqual(1, len(stopped))

    def test_owner_of_an_answer_that_breaks_http_is_told(self):
        rows = (
            ('data', lambda exchange: exchange.write(b'too long')),
            ('end', lambda exchange: exchange.finish()),
        )
        for name, write in rows:
            with self.subTest(name):
                self.setUp()
                told = mock.Mock()
                self.receive(GET)
                (exchange,) = self.exchanges
                exchange.on_disconnect = told
                exchange.begin(status=200, headers=(('content-length', '2'),))
                with self.assertLogs('shallothinge.http1.server') as logs:
                    for _ in range(2):
                        write(exchange)
                self.assertEqual(1, len(logs.output))
                self.assertEqual('/a', logs.records[0].target)
                told.assert_called_once_with()
                self.assertTrue(exchange.is_ended)
                self.assertTrue(self.transport.was_aborted)
                self.assertIs(
                    exchanges.EarlyEnd.INVALID_ANSWER, exchange.early_end
                )

    def test_chunked_body(self):
        self.receive(b'POST /a HTTP/1.1\r\nHost: h\r\n')
        self.receive(b'Transfer-Encoding: chunked\r\n\r\n')
        self.receive(b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n')
        self.assertEqual(b'abc', self.exchanges[0].body)

    def test_source_is_held_back_while_the_caller_does_not_read(self):
        self.receive(GET)
        (exchange,) = self.exchanges
        sources = [mock.Mock(), mock.Mock()]
        exchange.flow.set_source(sources[0])
        exchange.begin(status=200, headers=())
        self.assertTrue(self.transport.streaming)
        self.transport.producer.pauseProducing()
        sources[0].pause.assert_called_once_with()
        exchange.flow.set_source(sources[1])
        sources[1].pause.assert_called_once_with()
        self.transport.producer.resumeProducing()
        sources[0].resume.assert_not_called()
        sources[1].resume.assert_called_once_with()

    def test_connection_is_free_for_the_next_answer_after_each(self):
        for _ in range(2):
            self.receive(GET)
            exchange = self.exchanges[-1]
            exchange.begin(status=200, headers=(('content-length', '2'),))
            exchange.write(b'ok')
            self.assertIsNotNone(self.transport.producer)
            exchange.finish()
            self.assertIsNone(self.transport.producer)
        self.receive(GET)
        self.exchanges[-1].begin(status=200, headers=())
        self.exchanges[-1].abort()
        self.assertIsNone(self.transport.producer)
        self.assertTrue(self.transport.was_aborted)

    def test_second_request_waits_for_the_first_answer(self):
        self.receive(GET + GET.replace(b'/a', b'/b'))
        self.assertEqual(1, len(self.exchanges))
        self.respond(self.exchanges[0])
        self.assertEqual('/b', self.exchanges[1].head.target)
        self.respond(self.exchanges[1])
        self.assertEqual(2, self.transport.value().count(OK))
        self.assertFalse(self.transport.disconnecting)

    def test_what_can_not_be_read_is_refused(self):
        cases = (
            (b'nonsense\r\n\r\n', b'400'),
            (b'GET /a HTTP/1.1\r\nX: ' + b'x' * 300, b'431'),
            (
                b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n',
                b'413',
            ),
            (
                b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'400',
            ),
            (
                b'POST / HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n',
                b'413',
            ),
        )
        for data, status in cases:
            with self.subTest(data=data):
                self.setUp()
                self.receive(data)
                answer = self.transport.value()
                self.assertTrue(answer.startswith(b'HTTP/1.1 ' + status))
                self.assertEqual([], self.exchanges)
                self.assertTrue(self.transport.was_half_closed)

    def test_request_without_end_is_refused(self):
        # The server also receives the heartbeats of backend servers.
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                sent_bytes = 0
                for piece in itertools.chain([first], itertools.repeat(again)):
                    if self.transport.was_half_closed:
                        break
                    if piece:
                        self.receive(piece)
                    sent_bytes += len(piece)
                    self.assertLess(sent_bytes, MOST_ENDLESS_BYTES)
                self.assertEqual([], self.exchanges)

    def test_request_that_trickles_is_refused_in_time(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                pieces = itertools.chain([first], itertools.repeat(again))
                trickled_ms = 0
                for number in itertools.chain.from_iterable(pieces):
                    if self.transport.was_half_closed:
                        break
                    self.receive(bytes([number]))
                    self.reactor.advance(TRICKLE_MS / 1000)
                    trickled_ms += TRICKLE_MS
                    self.assertLess(trickled_ms, 19_000)
                self.assertEqual([], self.exchanges)

    def test_slow_head_is_refused_and_idle_connection_closed(self):
        self.receive(b'GET /a HT')
        self.reactor.advance(3.1)
        self.assertTrue(self.transport.value().startswith(b'HTTP/1.1 408'))
        self.setUp()
        self.reactor.advance(14.9)
        self.assertFalse(self.transport.was_half_closed)
        self.reactor.advance(0.2)
        self.assertEqual(b'', self.transport.value())
        self.assertTrue(self.transport.was_half_closed)

    def test_aborted_answer_does_not_look_complete(self):
        self.receive(GET)
        exchange = self.exchanges[0]
        exchange.begin(status=200, headers=())
        exchange.write(b'part')
        exchange.abort()
        self.assertTrue(self.transport.was_aborted)
        self.assertNotIn(b'0\r\n\r\n', self.transport.value())

    def test_owner_is_told_that_the_caller_has_gone(self):
        self.receive(GET)
        gone = []
        self.exchanges[0].on_disconnect = lambda: gone.append(True)
        self.connection.connectionLost()
        self.assertEqual([True], gone)
        self.respond(self.exchanges[0])
        self.assertEqual(b'', self.transport.value())

    def test_caller_that_half_closes_is_disconnected(self):
        for data, is_aborted in ((b'', False), (GET, True)):
            with self.subTest(data=data):
                self.setUp()
                self.receive(data)
                self.connection.readConnectionLost()
                self.assertEqual(is_aborted, self.transport.was_aborted)
                self.assertTrue(self.transport.disconnecting)

    def test_half_close_does_not_destroy_an_answer_that_is_being_sent(self):
        last = GET[:-2] + b'Connection: close\r\n\r\n'
        long = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n'
        chunks = CHUNKED + b'b\r\n01234567890\r\n'
        for name, data, more in (
            ('after the last answer', last, b''),
            ('after bytes that crossed it', last, GET),
            ('after a refused head', long, b'x'),
            ('after a refused body', chunks, b''),
        ):
            with self.subTest(name):
                self.setUp()
                self.receive(data)
                for exchange in self.exchanges:
                    self.respond(exchange)
                self.receive(more)
                self.connection.readConnectionLost()
                self.assertFalse(self.transport.was_aborted)
                self.assertTrue(self.transport.disconnecting)

    def test_connection_lingers_until_all_is_acknowledged(self):
        self.receive(GET)
        self.site.is_stopping = True
        self.respond(self.exchanges[0])
        self.reactor.advance(2 * closing.LINGER_MS / 1000)
        self.assertFalse(self.transport.disconnecting)
        self.transport.acked_bytes = len(self.transport.value())
        self.connection.writeConnectionLost()
        self.reactor.advance(closing.LINGER_MS / 1000)
        self.assertTrue(self.transport.disconnecting)
        self.assertFalse(self.transport.was_aborted)

    def test_stopping_site_asks_to_close(self):
        self.receive(GET)
        self.site.is_stopping = True
        self.respond(self.exchanges[0])
        self.assertIn(b'connection: close', self.transport.value().lower())
        self.assertTrue(self.transport.was_half_closed)

    def test_stopping_site_answers_a_pipelined_request_before_it_closes(self):
        self.receive(GET + GET)
        self.site.is_stopping = True
        self.respond(self.exchanges[0])
        self.assertNotIn(b'connection: close', self.transport.value().lower())
        self.respond(self.exchanges[1])
        self.assertEqual(2, self.transport.value().count(OK))
        self.assertIn(b'connection: close', self.transport.value().lower())

    def test_only_idle_connections_are_closed(self):
        self.receive(GET)
        self.site.close_idle()
        self.assertFalse(self.transport.was_half_closed)
        self.assertFalse(self.site.is_drained())
        self.respond(self.exchanges[0])
        self.site.close_idle()
        self.assertTrue(self.transport.was_half_closed)

    def test_owner_that_fails_at_the_stop_limit_keeps_nobody_waiting(self):
        # Guards against a stop without end: the error stopped the loop.
        transports = []
        for _ in range(2):
            connection = self.site.buildProtocol(None)
            transports.append(fakes.Transport())
            connection.makeConnection(transports[-1])
            connection.dataReceived(GET)
            self.exchanges[-1].on_disconnect = mock.Mock(
                side_effect=RuntimeError('injected')
            )
        with self.assertLogs(level='ERROR') as logs:
            self.site.end()
        self.assertEqual(2, len(logs.records))
        for transport in transports:
            self.assertIn(b'HTTP/1.1 500 ', transport.value())
