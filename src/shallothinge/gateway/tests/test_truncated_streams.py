"""Tests of streams whose end looks sound, whole or not."""

import unittest

from twisted.internet import error as net_errors
from twisted.python import failure

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.http1 import client
from shallothinge.http1.tests import fakes

STREAM = '/lohu930/1'
LOGGER = 'shallothinge.gateway.request_log'
CLOSED = failure.Failure(net_errors.ConnectionDone())
RESET = failure.Failure(net_errors.ConnectionLost())
EVENTS = tuple(f'id: {one}\ndata: {one}\n\n'.encode() for one in (1, 2, 3))
STREAM_TYPE = ('content-type', 'text/event-stream')
JSON_TYPE = ('content-type', 'application/json')


def head_of(*lines):
    """Return the bytes of a signed head with further lines."""
    fields = (f'{name}: {value}' for name, value in rig.SIGNED)
    return '\r\n'.join(('HTTP/1.1 200 OK', *fields, *lines, '', '')).encode()


def unframed(events):
    """Return the pieces of an answer that ends with its connection."""
    return [head_of(), *events]


def chunked(events):
    """Return the pieces of an answer in chunks."""
    chunks = [b'%x\r\n%s\r\n' % (len(one), one) for one in events]
    return [head_of('Transfer-Encoding: chunked'), *chunks, b'0\r\n\r\n']


def with_length(events):
    """Return the pieces of an answer with a length."""
    size = sum(len(one) for one in events)
    return [head_of(f'Content-Length: {size}'), *events]


class WireClient:
    """An HTTP client whose connections are in memory."""

    def __init__(self):
        self.exchanges = []

    def call(self, *, address, head, body, listener, may_send, **_):
        """Connect at once."""
        exchange = client.ClientExchange(
            head=head, body=body, listener=listener, may_send=may_send
        )
        exchange.makeConnection(fakes.Transport())
        self.exchanges.append(exchange)
        return exchange


class CutAtEachByteTest(unittest.TestCase):
    """Answers that end after each of their bytes."""

    def play(self, data, reason, *, may_resume):
        """Let a server send bytes and end the connection."""
        caller = WireClient()
        play = rig.Rig(
            configuration=test_forwarding.only_engines(
                {'resume-streams': may_resume}
            ),
            caller=caller,
        )
        exchange = play.request(STREAM, tokens=5000)
        caller.exchanges[0].dataReceived(data)
        caller.exchanges[0].connectionLost(reason)
        return exchange, caller

    def check_broken_off(self, data, whole, reason, *, may_resume):
        """Check that no torn byte is passed on and the caller sees a cut."""
        exchange, caller = self.play(data, reason, may_resume=may_resume)
        if not may_resume and not whole:
            self.assertEqual(502, exchange.status)
            return
        self.assertEqual(b''.join(EVENTS[:whole]), exchange.received)
        self.assertEqual(not may_resume, exchange.is_cut)
        if may_resume:
            sent = caller.exchanges[1].transport.value().lower()
            self.assertEqual(
                whole > 0, b'last-event-id: %d\r\n' % whole in sent
            )
            rest = b''.join(chunked(EVENTS[whole:]))
            caller.exchanges[1].dataReceived(rest)
            self.assertTrue(exchange.is_whole)
            self.assertEqual(b''.join(EVENTS), exchange.received)

    def test_stream_that_breaks_off_is_never_passed_on_as_complete(self):
        for write, reason in (
            (unframed, CLOSED),
            (unframed, RESET),
            (chunked, CLOSED),
            (chunked, RESET),
            (with_length, CLOSED),
        ):
            pieces = write(EVENTS)
            data = b''.join(pieces)
            ends = [len(b''.join(pieces[:n])) for n in (2, 3, 4)]
            for size in range(len(data)):
                whole = len([end for end in ends if end <= size])
                # A chunk brings its event before the line end behind it.
                if write is chunked:
                    whole = len([end for end in ends if end - 2 <= size])
                is_sound = (
                    write is unframed and reason is CLOSED and size in ends
                )
                if is_sound:
                    continue
                for may_resume in (True, False):
                    with self.subTest(
                        write=write.__name__,
                        reason=reason.type.__name__,
                        size=size,
                        may_resume=may_resume,
                    ):
                        self.check_broken_off(
                            data[:size], whole, reason, may_resume=may_resume
                        )

    def test_unframed_stream_that_ends_between_events_is_whole(self):
        for count in (1, 2, 3):
            with self.subTest(count=count):
                data = b''.join(unframed(EVENTS[:count]))
                exchange, caller = self.play(data, CLOSED, may_resume=True)
                self.assertTrue(exchange.is_whole)
                self.assertEqual(b''.join(EVENTS[:count]), exchange.received)
                self.assertEqual(1, len(caller.exchanges))


