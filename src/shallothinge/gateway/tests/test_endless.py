"""Tests of backend servers that send endless responses."""

import gc
import tracemalloc
import unittest

from shallothinge import memory
from shallothinge.gateway import reservation
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.http1 import client
from shallothinge.http1.tests import endless
from shallothinge.http1.tests import wires
from shallothinge.platform import names
from shallothinge.platform.tests import samples

BOOKING = test_forwarding.BOOKING
STREAM = test_forwarding.STREAM
SAFE = '/safe/1'
RESERVE = 'reserve'
RELEASE = 'release'
TOO_LONG_TOKENS = 464_000

# The longest body, its framing, and one read from the kernel.
MAX_BUFFERED_BYTES = client.MAX_BODY_BYTES + 1024 * 1024
SIGNED = (
    f'{names.REQUEST_ID}: {rig.REQUEST_ID}',
    f'{names.SIGNATURE}: s',
)
TRICKLE_MS = 50
MAX_TRICKLED_BYTES = 20
ROUTE_TIMEOUT_MS = 5000
HEAD = endless.head(*SIGNED)
CHUNKED = endless.head(*SIGNED, endless.IN_CHUNKS, '')
ENDLESS = endless.shapes(*SIGNED)


def configuration():
    """Return routes of each kind; all but the stream's use ``desk``."""
    fields = test_forwarding.only_engines()
    fields['routes'][0]['target-latency-ms'] = 3000
    fields['routes'][0]['timeout-ms'] = 15000
    fields['routes'].append(
        samples.route(
            name='r-3',
            host='a.example',
            prefix='/safe/',
            kind='safe',
            service='desk',
            timeout_ms=5000,
            objective_ms=300,
            attempts=2,
        )
    )
    return fields


