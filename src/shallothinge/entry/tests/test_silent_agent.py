"""Tests that a silent agent's stream ends only if another takes over."""

import unittest
from unittest import mock

from shallothinge.entry import fleet
from shallothinge.entry.tests import rig as rigs
from shallothinge.errors import ErrorKind
from shallothinge.streams import messages

LOST_MS = fleet.LOST_MS + rigs.WATCH_MS


def spend_budget(play):
    """Leave no retry."""
    while play.budget.take():
        pass


def lose_lease(play):
    """Let the lease lapse."""
    play.valid.return_value = False


def silence_others(play):
    """Let no other agent be heard of."""
    for link in play.links.values():
        link.connected = False


def stop_others(play):
    """Let all agents announce their stop."""
    for connection in play.fleet.connections.values():
        connection.is_stopping = True


class SilentAgentTest(unittest.TestCase):
    """An agent falls silent and comes back."""

    def setUp(self):
        self.rig = rigs.Rig()
        patch = mock.patch.object(
            self.rig.holder, 'is_valid', autospec=True, return_value=True
        )
        self.rig.valid = patch.start()
        self.addCleanup(patch.stop)

    def start(self, *, delivered):
        """Start a stream that has delivered a number of tokens."""
        request_id = self.rig.submit(deadline_ms=30_000)
        ((link, start),) = self.rig.starts()
        link.on_message(rigs.accept(start))
        for offset in range(delivered):
            link.on_message(rigs.frame(start, offset))
        return self.rig.sinks[request_id], link, start

    def end(self, link, start):
        """Send what is left of an answer."""
        for offset in range(len(start.delivered), 4):
            link.on_message(rigs.frame(start, offset))
        link.on_message(rigs.finish(start))

    def check_whole(self, sink):
        """Check that the caller has the whole answer, once."""
        self.assertEqual(['0', '1', '2', '3'], sink.parts)
        (final,) = sink.finals
        self.assertIsInstance(final, messages.StreamFinished)

    def test_stream_stays_if_no_other_server_can_take_over(self):
        rows = (spend_budget, lose_lease, silence_others, stop_others)
        for disturb in rows:
            for delivered in (0, 2):
                with self.subTest(disturb.__name__, delivered=delivered):
                    self.setUp()
                    sink, link, start = self.start(delivered=delivered)
                    disturb(self.rig)
                    link.connected = False
                    self.rig.advance(LOST_MS + 250)
                    self.assertEqual([], sink.finals)
                    link.connected = True
                    link.on_reset()
                    (resume,) = link.take(messages.ResumeStream)[-1:]
                    self.assertEqual(
                        (1, delivered), (resume.attempt, resume.next_offset)
                    )
                    self.end(link, start)
                    self.check_whole(sink)

    def test_kept_attempt_is_logged_once_for_each_silence(self):
        _, link, start = self.start(delivered=2)
        spend_budget(self.rig)
        for silence in range(2):
            with self.subTest(silence=silence):
                link.connected = False
                with self.assertLogs('shallothinge.entry.chat_run') as logs:
                    self.rig.advance(LOST_MS + 2000)
                self.assertEqual(1, len(logs.records))
                link.connected = True
                link.on_message(rigs.frame(start, 2 + silence))

    def test_other_server_takes_over_as_soon_as_it_can(self):
        def regain_lease():
            self.rig.valid.return_value = True

        def save_up_retries():
            for _ in range(10):
                self.rig.budget.fresh()

        rows = ((lose_lease, regain_lease), (spend_budget, save_up_retries))
        for disturb, recover in rows:
            with self.subTest(disturb.__name__):
                self.setUp()
                sink, link, _ = self.start(delivered=2)
                disturb(self.rig)
                link.connected = False
                self.rig.advance(LOST_MS)
                self.assertEqual([], self.rig.starts())
                recover()
                self.rig.advance(1000)
                ((other, second),) = self.rig.starts()
                self.assertEqual(('0', '1'), second.delivered)
                self.end(other, second)
                self.check_whole(sink)

    def test_silent_engine_costs_no_attempt(self):
        for disturb in (spend_budget, lose_lease, stop_others):
            for delivered in (0, 2):
                with self.subTest(disturb.__name__, delivered=delivered):
                    self.setUp()
                    sink, link, start = self.start(delivered=delivered)
                    disturb(self.rig)
                    self.rig.advance(10_000)
                    self.assertEqual([], link.take(messages.CancelStream))
                    self.assertEqual([], self.rig.starts())
                    self.end(link, start)
                    self.check_whole(sink)

    def test_silent_agent_gets_no_new_work(self):
        silent = self.rig.links['s0']
        silent.connected = False
        self.rig.advance(LOST_MS)
        silent.send = mock.Mock(return_value=True)
        for _ in range(20):
            self.rig.submit()
        silent.send.assert_not_called()

    def test_server_that_refused_before_may_take_over(self):
        self.rig = rigs.Rig(servers=2)
        sink_id = self.rig.submit(deadline_ms=30_000)
        ((_, start),) = self.rig.starts()
        refusing = self.rig.links[self.rig.chats.runs[sink_id].server_id]
        refusing.on_message(rigs.refuse(start))
        ((silent, _),) = self.rig.starts()
        silent.connected = False
        self.rig.advance(LOST_MS + 1000)
        ((other, _),) = self.rig.starts()
        self.assertIs(refusing, other)

    def test_time_limit_ends_a_stream_of_a_silent_agent(self):
        sink, link, _ = self.start(delivered=2)
        spend_budget(self.rig)
        link.connected = False
        self.rig.advance(30_000)
        (error,) = sink.finals
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, error.kind)


class LeaseGapTest(unittest.TestCase):
    """The lease is missing as a failed stream is to go on."""

    def setUp(self):
        self.rig = rigs.Rig()
        patch = mock.patch.object(
            self.rig.holder, 'is_valid', autospec=True, return_value=True
        )
        self.valid = patch.start()
        self.addCleanup(patch.stop)

    def fail_without_lease(self, *, accepted):
        """Let an attempt fail, or be refused, while there is no lease."""
        request_id = self.rig.submit(deadline_ms=30_000)
        ((link, start),) = self.rig.starts()
        self.valid.return_value = False
        if accepted:
            link.on_message(rigs.accept(start))
            link.on_message(rigs.frame(start, 0))
            link.on_message(rigs.fail(start, 1))
        else:
            link.on_message(rigs.refuse(start))
        self.rig.advance(1000)
        return self.rig.sinks[request_id]

    def test_begun_stream_waits_for_the_lease(self):
        sink = self.fail_without_lease(accepted=True)
        self.assertEqual([], sink.finals)
        self.assertEqual([], self.rig.starts())
        self.valid.return_value = True
        self.rig.advance(3000)
        ((_, second),) = self.rig.starts()
        self.assertEqual(('0',), second.delivered)

    def test_request_that_did_not_run_is_refused(self):
        sink = self.fail_without_lease(accepted=False)
        (error,) = sink.finals
        self.assertEqual(ErrorKind.NO_LEASE, error.kind)


if __name__ == '__main__':
    unittest.main()