class EndOfStreamTest(unittest.TestCase):
    """Which ends of a stream are taken for its end."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())

    @property
    def calls(self):
        return self.rig.caller.calls

    def answer(self, body, *, by_close, headers=rig.SIGNED):
        exchange = self.rig.request(STREAM, tokens=5000)
        self.calls[0].answer(200, headers=headers, body=body, ends=False)
        self.calls[0].end(by_close=by_close)
        return exchange

    def test_end_inside_an_event_is_not_the_end_of_the_stream(self):
        first = EVENTS[0]
        rows = (
            # body, is whole if framed, is whole if closed
            (first, True, True),
            (first + b'id: 2', False, False),
            (first + b'id: 2\ndata: 2\n', False, False),
            (b'id: 1', False, False),
            (b'', True, False),
            (b'\n\r\n', True, False),
            (b': comment\n\n', True, False),
            (first + b'\n', True, True),
            (first + b'\r\n\r\n', True, True),
            (first + b': comment\n', True, True),
            (first + b': comment\n\n', True, True),
            (first + b': comm', False, False),
            (first + b': comment\nid: 2', False, False),
            (b'id: 1\rdata: 1\r\r', True, True),
            (b'id: 1\ndata: 1\n\r', True, True),
            (b'id: 1\ndata: 1\r', False, False),
        )
        for body, if_framed, if_closed in rows:
            for by_close, is_whole in ((False, if_framed), (True, if_closed)):
                with self.subTest(body=body, by_close=by_close):
                    self.setUp()
                    exchange = self.answer(body, by_close=by_close)
                    self.assertEqual(is_whole, exchange.is_whole)
                    self.assertEqual(1 if is_whole else 2, len(self.calls))
                    if is_whole:
                        self.assertEqual(body, exchange.received)

    def test_answer_that_is_no_event_stream_is_as_whole_as_any_other(self):
        headers = (*rig.SIGNED, JSON_TYPE)
        for by_close in (False, True):
            with self.subTest(by_close=by_close):
                self.setUp()
                exchange = self.answer(
                    b'{"a":\n\n1}', by_close=by_close, headers=headers
                )
                self.assertTrue(exchange.is_whole)
                self.assertEqual(b'{"a":\n\n1}', exchange.received)
        self.setUp()
        exchange = self.rig.request(STREAM, tokens=5000)
        self.calls[0].answer(200, headers=headers, body=b'{"a', ends=False)
        self.calls[0].fail(was_sent=True)
        self.assertFalse(exchange.is_begun)
        self.assertEqual(2, len(self.calls))

    def test_stream_is_not_continued_with_an_answer_that_is_no_stream(self):
        exchange = self.answer(EVENTS[0] + b'id', by_close=True)
        self.calls[1].answer(200, headers=(*rig.SIGNED, JSON_TYPE), body=b'{}')
        self.assertTrue(exchange.is_cut)
        self.assertEqual(EVENTS[0], exchange.received)

    def test_truncated_stream_is_a_failure_of_its_server(self):
        self.answer(EVENTS[0] + b'id: 2', by_close=True)
        self.assertEqual(1, len(self.rig.load.report(complete=False).failed))

    def test_truncated_stream_is_logged_with_what_marked_its_end(self):
        for by_close, end in ((False, 'framing'), (True, 'close')):
            with self.subTest(by_close=by_close):
                self.setUp()
                with self.assertLogs(LOGGER, 'INFO') as logs:
                    self.answer(EVENTS[0] + b'id: 2', by_close=by_close)
                failed = next(
                    record
                    for record in logs.records
                    if record.getMessage() == 'attempt failed'
                )
                self.assertEqual(
                    (end, 5), (failed.answer_end, failed.rest_bytes)
                )
                self.assertIn('inside an event', failed.detail)


if __name__ == '__main__':
    unittest.main()
