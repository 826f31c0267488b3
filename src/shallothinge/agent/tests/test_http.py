"""Tests of answers of backend servers to their agents."""

import unittest

from twisted.internet import error as net_errors
from twisted.python import failure

from shallothinge.agent import http
from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.http1.tests import fakes

CLOSED = failure.Failure(net_errors.ConnectionDone())
HEAD = b'HTTP/1.1 200 OK\r\n'


class Receiver:
    """Records a body that is delivered as it arrives."""

    def __init__(self):
        self.body = b''
        self.has_ended = False

    def received(self, data):
        """Record some bytes."""
        self.body += data

    def ended(self):
        """Record the end, whole or not."""
        self.has_ended = True


class CutAnswerTest(unittest.TestCase):
    """Answers that end after some of their bytes."""

    def play(self, data, take):
        """Return how an answer ended: ``Broken``, or its body."""
        response = http.Response()
        exchange = client.ClientExchange(
            head=messages.RequestHead(
                method='POST', target='/', headers=(('host', 'h'),)
            ),
            body=b'',
            listener=response,
        )
        response.follow(exchange)
        results = []
        response.opened.addCallback(take).addBoth(results.append)
        exchange.makeConnection(fakes.Transport())
        exchange.dataReceived(data)
        exchange.connectionLost(CLOSED)
        [result] = results
        return result

    def test_part_of_an_answer_is_never_a_whole_one(self):
        for data in (
            HEAD + b'Content-Length: 2\r\n\r\nok',
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
            HEAD + b'\r\nok',
        ):
            for size in range(len(data) + 1):
                with self.subTest(data=data[:size]):
                    result = self.play(data[:size], http.Response.collect)
                    is_framed = b'Content' in data or b'Transfer' in data
                    if is_framed and size == len(data):
                        self.assertEqual(b'ok', result.body)
                    else:
                        self.assertIsInstance(result.value, http.Broken)

    def test_end_of_a_body_that_is_delivered_says_nothing_of_its_whole(self):
        for data in (
            HEAD + b'Content-Length: 3\r\n\r\nok',
            HEAD + b'Content-Length: 2\r\n\r\nok',
            HEAD + b'\r\nok',
        ):
            with self.subTest(data=data):
                receiver = Receiver()
                self.play(data, lambda opened, to=receiver: opened.deliver(to))
                self.assertTrue(receiver.has_ended)
                self.assertEqual(b'ok', receiver.body)


if __name__ == '__main__':
    unittest.main()
