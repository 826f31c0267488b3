"""Tests that no gateway chooses a backend server that has left."""

import unittest

from shallothinge.control.tests import fakes
from shallothinge.gateway import coldshare
from shallothinge.gateway import servers
from shallothinge.leases import holder as holders
from shallothinge.membership import messages as membership
from shallothinge.membership.model import BackendServer
from shallothinge.placement import fleet

SERVER_ID = 'i'
STARTED_MS = 5
STEP_MS = 250
# Servers give up some seconds after they first said that they leave.
PATIENCE_MS = 6000


def beat(sequence, *, leaving=False, started_ms=STARTED_MS):
    """Return a heartbeat of the server."""
    server = BackendServer(
        server_id=SERVER_ID,
        incarnation=str(started_ms),
        address='10.0.0.3:80',
        zone='z1',
        host='',
        services=('s',),
        leaving=leaving,
    )
    return membership.Heartbeat(
        request_id=f'b{sequence}',
        server=server,
        started_ms=started_ms,
        sequence=sequence,
    )


def gone():
    """Return what a server says that leaves without a report before."""
    return membership.ServerGone(request_id='g', server_id=SERVER_ID)


class Gateway:
    """A gateway's lease and its choice of servers."""

    def __init__(self, bench, name):
        self.bench = bench
        self.name = name
        self.holder = holders.LeaseHolder(
            clock=bench.clock,
            holder_id=name,
            incarnation='1',
            role='entry',
            wants_members=True,
        )
        self.servers = servers.Servers(
            clock=bench.clock,
            holder=self.holder,
            load=fleet.FleetLoad(clock=bench.clock),
            cold=coldshare.ColdShare(clock=bench.clock, slack_requests=5),
        )

    def renew(self):
        """Renew the lease."""
        self.bench.lease(self.holder, process_id=self.name)

    def may_send(self):
        """Return whether a request may be sent to the server now."""
        found = self.servers.candidates(service='s', tried_ids=frozenset())
        return self.holder.is_valid() and bool(found)


class DepartureTest(unittest.TestCase):
    """A leaving that was acknowledged holds."""

    def setUp(self):
        self.bench = fakes.Bench()
        self.bench.log.member_ids = ('c1',)
        self.bench.server.tick()
        self.bench.clock.advance(duration_ms=PATIENCE_MS)
        self.gateway = Gateway(self.bench, 'e1')

    def say(self, message):
        """Pass a server's word to control; return whether it is taken."""
        self.bench.ask(message, role='control', process_id='c2')
        return any(
            isinstance(one, membership.HeartbeatTaken)
            for one in self.bench.sent
        )

    def leave(self, message, *, renewing=()):
        """Say that the server leaves until that is acknowledged."""
        for _ in range(PATIENCE_MS // STEP_MS):
            if self.say(message):
                return
            for gateway in renewing:
                gateway.renew()
            self.bench.clock.advance(duration_ms=STEP_MS)
            self.bench.server.tick()
        self.fail('the leaving was not acknowledged')

    def elect(self):
        """Let another host lead; it has the log but no soft state."""
        self.bench.clock.advance(duration_ms=1)
        self.bench.log.elected_ms = self.bench.clock.now_ms()

    def list_server(self):
        self.say(beat(1))
        self.gateway.renew()
        self.assertTrue(self.gateway.may_send())

    def test_next_leader_knows_who_left(self):
        for word in (beat(3, leaving=True), gone()):
            with self.subTest(word=type(word).__name__):
                self.setUp()
                self.list_server()
                self.leave(word, renewing=[self.gateway])
                self.elect()
                self.gateway.renew()
                self.assertFalse(self.gateway.may_send())

    def test_heartbeat_that_a_new_leader_hears_late_brings_nobody_back(self):
        for word in (beat(3, leaving=True), gone()):
            with self.subTest(word=type(word).__name__):
                self.setUp()
                self.list_server()
                self.leave(word, renewing=[self.gateway])
                self.elect()
                self.say(beat(2))
                for gateway in (self.gateway, Gateway(self.bench, 'e2')):
                    gateway.renew()
                    self.assertFalse(gateway.may_send())

    def test_leaving_is_not_acknowledged_while_a_gateway_may_send(self):
        for word in (beat(3, leaving=True), gone()):
            with self.subTest(word=type(word).__name__):
                self.setUp()
                self.list_server()
                self.leave(word)
                self.assertFalse(self.gateway.may_send())

    def test_leaving_that_is_sent_again_is_answered_once(self):
        self.list_server()
        for _ in range(3):
            self.assertFalse(self.say(gone()))
        answers = []
        for _ in range(PATIENCE_MS // STEP_MS):
            self.bench.sent.clear()
            self.bench.clock.advance(duration_ms=STEP_MS)
            self.bench.server.tick()
            answers += self.bench.sent
        kinds = [type(answer).__name__ for answer in answers]
        self.assertCountEqual(['LeaseNudge', 'ControlRefused'], kinds)

    def test_restart_under_the_same_id_is_no_leaving(self):
        self.list_server()
        self.leave(beat(3, leaving=True), renewing=[self.gateway])
        self.elect()
        self.say(beat(1, started_ms=STARTED_MS + 1))
        self.gateway.renew()
        self.assertTrue(self.gateway.may_send())
