"""Tests of what callers get under played loads."""

import collections
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from shallothinge.scheduling import queue
from shallothinge.scheduling.tests import play

TURN = queue.LATE_TURN_INTERVAL
DURATION_MS = 600
ARRIVAL = strategies.builds(
    play.Arrival,
    at_ms=strategies.integers(0, DURATION_MS // 4),
    urgency=strategies.integers(0, 2),
    workspace=strategies.sampled_from('abc'),
    limit_ms=strategies.sampled_from((0, 10, 50, 300)),
    patience_ms=strategies.sampled_from((50, 100, 400)),
    min_service_ms=strategies.sampled_from((0.0, 5.0, 40.0)),
)
# Mostly more than there are slots for.
ARRIVALS = strategies.lists(ARRIVAL, min_size=10, max_size=60)
INTERVAL_MS = strategies.integers(2, 12)
PLAYS = hypothesis.settings(max_examples=100, deadline=None)


def steady(duration_ms, *, every_ms, **fields):
    """Return arrivals at a fixed rate."""
    return [
        play.Arrival(at_ms=at_ms, **fields)
        for at_ms in range(0, duration_ms, every_ms)
    ]


class PlayedPropertiesTest(unittest.TestCase):
    """R1, R3, R4 and R8 for any load."""

    @hypothesis.given(arrivals=ARRIVALS, interval_ms=INTERVAL_MS)
    @PLAYS
    def test_late_request_goes_first_only_in_its_turn(
        self, arrivals, interval_ms
    ):
        played = play.Play(arrivals, interval_ms=interval_ms).run(DURATION_MS)
        placements = played.placements
        for index, one in enumerate(placements):
            if one.is_late and one.in_time_waited:
                self.assertTrue(one.is_soonest)
                before = placements[max(0, index - TURN + 1) : index]
                self.assertEqual(TURN - 1, len(before))
                self.assertFalse(any(each.is_soonest for each in before))

    @hypothesis.given(arrivals=ARRIVALS, interval_ms=INTERVAL_MS)
    @PLAYS
    def test_one_of_eight_placements_is_of_the_late_abandoned_soonest(
        self, arrivals, interval_ms
    ):
        played = play.Play(arrivals, interval_ms=interval_ms).run(DURATION_MS)
        placements = played.placements
        for end in range(TURN, len(placements) + 1):
            run = placements[end - TURN : end]
            if all(one.late_waited for one in run):
                self.assertTrue(any(one.is_soonest for one in run))

    @hypothesis.given(arrivals=ARRIVALS, interval_ms=INTERVAL_MS)
    @PLAYS
    def test_more_urgent_of_two_alike_is_served_first(
        self, arrivals, interval_ms
    ):
        # Of each pair one is more urgent; whatever else waits, the other one
        # must not be served unless the more urgent was.
        pairs = [
            attrs.evolve(
                one,
                urgency=2 * one.urgency + rank,
                workspace=f'{one.workspace} {index} {rank}',
            )
            for index, one in enumerate(arrivals)
            for rank in (1, 0)
        ]
        played = play.Play(pairs, interval_ms=interval_ms).run(DURATION_MS)
        served = set()
        for one in played.placements:
            arrival = played.arrival(one.index)
            _, index, rank = arrival.workspace.split()
            if rank == '1':
                self.assertIn((index, '0'), served)
            served.add((index, rank))

    @hypothesis.given(arrivals=ARRIVALS, interval_ms=INTERVAL_MS)
    @PLAYS
    def test_free_slot_is_used_while_anything_waits(
        self, arrivals, interval_ms
    ):
        played = play.Play(arrivals, interval_ms=interval_ms).run(DURATION_MS)
        slots = len(played.unused_ms) + len(played.placements)
        self.assertEqual(-(-DURATION_MS // interval_ms), slots)


class PlayedLoadTest(unittest.TestCase):
    """Loads of which the result can be told."""

    def count_served(self, played, *, by, from_ms=0):
        """Return the placed requests and those in time, by a field."""
        served = collections.Counter()
        in_time = collections.Counter()
        for one in played.placements:
            arrival = played.arrival(one.index)
            if arrival.at_ms >= from_ms:
                served[getattr(arrival, by)] += 1
                in_time[getattr(arrival, by)] += not one.is_late
        return served, in_time

    def test_most_are_in_time_under_slight_overload(self):
        # In the order of arrival, every request is late once the queue is as
        # long as the time limit; 110 % arrive here.
        arrivals = steady(5000, every_ms=9, limit_ms=300, patience_ms=2000)
        played = play.Play(arrivals, interval_ms=10).run(5000)
        _, in_time = self.count_served(played, by='urgency')
        self.assertGreater(in_time[1], 0.8 * len(arrivals))

    def test_less_urgent_class_is_not_starved(self):
        # The more urgent class alone takes all slots.
        arrivals = steady(4000, every_ms=10, urgency=0)
        arrivals += steady(4000, every_ms=50, urgency=1)
        played = play.Play(arrivals, interval_ms=10).run(4000)
        served, _ = self.count_served(played, by='urgency')
        self.assertGreaterEqual(served[1], 400 // TURN - 2)
        self.assertGreaterEqual(served[0], 400 - served[1] - 2)

    def test_large_requests_are_not_starved(self):
        # A large request is late on arrival, while the others take all slots
        # and can be in time.
        arrivals = steady(4000, every_ms=10, limit_ms=100)
        arrivals += steady(4000, every_ms=100, min_service_ms=300.0)
        played = play.Play(arrivals, interval_ms=10).run(4000)
        served, _ = self.count_served(played, by='min_service_ms')
        self.assertGreaterEqual(served[300.0], 20)

    def test_workspace_with_few_requests_gets_them_served_in_time(self):
        # One workspace sends four times what there are slots for.
        arrivals = [
            play.Arrival(at_ms=at_ms, workspace='flood')
            for at_ms in range(0, 3000, 10)
            for _ in range(4)
        ]
        arrivals += steady(3000, every_ms=40, workspace='modest')
        played = play.Play(arrivals, interval_ms=10).run(3000)
        served, in_time = self.count_served(played, by='workspace')
        self.assertGreaterEqual(in_time['modest'], 0.95 * 3000 / 40)
        self.assertEqual(300, served.total())

    def test_workspace_alone_may_use_all_slots(self):
        arrivals = steady(2000, every_ms=10, workspace='flood')
        arrivals += steady(500, every_ms=10, workspace='other')
        played = play.Play(arrivals, interval_ms=10).run(2000)
        self.assertEqual(200, len(played.placements))
        self.assertEqual([], played.unused_ms)
