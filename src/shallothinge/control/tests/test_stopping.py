"""Tests of the planned stop of a control host."""

import unittest

import attrs

from shallothinge.consensus import model
from shallothinge.control import stopping


@attrs.define(kw_only=True)
class _Node:
    """A fake node that leads until the test changes its role."""

    role: model.Role = model.Role.LEADER
    timing: model.Timing = model.Timing()
    is_transferring_leadership: bool = False
    is_leave_settled: bool = False
    has_successors: bool = True
    transfers: int = 0

    def transfer(self, now_ms):
        """Start a transfer, if there is another voter."""
        self.transfers += self.has_successors
        self.is_transferring_leadership = self.has_successors
        return 'b/x' if self.has_successors else ''

    def leave(self):
        """Begin to leave."""


class PlannedStopTest(unittest.TestCase):
    """What a replica waits for before its process stops."""

    def setUp(self):
        self.node = _Node()
        self.stop = stopping.PlannedStop(node=self.node)
        self.fired = []

    def wait(self, answered):
        answered.addCallback(self.fired.append)

    def test_successor_that_stops_as_well_is_replaced_by_another(self):
        self.wait(self.stop.hand_over(0))
        self.node.is_transferring_leadership = False
        self.stop.tick(25)
        self.assertEqual((2, []), (self.node.transfers, self.fired))

    def test_replica_that_is_elected_while_it_leaves_hands_over(self):
        self.wait(self.stop.leave(0))
        self.stop.tick(25)
        self.assertEqual((1, []), (self.node.transfers, self.fired))

    def test_leader_without_other_voters_just_ends(self):
        self.node.has_successors = False
        self.wait(self.stop.hand_over(0))
        self.wait(self.stop.leave(0))
        self.assertEqual([None, None], self.fired)

    def test_each_wait_ends_in_time(self):
        for begin, limit_ms in (
            (self.stop.hand_over, self.node.timing.election_max_ms),
            (self.stop.leave, stopping.LEAVE_TIMEOUT_MS),
        ):
            with self.subTest(limit_ms=limit_ms):
                self.fired.clear()
                self.wait(begin(0))
                self.stop.tick(limit_ms - 1)
                self.assertEqual([], self.fired)
                self.stop.tick(limit_ms)
                self.assertEqual([None], self.fired)
