"""Tests of authenticated connections over loopback sockets."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest
import zmq

from shallothinge import clock
from shallothinge import protocol
from shallothinge.operators import messages as operators
from shallothinge.transport import authenticator
from shallothinge.transport import endpoint
from shallothinge.transport import keys
from shallothinge.transport import link
from shallothinge.transport import messages


class LinkTest(unittest.TestCase):
    """One endpoint with trusted and untrusted peers."""

    def setUp(self):
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, linger=0)
        self.server = keys.generate_key_pair(role='control')
        self.client = keys.generate_key_pair(role='entry')
        self.trust = keys.Trust(role_by_key={self.client.public: 'entry'})
        self.authenticator = authenticator.start(
            context=self.context, trust=self.trust
        )
        self.addCleanup(self.authenticator.stop)
        self.received = defer.Deferred()
        self.endpoint = endpoint.Endpoint(
            reactor=reactor,
            context=self.context,
            address='tcp://127.0.0.1:*',
            key_pair=self.server,
            trust=self.trust,
            codec=protocol.build_codec(),
            on_message=self._answer,
        )
        self.addCleanup(self.endpoint.close)

    def _answer(self, peer, message):
        answer = operators.DumpAnswered(
            request_id=message.request_id, json_text=peer.role
        )
        self.endpoint.send(route=peer.route, message=answer)

    def _link(self, *, pair):
        opened = link.Link(
            reactor=reactor,
            context=self.context,
            address=self.endpoint.address,
            server_key=self.server.public,
            key_pair=pair,
            hello=messages.Hello(process_id='e1', incarnation='1'),
            codec=protocol.build_codec(),
            clock=clock.MonotonicClock(),
            on_message=self._heard,
        )
        self.addCleanup(opened.close)
        return opened

    def _heard(self, message):
        if not self.received.called:
            self.received.callback(message)

    def _ask_until_sent(self, opened):
        request = operators.DumpRequested(request_id='r1')
        if not opened.send(request):
            timer = reactor.callLater(0.02, self._ask_until_sent, opened)
            self.addCleanup(lambda: timer.active() and timer.cancel())

    @defer.inlineCallbacks
    def test_trusted_peer_is_answered_with_its_role(self):
        self._ask_until_sent(self._link(pair=self.client))
        answer = yield self.received
        self.assertEqual('entry', answer.json_text)

    @defer.inlineCallbacks
    def test_unknown_key_gets_nothing(self):
        stranger = keys.generate_key_pair(role='entry')
        self._ask_until_sent(self._link(pair=stranger))
        pause = defer.Deferred()
        reactor.callLater(0.5, pause.callback, None)
        yield pause
        self.assertFalse(self.received.called)
