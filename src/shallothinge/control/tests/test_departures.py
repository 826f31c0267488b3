"""Tests that no gateway sends requests to a backend server that has left."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from twisted.internet import defer

from shallothinge.control import departing
from shallothinge.control.tests import fakes
from shallothinge.control.tests import test_leases
from shallothinge.gateway import cold_rate_limiter
from shallothinge.gateway import notices
from shallothinge.gateway import servers
from shallothinge.leases import holder as holders
from shallothinge.membership import messages as membership
from shallothinge.membership.tests import samples
from shallothinge.placement import fleet
from shallothinge.server_limits import state as server_limits
from shallothinge.settings import model

SERVER_ID = 'i'
STARTED_MS = 5
STEP_MS = 250
# Servers stop repeating an unacknowledged departure after a few seconds.
LEAVE_TIMEOUT_MS = 6000
# Heartbeats are delayed by a few seconds at most.
MAX_HEARTBEAT_DELAY_MS = 10_000


def beat(sequence, *, leaving=False, started_ms=STARTED_MS):
    """Return a heartbeat of the server."""
    return samples.heartbeat(
        SERVER_ID, sequence=sequence, leaving=leaving, started_ms=started_ms
    )


def gone():
    """Return the message of a server that leaves unannounced."""
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
            cold=cold_rate_limiter.ColdRateLimiter(
                clock=bench.clock, slack_requests=5
            ),
            notices=notices.ServerNotices(clock=bench.clock),
            limits=server_limits.ServerLimits(
                clock=bench.clock, own_id='0', find_gateways=mock.Mock()
            ),
        )

    def renew(self):
        """Renew the lease."""
        self.bench.lease(self.holder, process_id=self.name)

    def may_send(self):
        """Return whether a request may be sent to the server now."""
        found = self.servers.candidates(service='s', tried_ids=frozenset())
        return self.holder.is_valid() and bool(found)


class DepartureTest(unittest.TestCase):
    """An acknowledged departure stays in force."""

    def setUp(self):
        self.bench = fakes.Bench()
        self.bench.log.member_ids = ('c1',)
        self.bench.server.tick()
        self.bench.clock.advance(duration_ms=LEAVE_TIMEOUT_MS)
        self.gateway = Gateway(self.bench, 'e1')

    def send(self, message):
        """Send a message to control; return whether it is acknowledged."""
        self.bench.ask(message, role='control', process_id='c2')
        return any(
            isinstance(one, membership.HeartbeatTaken)
            for one in self.bench.sent
        )

    def leave(self, message, *, renewing=()):
        """Repeat a departure message until it is acknowledged."""
        for _ in range(LEAVE_TIMEOUT_MS // STEP_MS):
            if self.send(message):
                return
            for gateway in renewing:
                gateway.renew()
            self.bench.clock.advance(duration_ms=STEP_MS)
            self.bench.server.tick()
        self.fail('the departure was not acknowledged')

    def elect(self):
        """Elect another leader, which has the log but no soft state."""
        self.bench.clock.advance(duration_ms=1)
        self.bench.log.elected_ms = self.bench.clock.now_ms()

    def list_server(self):
        self.send(beat(1))
        self.gateway.renew()
        self.assertTrue(self.gateway.may_send())

    def leave_under_previous_leader(self, message):
        """Let a listed server leave, then elect another leader."""
        self.setUp()
        self.list_server()
        self.leave(message, renewing=[self.gateway])
        self.elect()

    def test_next_leader_knows_who_left(self):
        for message in (beat(3, leaving=True), gone()):
            with self.subTest(message=type(message).__name__):
                self.leave_under_previous_leader(message)
                self.gateway.renew()
                self.assertFalse(self.gateway.may_send())

    def test_late_heartbeat_at_a_new_leader_does_not_restore_a_server(self):
        for message in (beat(3, leaving=True), gone()):
            with self.subTest(message=type(message).__name__):
                self.leave_under_previous_leader(message)
                self.send(beat(2))
                for gateway in (self.gateway, Gateway(self.bench, 'e2')):
                    gateway.renew()
                    self.assertFalse(gateway.may_send())

    def test_leaving_is_not_acknowledged_while_a_gateway_may_send(self):
        for message in (beat(3, leaving=True), gone()):
            with self.subTest(message=type(message).__name__):
                self.setUp()
                self.list_server()
                self.leave(message)
                self.assertFalse(self.gateway.may_send())

    def test_leaving_that_is_sent_again_is_answered_once(self):
        self.list_server()
        for _ in range(3):
            self.assertFalse(self.send(gone()))
        answers = []
        for _ in range(LEAVE_TIMEOUT_MS // STEP_MS):
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
        self.send(beat(1, started_ms=STARTED_MS + 1))
        self.gateway.renew()
        self.assertTrue(self.gateway.may_send())


class DepartureMachine(test_leases.LeaseMachine):
    """A server leaves while holders are disconnected and leaders change.

    Heartbeats that it sent before may arrive late, at any leader. The long
    ``member_silence_ms`` keeps the membership of a new leader incomplete
    for long, so that holders keep the list of the previous leader.
    """

    lease_settings = model.LeaseSettings(member_silence_ms=20_000)

    def __init__(self):
        super().__init__()
        self.departing = {}
        self.left_ms = None
        self.is_acknowledged = False

    def _departing_of(self, leader):
        """Return the tracker of departures of one leader."""
        if id(leader) not in self.departing:
            self.departing[id(leader)] = departing.DepartureTracker(
                machine=leader.machine,
                clock=self.clock,
                propose=lambda command: defer.succeed(self._apply(command)),
                read_unconfirmed_holders=(
                    lambda version: leader.current.leases.waiting_for(
                        version=version
                    )
                ),
            )
        return self.departing[id(leader)]

    def _leader(self, number):
        leaders = (self.leader, *self.old_leaders)
        return leaders[number % len(leaders)]

    def _may_be_late(self):
        if self.left_ms is None:
            return True
        return self.clock.now_ms() - self.left_ms < MAX_HEARTBEAT_DELAY_MS

    @stateful.precondition(_may_be_late)
    @stateful.rule(sequence=strategies.integers(1, 3))
    def say_ready(self, sequence):
        """A heartbeat from before the departure arrives, in any order."""
        self.leader.current.heartbeats.apply(beat(sequence))

    @stateful.rule(is_gone=strategies.booleans())
    def leave(self, is_gone):
        """The server leaves; the leader may acknowledge it later."""
        heard = self.leader.current.heartbeats
        incarnation = str(STARTED_MS)
        if is_gone:
            incarnation = heard.incarnation_of(SERVER_ID)
            heard.remove(SERVER_ID)
        else:
            heard.apply(beat(4, leaving=True))
        if self.left_ms is None:
            self.left_ms = self.clock.now_ms()
        left = self._departing_of(self.leader).record_departure(
            server_id=SERVER_ID, incarnation=incarnation
        )
        left.addCallbacks(self._acknowledged, lambda failure: None)

    def _acknowledged(self, _):
        self.is_acknowledged = True

    @stateful.rule()
    def renew_for_a_while(self):
        """Connected holders keep their leases across an election."""
        for _ in range(4):
            for number in range(len(self._all())):
                self.request(number, 'renewed')
            self.advance(1000)

    @stateful.rule(number=strategies.integers(0, 5))
    def look_again(self, number):
        """A present or former leader checks its pending departures."""
        self._departing_of(self._leader(number)).resolve_pending()

    @stateful.invariant()
    def nobody_sends_to_a_server_whose_leaving_was_acknowledged(self):
        """Holds for every list that a holder may have, from any leader."""
        if not self.is_acknowledged:
            return
        for process in self.processes:
            listed = process.holder.members.get(SERVER_ID)
            if process.holder.is_valid() and listed is not None:
                assert listed.leaving or process.holder.has_left(listed)


DepartureMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)
DepartureStateTest = DepartureMachine.TestCase