class EndlessTest(unittest.TestCase):
    """A gateway reads a bounded amount of any endless response."""

    def setUp(self, *, answers_bytes=4 * client.MAX_BODY_BYTES):
        self.reactor = wires.Reactor()
        self.bodies = memory.Share(name='answers', limit_bytes=answers_bytes)
        self.rig = rig.Rig(
            configuration=configuration(),
            reactor=self.reactor,
            caller=client.HttpClient(
                reactor=self.reactor,
                connect_timeout_ms=1000,
                bodies=self.bodies,
            ),
        )

    def start(self, target, *, tokens=0):
        """Send a request, which opens its connections; return it."""
        exchange = self.rig.request(target, tokens=tokens, deadline_ms=15_000)
        self.rig.advance(0)
        return exchange

    def orders(self, operation):
        """Return the connections of all orders with an operation."""
        return [
            wire
            for wire in self.reactor.wires
            if wire.order.get('operation') == operation
        ]

    def grant_reservations(self):
        """Answer all open reservation orders with success."""
        for wire in self.orders(RESERVE):
            if wire.is_read:
                wire.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        self.rig.advance(0)

    def server_at(self, address):
        return self.rig.server_at(address).server_id

    def is_avoided(self, address):
        """Return whether the server at an address gets no new requests."""
        server = self.rig.server_at(address)
        candidates = self.rig.parts.servers.candidates(
            service=server.services[0], tried_ids=frozenset()
        )
        ids = [candidate.server_id for candidate in candidates]
        return server.server_id not in ids

    def assert_connection_closed(self, wire, first, again):
        """Check that an endless response is cut off at a bounded size.

        :param first: bytes that are sent once.
        :param again: bytes that are sent repeatedly after these.
        """
        is_closed = wire.pour(first, again, most_bytes=2 * MAX_BUFFERED_BYTES)
        self.assertTrue(is_closed, f'{wire.poured_bytes} bytes taken')
        self.assertLess(wire.poured_bytes, MAX_BUFFERED_BYTES)
        self.assertTrue(wire.transport.disconnecting)

    def assert_logged_once(self, logs, address):
        lines = [
            record
            for record in logs.records
            if record.getMessage() == 'attempt failed'
            and record.server_id == self.server_at(address)
        ]
        self.assertEqual(1, len(lines))
        self.assertEqual(rig.REQUEST_ID, lines[0].request_id)
        self.assertEqual('broken', lines[0].cause)
        self.assertTrue(lines[0].detail)
        self.assertLess(len(lines[0].detail), 200)

    def test_call_that_may_have_run_gets_an_error_and_is_not_repeated(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                exchange = self.start(BOOKING)
                (wire,) = self.reactor.wires
                with self.assertLogs('shallothinge.gateway') as logs:
                    self.assert_connection_closed(wire, first, again)
                self.assertEqual(502, exchange.status)
                self.rig.advance(0)
                self.assertEqual(1, len(self.reactor.wires))
                self.assert_logged_once(logs, wire.address)
                self.assertTrue(self.is_avoided(wire.address))
                self.assertEqual({}, self.rig.load.loads())

    def test_repeatable_call_is_answered_by_another_server(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                exchange = self.start(SAFE)
                (wire,) = self.reactor.wires
                with self.assertLogs('shallothinge.gateway') as logs:
                    self.assert_connection_closed(wire, first, again)
                self.assertIsNone(exchange.status)
                self.rig.advance(0)
                other = self.reactor.wires[1]
                self.assertNotEqual(wire.address, other.address)
                other.send(
                    endless.head(*SIGNED, 'Content-Length: 2', '') + b'ok'
                )
                self.assertEqual(
                    (200, b'ok'), (exchange.status, exchange.received)
                )
                self.assert_logged_once(logs, wire.address)
                self.assertTrue(self.is_avoided(wire.address))

    def test_stream_goes_on_at_another_server(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                exchange = self.start(STREAM, tokens=5000)
                (wire,) = self.reactor.wires
                with self.assertLogs('shallothinge.gateway') as logs:
                    self.assert_connection_closed(wire, first, again)
                self.assertIsNone(exchange.status)
                self.rig.advance(0)
                other = self.reactor.wires[1]
                other.send(CHUNKED + b'f\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n')
                self.assertEqual(b'id: 1\ndata: 1\n\n', exchange.received)
                self.assertTrue(exchange.is_whole)
                self.assert_logged_once(logs, wire.address)
                self.assertTrue(self.is_avoided(wire.address))

    def test_stream_that_has_begun_goes_on_without_the_endless_event(self):
        exchange = self.start(STREAM, tokens=5000)
        (wire,) = self.reactor.wires
        wire.send(HEAD + b'\r\nid: 1\ndata: 1\n\n')
        self.assert_connection_closed(wire, b'id: 2\ndata: ', b'x')
        self.rig.advance(0)
        other = self.reactor.wires[1]
        self.assertIn(b'last-event-id: 1\r\n', other.request.lower())
        other.send(HEAD + b'\r\nid: 2\ndata: 2\n\n')
        other.close()
        self.assertEqual(
            b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', exchange.received
        )
        self.assertTrue(exchange.is_whole)

    def test_stream_of_many_events_is_not_cut(self):
        exchange = self.start(STREAM, tokens=5000)
        (wire,) = self.reactor.wires
        event = b'data: ' + b'x' * 100_000 + b'\n\n'
        wire.pour(
            HEAD + b'\r\n', event, most_bytes=MAX_BUFFERED_BYTES + 100_000
        )
        self.assertTrue(wire.is_read)
        wire.close()
        self.assertTrue(exchange.is_whole)
        self.assertGreater(len(exchange.received), MAX_BUFFERED_BYTES)

    def test_stream_is_read_only_as_fast_as_its_caller_reads(self):
        exchange = self.start(STREAM, tokens=5000)
        (wire,) = self.reactor.wires
        event = b'data: ' + b'x' * 1000 + b'\n\n'
        wire.send(HEAD + b'\r\n' + event)
        exchange.flow.pauseProducing()
        self.assertTrue(wire.pour(b'', event, most_bytes=MAX_BUFFERED_BYTES))
        self.assertLess(wire.poured_bytes, wires.READ_BYTES)
        # A server that is not read from does not count as stalled.
        self.rig.advance(3000)
        self.assertFalse(wire.transport.disconnecting)
        self.assertEqual(1, len(self.reactor.wires))
        exchange.flow.resumeProducing()
        wire.send(event)
        wire.close()
        self.assertEqual(2 * event, exchange.received)
        self.assertTrue(exchange.is_whole)

    def test_stream_whose_caller_never_reads_ends_at_its_deadline(self):
        exchange = self.start(STREAM, tokens=5000)
        (wire,) = self.reactor.wires
        wire.send(HEAD + b'\r\ndata: 1\n\n')
        exchange.flow.pauseProducing()
        self.rig.advance(15_000)
        self.assertTrue(exchange.is_cut)
        self.assertTrue(wire.transport.was_aborted)
        self.assertEqual({}, self.rig.load.loads())

    def test_answer_that_trickles_ends_in_time(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                exchange = self.start(BOOKING)
                (wire,) = self.reactor.wires
                # A trickled head would run into the route's timeout.
                wire.send(first[:-1])
                for number in (first[-1:] + again)[:MAX_TRICKLED_BYTES]:
                    wire.send(bytes([number]))
                    self.rig.advance(TRICKLE_MS)
                self.rig.advance(ROUTE_TIMEOUT_MS)
                self.assertIn(exchange.status, (502, 504))
                self.assertTrue(wire.transport.was_aborted)
                self.assertEqual({}, self.rig.load.loads())

    def test_stream_without_data_ends_at_its_deadline(self):
        for name, again in (
            ('comments', b': x\n\n'),
            ('fields without data', b'foo: 1\n\n'),
            ('events without an id', b'data: 1\n\n'),
        ):
            with self.subTest(name):
                self.setUp()
                exchange = self.start(STREAM, tokens=5000)
                (wire,) = self.reactor.wires
                wire.send(HEAD + b'\r\n' + again)
                for _ in range(15):
                    self.rig.advance(1000)
                    wire.send(again * 100)
                self.assertTrue(exchange.is_cut)
                self.assertFalse(exchange.is_whole)
                self.assertTrue(wire.transport.was_aborted)
                self.assertEqual({}, self.rig.load.loads())

    def test_resumed_stream_is_not_read_while_its_caller_does_not_read(self):
        exchange = self.start(STREAM, tokens=5000)
        (wire,) = self.reactor.wires
        wire.send(HEAD + b'\r\nid: 1\ndata: 1\n\n')
        exchange.flow.pauseProducing()
        wire.close_badly()
        self.rig.advance(0)
        other = self.reactor.wires[1]
        self.assertFalse(other.is_read)
        exchange.flow.resumeProducing()
        self.assertTrue(other.is_read)

    def test_bodies_of_many_servers_are_bounded_together(self):
        self.setUp(answers_bytes=3_000_000)
        exchanges = [self.start(BOOKING) for _ in range(3)]
        opened = list(self.reactor.wires)
        opened[0].send(HEAD + b'\r\n' + b'x' * 1_000_000)
        opened[1].send(HEAD + b'\r\n' + b'x' * 1_200_000)
        self.assertTrue(all(wire.is_read for wire in opened))
        with self.assertLogs('shallothinge.memory') as logs:
            opened[2].send(HEAD + b'\r\n' + b'x' * 900_000)
        self.assertEqual('answers', logs.records[0].share)
        self.assertEqual(1, self.bodies.exceeded_count)
        self.assertEqual(
            [True, False, True], [wire.is_read for wire in opened]
        )
        self.assertEqual([None, 502, None], [one.status for one in exchanges])
        # Bodies that were passed on or dropped no longer count.
        opened[0].close()
        self.assertEqual(200, exchanges[0].status)
        self.assertEqual(900_000, self.bodies.held_bytes)
        opened[2].send(b'x' * 600_000)
        self.assertTrue(opened[2].is_read)

    def test_body_that_is_dropped_does_not_wait_for_garbage_collection(self):
        # Bodies that no longer counted took a process over its limit.
        self.setUp(answers_bytes=8_000_000)
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(2):
            self.start(BOOKING)
            wire = self.reactor.wires[-1]
            wire.pour(HEAD + b'\r\n', b'x', most_bytes=9_000_000)
            self.assertFalse(wire.is_read)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 1_000_000)

    def test_one_body_may_take_half_of_the_memory_for_all(self):
        self.setUp(answers_bytes=3_000_000)
        exchange = self.start(BOOKING)
        (wire,) = self.reactor.wires
        wire.send(HEAD + b'\r\n' + b'x' * 1_500_000)
        self.assertTrue(wire.is_read)
        wire.send(b'x')
        self.assertFalse(wire.is_read)
        self.assertEqual(502, exchange.status)
        self.assertEqual(0, self.bodies.held_bytes)

    def test_stream_does_not_count_towards_the_limit_of_all_bodies(self):
        self.setUp(answers_bytes=300_000)
        self.start(STREAM, tokens=5000)
        (wire,) = self.reactor.wires
        event = b'data: ' + b'x' * 100_000 + b'\n\n'
        wire.send(HEAD + b'\r\n' + event * 10)
        self.assertTrue(wire.is_read)

    def test_bytes_after_a_whole_answer_are_ignored(self):
        for fields, body in (
            ('Content-Length: 2', b'ok'),
            ('Transfer-Encoding: chunked', b'2\r\nok\r\n0\r\n\r\n'),
        ):
            with self.subTest(fields):
                self.setUp()
                exchange = self.start(BOOKING)
                (wire,) = self.reactor.wires
                first = endless.head(*SIGNED, fields, '') + body
                self.assert_connection_closed(wire, first, b'x')
                self.assertEqual(
                    (200, b'ok'), (exchange.status, exchange.received)
                )

    def test_refusal_as_not_run_counts_whatever_follows_its_head(self):
        exchange = self.start(BOOKING)
        (wire,) = self.reactor.wires
        first = endless.head(*SIGNED, f'{names.UNRUN}: 1', '', status=503)
        self.assert_connection_closed(wire, first, b'x')
        self.rig.advance(0)
        other = self.reactor.wires[1]
        self.assertNotEqual(wire.address, other.address)
        self.assertIsNone(exchange.status)

    def test_endless_answer_to_a_reservation_releases_all(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                self.start(STREAM, tokens=TOO_LONG_TOKENS)
                reserved = self.orders(RESERVE)
                wire = reserved[0]
                with self.assertLogs('shallothinge.gateway') as logs:
                    self.assert_connection_closed(wire, first, again)
                self.rig.advance(0)
                self.assertEqual(
                    {one.order['identifier'] for one in reserved},
                    {one.order['identifier'] for one in self.orders(RELEASE)},
                )
                (line,) = [
                    record
                    for record in logs.records
                    if record.getMessage() == 'memory was not reserved'
                ]
                self.assertEqual(rig.REQUEST_ID, line.request_id)
                self.assertEqual(self.server_at(wire.address), line.server_id)
                self.assertTrue(line.detail)
                self.assertTrue(self.is_avoided(wire.address))

    def test_endless_answer_to_a_release_is_given_up(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                exchange = self.start(STREAM, tokens=TOO_LONG_TOKENS)
                self.grant_reservations()
                exchange.on_disconnect()
                self.rig.advance(0)
                with self.assertLogs('shallothinge.gateway') as logs:
                    ticket_id = self.pour_releases(first, again)
                (line,) = [
                    record
                    for record in logs.records
                    if record.getMessage().startswith(
                        'memory was not released'
                    )
                ]
                self.assertEqual(ticket_id, line.ticket_id)
                self.assertEqual(rig.REQUEST_ID, line.request_id)
                self.assertTrue(line.detail)

    def pour_releases(self, first, again):
        """Answer each release of one ticket endlessly; return its id."""
        ticket_id = self.orders(RELEASE)[0].order['identifier']
        for number in range(reservation.RELEASE_ATTEMPTS):
            wire = [
                one
                for one in self.orders(RELEASE)
                if one.order['identifier'] == ticket_id
            ][number]
            self.assert_connection_closed(wire, first, again)
            self.rig.advance(reservation.RELEASE_AGAIN_MS)
            self.rig.advance(0)
        return ticket_id

    def test_endless_answer_to_a_renewal_leaves_the_request_alone(self):
        for name, first, again in ENDLESS:
            with self.subTest(name):
                self.setUp()
                exchange = self.start(STREAM, tokens=TOO_LONG_TOKENS)
                before = len(self.orders(RESERVE))
                self.grant_reservations()
                self.rig.advance(reservation.RENEW_MS)
                self.rig.advance(0)
                wire = self.orders(RESERVE)[before]
                self.assert_connection_closed(wire, first, again)
                self.assertIsNone(exchange.status)
                self.assertEqual([], self.orders(RELEASE))

    def test_orders_that_get_no_answer_are_given_up(self):
        self.start(STREAM, tokens=TOO_LONG_TOKENS)
        reserved = self.orders(RESERVE)
        self.assertTrue(reserved)
        self.rig.advance(reservation.HOLD_MS)
        for wire in reserved:
            self.assertTrue(wire.transport.was_aborted)


if __name__ == '__main__':
    unittest.main()
