"""Tests of answers that faulty servers write out of place or break off."""

import unittest

from twisted.internet import error as net_errors
from twisted.python import failure

from shallothinge.gateway import reservation
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.http1.tests import fakes

STREAM = '/lohu930/1'
BOOKING = '/book/1'
CLOSED = failure.Failure(net_errors.ConnectionDone())
FIRST, SECOND = (f'id: {one}\ndata: {one}\n\n'.encode() for one in (1, 2))
UNRUN = ('not-executed', '1')
OTHER_ID = ('request-attempt-id', 'earlier')
OWN_ID = ('request-attempt-id', rig.REQUEST_ID)


def connect(listener):
    """Return an exchange that has sent its request."""
    exchange = client.ClientExchange(
        head=messages.RequestHead(
            method='POST', target='/', headers=(('host', 'h'),)
        ),
        body=b'',
        listener=listener,
    )
    exchange.makeConnection(fakes.Transport())
    return exchange


class StrayRefusalTest(unittest.TestCase):
    """Refusals that belong to another request."""

    def setUp(self):
        self.rig = rig.Rig(
            configuration=test_forwarding.only_engines({'attempts': 3})
        )

    @property
    def calls(self):
        return self.rig.caller.calls

    def test_refusal_of_an_earlier_request_does_not_promise_not_run(self):
        for status, headers in (
            (503, (OTHER_ID, UNRUN)),
            (503, (UNRUN,)),
            (429, (OTHER_ID, UNRUN)),
            (421, (OTHER_ID,)),
            (421, ()),
        ):
            with self.subTest(status=status, headers=headers):
                self.setUp()
                exchange = self.rig.request(BOOKING)
                self.calls[0].answer(status, headers=headers, ends=False)
                self.assertEqual(502, exchange.status)
                self.assertEqual(1, len(self.calls))
                self.assertTrue(self.calls[0].is_cancelled)

    def test_refusal_behind_an_answer_changes_nothing(self):
        answer = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
        refusal = b'HTTP/1.1 503 No\r\nnot-executed: 1\r\n\r\n'
        for data in ((answer + refusal,), (answer, refusal)):
            with self.subTest(data=data):
                listener = fakes.Listener()
                exchange = connect(listener)
                for one in data:
                    exchange.dataReceived(one)
                self.assertEqual(200, listener.head.status)
                self.assertEqual(b'ok', listener.body)
                self.assertIs(client.AnswerEnd.FRAMING, listener.end)

    def test_interim_answer_is_no_refusal(self):
        listener = fakes.Listener()
        exchange = connect(listener)
        exchange.dataReceived(b'HTTP/1.1 103 Early\r\nnot-executed: 1\r\n\r\n')
        self.assertIsNone(listener.head)
        exchange.dataReceived(
            b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
        )
        self.assertEqual(200, listener.head.status)
        self.assertEqual('', listener.head.get('not-executed'))


class SuccessorTest(unittest.TestCase):
    """Streams that began at one server and go on at another one."""

    def setUp(self):
        self.rig = rig.Rig(
            configuration=test_forwarding.only_engines({'attempts': 3})
        )

    @property
    def calls(self):
        return self.rig.caller.calls

    def fail_in_each_way(self):
        """Yield ways in which the next server does not go on."""
        signed = rig.SIGNED
        json_type = ('content-type', 'application/json')
        yield 'error', lambda call: call.answer(500, body=b'oops')
        yield 'unsigned error', lambda call: call.answer(
            500, headers=(OWN_ID,), body=b'oops'
        )
        yield 'refusal', lambda call: call.refuse()
        yield 'other instance', lambda call: call.answer(
            421, headers=(OWN_ID,), ends=False
        )
        yield 'other request', lambda call: call.answer(
            200, headers=(OTHER_ID, signed[1]), body=SECOND, ends=False
        )
        yield 'unsigned', lambda call: call.answer(
            200, headers=(OWN_ID,), body=SECOND, ends=False
        )
        yield 'no stream', lambda call: call.answer(
            200, headers=(*signed, json_type), body=b'{}'
        )
        yield 'no answer', lambda call: call.fail(was_sent=True)
        yield 'no connection', lambda call: call.fail(was_sent=False)

    def test_error_of_the_next_server_is_not_written_into_the_stream(self):
        for name, fail in self.fail_in_each_way():
            with self.subTest(name):
                self.setUp()
                exchange = self.rig.request(STREAM, tokens=5000)
                self.calls[0].answer(200, body=FIRST, ends=False)
                self.calls[0].fail(was_sent=True)
                for call in self.calls[1:]:
                    fail(call)
                self.rig.advance(5_000)
                for call in self.calls[2:]:
                    if not call.is_cancelled:
                        fail(call)
                self.rig.advance(5_000)
                self.assertEqual(FIRST, exchange.received)
                self.assertTrue(exchange.is_cut)
                self.assertEqual(200, exchange.status)

    def test_silent_server_goes_on_if_its_successor_fails(self):
        for is_begun in (False, True):
            for name, fail in self.fail_in_each_way():
                if name == 'no stream' and not is_begun:
                    # Before any event it is an answer like any other.
                    continue
                with self.subTest(name, is_begun=is_begun):
                    self.setUp()
                    exchange = self.rig.request(STREAM, tokens=5000)
                    received = b''
                    if is_begun:
                        self.calls[0].answer(200, body=FIRST, ends=False)
                        received = FIRST
                    self.rig.advance(2_000)
                    self.assertEqual(2, len(self.calls))
                    fail(self.calls[1])
                    self.assertEqual(received, exchange.received)
                    if is_begun:
                        self.calls[0].listener.on_data(SECOND)
                        self.calls[0].end()
                    else:
                        self.calls[0].answer(200, body=FIRST + SECOND)
                    self.assertFalse(exchange.is_cut)
                    self.assertEqual(FIRST + SECOND, exchange.received)
                    self.assertTrue(exchange.is_whole)


class CutHeadTest(unittest.TestCase):
    """Answers of which a server wrote a part before it closed."""

    def test_part_of_an_answer_is_never_a_success(self):
        head = b'HTTP/1.1 200 OK\r\nrequest-attempt-id: 9c41\r\n'
        for data in (
            head + b'Content-Length: 2\r\n\r\nok',
            head + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
        ):
            for size in range(len(data)):
                with self.subTest(data=data[:size]):
                    listener = fakes.Listener()
                    exchange = connect(listener)
                    exchange.dataReceived(data[:size])
                    exchange.connectionLost(CLOSED)
                    self.assertFalse(listener.has_ended)
                    self.assertTrue(listener.failure.was_sent)

    def test_part_of_the_answer_to_an_order_reserves_no_memory(self):
        data = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
        for size in range(len(data) + 1):
            with self.subTest(size=size):
                done = []
                exchange = connect(
                    reservation._OrderListener(
                        done=done.append, on_invalid_response=lambda: None
                    )
                )
                exchange.dataReceived(data[:size])
                exchange.connectionLost(CLOSED)
                self.assertEqual(1, len(done))
                self.assertEqual(size == len(data), done == [''])


if __name__ == '__main__':
    unittest.main()
