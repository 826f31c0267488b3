"""Tests of the order over several gateways, which R7 asks for."""

import random
import unittest

from shallothinge.scheduling import demand
from shallothinge.scheduling import queue
from shallothinge.scheduling import turn
from shallothinge.scheduling.tests import simulation

SEEDS = range(3)
SERVERS = 10
SLOTS = 2
# A slot that is said to be free is used after this time at the latest.
NEWS_MS = simulation.REPORT_DELAY_MS + 4 + simulation.RETRY_MS
# Placements of which a gateway does not know yet.
UNREPORTED_COUNT = 4


def build_load(seed, *, gateways, per_s, duration_ms, **fields):
    """Return arrivals at random times, at random ones of the gateways."""
    rng = random.Random(seed)
    arrivals = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(per_s / 1000)
        if at_ms >= duration_ms:
            return arrivals
        arrivals.append(
            simulation.Arrival(
                at_ms=int(at_ms), gateway=rng.choice(gateways), **fields
            )
        )


class SeveralGatewaysTest(unittest.TestCase):
    """Slots that several gateways share; about 100 streams end per second."""

    def count_in_time(self, played, **fields):
        """Return the placements in time of arrivals with these fields."""
        return sum(
            not one.is_late
            and all(
                getattr(one.arrival, name) == value
                for name, value in fields.items()
            )
            for one in played.placements
        )

    def test_urgent_requests_at_one_gateway_go_before_others_elsewhere(self):
        # Each gateway by itself would place its own requests first, whether
        # or not others have more urgent ones.
        for seed in SEEDS:
            urgent = build_load(
                seed, gateways=[0], per_s=60, duration_ms=3000, urgency=0
            )
            others = build_load(
                seed + 1, gateways=[1, 2, 3], per_s=150, duration_ms=3000
            )
            served = {}
            for loss in (0.0, 1.0):
                played = simulation.Simulation(
                    urgent + others, gateways=4, seed=seed, loss=loss
                ).run(3300)
                served[loss] = self.count_in_time(played, urgency=0)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(served[0.0], 0.97 * len(urgent))
                self.assertLess(served[1.0], 0.8 * len(urgent))

    def test_gateway_with_late_requests_only_is_not_starved(self):
        # By the count of its own placements it would have no turn, as it has
        # none while others have requests that can be in time.
        for seed in SEEDS:
            late = [
                simulation.Arrival(
                    at_ms=at_ms,
                    gateway=0,
                    limit_ms=30,
                    min_service_ms=40.0,
                    patience_ms=1000,
                )
                for at_ms in range(0, 4000, 40)
            ]
            others = build_load(
                seed,
                gateways=[1, 2, 3],
                per_s=125,
                duration_ms=4000,
                limit_ms=400,
            )
            played = simulation.Simulation(
                late + others, gateways=4, seed=seed
            ).run(4000)
            runs, run = [], 0
            for one in played.placements:
                if one.has_waited and one.at_ms >= 500:
                    run = 0 if one.is_late else run + 1
                    runs.append(run)
            with self.subTest(seed=seed):
                self.assertGreater(len(runs), 250)
                self.assertLessEqual(
                    max(runs), queue.LATE_TURN_INTERVAL + UNREPORTED_COUNT
                )

    def test_crashed_gateway_delays_others_for_the_yield_time_only(self):
        # Its requests, which the others have heard of, are before all others.
        for seed in SEEDS:
            arrivals = build_load(
                seed, gateways=[0, 1, 2, 3], per_s=150, duration_ms=2500
            )
            arrivals += [
                simulation.Arrival(
                    at_ms=900, gateway=0, urgency=0, limit_ms=1500
                )
                for _ in range(30)
            ]
            played = simulation.Simulation(arrivals, gateways=4, seed=seed)
            played.run(960)
            played.gateways[0].has_crashed = True
            before = len(played.placements)
            played.run(960 + demand.DEMAND_TTL_MS + NEWS_MS)
            at_once = len(played.placements) - before
            played.run(2500)
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    played.longest_idle_ms, turn.MAX_YIELD_MS + NEWS_MS
                )
                self.assertGreater(at_once, 15)
                self.assertGreater(len(played.placements) - before, 130)

    def test_requests_are_served_whatever_share_of_reports_is_lost(self):
        for loss in (0.0, 0.3, 0.9, 1.0):
            with self.subTest(loss=loss):
                arrivals = build_load(
                    1, gateways=[0, 1, 2, 3], per_s=150, duration_ms=3000
                )
                played = simulation.Simulation(
                    arrivals, gateways=4, loss=loss
                ).run(3000)
                slot_ms = SERVERS * SLOTS * 3000
                self.assertLess(played.idle_slot_ms, 0.05 * slot_ms)
                self.assertLessEqual(
                    played.longest_idle_ms, turn.MAX_YIELD_MS + NEWS_MS
                )
                self.assertGreater(self.count_in_time(played), 250)

    def test_nothing_waits_while_there_is_capacity(self):
        arrivals = build_load(
            1, gateways=[0, 1, 2, 3], per_s=20, duration_ms=3000
        )
        played = simulation.Simulation(arrivals, gateways=4).run(3000)
        self.assertEqual(len(arrivals), len(played.placements))
        for one in played.placements:
            self.assertLessEqual(
                one.at_ms - one.arrival.at_ms, NEWS_MS * one.has_waited
            )
        self.assertLessEqual(played.rejected_count, 1)
