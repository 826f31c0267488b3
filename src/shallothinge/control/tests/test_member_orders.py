"""Tests that orders to add or remove a control host complete or expire."""

import pathlib
import tempfile
import unittest

import attrs
from twisted.python import failure as failures

from shallothinge.consensus import messages
from shallothinge.control import member_orders
from shallothinge.control.tests import hosts
from shallothinge.errors import ErrorKind
from shallothinge.operators import arguments

SETTLE_MS = 1000


class _SlowHosts(hosts.Hosts):
    """Hosts of which one receives no log entries."""

    starved_id = ''

    def send(self, sender_id, target_id, message):
        """Strip the entries from append requests to the starved host."""
        is_starved = target_id == self.starved_id
        if is_starved and isinstance(message, messages.AppendRequest):
            message = attrs.evolve(message, entries=())
        return super().send(sender_id, target_id, message)


class MemberOrderTest(unittest.TestCase):
    """Orders in a cluster of three hosts: a leader and two followers."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.hosts = _SlowHosts(folder=pathlib.Path(folder.name))
        self.addCleanup(self.hosts.close)
        self.hosts.found()
        self.leader = self.hosts.leader()
        self.other, self.third = [
            one for one in hosts.HOST_IDS if one != self.hosts.leader_host()
        ]

    def remove_and_stop_other(self):
        self.assertIsNone(
            self.hosts.wait(self.leader.remove_member(process_id=self.other))
        )
        self.hosts.stop(self.other)

    def voters(self):
        return {one.split('/')[0] for one in self.leader.dump().voters}

    def assert_refused(self, answer, *words):
        self.assertIsInstance(answer, failures.Failure)
        self.assertEqual(ErrorKind.VERSION_CONFLICT, answer.value.kind)
        for word in words:
            self.assertIn(word, answer.value.detail)

    def test_host_that_starts_after_the_order_expired_is_not_added(self):
        self.remove_and_stop_other()
        answer = self.hosts.wait(self.leader.add_member(process_id=self.other))
        self.assert_refused(answer, self.other, 'was not heard')
        self.hosts.start(self.other)
        self.hosts.run(SETTLE_MS)
        self.assertNotIn(self.other, self.voters())
        self.assertIsNone(
            self.hosts.wait(self.leader.add_member(process_id=self.other))
        )

    def test_host_that_starts_in_time_is_added(self):
        self.remove_and_stop_other()
        added = self.leader.add_member(process_id=self.other)
        self.hosts.run(member_orders.ORDER_TIMEOUT_MS // 2)
        self.hosts.start(self.other)
        self.assertIsNone(self.hosts.wait(added))
        self.assertIn(self.other, self.voters())

    def test_resent_order_does_not_extend_the_wait(self):
        self.remove_and_stop_other()
        answers = []
        self.leader.add_member(process_id=self.other).addErrback(
            answers.append
        )
        self.hosts.run(member_orders.ORDER_TIMEOUT_MS // 2)
        self.leader.add_member(process_id=self.other).addErrback(
            answers.append
        )
        self.hosts.run(member_orders.ORDER_TIMEOUT_MS // 2 + SETTLE_MS)
        self.assertEqual(2, len(answers))

    def test_host_that_takes_long_to_catch_up_is_waited_for(self):
        self.remove_and_stop_other()
        self.hosts.starved_id = self.other
        self.hosts.start(self.other)
        added = self.leader.add_member(process_id=self.other)
        self.hosts.run(3 * member_orders.ORDER_TIMEOUT_MS)
        self.assertFalse(added.called)
        self.hosts.starved_id = ''
        self.assertIsNone(self.hosts.wait(added))

    def test_host_that_dies_before_it_has_its_vote_is_not_waited_for(self):
        self.remove_and_stop_other()
        self.hosts.starved_id = self.other
        self.hosts.start(self.other)
        added = self.leader.add_member(process_id=self.other)
        self.hosts.run(SETTLE_MS)
        self.hosts.stop(self.other)
        answer = self.hosts.wait(added)
        self.assert_refused(answer, self.other, 'without a vote')

    def test_impossible_removal_is_refused_with_reason_and_expires(self):
        self.hosts.stop(self.third)
        self.hosts.run(SETTLE_MS)
        answer = self.hosts.wait(
            self.leader.remove_member(process_id=self.other)
        )
        self.assert_refused(
            answer, self.other, 'no majority of the new voters is heard'
        )
        self.hosts.start(self.third)
        self.hosts.run(SETTLE_MS)
        self.assertEqual(set(hosts.HOST_IDS), self.voters())

    def test_removal_that_becomes_possible_in_time_is_executed(self):
        self.hosts.stop(self.third)
        self.hosts.run(SETTLE_MS)
        removed = self.leader.remove_member(process_id=self.other)
        self.hosts.run(member_orders.ORDER_TIMEOUT_MS // 2)
        self.hosts.start(self.third)
        self.assertIsNone(self.hosts.wait(removed))
        self.assertNotIn(self.other, self.voters())

    def test_order_expires_before_the_terminal_times_out(self):
        self.assertLess(
            member_orders.ORDER_TIMEOUT_MS + SETTLE_MS,
            arguments.DEFAULT_TIMEOUT_S * 1000,
        )


if __name__ == '__main__':
    unittest.main()
