"""Tests that logs and metrics show why control hosts do not answer."""

import contextlib
import logging
import pathlib
import tempfile
import unittest

import attrs

from shallothinge import metrics
from shallothinge.consensus import messages
from shallothinge.consensus import quorum
from shallothinge.control import quorum_log
from shallothinge.control import quorum_metrics
from shallothinge.control import replica
from shallothinge.control import unavailable_replica
from shallothinge.control import views
from shallothinge.control.tests import hosts
from shallothinge.settings import model

IDS = tuple(f'10.0.0.{number}:{hosts.PORT}' for number in range(1, 5))
SEEDS = tuple(f'10.0.0.{number}:80' for number in range(1, 4))
# Long enough that hosts without a leader know which other voters are heard.
SETTLED_MS = 5000
# Long enough to detect a silent voter.
NOTICED_MS = 2000
# Of the log, after which the lines tell what the metrics tell at once.
TICK_MS = (
    model.LogSettings(data_folder='').heartbeat_ms
    // replica.TICKS_PER_HEARTBEAT
)
NAMES = (*quorum_metrics.READERS, 'control_leader_known')


class _LossyHosts(hosts.Hosts):
    """Hosts whose network can drop all messages of chosen types."""

    lost_types = ()

    def send(self, sender_id, target_id, message):
        """Send a message, unless it is of one of the dropped types."""
        if isinstance(message, self.lost_types):
            return False
        return super().send(sender_id, target_id, message)


class _RecordingHandler(logging.Handler):
    """Collects the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Collect a record."""
        self.records.append(record)

    def of(self, message):
        """Return the records with this message."""
        return [one for one in self.records if one.getMessage() == message]

    def count(self, message):
        """Return the number of records with this message."""
        return len(self.of(message))


@contextlib.contextmanager
def captured_records():
    """Collect the log records of the quorum log."""
    lines = _RecordingHandler()
    former_level = quorum_log.LOG.level
    quorum_log.LOG.addHandler(lines)
    quorum_log.LOG.setLevel(logging.INFO)
    try:
        yield lines
    finally:
        quorum_log.LOG.removeHandler(lines)
        quorum_log.LOG.setLevel(former_level)


def published(read):
    """Return the metrics of the voters as Prometheus reads them."""
    made = metrics.Metrics(role='control', process_id='c', zone='', host='')
    quorum_metrics.publish(metrics=made, read=read)
    numbers = {}
    for line in made.text().decode().splitlines():
        name, _, number = line.partition(' ')
        if name in NAMES:
            numbers[name.removeprefix('control_')] = int(float(number))
    return numbers


