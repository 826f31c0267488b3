"""Tests of individual rules of the consensus protocol."""

import random
import unittest

from shallothinge.consensus import founding
from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes
from shallothinge.consensus.tests import cluster

FOUNDERS = ('a/1', 'b/2', 'c/3')


def build_node(*, entries=1, timing=cluster.TIMING):
    """Return replica a/1 of a founded cluster, with entries of term 1."""
    founded = founding.cluster_of(name='test', replica_ids=FOUNDERS)
    first = founding.founding_entry(cluster=founded)
    more = tuple(
        model.Entry(index=index, term=1, data=b'x' * 100)
        for index in range(2, entries + 1)
    )
    return nodes.Node(
        replica_id='a/1',
        rng=random.Random(1),
        timing=timing,
        restored=model.Restored(
            cluster=founded,
            hard_state=model.HardState(term=1),
            entries=(first, *more),
        ),
    )


def deliver_message(node, message_type, *, sender_id, **fields):
    """Deliver a message from another replica of the cluster to a node."""
    message = message_type(
        cluster_id=node.cluster_id,
        sender_id=sender_id,
        target_id=node.replica_id,
        **fields,
    )
    node.receive(10_000, sender_id, message)


def elect(node):
    """Make a node the leader of the next term and return its effects."""
    node.tick(0)
    node.tick(10_000)
    term = node.term + 1
    deliver_message(
        node,
        messages.PreVoteAnswer,
        sender_id='b/2',
        term=term,
        granted=True,
    )
    deliver_message(
        node, messages.VoteAnswer, sender_id='b/2', term=term, granted=True
    )
    return node.take_effects(10_000)


def request_vote(node, *, sender_id, term, last_index=9, last_term=1):
    """Request a node's vote.

    :returns: whether it was granted, or None without an answer.
    """
    deliver_message(
        node,
        messages.VoteRequest,
        sender_id=sender_id,
        term=term,
        last_index=last_index,
        last_term=last_term,
    )
    sent = node.take_effects(10_000).messages
    return sent[0].granted if sent else None


class OddTermTest(unittest.TestCase):
    """Terms that no elections can have led to."""

    def test_impossible_term_does_not_end_elections(self):
        # The replica followed it and stored it; the next term does not fit
        # into a message, so that no leader could be elected any more.
        odd = {'term': 2**63 - 1}
        vote = {'last_index': 9, 'last_term': 1, **odd}
        answer = {'match_index': 0, 'round': 0, **odd}
        rows = (
            (messages.VoteRequest, vote),
            (messages.VoteAnswer, {'granted': False, **odd}),
            (messages.PreVoteAnswer, {'granted': False, **odd}),
            (
                messages.AppendAnswer,
                {'accepted': False, 'prev_index': 0, **answer},
            ),
            (
                messages.AppendRequest,
                {
                    'prev_index': 1,
                    'prev_term': 1,
                    'entries': (),
                    'commit_index': 1,
                    'round': 1,
                    **odd,
                },
            ),
        )
        for message_type, fields in rows:
            for leads in (False, True):
                with self.subTest(message_type.__name__, leads=leads):
                    node = build_node()
                    if leads:
                        elect(node)
                    term = node.term
                    deliver_message(
                        node, message_type, sender_id='b/2', **fields
                    )
                    self.assertEqual(term, node.term)
                    if not leads:
                        elect(node)
                    self.assertIs(model.Role.LEADER, node.role)


