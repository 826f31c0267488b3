"""Tests of the leader's automatic removal and promotion of replicas."""

import random
import unittest

import attrs

from shallothinge.consensus import founding
from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes

SILENT_MS = 1500
TIMING = model.Timing(replace_silent_ms=SILENT_MS)
ELECTED_MS = 10_000


class LeaderFixture:
    """A node elected as leader, with simulated answers of the others."""

    def __init__(self, *, count, timing=TIMING):
        self.ids = tuple(f'{number}/x' for number in range(1, count + 1))
        cluster = founding.cluster_of(name='test', replica_ids=self.ids)
        entry = founding.founding_entry(cluster=cluster)
        self.node = nodes.Node(
            replica_id=self.ids[0],
            rng=random.Random(1),
            timing=timing,
            restored=model.Restored(
                cluster=cluster,
                hard_state=model.HardState(term=1),
                entries=(entry,),
            ),
        )
        self.now_ms = ELECTED_MS
        self._elect()

    @property
    def voter_count(self):
        """Return the number of voters."""
        return len(self.node.configuration.voters)

    def deliver(self, message_type, *, sender_id, **fields):
        """Deliver a message to the node and return the messages it sends."""
        message = message_type(
            cluster_id=self.node.cluster_id,
            sender_id=sender_id,
            target_id=self.node.replica_id,
            **fields,
        )
        self.node.receive(self.now_ms, sender_id, message)
        return self.node.take_effects(self.now_ms).messages

    def request_leave(self, sender_id):
        """Deliver a voter's leave request; return whether it is settled."""
        answers = self.deliver(messages.LeaveRequest, sender_id=sender_id)
        return [
            one.settled
            for one in answers
            if isinstance(one, messages.LeaveAnswer)
        ][0]

    def run(self, duration_ms, *, answering):
        """Advance the clock while the given replicas answer the leader."""
        for _ in range(duration_ms // TIMING.heartbeat_ms):
            self.now_ms += TIMING.heartbeat_ms
            self.node.tick(self.now_ms)
            self.node.take_effects(self.now_ms)
            for sender_id in answering:
                self.deliver(
                    messages.AppendAnswer,
                    sender_id=sender_id,
                    term=self.node.term,
                    accepted=True,
                    prev_index=0,
                    match_index=self.node.log.last_index,
                    round=0,
                )

    def _elect(self):
        self.node.tick(0)
        self.node.tick(self.now_ms)
        for kind in (messages.PreVoteAnswer, messages.VoteAnswer):
            term = self.node.term + (kind is messages.PreVoteAnswer)
            for sender_id in self.ids[1:]:
                self.deliver(
                    kind, sender_id=sender_id, term=term, granted=True
                )


class GoneVoterTest(unittest.TestCase):
    """Removal of voters that are silent for too long."""

    ROWS = (
        # voters, silent voters, voters after the removals
        (3, 1, 3),
        (4, 1, 3),
        (5, 1, 4),
        (5, 2, 3),
        (6, 1, 5),
        (6, 2, 4),
        (7, 1, 6),
        (7, 2, 5),
        (8, 2, 6),
    )

    def test_unavailable_voter_is_removed_while_three_remain(self):
        for count, silent, left in self.ROWS:
            with self.subTest(voters=count, silent=silent):
                leader = LeaderFixture(count=count)
                answering = leader.ids[1 : count - silent]
                leader.run(SILENT_MS, answering=answering)
                self.assertEqual(count, leader.voter_count)
                leader.run(1000, answering=answering)
                self.assertEqual(left, leader.voter_count)

    def test_voters_are_not_removed_below_the_least_number(self):
        for count, silent, left in (
            (6, 2, 5),
            (5, 1, 5),
            (5, 2, 5),
            (7, 2, 5),
        ):
            with self.subTest(voters=count, silent=silent):
                timing = attrs.evolve(TIMING, min_voters=5)
                leader = LeaderFixture(count=count, timing=timing)
                answering = leader.ids[1 : count - silent]
                leader.run(SILENT_MS + 1000, answering=answering)
                self.assertEqual(left, leader.voter_count)

    def test_removals_do_not_reduce_tolerated_failures(self):
        for count, silent, left in self.ROWS:
            with self.subTest(voters=count, silent=silent):
                heard = count - silent
                self.assertGreaterEqual(
                    heard - model.majority_of(left),
                    heard - model.majority_of(count),
                )

    def test_automatic_removal_can_be_disabled(self):
        leader = LeaderFixture(count=4, timing=model.Timing())
        leader.run(2 * SILENT_MS, answering=leader.ids[1:3])
        self.assertEqual(4, leader.voter_count)

    def test_unavailable_learner_is_removed(self):
        leader = LeaderFixture(count=3)
        leader.run(200, answering=leader.ids[1:])
        leader.node.add_learner(leader.now_ms, 'new/x')
        leader.run(SILENT_MS + 500, answering=leader.ids[1:])
        self.assertEqual((), leader.node.configuration.learners)


class StandbyTest(unittest.TestCase):
    """Caught-up learners that wait until a voter is unavailable."""

    def add(self, leader, *learners):
        """Add learners and let them catch up while all replicas answer."""
        leader.run(200, answering=leader.ids[1:])
        for learner in learners:
            leader.node.add_learner(leader.now_ms, learner)
            leader.run(200, answering=(*leader.ids[1:], *learners))
        leader.run(1000, answering=(*leader.ids[1:], *learners))

    def test_number_of_voters_does_not_become_even(self):
        for voters, added, least, left in (
            (3, 1, 3, 3),
            (3, 2, 3, 5),
            (3, 3, 3, 5),
            (4, 1, 3, 5),
            (5, 1, 5, 5),
            (3, 1, 5, 4),
            (3, 2, 5, 5),
        ):
            with self.subTest(voters=voters, added=added, least=least):
                timing = attrs.evolve(TIMING, min_voters=least)
                leader = LeaderFixture(count=voters, timing=timing)
                self.add(
                    leader, *(f'{one}/new' for one in range(10, 10 + added))
                )
                self.assertEqual(left, leader.voter_count)

    def test_learner_takes_the_vote_of_a_silent_voter(self):
        leader = LeaderFixture(count=3)
        self.add(leader, 'new/x')
        leader.run(SILENT_MS, answering=(leader.ids[1], 'new/x'))
        self.assertEqual(leader.ids, leader.node.configuration.voters)
        leader.run(1000, answering=(leader.ids[1], 'new/x'))
        self.assertEqual(
            (*leader.ids[:2], 'new/x'), leader.node.configuration.voters
        )

    def test_learner_takes_the_vote_of_a_leaving_voter_at_once(self):
        leader = LeaderFixture(count=3)
        self.add(leader, 'new/x')
        leader.request_leave(leader.ids[2])
        leader.run(300, answering=(leader.ids[1], 'new/x'))
        self.assertEqual(
            (*leader.ids[:2], 'new/x'), leader.node.configuration.voters
        )

    def test_silent_learner_takes_no_vote_of_a_leaving_voter(self):
        leader = LeaderFixture(count=3)
        self.add(leader, 'new/x')
        leader.run(700, answering=leader.ids[1:])
        leader.request_leave(leader.ids[2])
        leader.run(300, answering=leader.ids[1:2])
        self.assertEqual(leader.ids, leader.node.configuration.voters)

    def test_lost_disk_does_not_reduce_voters_with_a_standby(self):
        leader = LeaderFixture(count=3)
        self.add(leader, 'new/x')
        counts = set()
        leader.node.add_learner(leader.now_ms, '3/y')
        for _ in range(10):
            leader.run(100, answering=(leader.ids[1], 'new/x', '3/y'))
            counts.add(leader.voter_count)
        self.assertEqual({3, 4}, counts)
        self.assertEqual(
            (*leader.ids[:2], 'new/x'), leader.node.configuration.voters
        )

    def test_learner_is_promoted_without_automatic_removal(self):
        leader = LeaderFixture(count=3, timing=model.Timing())
        self.add(leader, 'new/x')
        self.assertEqual(4, leader.voter_count)


class LeavingVoterTest(unittest.TestCase):
    """Voters that announce that their process is stopping."""

    def test_leaving_voter_loses_its_vote_at_once_while_three_are_left(self):
        for count, left in ((3, 3), (4, 3), (5, 4), (6, 5)):
            with self.subTest(voters=count):
                leader = LeaderFixture(count=count)
                others = leader.ids[1:]
                leader.run(200, answering=others)
                leader.request_leave(others[-1])
                leader.run(200, answering=others[:-1])
                self.assertEqual(left, leader.voter_count)
                self.assertTrue(leader.request_leave(others[-1]))

    def test_leaving_is_settled_only_once_the_removal_is_committed(self):
        leader = LeaderFixture(count=4)
        leader.run(200, answering=leader.ids[1:])
        self.assertFalse(leader.request_leave(leader.ids[3]))
        leader.run(100, answering=leader.ids[1:3])
        self.assertTrue(leader.request_leave(leader.ids[3]))

    def test_returned_voter_is_not_treated_as_leaving(self):
        leader = LeaderFixture(count=3)
        others = leader.ids[1:]
        leader.run(200, answering=others)
        leader.request_leave(others[1])
        leader.run(600, answering=others[:1])
        leader.run(600, answering=others)
        leader.node.add_learner(leader.now_ms, 'new/x')
        leader.run(1000, answering=(*others, 'new/x'))
        self.assertEqual(leader.ids, leader.node.configuration.voters)

    def test_successor_gets_its_vote_before_the_leaving_voter_is_removed(self):
        leader = LeaderFixture(count=3)
        others = leader.ids[1:]
        leader.run(200, answering=others)
        leader.node.add_learner(leader.now_ms, 'new/x')
        self.assertFalse(leader.request_leave(others[1]))
        leader.run(1000, answering=(others[0], 'new/x'))
        self.assertEqual(
            {leader.ids[0], others[0], 'new/x'},
            set(leader.node.configuration.voters),
        )

    def test_leadership_is_transferred_to_a_returned_voter(self):
        leader = LeaderFixture(count=3)
        back, silent = leader.ids[1:]
        leader.run(200, answering=(back, silent))
        leader.request_leave(back)
        leader.run(600, answering=(silent,))
        leader.run(2000, answering=(back, silent))
        leader.run(800, answering=(back,))
        self.assertEqual(back, leader.node.transfer(leader.now_ms))

    def test_no_change_of_voters_while_the_leader_hands_over(self):
        leader = LeaderFixture(count=4)
        leader.run(200, answering=leader.ids[1:])
        leader.node.transfer(leader.now_ms)
        refused = leader.node.add_learner(leader.now_ms, 'new/x')
        self.assertIsInstance(refused, model.ProposalRefused)
        self.assertEqual('the leader is handing over', refused.reason)

    def test_leaving_replica_ignores_transfer_requests(self):
        follower = LeaderFixture(count=4)
        follower.node.leave()
        term = follower.node.term
        follower.deliver(
            messages.TransferRequest, sender_id=follower.ids[1], term=term
        )
        self.assertEqual(term, follower.node.term)

    def test_leaving_replica_without_a_leader_asks_all_voters(self):
        follower = LeaderFixture(count=4)
        follower.node.leave()
        follower.run(3000, answering=())
        self.assertEqual('', follower.node.leader_id)
        follower.node.tick(follower.now_ms)
        asked = {
            one.target_id
            for one in follower.node.take_effects(follower.now_ms).messages
            if isinstance(one, messages.LeaveRequest)
        }
        self.assertEqual(set(follower.ids[1:]), asked)

    def test_learner_that_fell_silent_gets_no_vote(self):
        leader = LeaderFixture(count=3)
        others = leader.ids[1:]
        leader.run(200, answering=others)
        leader.node.add_learner(leader.now_ms, 'new/x')
        leader.run(200, answering=('new/x',))
        leader.run(600, answering=())
        leader.run(300, answering=others)
        self.assertNotIn('new/x', leader.node.configuration.voters)
