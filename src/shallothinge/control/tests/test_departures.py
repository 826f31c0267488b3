"""Tests that no gateway sends requests to a backend server that has left."""

import unittest
from unittest import mock

import attrs
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


def gone(*, asked_ms=STARTED_MS + 1):
    """Return the message of a server that leaves unannounced."""
    return membership.ServerGone(
        request_id=f'g{asked_ms}', server_id=SERVER_ID, asked_ms=asked_ms
    )


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

    def test_departure_that_is_in_force_is_acknowledged_at_once(self):
        # A server that had drained waited again, for gateways to confirm a
        # record that says the same of it.
        for first in (beat(3, leaving=True), gone()):
            with self.subTest(first=type(first).__name__):
                self.setUp()
                self.list_server()
                self.leave(first, renewing=[self.gateway])
                self.gateway.renew()
                asked_ms = self.bench.clock.now_ms()
                again = membership.ServerGone(
                    request_id='again',
                    server_id=SERVER_ID,
                    asked_ms=asked_ms,
                    incarnation=str(STARTED_MS),
                )
                self.assertTrue(self.send(again))

    def test_new_leader_does_not_take_a_former_departure_for_a_new_one(self):
        # The second incarnation was unknown to the leader that it told.
        for first in (beat(3, leaving=True), gone()):
            with self.subTest(first=type(first).__name__):
                self.leave_under_previous_leader(first)
                started_ms = self.bench.clock.now_ms()
                self.send(beat(1, started_ms=started_ms))
                self.gateway.renew()
                self.assertTrue(self.gateway.may_send())
                self.elect()
                self.bench.clock.advance(duration_ms=STEP_MS)
                asked_ms = self.bench.clock.now_ms()
                self.leave(gone(asked_ms=asked_ms), renewing=[self.gateway])
                self.elect()
                self.send(beat(2, started_ms=started_ms))
                for gateway in (self.gateway, Gateway(self.bench, 'e2')):
                    gateway.renew()
                    self.assertFalse(gateway.may_send())

    def test_restart_after_an_unknown_departure_is_listed_at_once(self):
        asked_ms = self.bench.clock.now_ms()
        self.leave(gone(asked_ms=asked_ms), renewing=[self.gateway])
        self.send(beat(1, started_ms=asked_ms + 1))
        self.gateway.renew()
        self.assertTrue(self.gateway.may_send())

    def test_late_heartbeat_after_minutes_does_not_restore_a_server(self):
        # It was sent again and again behind a cut.
        self.list_server()
        self.leave(gone(), renewing=[self.gateway])
        for _ in range(4 * 60):
            self.bench.clock.advance(duration_ms=1000)
            self.bench.server.tick()
        self.send(beat(2))
        self.gateway.renew()
        self.assertFalse(self.gateway.may_send())

    def test_restart_under_the_same_id_is_no_leaving(self):
        self.list_server()
        self.leave(beat(3, leaving=True), renewing=[self.gateway])
        self.elect()
        self.send(beat(1, started_ms=STARTED_MS + 1))
        self.gateway.renew()
        self.assertTrue(self.gateway.may_send())


@attrs.define(kw_only=True)
class Incarnation:
    """One start of the server."""

    started_ms: int
    left_ms: int | None = None
    is_acknowledged: bool = False

    def acknowledge(self, _):
        """Note that control has acknowledged its departure."""
        self.is_acknowledged = True


class DepartureMachine(test_leases.LeaseMachine):
    """Servers leave and start again under one id, while leaders change.

    Heartbeats may arrive late, at any leader, and not at all at others. The
    long ``member_silence_ms`` keeps the membership of a new leader incomplete
    for long, so that holders keep the list of the previous leader.
    """

    lease_settings = model.LeaseSettings(member_silence_ms=20_000)

    def __init__(self):
        super().__init__()
        self.departing = {}
        self.starts = [Incarnation(started_ms=STARTED_MS)]

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

    def _may_be_late(self, incarnation):
        if incarnation.left_ms is None:
            return True
        late_ms = self.clock.now_ms() - incarnation.left_ms
        return late_ms < MAX_HEARTBEAT_DELAY_MS

    @stateful.rule(
        number=strategies.integers(0, 3), sequence=strategies.integers(1, 3)
    )
    def say_ready(self, number, sequence):
        """A heartbeat from before a departure arrives, in any order."""
        incarnation = self.starts[-1 - number % len(self.starts)]
        if self._may_be_late(incarnation):
            self.leader.current.heartbeats.apply(
                beat(sequence, started_ms=incarnation.started_ms)
            )

    @stateful.rule(is_gone=strategies.booleans())
    def leave(self, is_gone):
        """The server leaves; the leader may acknowledge it later."""
        heard = self.leader.current.heartbeats
        incarnation = self.starts[-1]
        now_ms = self.clock.now_ms()
        if is_gone:
            command = heard.apply_departure(
                gone(asked_ms=now_ms), now_ms=now_ms
            )
        else:
            heard.apply(
                beat(4, leaving=True, started_ms=incarnation.started_ms)
            )
            command = membership.RecordDeparture(
                server_id=SERVER_ID,
                incarnation=str(incarnation.started_ms),
                started_to_ms=incarnation.started_ms,
            )
        if incarnation.left_ms is None:
            incarnation.left_ms = now_ms
        left = self._departing_of(self.leader).record_departure(command)
        left.addCallbacks(incarnation.acknowledge, lambda failure: None)

    @stateful.precondition(lambda self: self.starts[-1].left_ms is not None)
    @stateful.rule()
    def start_again(self):
        """The server starts again; a leader that hears of it lists it."""
        self.clock.advance(duration_ms=1)
        started_ms = self.clock.now_ms()
        self.starts.append(Incarnation(started_ms=started_ms))
        if self.leader.current.heartbeats.apply(
            beat(1, started_ms=started_ms)
        ):
            assert self.leader.current.members.servers()

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
        left = {
            incarnation.started_ms
            for incarnation in self.starts
            if incarnation.is_acknowledged
        }
        for process in self.processes:
            listed = process.holder.members.get(SERVER_ID)
            if not process.holder.is_valid() or listed is None:
                continue
            if listed.started_ms in left:
                assert listed.leaving or process.holder.has_left(listed)


DepartureMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)
DepartureStateTest = DepartureMachine.TestCase
