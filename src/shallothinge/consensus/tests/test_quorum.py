"""Tests of what a replica knows about the voters."""

import unittest

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import peer_activity
from shallothinge.consensus import quorum
from shallothinge.consensus.tests import cluster
from shallothinge.consensus.tests import test_node

# A leader that lost its quorum steps down within one election timeout, its
# followers notice within another, and two more pass until they know which
# voters are heard.
SETTLED_MS = 5 * cluster.TIMING.election_max_ms


class QuorumTest(unittest.TestCase):
    """The voters, the quorum size and the voters that are heard."""

    def build(self, voter_count):
        hosts = cluster.Cluster(process_ids='abcdef'[:voter_count])
        hosts.found()
        hosts.run(SETTLED_MS)
        return hosts

    def view(self, hosts, process_id):
        return hosts.hosts[process_id].node.quorum(hosts.now_ms)

    def kill_followers(self, hosts, count):
        """Kill some followers and return the id of the leader."""
        leader_id = hosts.leader().process_id
        for process_id in [one for one in hosts.hosts if one != leader_id][
            :count
        ]:
            hosts.kill(process_id)
        hosts.run(SETTLED_MS)
        return leader_id

    def test_number_of_tolerated_failures(self):
        # voters, lost voters, quorum size, heard, tolerated, has a leader
        table = (
            (1, 0, 1, 1, 0, True),
            (3, 0, 2, 3, 1, True),
            (3, 1, 2, 2, 0, True),
            (3, 2, 2, 1, -1, False),
            (4, 0, 3, 4, 1, True),
            (4, 1, 3, 3, 0, True),
            (4, 2, 3, 2, -1, False),
            (5, 1, 3, 4, 1, True),
        )
        for voters, lost, needed, heard, tolerated, has_leader in table:
            with self.subTest(voters=voters, lost=lost):
                hosts = self.build(voters)
                view = self.view(hosts, self.kill_followers(hosts, lost))
                self.assertEqual(voters, len(view.voters))
                self.assertEqual(needed, view.needed)
                self.assertEqual(heard, len(view.heard))
                self.assertEqual(lost, len(view.silent))
                self.assertEqual(tolerated, view.losses_borne)
                self.assertEqual(has_leader, bool(view.leader_id))

    def test_each_host_without_a_leader_knows_who_is_heard(self):
        hosts = self.build(4)
        self.kill_followers(hosts, 2)
        alive = [one for one in hosts.hosts.values() if one.node is not None]
        for host in alive:
            view = self.view(hosts, host.process_id)
            self.assertEqual(
                {one.disk.replica_id for one in alive}, set(view.heard)
            )
            for silent in view.silent:
                self.assertGreaterEqual(silent.silent_ms, SETTLED_MS - 100)

    def test_voter_that_was_not_asked_is_not_called_silent_for_long(self):
        hosts = self.build(3)
        hosts.run(10 * SETTLED_MS)
        leader_id = hosts.leader().process_id
        cut_id = next(one for one in hosts.hosts if one != leader_id)
        for other_id in hosts.hosts:
            hosts.cuts |= {(cut_id, other_id), (other_id, cut_id)}
        hosts.run(SETTLED_MS)
        view = self.view(hosts, cut_id)
        self.assertEqual(2, len(view.silent))
        for silent in view.silent:
            self.assertLessEqual(silent.unanswered_ms, SETTLED_MS)
            self.assertLessEqual(silent.unanswered_ms, silent.silent_ms)
        self.assertGreater(
            max(silent.silent_ms for silent in view.silent), 10 * SETTLED_MS
        )

    def test_silence_since_asking_began_is_counted(self):
        hosts = self.build(4)
        self.kill_followers(hosts, 2)
        hosts.run(SETTLED_MS)
        limit_ms = quorum.SILENCE_TIMEOUTS * cluster.TIMING.election_max_ms
        for host in hosts.hosts.values():
            if host.node is not None:
                for silent in self.view(hosts, host.process_id).silent:
                    self.assertGreater(silent.unanswered_ms, limit_ms)

    def test_host_that_hears_only_itself_may_be_cut_off(self):
        # voters, isolated voters, expected may_be_cut_off
        table = ((1, 0, False), (3, 1, True), (4, 2, False))
        for voters, cut, expected in table:
            with self.subTest(voters=voters, cut=cut):
                hosts = self.build(voters)
                ids = list(hosts.hosts)
                isolated = ids[:cut]
                for one in isolated:
                    for other in ids[cut:]:
                        hosts.cuts |= {(one, other), (other, one)}
                hosts.run(SETTLED_MS)
                for one in isolated or ids:
                    self.assertEqual(
                        expected, self.view(hosts, one).may_be_cut_off
                    )

    def test_follower_does_not_know_which_voters_are_heard(self):
        hosts = self.build(3)
        leader_id = hosts.leader().process_id
        follower_id = next(one for one in hosts.hosts if one != leader_id)
        view = self.view(hosts, follower_id)
        self.assertIsNone(view.heard)
        self.assertIsNone(view.losses_borne)
        self.assertEqual(2, view.needed)

    def test_heard_voters_are_unknown_just_after_losing_the_leader(self):
        hosts = self.build(3)
        hosts.kill(hosts.leader().process_id)
        alive = [one for one in hosts.hosts.values() if one.node is not None]
        hosts.run_until(lambda: not alive[0].node.leader_id)
        self.assertIsNone(self.view(hosts, alive[0].process_id).heard)

    def test_voter_that_can_not_be_reached_is_not_heard_by_its_leader(self):
        hosts = self.build(3)
        leader_id = hosts.leader().process_id
        other_id = next(one for one in hosts.hosts if one != leader_id)
        hosts.cuts.add((leader_id, other_id))
        hosts.run(SETTLED_MS)
        leader = hosts.leader()
        self.assertEqual(leader_id, leader.process_id)
        view = self.view(hosts, leader_id)
        self.assertEqual(
            [hosts.hosts[other_id].disk.replica_id],
            [one.replica_id for one in view.silent],
        )

    def test_replica_without_a_cluster_needs_no_votes(self):
        hosts = cluster.Cluster(process_ids='a')
        hosts.run(SETTLED_MS)
        view = self.view(hosts, 'a')
        self.assertEqual(((), 0, None), (view.voters, view.needed, view.heard))
        self.assertTrue(view.is_leaderless_for_long)

    def test_refused_votes_state_the_reason(self):
        # reason, requested term, last index of the candidate, leader heard
        table = (
            ('', 2, 3, False),
            ('old_term', 1, 3, False),
            ('log_behind', 2, 2, False),
            ('hears_leader', 2, 3, True),
        )
        for reason, term, last_index, hears_leader in table:
            with self.subTest(reason=reason):
                node = test_node.build_node(entries=3)
                if hears_leader:
                    test_node.deliver_message(
                        node,
                        messages.AppendRequest,
                        sender_id='c/3',
                        term=1,
                        prev_index=3,
                        prev_term=1,
                        entries=(),
                        commit_index=3,
                        round=0,
                    )
                node.take_effects(10_000)
                test_node.deliver_message(
                    node,
                    messages.PreVoteRequest,
                    sender_id='b/2',
                    term=term,
                    last_index=last_index,
                    last_term=1,
                )
                [sent] = node.take_effects(10_000).messages
                self.assertEqual(reason, sent.reason)
                self.assertEqual(not reason, sent.granted)

    def test_candidate_records_refusal_reasons(self):
        node = test_node.build_node()
        node.tick(0)
        node.tick(10_000)
        for voter, reason in (('b/2', 'hears_leader'), ('c/3', 'log_behind')):
            test_node.deliver_message(
                node,
                messages.PreVoteAnswer,
                sender_id=voter,
                term=1,
                granted=False,
                reason=reason,
            )
        self.assertEqual(
            (('b/2', 'hears_leader'), ('c/3', 'log_behind')),
            node.quorum(10_000).refusals,
        )

    def test_change_refusals_are_returned_once(self):
        node = test_node.build_node()
        node.add_learner(0, 'd/4')
        self.assertEqual(('not the leader',), node.take_change_refusals())
        self.assertEqual((), node.take_change_refusals())

    def test_contact_times_are_kept_for_members_only(self):
        observed = peer_activity.PeerActivity()
        for number in range(100):
            voters = tuple(f'h{one}/1' for one in range(number, number + 3))
            configuration = model.Configuration(voters=voters)
            for voter in (*voters, 'stranger/1'):
                observed.record_message(number, voter, configuration)
        self.assertEqual(set(voters), set(observed.last_heard_ms))
