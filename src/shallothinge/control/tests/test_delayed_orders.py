"""Tests of orders that are delayed at a host or on their way to the leader.

A caller without an answer for a second asks another host, and then orders the
opposite or starts again. What it gave up must not be carried out after that.
"""

import enum
import itertools
import unittest

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from twisted.internet import defer

from shallothinge import errors
from shallothinge.control import fleet
from shallothinge.control.tests import fakes
from shallothinge.membership.tests import samples
from shallothinge.operators import messages as operators

ZONE = 'z1'
SERVER_ID = 'i'
# Callers ask another host after a second without an answer.
CALLER_TIMEOUT_MS = 1000
LONG_MS = 7000


class Delay(enum.Enum):
    """Where an order waits."""

    NONE = 'none'
    AT_HOST = 'at_host'
    BEFORE_REVISION = 'before_revision'
    AFTER_REVISION = 'after_revision'


DELAYS = strategies.sampled_from((Delay.NONE, Delay.NONE, *Delay))


@attrs.define(kw_only=True, eq=False)
class Caller:
    """A caller whose order reached a host; it closes when it gives up."""

    clock: object
    asked_ms: int
    is_connected: bool = True

    def waited_ms(self):
        """Return the time since the order arrived."""
        return self.clock.now_ms() - self.asked_ms

    def is_waiting(self):
        """Return whether the host has not noticed the close yet."""
        return self.is_connected


@attrs.define(kw_only=True, eq=False)
class Sent:
    """A message on its way from a host to the leader."""

    message: object
    answered: defer.Deferred


class Network:
    """Keeps the messages of hosts to the leader until they are delivered."""

    def __init__(self, *, bench):
        self._bench = bench
        self.sent = []

    def send_request(self, message, *, timeout_ms):
        """Keep a message for a delivery."""
        assert timeout_ms > 0
        sent = Sent(message=message, answered=defer.Deferred())
        self.sent.append(sent)
        return sent.answered

    def deliver(self, sent, *, is_answered=True):
        """Deliver a message; its answer reaches the host at once or never."""
        self.sent.remove(sent)
        answer = self._bench.ask(sent.message, role='control')
        if is_answered and answer is not None:
            sent.answered.callback(answer)

    def deliver_all(self):
        """Deliver messages, and those that follow from their answers."""
        while self.sent:
            self.deliver(self.sent[0])


class Fixture:
    """A leader, and hosts that forward orders to it."""

    def __init__(self):
        self.bench = fakes.Bench()
        self.bench.log.member_ids = ('c1',)
        self.clock = self.bench.clock
        self.network = Network(bench=self.bench)
        self.orders = fleet.FleetOrders(
            client=self.network, operator='api', wall_clock=self.clock
        )
        self.bench.server.tick()

    def caller(self):
        """Return a caller whose order arrives now."""
        return Caller(clock=self.clock, asked_ms=self.clock.now_ms())

    def set_zone(self, caller, *, is_out):
        """Give an order about the zone; return the answers to it."""
        done = self.orders.set_zone(zone=ZONE, is_out=is_out, caller=caller)
        return self._collect(done)

    def remove_server(self, caller):
        """Tell that the server is gone; return the answers to it."""
        done = self.orders.remove_server(server_id=SERVER_ID, caller=caller)
        return self._collect(done)

    def _collect(self, done):
        answers = []
        done.addCallbacks(answers.append, lambda failure: None)
        return answers

    @property
    def is_out(self):
        """Return whether the zone is out of service."""
        return ZONE in self.bench.machine.data.outages.zones

    def beat(self, started_ms, *, sequence=1):
        """Deliver a heartbeat of the server."""
        beat = samples.heartbeat(
            SERVER_ID, started_ms=started_ms, sequence=sequence
        )
        self.bench.ask(beat, role='control')

    def is_listed(self, started_ms):
        """Return whether gateways may send to a start of the server."""
        beat = samples.heartbeat(SERVER_ID, started_ms=started_ms)
        departures = self.bench.machine.data.departures
        leader = self.bench.server._current()
        listed = {one.incarnation for one in leader.members.servers()}
        return (
            str(started_ms) in listed
            and departures.find(server=beat.server, now_ms=self.clock.now_ms())
            is None
        )


