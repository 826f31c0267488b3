"""Tests of limits that many gateways share."""

import unittest

import hypothesis
from hypothesis import strategies

from shallothinge.server_limits.tests import bounds
from shallothinge.server_limits.tests import simulation

# Share of what the limit allows that is used while requests wait.
LEAST_SERVED = 0.8
DURATION_MS = 15_000


class SharedLimitTest(unittest.TestCase):
    """The sum over all gateways, each of which has requests waiting."""

    def assert_kept(self, played, per_s, from_ms=bounds.BINDING_AFTER_MS):
        most = played.most_in_window(
            window_ms=bounds.WINDOW_MS, from_ms=from_ms
        )
        self.assertLessEqual(most, bounds.allowed(per_s))

    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        count=strategies.sampled_from((1, 2, 3, 8, 24, 70)),
        per_s=strategies.sampled_from((0, 0.2, 0.5, 1, 2.5, 6, 20)),
        loss=strategies.sampled_from((0.0, 0.02)),
    )
    @hypothesis.settings(max_examples=25, deadline=None)
    def test_limit_is_kept_and_used(self, seed, count, per_s, loss):
        played = simulation.Simulation(
            seed=seed, count=count, per_s=per_s, loss=loss
        )
        played.run(DURATION_MS)
        self.assert_kept(played, per_s)
        served = sum(
            one >= bounds.BINDING_AFTER_MS for one in played.arrivals_ms
        )
        permitted = per_s * (DURATION_MS - bounds.BINDING_AFTER_MS) / 1000
        self.assertGreaterEqual(served + 1, LEAST_SERVED * permitted)

    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        count=strategies.sampled_from((3, 8, 24)),
        per_s=strategies.sampled_from((0.5, 1, 2.5, 6)),
        faults=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('restart', 'cut', 'join')),
                strategies.integers(0, 2),
                strategies.integers(0, 3000),
            ),
            max_size=6,
        ),
    )
    @hypothesis.settings(max_examples=25, deadline=None)
    def test_limit_is_kept_by_those_in_touch(self, seed, count, per_s, faults):
        played = simulation.Simulation(seed=seed, count=count, per_s=per_s)
        played.run(bounds.BINDING_AFTER_MS)
        for kind, index, after_ms in faults:
            if kind == 'restart':
                played.restart(index)
            else:
                played.set_cut(index, kind == 'cut')
            played.run(after_ms)
        played.run(8000)
        self.assert_kept(played, per_s)

    def test_changed_limit_is_kept(self):
        rows = ((6, 1), (6, 0.5), (1, 6), (2.5, 1), (20, 0))
        for before, after in rows:
            with self.subTest(before=before, after=after):
                played = simulation.Simulation(seed=1, count=8, per_s=before)
                played.run(8000)
                played.per_s = after
                played.run(10_000)
                self.assert_kept(played, after, from_ms=11_000)
                self.assert_kept(played, max(before, after))

    def test_lifted_limit_is_forgotten_by_all(self):
        played = simulation.Simulation(seed=1, count=8, per_s=1)
        played.run(5000)
        played.per_s = None
        played.run(3000)
        for gateway in played.gateways:
            self.assertIsNone(gateway.limits.limit_per_s(simulation.KEY))

    def test_restarted_gateway_learns_the_limit(self):
        played = simulation.Simulation(seed=1, count=8, per_s=1)
        played.run(5000)
        played.restart(3)
        played.run(1100)
        learned = played.gateways[3].limits.limit_per_s(simulation.KEY)
        self.assertEqual(1, learned)

    def test_gateways_get_equal_shares(self):
        played = simulation.Simulation(seed=1, count=8, per_s=4)
        played.run(20_000)
        granted = [one.limits.granted_count for one in played.gateways]
        self.assertLessEqual(max(granted) - min(granted), 3)

    def test_cut_off_gateway_keeps_to_its_share(self):
        played = simulation.Simulation(seed=1, count=8, per_s=4)
        played.run(5000)
        played.set_cut(2, True)
        played.run(3000)
        limits = played.gateways[2].limits
        granted = limits.granted_count
        played.run(10_000)
        self.assertLessEqual(limits.granted_count - granted, 4 / 8 * 10 + 1)

    def test_restarted_gateway_of_many_soon_has_its_turn(self):
        played = simulation.Simulation(seed=1, count=70, per_s=4)
        played.run(5000)
        played.restart(3)
        played.run(2000)
        limits = played.gateways[3].limits
        self.assertEqual(4, limits.limit_per_s(simulation.KEY))
        self.assertLessEqual(limits.wait_ms(simulation.KEY), 2000)