class VoteTest(unittest.TestCase):
    """Conditions for granting a vote."""

    def test_vote_depends_on_the_candidates_log(self):
        table = (
            ('longer log', 4, 1, True),
            ('equal log', 3, 1, True),
            ('shorter log', 2, 1, False),
            ('shorter log of a newer term', 1, 2, True),
        )
        for name, last_index, last_term, granted in table:
            with self.subTest(name):
                node = build_node(entries=3)
                got = request_vote(
                    node,
                    sender_id='b/2',
                    term=5,
                    last_index=last_index,
                    last_term=last_term,
                )
                self.assertEqual(granted, got)

    def test_candidate_is_not_heard_while_a_leader_is(self):
        for transfer in (False, True):
            with self.subTest(transfer=transfer):
                node = build_node()
                heartbeat = {
                    'prev_index': 1,
                    'prev_term': 1,
                    'entries': (),
                    'commit_index': 1,
                    'round': 0,
                }
                deliver_message(
                    node,
                    messages.AppendRequest,
                    sender_id='b/2',
                    term=2,
                    **heartbeat,
                )
                deliver_message(
                    node,
                    messages.VoteRequest,
                    sender_id='c/3',
                    term=9,
                    last_index=9,
                    last_term=2,
                    transfer=transfer,
                )
                self.assertEqual(9 if transfer else 2, node.term)

    def test_vote_survives_a_restart(self):
        simulated = cluster.Cluster()
        simulated.found()
        simulated.commit()
        voter = simulated.hosts['a']
        term = voter.node.term + 1
        for expected, candidate in ((True, 'b/2'), (False, 'c/3')):
            simulated.start('a')
            voter.node.receive(
                0,
                candidate,
                cluster.request(
                    messages.VoteRequest,
                    sender_id=candidate,
                    host=voter,
                    term=term,
                    last_index=99,
                    last_term=term,
                ),
            )
            effects = voter.node.take_effects(0)
            voter.disk.records.extend(effects.records)
            self.assertEqual(expected, effects.messages[-1].granted)

    def test_empty_replica_neither_votes_nor_stands(self):
        simulated = cluster.Cluster(process_ids=('a', 'b'))
        empty = simulated.hosts['a']
        vote = cluster.request(
            messages.VoteRequest, sender_id='b/2', host=empty, term=5
        )
        empty.node.receive(0, 'b/2', vote)
        self.assertEqual((), empty.node.take_effects(0).messages)
        simulated.run(5000)
        self.assertEqual(0, empty.node.term)

    def test_message_to_the_former_disk_is_dropped(self):
        node = build_node()
        message = messages.VoteRequest(
            cluster_id=node.cluster_id,
            sender_id='b/2',
            target_id='a/0',
            term=5,
            last_index=9,
            last_term=1,
        )
        node.receive(0, 'b/2', message)
        self.assertEqual((), node.take_effects(0).messages)


class CommitTest(unittest.TestCase):
    """Commitment of entries, and what depends on it."""

    def test_entry_of_an_earlier_term_needs_one_of_the_own(self):
        for match_index, committed in ((3, 0), (4, 4)):
            with self.subTest(match_index=match_index):
                node = build_node(entries=3)
                elect(node)
                deliver_message(
                    node,
                    messages.AppendAnswer,
                    sender_id='b/2',
                    term=2,
                    accepted=True,
                    prev_index=3,
                    match_index=match_index,
                    round=0,
                )
                self.assertEqual(committed, node.commit_index)

    def test_read_at_a_new_leader_waits_for_its_first_entry(self):
        node = build_node(entries=3)
        elect(node)
        node.request_read(10_000, 'r1')
        node.take_effects(10_000)
        deliver_message(
            node,
            messages.AppendAnswer,
            sender_id='b/2',
            term=2,
            accepted=True,
            prev_index=3,
            match_index=3,
            round=1,
        )
        reads = node.take_effects(10_000).reads
        self.assertEqual([4], [read.index for read in reads])

    def test_change_waits_for_an_entry_of_the_own_term(self):
        node = build_node(entries=3)
        deliver_message(
            node,
            messages.AppendRequest,
            sender_id='b/2',
            term=1,
            prev_index=3,
            prev_term=1,
            entries=(),
            commit_index=3,
            round=0,
        )
        node.tick(20_000)
        elect(node)
        self.assertTrue(node.is_configuration_committed)
        refused = node.add_learner(10_000, 'd/4')
        self.assertIsInstance(refused, model.ProposalRefused)
        deliver_message(
            node,
            messages.AppendAnswer,
            sender_id='b/2',
            term=2,
            accepted=True,
            prev_index=3,
            match_index=4,
            round=0,
        )
        added = node.add_learner(10_000, 'd/4')
        self.assertIsInstance(added, model.Proposed)

    def test_message_is_bounded_in_bytes(self):
        node = build_node(entries=200)
        elect(node)
        deliver_message(
            node,
            messages.AppendAnswer,
            sender_id='b/2',
            term=2,
            accepted=False,
            prev_index=200,
            match_index=0,
            round=0,
        )
        sent = node.take_effects(10_000).messages
        size_bytes = sum(len(entry.data) for entry in sent[0].entries)
        self.assertLessEqual(size_bytes, cluster.TIMING.batch_bytes)
        self.assertGreater(len(sent[0].entries), 1)