class DelayedOrderTest(unittest.TestCase):
    """One order that is delayed at one step, and what follows it."""

    def setUp(self):
        self.fixture = Fixture()
        self.network = self.fixture.network

    def order(self, *, is_out):
        """Give an order that is carried out at once."""
        answers = self.fixture.set_zone(self.fixture.caller(), is_out=is_out)
        self.network.deliver_all()
        [answer] = answers
        self.assertIsNone(answer.kind)

    def hold(self, *, delivered):
        """Deliver so many messages; hold up and return what follows."""
        for _ in range(delivered):
            self.network.deliver(self.network.sent[0])
        held, self.network.sent = self.network.sent, []
        return held

    def test_withdrawal_that_waited_does_not_undo_a_later_evacuation(self):
        # The number of messages that are delivered before the host or the way
        # to the leader stops for a while.
        for delivered in range(3):
            for is_connected in (True, False):
                with self.subTest(delivered=delivered, close=not is_connected):
                    self.setUp()
                    self.order(is_out=True)
                    caller = self.fixture.caller()
                    waiting = []
                    if delivered:
                        self.fixture.set_zone(caller, is_out=False)
                        waiting = self.hold(delivered=delivered - 1)
                    self.fixture.clock.advance(duration_ms=CALLER_TIMEOUT_MS)
                    self.order(is_out=False)
                    self.order(is_out=True)
                    caller.is_connected = is_connected
                    self.fixture.clock.advance(duration_ms=LONG_MS)
                    if not delivered:
                        self.fixture.set_zone(caller, is_out=False)
                    self.network.sent.extend(waiting)
                    self.network.deliver_all()
                    self.assertTrue(self.fixture.is_out)

    def test_departure_that_waited_does_not_remove_a_later_start(self):
        for delivered in range(3):
            with self.subTest(delivered=delivered):
                self.setUp()
                clock = self.fixture.clock
                first_ms = clock.now_ms()
                self.fixture.beat(first_ms)
                clock.advance(duration_ms=LONG_MS)
                caller = self.fixture.caller()
                waiting = []
                if delivered:
                    self.fixture.remove_server(caller)
                    waiting = self.hold(delivered=delivered - 1)
                clock.advance(duration_ms=CALLER_TIMEOUT_MS)
                self.fixture.remove_server(self.fixture.caller())
                self.network.deliver_all()
                clock.advance(duration_ms=1)
                second_ms = clock.now_ms()
                self.fixture.beat(second_ms)
                clock.advance(duration_ms=LONG_MS)
                if not delivered:
                    self.fixture.remove_server(caller)
                self.network.sent.extend(waiting)
                self.network.deliver_all()
                self.fixture.beat(second_ms, sequence=2)
                self.assertTrue(self.fixture.is_listed(second_ms))
                self.assertFalse(self.fixture.is_listed(first_ms))

    def test_dropped_order_fails_and_is_logged(self):
        caller = self.fixture.caller()
        self.fixture.clock.advance(duration_ms=LONG_MS)
        with self.assertLogs('shallothinge.control.fleet') as logs:
            done = self.fixture.orders.set_zone(
                zone=ZONE, is_out=True, caller=caller
            )
        self.assertEqual(LONG_MS, logs.records[0].waited_ms)
        failures = []
        done.addErrback(failures.append)
        self.assertIs(errors.ErrorKind.CANCELLED, failures[0].value.kind)
        self.assertEqual([], self.network.sent)

    def test_order_that_is_resent_gets_its_first_answer(self):
        # The answer was lost, and the opposite was ordered meanwhile.
        order = operators.SetZone(
            order_id='o1',
            operator='api',
            zone=ZONE,
            out=False,
            epoch='1-0',
            revision=0,
        )
        ask = self.fixture.bench.ask
        first = ask(order, role='control')
        self.assertIsNone(first.kind)
        self.order(is_out=True)
        self.assertEqual(first, ask(order, role='control'))
        self.assertTrue(self.fixture.is_out)

    def test_order_of_a_former_leaders_revision_is_refused(self):
        caller = self.fixture.caller()
        answers = self.fixture.set_zone(caller, is_out=True)
        self.network.deliver(self.network.sent[0])
        self.fixture.bench.log.elected_ms += 1
        self.network.deliver_all()
        self.assertIs(errors.ErrorKind.VERSION_CONFLICT, answers[0].kind)
        self.assertFalse(self.fixture.is_out)


