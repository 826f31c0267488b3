"""Tests of reserving memory on several backend servers."""

import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge import clock
from shallothinge.errors import ErrorKind
from shallothinge.reservations import plan

SERVERS = ('s1', 's2', 's3', 's4')
MEMORY_TOKENS = 100_000
STEP_MS = 50


def rooms(**free_tokens):
    """Return a ``Room`` for each server id and its free tokens."""
    return [
        plan.Room(server_id=name, url=f'http://{name}', free_tokens=tokens)
        for name, tokens in free_tokens.items()
    ]


class ChooseTest(unittest.TestCase):
    """Choice of the servers that hold the parts of a prompt."""

    def test_parts(self):
        table = (
            ('one is enough', {'s1': 100, 's2': 80}, 85, ('s1',)),
            ('fewest', {'s1': 20, 's2': 100, 's3': 90}, 150, ('s2', 's3')),
            ('ascending', {'s3': 100, 's1': 60}, 140, ('s1', 's3')),
            ('not enough', {'s1': 100, 's2': 100}, 181, ()),
            ('no servers', {}, 1, ()),
        )
        for name, free, wanted, expected in table:
            with self.subTest(name):
                scaled = {key: value * 1000 for key, value in free.items()}
                parts = plan.choose_parts(
                    rooms=rooms(**scaled), tokens=wanted * 1000, plan_id='p'
                )
                ids = tuple(part.server_id for part in parts)
                self.assertEqual(expected, ids)
                if expected:
                    total = sum(part.tokens for part in parts)
                    self.assertEqual(wanted * 1000, total)


class FakeAgents:
    """Fake agents that reserve memory.

    Messages to them are delivered in order, as on one connection.
    """

    def __init__(self):
        self.held = {name: {} for name in SERVERS}
        self.lost = set()

    def reserve(self, part) -> bool:
        """Reserve memory if enough is free."""
        held = self.held[part.server_id]
        if sum(held.values()) + part.tokens > MEMORY_TOKENS:
            return False
        held[part.reservation_id] = part.tokens
        return True

    def release(self, part) -> None:
        """Release a part if it is reserved."""
        self.held[part.server_id].pop(part.reservation_id, None)

    def held_tokens(self) -> int:
        """Return the tokens reserved on all servers."""
        return sum(sum(held.values()) for held in self.held.values())


class PromptDriver:
    """Performs the plan of one prompt against the fake agents."""

    def __init__(self, *, clock, agents, name, tokens, patience_ms=500):
        self.agents = agents
        self.ready = False
        self.gave_up = False
        self.answers = []
        free = {server: MEMORY_TOKENS for server in SERVERS}
        parts = plan.choose_parts(
            rooms=rooms(**free), tokens=tokens, plan_id=name
        )
        self.plan = plan.ReservationPlan(
            clock=clock, parts=parts, patience_ms=patience_ms
        )

    def perform(self, actions):
        """Perform actions; queue the answers for ``deliver``."""
        for action in actions:
            if isinstance(action, plan.Reserve):
                done = self.agents.reserve(action.part)
                self.answers.append((action.part, done))
            elif isinstance(action, plan.Release):
                self.agents.release(action.part)
            elif isinstance(action, plan.Ready):
                self.ready = True
            else:
                self.gave_up = True

    def deliver(self):
        """Deliver the next queued answer to the plan, if any."""
        if not self.answers:
            return
        part, done = self.answers.pop(0)
        if done:
            self.perform(self.plan.reserved(part.reservation_id))
        else:
            steps = self.plan.refused(
                part.reservation_id, ErrorKind.MEMORY_FULL
            )
            self.perform(steps)


class PlanTest(unittest.TestCase):
    """One or two prompts on four servers."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.agents = FakeAgents()

    def _driver(self, name, tokens, **changes):
        return PromptDriver(
            clock=self.clock,
            agents=self.agents,
            name=name,
            tokens=tokens,
            **changes,
        )

    def test_parts_out_of_order_are_refused(self):
        parts = [
            plan.Part(server_id=name, url='', reservation_id=name, tokens=1)
            for name in ('s2', 's1')
        ]
        with self.assertRaises(ValueError):
            plan.ReservationPlan(
                clock=self.clock, parts=tuple(parts), patience_ms=1
            )

    def test_silent_agent_ends_the_plan_and_releases_all(self):
        driver = self._driver('p1', 300_000)
        driver.perform(driver.plan.start())
        driver.deliver()
        self.clock.advance(duration_ms=plan.ANSWER_TIMEOUT_MS)
        driver.perform(driver.plan.tick())
        self.assertTrue(driver.gave_up)
        self.assertEqual(0, self.agents.held_tokens())

    def test_lost_server_of_a_ready_plan_releases_all(self):
        driver = self._driver('p1', 300_000)
        driver.perform(driver.plan.start())
        while driver.answers:
            driver.deliver()
        self.assertTrue(driver.ready)
        driver.perform(driver.plan.server_lost('s1'))
        self.assertTrue(driver.gave_up)
        self.assertEqual(0, self.agents.held_tokens())

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(data=st.data())
    def test_two_prompts_never_block_each_other_for_good(self, data):
        self.setUp()
        drivers = [
            self._driver(name, data.draw(st.integers(150_000, 360_000)))
            for name in ('p1', 'p2')
        ]
        for driver in drivers:
            driver.perform(driver.plan.start())
        for _ in range(200):
            self._step(data, drivers)
            finished = [each for each in drivers if each.ready]
            for driver in finished:
                if data.draw(st.booleans()):
                    driver.perform(driver.plan.release())
            if all(each.plan.is_over for each in drivers):
                break
        for driver in drivers:
            self.assertTrue(driver.ready or driver.gave_up)
            driver.perform(driver.plan.release())
        self.assertTrue(any(each.ready for each in drivers))
        self.assertEqual(0, self.agents.held_tokens())

    def _step(self, data, drivers):
        for driver in data.draw(st.permutations(drivers)):
            if data.draw(st.booleans()):
                driver.deliver()
        self.clock.advance(duration_ms=STEP_MS)
        for driver in drivers:
            driver.deliver()
            driver.perform(driver.plan.tick())

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(
        fault=st.sampled_from(('refused', 'silent', 'lost', 'deadline')),
        at=st.integers(0, 3),
    )
    def test_each_failure_path_releases_all(self, fault, at):
        self.setUp()
        driver = self._driver('p1', 350_000, patience_ms=0)
        driver.perform(driver.plan.start())
        for _ in range(at):
            driver.deliver()
        if fault == 'refused' and driver.answers:
            part, _ = driver.answers.pop(0)
            self.agents.release(part)
            steps = driver.plan.refused(
                part.reservation_id, ErrorKind.MEMORY_FULL
            )
            driver.perform(steps)
        elif fault == 'silent':
            self.clock.advance(duration_ms=plan.ANSWER_TIMEOUT_MS)
            driver.perform(driver.plan.tick())
        elif fault == 'lost':
            driver.perform(driver.plan.server_lost('s1'))
        else:
            driver.perform(driver.plan.release())
        self.assertTrue(driver.plan.is_over)
        self.assertEqual(0, self.agents.held_tokens())
        while driver.answers:
            driver.deliver()
        self.assertEqual(0, self.agents.held_tokens())