class MembershipTest(unittest.TestCase):
    """Changes of the configuration."""

    def setUp(self):
        self.simulated = cluster.Cluster()
        self.simulated.found()
        self.simulated.commit()

    def test_learner_is_promoted_only_with_everything_committed(self):
        self.simulated.add_host('d')
        new = self.simulated.hosts['d'].disk.replica_id
        leader = self.simulated.leader()
        for other in 'abc':
            self.simulated.cuts.add((other, 'd'))
        leader.node.add_learner(self.simulated.now_ms, new)
        self.simulated.flush(leader)
        self.simulated.commit(5)
        self.simulated.run(5000)
        self.assertIn(new, leader.node.configuration.learners)
        self.simulated.cuts.clear()
        self.simulated.run_until(
            lambda: new in leader.node.configuration.voters
        )
        held = self.simulated.hosts['d'].node.log.last_index
        self.assertGreaterEqual(held, max(self.simulated.acknowledged))

    def test_second_change_waits_for_the_first(self):
        leader = self.simulated.leader()
        now_ms = self.simulated.now_ms
        first = leader.node.add_learner(now_ms, 'd/9')
        second = leader.node.add_learner(now_ms, 'e/9')
        self.assertIsInstance(first, model.Proposed)
        self.assertIsInstance(second, model.ProposalRefused)

    def test_removal_that_leaves_no_majority_is_refused(self):
        leader = self.simulated.leader()
        others = [
            voter
            for voter in leader.node.configuration.voters
            if voter != leader.disk.replica_id
        ]
        self.simulated.kill(model.process_id_of(others[0]))
        self.simulated.run(cluster.TIMING.election_max_ms)
        refused = leader.node.remove(self.simulated.now_ms, others[1])
        self.assertIsInstance(refused, model.ProposalRefused)
        self.simulated.commit()

    def test_learner_of_an_uncommitted_change_is_added_again(self):
        self.simulated.add_host('d')
        self.simulated.wanted.add('d')
        former = self.simulated.leader()
        for other in 'abc':
            self.simulated.cuts.add((former.process_id, other))
            self.simulated.cuts.add((other, former.process_id))
        self.simulated.run(1000)
        self.simulated.check_recovery()
        new = self.simulated.hosts['d'].disk.replica_id
        self.simulated.run_until(
            lambda: new in self.simulated.leader().node.configuration.voters
        )


class LostDiskTest(unittest.TestCase):
    """Recovery of hosts that lost their disk."""

    def test_second_loss_right_after_the_repair_loses_nothing(self):
        for first, second in (('a', 'b'), ('b', 'c'), ('c', 'a')):
            with self.subTest(first=first, second=second):
                simulated = cluster.Cluster(seed=3)
                simulated.found()
                simulated.commit(20)
                simulated.lose_disk(first)
                simulated.run_until(lambda: simulated.may_lose_disk(second))
                simulated.lose_disk(second)
                simulated.check_recovery()

    def test_second_loss_waits_for_the_repair(self):
        simulated = cluster.Cluster()
        simulated.found()
        simulated.commit()
        simulated.lose_disk('a')
        self.assertFalse(simulated.may_lose_disk('b'))

    def test_snapshot_reaches_a_new_replica_in_chunks(self):
        simulated = cluster.Cluster()
        simulated.found()
        simulated.commit(30)
        for host in simulated.hosts.values():
            simulated.compact(host)
        simulated.lose_disk('a')
        simulated.check_recovery()
        snapshot = simulated.hosts['a'].disk.snapshot
        self.assertGreater(len(snapshot.data), cluster.TIMING.chunk_bytes)