class DelayedOrdersMachine(stateful.RuleBasedStateMachine):
    """An operator and a server, whose orders wait anywhere for any time.

    Both act as the page of the platform says: they ask again after a second,
    and go on once an order is acknowledged.
    """

    def __init__(self):
        super().__init__()
        self.fixture = Fixture()
        self.network = self.fixture.network
        self.numbers = itertools.count()
        # Orders that have arrived at a host which does not run.
        self.waiting = []
        self.wanted_out = False
        self.zone_answers = []
        self.asked_ms = 0
        self.is_settled = True
        self.starts = []
        self.leave_answers = []
        self.leave_asked_ms = 0
        self.is_leaving = False
        self.start_server()

    def _give(self, give, delay):
        """Give an order, which may be carried out at once."""
        if delay is Delay.AT_HOST:
            self.waiting.append(give)
            return
        others, self.network.sent = self.network.sent, []
        give()
        if delay is Delay.NONE:
            self.network.deliver_all()
        elif delay is Delay.AFTER_REVISION and self.network.sent:
            self.network.deliver(self.network.sent[0])
        self.network.sent = others + self.network.sent
        self._note_answers()

    def _note_answers(self):
        if any(one.kind is None for one in self.zone_answers):
            self.is_settled = True

    def _wait_for(self, asked_ms):
        """Wait until a caller gives up an order without an answer."""
        waited_ms = self.fixture.clock.now_ms() - asked_ms
        self.fixture.clock.advance(
            duration_ms=max(0, CALLER_TIMEOUT_MS - waited_ms)
        )

    @stateful.rule(delay=DELAYS)
    def order_zone(self, delay):
        """The operator repeats an order elsewhere or gives the opposite."""
        if self.is_settled:
            self.wanted_out, self.is_settled = not self.wanted_out, False
        else:
            self._wait_for(self.asked_ms)
        caller, is_out, answers = self.fixture.caller(), self.wanted_out, []
        self.asked_ms, self.zone_answers = caller.asked_ms, answers

        def give():
            done = self.fixture.orders.set_zone(
                zone=ZONE, is_out=is_out, caller=caller
            )
            done.addCallbacks(answers.append, lambda failure: None)

        self._give(give, delay)

    @stateful.rule(delay=DELAYS)
    def leave(self, delay):
        """The server tells that it is gone, or tells another host."""
        if self.is_leaving:
            self._wait_for(self.leave_asked_ms)
        self.is_leaving = True
        caller, answers = self.fixture.caller(), []
        self.leave_asked_ms, self.leave_answers = caller.asked_ms, answers

        def give():
            done = self.fixture.orders.remove_server(
                server_id=SERVER_ID, caller=caller
            )
            done.addCallbacks(answers.append, lambda failure: None)

        self._give(give, delay)

    @stateful.precondition(lambda self: self.is_leaving and self.leave_answers)
    @stateful.rule()
    def start_again(self):
        """The server was acknowledged and starts again under its id."""
        self.start_server()

    def start_server(self):
        """Start the server, of which the leader hears at once."""
        self.fixture.clock.advance(duration_ms=1)
        self.is_leaving = False
        self.starts.append(self.fixture.clock.now_ms())
        self.fixture.beat(self.starts[-1])

    def say_ready(self):
        """The server's next heartbeat arrives."""
        self.fixture.beat(self.starts[-1], sequence=next(self.numbers) + 2)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(number=strategies.integers(0, 5), delay=DELAYS)
    def wake(self, number, delay):
        """A host wakes and reads an order that has waited there."""
        self._give(self.waiting.pop(number % len(self.waiting)), delay)

    @stateful.precondition(lambda self: self.network.sent)
    @stateful.rule(
        number=strategies.integers(0, 5), is_answered=strategies.booleans()
    )
    def deliver(self, number, is_answered):
        """A message of a host reaches the leader."""
        sent = self.network.sent[number % len(self.network.sent)]
        self.network.deliver(sent, is_answered=is_answered)
        self._note_answers()

    @stateful.rule(duration_ms=strategies.sampled_from((10, 400, LONG_MS)))
    def wait(self, duration_ms):
        """Time passes; the server reports after it."""
        self.fixture.clock.advance(duration_ms=duration_ms)
        self.fixture.bench.server.tick()
        self.say_ready()

    @stateful.rule()
    def elect(self):
        """Another host leads, which has the log."""
        self.fixture.clock.advance(duration_ms=1)
        self.fixture.bench.log.elected_ms = self.fixture.clock.now_ms()
        self.say_ready()

    @stateful.invariant()
    def acknowledged_order_stays_in_force(self):
        """Holds until the operator orders anything else."""
        if self.is_settled:
            assert self.fixture.is_out == self.wanted_out

    @stateful.invariant()
    def running_server_is_no_departed_one(self):
        """Holds until it tells that it is gone."""
        beat = samples.heartbeat(SERVER_ID, started_ms=self.starts[-1])
        if not self.is_leaving:
            departures = self.fixture.bench.machine.data.departures
            now_ms = self.fixture.clock.now_ms()
            assert departures.find(server=beat.server, now_ms=now_ms) is None
            assert self.fixture.is_listed(self.starts[-1])


DelayedOrdersMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)
DelayedOrdersStateTest = DelayedOrdersMachine.TestCase