class SituationTest(unittest.TestCase):
    """The log lines and metrics that distinguish why there is no answer."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.hosts = _LossyHosts(
            folder=pathlib.Path(folder.name), host_ids=(), seeds=SEEDS
        )
        self.addCleanup(self.hosts.close)
        self.lines = self.enterContext(captured_records())

    def found(self, count):
        """Found a cluster of the seeds and let further hosts join."""
        for host_id in IDS[:count]:
            self.hosts.start(host_id, may_found=True)
        self.hosts.wait(
            self.hosts.replicas[IDS[0]].found(
                cluster_id='test', member_ids=IDS[:3]
            )
        )
        self.hosts.run_until(lambda: self.has_voters(count))
        self.hosts.run(SETTLED_MS)
        self.lines.records.clear()

    def found_listed(self, host_ids):
        """Found a cluster of listed hosts, whose voters are not replaced."""
        self.hosts.close()
        self.hosts = _LossyHosts(folder=self.hosts.folder, host_ids=host_ids)
        self.addCleanup(self.hosts.close)
        self.hosts.found()
        self.hosts.run(SETTLED_MS)
        self.lines.records.clear()

    def has_voters(self, count):
        leader = self.hosts.leader()
        if leader is None or len(leader.quorum().voters) != count:
            return False
        return leader.quorum().is_committed

    def followers(self):
        leader_id = self.hosts.leader_host()
        return [one for one in self.hosts.replicas if one != leader_id]

    def published(self, host_id):
        return published(self.hosts.replicas[host_id].quorum)

    def test_host_that_left_counts_where_operators_order_removals(self):
        self.found_listed(IDS)
        leader_id = self.hosts.leader_host()
        left_id, lost_id, other_id = self.followers()
        self.hosts.stop(left_id)
        self.hosts.run(NOTICED_MS)
        [silent] = self.lines.of('voter is silent')
        self.assertTrue(silent.replica_id.startswith(left_id))
        [warning] = self.lines.of('no further loss is borne')
        self.assertEqual(
            (4, 3, 3),
            (len(warning.voters), warning.needed, len(warning.heard)),
        )
        self.assertEqual(0, self.published(leader_id)['losses_borne'])
        self.hosts.stop(lost_id)
        self.hosts.run(SETTLED_MS)
        self.assertEqual(2, self.lines.count(quorum_log.NO_QUORUM))
        self.assertEqual(0, self.lines.count(quorum_log.UNDECIDED))
        line = self.lines.of(quorum_log.NO_QUORUM)[0]
        self.assertEqual(
            (3, 2, -1), (line.needed, len(line.heard), line.losses_borne)
        )
        self.assertEqual(
            {left_id, lost_id}, {one.split('/')[0] for one in line.silent}
        )
        for host_id in (leader_id, other_id):
            self.assertEqual(
                {
                    'voters': 4,
                    'votes_needed': 3,
                    'voters_heard': 2,
                    'losses_borne': -1,
                    'leader_known': 0,
                },
                self.published(host_id),
            )

    def test_new_host_that_never_got_its_vote_is_no_voter(self):
        self.found(3)
        leader_id = self.hosts.leader_host()
        self.hosts.isolated = set(self.followers())
        self.hosts.start(IDS[3])
        self.hosts.run(SETTLED_MS)
        asked = self.lines.of('replica requests to join the cluster')
        self.assertTrue(asked[0].replica_id.startswith(IDS[3]))
        # The new host itself logs a line without voters.
        changes = [
            one for one in self.lines.of('voters changed') if one.voters
        ]
        self.assertEqual({False}, {one.committed for one in changes})
        self.assertNotIn(IDS[3], str(changes[0].voters))
        self.assertIn(IDS[3], str(changes[0].learners))
        [line] = [
            one
            for one in self.lines.of(quorum_log.NO_QUORUM)
            if len(one.heard) == 1 and leader_id in one.heard[0]
        ]
        self.assertEqual((3, 2), (len(line.voters), line.needed))
        self.assertEqual(1, self.lines.count(quorum_log.NO_VOTE))
        self.assertEqual(1, self.published(leader_id)['voters_heard'])
        self.assertEqual(2, self.published(leader_id)['votes_needed'])

    def test_refused_change_logs_its_reason_once(self):
        self.found(3)
        leader = self.hosts.leader()
        self.hosts.isolated = set(self.followers())
        self.hosts.run(600)
        self.hosts.start(IDS[3])
        self.hosts.run(300)
        self.assertTrue(leader.is_leader)
        [line] = self.lines.of('change of the voters refused')
        self.assertEqual('no majority of the new voters is heard', line.reason)
        self.assertIn(IDS[3], str(line.asking_ids))

    def test_leader_that_callers_do_not_find_is_known_to_its_followers(self):
        self.found(3)
        self.hosts.run(SETTLED_MS)
        leader_id = self.hosts.leader_host()
        self.assertEqual([], self.lines.records)
        for host_id in IDS[:3]:
            wanted = {'voters': 3, 'votes_needed': 2, 'leader_known': 1}
            if host_id == leader_id:
                wanted |= {'voters_heard': 3, 'losses_borne': 1}
            self.assertEqual(wanted, self.published(host_id))

    def test_election_that_is_not_won_differs_from_a_lost_majority(self):
        self.found(3)
        self.hosts.lost_types = (messages.VoteRequest,)
        self.hosts.stop(self.hosts.leader_host())
        self.hosts.run(SETTLED_MS)
        self.assertEqual(0, self.lines.count(quorum_log.NO_QUORUM))
        lines = self.lines.of(quorum_log.UNDECIDED)
        self.assertEqual(2, len(lines))
        for line in lines:
            self.assertEqual((2, 2), (line.needed, len(line.heard)))
            self.assertGreater(line.elections_asked, 0)
        self.hosts.run(quorum_log.REPEAT_INTERVAL_MS)
        repeated = self.lines.of(quorum_log.UNDECIDED)
        self.assertEqual(4, len(repeated))
        self.assertGreater(repeated[-1].term, lines[0].term)
        for host_id in self.hosts.replicas:
            numbers = self.published(host_id)
            self.assertEqual(0, numbers['losses_borne'])
            self.assertEqual(0, numbers['leader_known'])

    def test_founding_long_after_the_start_is_no_lost_majority(self):
        for host_id in IDS[:3]:
            self.hosts.start(host_id, may_found=True)
        self.hosts.run(SETTLED_MS)
        self.assertEqual(3, self.lines.count(quorum_log.NO_VOTE))
        self.hosts.wait(
            self.hosts.replicas[IDS[0]].found(
                cluster_id='test', member_ids=IDS[:3]
            )
        )
        self.hosts.run(SETTLED_MS)
        self.assertEqual(0, self.lines.count(quorum_log.NO_QUORUM))
        self.assertEqual(0, self.lines.count(quorum_log.UNDECIDED))
        self.assertEqual(0, self.lines.count('voter is silent'))

    def test_voter_that_comes_back_is_heard_again(self):
        self.found(3)
        back_id = self.followers()[0]
        self.hosts.isolated = {back_id}
        self.hosts.run(NOTICED_MS)
        self.hosts.isolated = set()
        self.hosts.run(NOTICED_MS)
        [line] = self.lines.of('voter is heard again')
        self.assertTrue(line.replica_id.startswith(back_id))
        self.assertEqual(1, line.losses_borne)
        self.assertEqual(1, self.lines.count('a further loss is borne again'))

    def test_lines_follow_the_metric_by_a_tick(self):
        self.found_listed(IDS[:3])
        leader_id = self.hosts.leader_host()
        self.hosts.stop(self.followers()[0])
        self.hosts.run_until(
            lambda: self.published(leader_id).get('losses_borne') == 0
        )
        self.hosts.run(TICK_MS)
        self.assertEqual(1, self.lines.count('voter is silent'))
        self.assertEqual(1, self.lines.count('no further loss is borne'))

    def test_only_the_cut_off_host_logs_that_it_may_be_cut_off(self):
        self.found(3)
        self.hosts.run(20_000)
        cut_id, well_id = self.followers()
        self.hosts.isolated = {cut_id}
        self.hosts.run(SETTLED_MS)
        lines = self.lines.of('voter is silent')
        by_leader = [one for one in lines if not one.may_be_cut_off]
        self.assertEqual(
            {cut_id}, {one.replica_id.split('/')[0] for one in by_leader}
        )
        [accused] = [
            one for one in lines if one.replica_id.startswith(well_id)
        ]
        self.assertTrue(accused.may_be_cut_off)
        self.assertLessEqual(accused.unanswered_ms, SETTLED_MS)
        self.assertGreater(accused.silent_ms, 20_000)
        [line] = self.lines.of(quorum_log.NO_QUORUM)
        self.assertTrue(line.may_be_cut_off)
        self.assertLessEqual(max(line.unanswered.values()), SETTLED_MS)
        self.assertTrue(self.hosts.replicas[cut_id].dump().may_be_cut_off)

    def test_dump_shows_needed_and_heard(self):
        self.found(3)
        self.hosts.stop(self.followers()[0])
        self.hosts.run(NOTICED_MS)
        dump = self.hosts.leader().dump()
        self.assertEqual((2, 2), (dump.needed, len(dump.heard)))
        self.assertEqual(1, len(dump.silent))
        self.assertIn('"silent_ms"', views.to_json(dump))
        self.assertIn('"unanswered_ms"', views.to_json(dump))
        self.assertFalse(dump.may_be_cut_off)


class RemovedHostTest(unittest.TestCase):
    """A host that was removed while it could not be reached."""

    def test_its_votes_are_refused_with_the_reason(self):
        with tempfile.TemporaryDirectory() as folder:
            cluster = hosts.Hosts(folder=pathlib.Path(folder))
            self.addCleanup(cluster.close)
            cluster.found()
            [removed_id, _] = [
                one for one in hosts.HOST_IDS if one != cluster.leader_host()
            ]
            cluster.isolated = {removed_id}
            cluster.wait(cluster.leader().remove_member(process_id=removed_id))
            cluster.isolated = set()
            with captured_records() as lines:
                cluster.run(SETTLED_MS)
            [line] = lines.of(quorum_log.UNDECIDED)
            self.assertEqual({'hears_leader'}, set(line.refusals.values()))
            self.assertEqual(3, len(line.voters))


VIEW = quorum.QuorumView(
    replica_id='a/1',
    term=2,
    leader_id='a/1',
    voters=('a/1', 'b/2', 'c/3'),
    learners=(),
    configuration_index=1,
    is_committed=True,
    heard=('a/1', 'b/2', 'c/3'),
    silent=(),
    leaderless_ms=None,
    is_leaderless_for_long=False,
    elections_asked=0,
    refusals=(),
)
LOST = attrs.evolve(
    VIEW,
    leader_id='',
    heard=('a/1',),
    silent=(
        quorum.SilentVoter(
            replica_id='b/2', silent_ms=3000, unanswered_ms=2000
        ),
        quorum.SilentVoter(
            replica_id='c/3', silent_ms=4000, unanswered_ms=2000
        ),
    ),
    leaderless_ms=2000,
    is_leaderless_for_long=True,
)


class QuorumLogTest(unittest.TestCase):
    """When a line is logged, and that the number of lines is bounded."""

    def setUp(self):
        self.lines = self.enterContext(captured_records())
        self.log = quorum_log.QuorumLog()

    def test_nothing_is_repeated_while_nothing_changes(self):
        for now_ms in range(0, 60_000, 25):
            self.log.tick(now_ms, VIEW)
        self.assertEqual(
            ['voters changed'],
            [one.getMessage() for one in self.lines.records],
        )

    def test_lost_majority_is_logged_at_once_and_each_ten_seconds(self):
        for now_ms in range(0, 30_000, 25):
            self.log.tick(now_ms, LOST)
        self.assertEqual(3, self.lines.count(quorum_log.NO_QUORUM))
        self.assertEqual(2, self.lines.count('voter is silent'))

    def test_reason_of_a_refused_change_is_logged_once_while_it_lasts(self):
        for now_ms in range(0, 60_000, 25):
            self.log.tick(now_ms, VIEW, change_refusals=('busy', 'unheard'))
        self.assertEqual(
            ['busy', 'unheard'],
            [
                one.reason
                for one in self.lines.of('change of the voters refused')
            ],
        )

    def test_follower_logs_nothing_about_silent_voters(self):
        self.log.tick(0, LOST)
        self.lines.records.clear()
        following = attrs.evolve(
            VIEW, leader_id='b/2', heard=None, leaderless_ms=None
        )
        self.log.tick(25, following)
        self.assertEqual([], self.lines.records)

    def test_non_voter_logs_that_it_hears_no_leader(self):
        view = attrs.evolve(LOST, replica_id='d/4', heard=None, silent=())
        self.log.tick(0, view)
        self.assertEqual(1, self.lines.count(quorum_log.NO_VOTE))

    def test_removed_voter_is_not_logged_as_heard_again(self):
        self.log.tick(0, LOST)
        self.log.tick(25, attrs.evolve(VIEW, voters=('a/1',), heard=('a/1',)))
        self.assertEqual(0, self.lines.count('voter is heard again'))

    def test_join_requests_are_logged_once_and_bounded(self):
        for _ in range(3):
            for number in range(2 * quorum_log.MAX_JOIN_REQUESTS):
                message = messages.ReplicaAnnounced(sender_id=f'x/{number}')
                self.log.record_announcement(0, message, VIEW)
        self.assertEqual(
            quorum_log.MAX_JOIN_REQUESTS,
            self.lines.count('replica requests to join the cluster'),
        )


class AbsentTest(unittest.TestCase):
    """A host whose disk is full."""

    def test_it_reports_no_leader_and_nothing_about_the_voters(self):
        self.assertEqual(
            {'leader_known': 0},
            published(unavailable_replica.UnavailableReplica().quorum),
        )