class DisturbanceTest(unittest.TestCase):
    """Replicas that are partitioned, frozen, restarted or stopped."""

    def setUp(self):
        self.simulated = cluster.Cluster()
        self.simulated.found()
        self.simulated.commit()
        self.leader = self.simulated.leader()
        self.follower = next(
            host
            for host in self.simulated.hosts.values()
            if host is not self.leader
        )

    def test_silent_host_does_not_depose_the_leader_on_return(self):
        name = self.follower.process_id
        table = (
            ('both ways', ((name, 'abc'), ('abc', name))),
            ('hears nothing', (('abc', name),)),
            ('is not heard', ((name, 'abc'),)),
        )
        for title, cuts in table:
            with self.subTest(title):
                term = self.leader.node.term
                for senders, receivers in cuts:
                    for sender in senders:
                        for receiver in receivers:
                            self.simulated.cuts.add((sender, receiver))
                self.simulated.run(30_000)
                self.simulated.commit(3)
                self.simulated.cuts.clear()
                self.simulated.run(3000)
                self.assertIs(self.leader, self.simulated.leader())
                self.assertEqual(term, self.leader.node.term)

    def test_leader_without_a_majority_steps_down(self):
        for other in 'abc':
            self.simulated.cuts.add((other, self.leader.process_id))
        self.simulated.run(cluster.TIMING.election_max_ms + 200)
        self.assertIsNot(model.Role.LEADER, self.leader.node.role)

    def test_frozen_leader_confirms_no_read_after_its_successor(self):
        self.simulated.freeze(self.leader.process_id)
        self.simulated.run_until(
            lambda: self.simulated.leader() is not self.leader
        )
        self.simulated.commit()
        confirmed = self.simulated.confirmed_reads
        self.simulated.read(self.leader)
        self.simulated.thaw(self.leader.process_id)
        self.simulated.run(1000)
        self.assertEqual(confirmed, self.simulated.confirmed_reads)

    def test_leader_serves_while_a_replica_is_behind_its_snapshot(self):
        for other in 'abc':
            self.simulated.cuts.add((other, self.follower.process_id))
        self.simulated.commit(10)
        self.simulated.compact(self.leader)
        self.simulated.read(self.leader)
        self.simulated.check_recovery()

    def test_restart_after_hundreds_of_changes(self):
        for _ in range(6):
            self.simulated.commit(50)
            for host in self.simulated.hosts.values():
                self.simulated.compact(host)
        for process_id in 'abc':
            self.simulated.kill(process_id)
        self.simulated.check_recovery()
        self.assertEqual(302, len(self.simulated.acknowledged))

    def test_planned_stop_hands_over_within_two_heartbeats(self):
        target = self.leader.node.transfer(self.simulated.now_ms)
        self.simulated.flush(self.leader)
        self.simulated.run(2 * cluster.TIMING.heartbeat_ms)
        self.assertEqual(target, self.simulated.leader().disk.replica_id)

    def test_planned_stop_hands_over_to_a_voter_that_is_heard(self):
        for gone_id in sorted(set('abc') - {self.leader.process_id}):
            with self.subTest(gone=gone_id):
                self.setUp()
                self.simulated.run(500)
                self.simulated.kill(gone_id)
                self.simulated.run(500)
                self.assertIs(self.leader, self.simulated.leader())
                target = self.leader.node.transfer(self.simulated.now_ms)
                self.assertNotEqual(gone_id, model.process_id_of(target))
