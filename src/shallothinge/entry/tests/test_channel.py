"""Tests of limits on size and time of callers' requests."""

import json
import re

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from twisted.web import resource

from shallothinge import memory
from shallothinge.entry import channel
from shallothinge.settings.model import HttpSettings

LIMITS = HttpSettings(
    address='',
    max_body_bytes=1000,
    max_header_bytes=500,
    request_timeout_ms=300,
)


class Echo(resource.Resource):
    """Answers with the length of the body."""

    isLeaf = True

    def render(self, request):
        """Return the length of the body."""
        return str(len(request.content.read())).encode()


class Caller(protocol.Protocol):
    """Sends parts of a request and collects what comes back."""

    def __init__(self, *, parts, pause_s):
        self.parts = list(parts)
        self.pause_s = pause_s
        self.received = b''
        self.ended = defer.Deferred()

    def connectionMade(self):
        """Begin to send."""
        self._send()

    def _send(self):
        if self.parts and self.transport.connected:
            self.transport.write(self.parts.pop(0))
            reactor.callLater(self.pause_s, self._send)

    def dataReceived(self, data):
        """Keep the data; leave when the answer is whole."""
        self.received += data
        head, _, body = self.received.partition(b'\r\n\r\n')
        length = re.search(rb'(?i)content-length: (\d+)', head)
        if length and len(body) == int(length[1]):
            self.transport.loseConnection()

    def connectionLost(self, reason):
        """Give what was received."""
        self.parts.clear()
        self.ended.callback(self.received)


def post(*, length, body=b'', extra=b''):
    """Return a request."""
    head = b'POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    head += b'Content-Length: %d\r\n' % length + extra
    return head + b'\r\n' + body


class LimitTest(unittest.TestCase):
    """Requests that break a limit, and sound ones beside them."""

    timeout = 10

    @defer.inlineCallbacks
    def setUp(self):
        self.bodies = memory.Share(name='requests', limit_bytes=2000)
        site = channel.CallerSite(
            root=Echo(), limits=LIMITS, reactor=reactor, bodies=self.bodies
        )
        server = endpoints.TCP4ServerEndpoint(
            reactor, 0, interface='127.0.0.1'
        )
        self.port = yield server.listen(site)
        self.addCleanup(self.port.stopListening)

    @defer.inlineCallbacks
    def send(self, *parts, pause_s=0.0):
        """Send parts; gives the answer's status line and body."""
        caller = Caller(parts=parts, pause_s=pause_s)
        point = endpoints.TCP4ClientEndpoint(
            reactor, '127.0.0.1', self.port.getHost().port
        )
        yield endpoints.connectProtocol(point, caller)
        received = yield caller.ended
        yield task.deferLater(reactor, pause_s, lambda: None)
        head, _, body = received.partition(b'\r\n\r\n')
        return int(head.split()[1]), body

    @defer.inlineCallbacks
    def test_body_beyond_the_memory_for_bodies_is_refused(self):
        self.bodies.add('another request', 1500)
        status, body = yield self.send(post(length=800, body=b'x' * 800))
        self.assertEqual(
            (503, 'overloaded'), (status, json.loads(body)['error']['code'])
        )
        self.bodies.drop('another request')
        status, _ = yield self.send(post(length=800, body=b'x' * 800))
        self.assertEqual(200, status)
        self.assertEqual(0, self.bodies.held_bytes)

    @defer.inlineCallbacks
    def test_requests(self):
        chunked = b'Transfer-Encoding: chunked\r\n'
        head = b'POST / HTTP/1.1\r\nHost: h\r\n'
        table = (
            ('sound', [post(length=5, body=b'12345')], 200, None),
            ('body announced', [post(length=1001)], 413, 'body_too_large'),
            (
                'body in chunks',
                [head + chunked + b'\r\n' + b'400\r\n' + b'x' * 1024],
                413,
                'body_too_large',
            ),
            (
                'header line',
                [post(length=0, extra=b'X-A: ' + b'x' * 600 + b'\r\n')],
                400,
                'bad_request',
            ),
            (
                'all headers',
                [post(length=0, extra=b'X-A: ' + b'x' * 60 + b'\r\n')] + [b''],
                200,
                None,
            ),
            (
                'many headers',
                [post(length=0, extra=(b'X-A: ' + b'x' * 60 + b'\r\n') * 9)],
                400,
                'bad_request',
            ),
            ('no HTTP', [b'hello\r\n\r\n'], 400, 'bad_request'),
            ('negative length', [post(length=-1)], 400, 'bad_request'),
        )
        for name, parts, status, code in table:
            with self.subTest(name):
                got, body = yield self.send(*parts)
                self.assertEqual(status, got)
                if code is not None:
                    error = json.loads(body)['error']
                    self.assertEqual(code, error['code'])
                    self.assertEqual('not_run', error['work_state'])

    @defer.inlineCallbacks
    def test_slow_caller_is_refused_however_it_trickles(self):
        table = (
            ('headers', [b'P', b'O', b'S', b'T'] * 3),
            ('body', [post(length=9, body=b'1'), b'2', b'3', b'4', b'5']),
        )
        for name, parts in table:
            with self.subTest(name):
                status, body = yield self.send(*parts, pause_s=0.1)
                self.assertEqual(408, status)
                self.assertEqual(
                    'slow_caller', json.loads(body)['error']['code']
                )
        status, _ = yield self.send(post(length=1, body=b'1'))
        self.assertEqual(200, status)
