"""Tests of authenticated connections over the loopback interface."""

import os
import socket
import stat

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
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


def _accepted_sockets(address):
    """Return the sockets that this process accepted at a zmq address."""
    port = int(address.rpartition(':')[2])
    accepted = []
    descriptors = [int(name) for name in os.listdir('/proc/self/fd')]
    for descriptor in [one for one in descriptors if _is_socket(one)]:
        opened = socket.socket(fileno=os.dup(descriptor))
        is_inet = opened.family == socket.AF_INET
        if is_inet and opened.getsockname()[1] == port and _has_peer(opened):
            accepted.append(opened)
        else:
            opened.close()
    return accepted


def _is_socket(descriptor):
    try:
        return stat.S_ISSOCK(os.fstat(descriptor).st_mode)
    except OSError:
        # The descriptor that listed the directory is closed by now.
        return False


def _has_peer(opened):
    try:
        opened.getpeername()
    except OSError:
        return False
    return True


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
        self.endpoint = self._listen('tcp://127.0.0.1:*')
        self.addCleanup(self.endpoint.close)

    def _listen(self, address):
        return endpoint.Endpoint(
            reactor=reactor,
            context=self.context,
            address=address,
            key_pair=self.server,
            trust=self.trust,
            codec=protocol.build_codec(),
            on_message=self._answer,
        )

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
        self.opened = opened
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
    def test_endpoint_that_was_restarted_at_once_is_heard_again(self):
        self._ask_until_sent(self._link(pair=self.client))
        yield self.received
        address = self.endpoint.address
        self.endpoint.close()
        self.received = defer.Deferred()
        self.endpoint = yield self._listen_again(address)
        self.addCleanup(self.endpoint.close)
        asking = task.LoopingCall(self._ask_once, self.opened)
        asking.start(0.1)
        self.addCleanup(asking.stop)
        timer = reactor.callLater(10, self.received.cancel)
        answer = yield self.received
        timer.cancel()
        self.assertEqual('entry', answer.json_text)

    @defer.inlineCallbacks
    def _listen_again(self, address):
        """Retry until the closed socket has released its address."""
        while True:
            try:
                return self._listen(address)
            except zmq.ZMQError:
                yield task.deferLater(reactor, 0.02)

    def _ask_once(self, opened):
        opened.send(operators.DumpRequested(request_id='r2'))

    @defer.inlineCallbacks
    def test_connection_whose_other_end_lost_power_does_not_stay_open(self):
        self._ask_until_sent(self._link(pair=self.client))
        yield self.received
        [accepted] = _accepted_sockets(self.endpoint.address)
        self.addCleanup(accepted.close)
        # Keepalive on; seconds until the first probe and between probes;
        # number of probes; time-out on unacknowledged data, in ms.
        table = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 3),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 6000),
        )
        for level, option, expected in table:
            self.assertEqual(expected, accepted.getsockopt(level, option))

    def test_connection_is_kept_for_longer_than_its_other_end_keeps_it(self):
        self.assertGreater(
            endpoint.USER_TIMEOUT_MS, link.SILENCE_MS + link.CHECK_MS
        )

    @defer.inlineCallbacks
    def test_unknown_key_gets_nothing(self):
        untrusted = keys.generate_key_pair(role='entry')
        self._ask_until_sent(self._link(pair=untrusted))
        pause = defer.Deferred()
        reactor.callLater(0.5, pause.callback, None)
        yield pause
        self.assertFalse(self.received.called)
