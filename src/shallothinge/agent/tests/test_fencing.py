"""Tests of orders to engines that ignore fencing numbers."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge import clock
from shallothinge.agent import authority
from shallothinge.agent import fencing
from shallothinge.leases import holder
from shallothinge.leases import messages

LEASE_MS = 3000
STEP_MS = 500
DURATIONS_MS = (STEP_MS, LEASE_MS + STEP_MS, 2 * fencing.ORDER_TIMEOUT_MS)


class Agent:
    """One incarnation of the agent, which may be frozen."""

    def __init__(self, *, number, manual_clock):
        self.holder = holder.LeaseHolder(
            clock=manual_clock,
            holder_id='agent-1',
            incarnation=str(number),
            role='agent',
            wants_members=False,
        )
        self.authority = authority.Authority(
            holder=self.holder, server_id='agent-1', zone='zone-a'
        )
        self.guard = fencing.FenceGuard(
            clock=manual_clock, engine_checks=False
        )
        self.frozen = False
        self.decided = False

    def look(self):
        """Decide on an order; it is sent in a later step."""
        self.guard.saw_fence(self.authority.fence)
        self.decided = self.may_send()

    def may_send(self):
        """Return whether an order may be sent now."""
        allowed = self.guard.may_order(fence=self.authority.fence)
        return allowed and self.authority.may_act()


class Incarnations(stateful.RuleBasedStateMachine):
    """Agents are frozen, thawed and replaced; the engine checks nothing.

    An order that was sent arrives up to the order timeout later. Orders
    must arrive in the order of their fencing numbers.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.agents = []
        self.lease_end_ms = 0
        self.under_way = []
        self.arrived_fence = 0
        self.replace()

    @stateful.rule(freeze=strategies.booleans())
    def replace(self, freeze=False):
        """Start a new incarnation; the older one may be frozen."""
        for agent in self.agents:
            if freeze and not agent.frozen:
                agent.look()
                agent.frozen = True
        self.agents.append(
            Agent(number=len(self.agents) + 1, manual_clock=self.clock)
        )

    @stateful.rule()
    def thaw(self):
        """Let all agents go on where they were."""
        for agent in self.agents:
            agent.frozen = False

    def _act(self):
        """Let each agent decide on an order and send it, if it may."""
        for agent in self.agents:
            if agent.frozen:
                continue
            if not agent.decided:
                agent.look()
            if agent.decided and agent.may_send():
                order = (self.clock.now_ms(), agent.authority.fence)
                self.under_way.append(order)
            agent.decided = False

    @stateful.rule(newest=strategies.booleans())
    def arrive(self, newest):
        """Let one of the orders under way arrive at the engine."""
        if self.under_way:
            self._arrive(self.under_way[-1 if newest else 0])

    @stateful.rule(
        duration_ms=strategies.sampled_from(DURATIONS_MS),
        acting=strategies.booleans(),
    )
    def pass_time(self, duration_ms, acting):
        """Let time pass; no order is under way beyond its timeout."""
        for _ in range(duration_ms // STEP_MS):
            self._renew()
            if acting:
                self._act()
            self.clock.advance(duration_ms=STEP_MS)
            late_ms = self.clock.now_ms() - fencing.ORDER_TIMEOUT_MS
            for order in list(self.under_way):
                if order[0] <= late_ms:
                    self._arrive(order)

    def _renew(self):
        """Grant the newest its lease, after that of the one before."""
        agent = self.agents[-1]
        fence = len(self.agents)
        is_first = agent.holder.fence != fence
        waits = is_first and self.clock.now_ms() < self.lease_end_ms
        if agent.frozen or waits:
            return
        request = agent.holder.next_request()
        grant = messages.LeaseGranted(
            sequence=request.sequence,
            duration_ms=LEASE_MS,
            state_version=0,
            fence=fence,
        )
        agent.holder.apply_grant(grant)
        self.lease_end_ms = self.clock.now_ms() + LEASE_MS

    def _arrive(self, order):
        self.under_way.remove(order)
        fence = order[1]
        assert fence >= self.arrived_fence
        self.arrived_fence = fence


IncarnationsTest = Incarnations.TestCase
IncarnationsTest.settings = settings(
    max_examples=400, stateful_step_count=30, deadline=None
)


class FenceGuardTest(unittest.TestCase):
    """When orders may be given."""

    def test_rows(self):
        rows = (
            ('no number', 0, False, 0, False),
            ('engine checks', 2, True, 0, True),
            ('too early', 2, False, fencing.ORDER_TIMEOUT_MS - 1, False),
            ('settled', 2, False, fencing.ORDER_TIMEOUT_MS, True),
        )
        for name, fence, checks, waited_ms, expected in rows:
            with self.subTest(name):
                manual = clock.ManualClock()
                guard = fencing.FenceGuard(clock=manual, engine_checks=checks)
                guard.saw_fence(fence)
                manual.advance(duration_ms=waited_ms)
                self.assertEqual(expected, guard.may_order(fence=fence))

    def test_older_number_is_refused(self):
        guard = fencing.FenceGuard(
            clock=clock.ManualClock(), engine_checks=True
        )
        guard.saw_fence(3)
        self.assertFalse(guard.may_order(fence=2))
