"""Tests of combining the work in progress of all gateways."""

import unittest

from shallothinge import clock
from shallothinge import protocol
from shallothinge.placement import fleet
from shallothinge.placement import messages
from shallothinge.placement import server_queue


def work(server_id='s', **fields):
    return server_queue.Work(
        **{'server_id': server_id, 'read_ms': 100.0, 'started_ms': 0, **fields}
    )


class FleetLoadTest(unittest.TestCase):
    """Own work and the reports of peers."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.sender = fleet.FleetLoad(clock=self.clock)
        self.receiver = fleet.FleetLoad(clock=self.clock)
        self.codec = protocol.build_codec()

    def send_report(self, *, complete=False):
        report = self.sender.report(complete=complete)
        self.receiver.apply_report(
            peer='one', report=self.codec.decode(self.codec.encode(report))
        )

    def test_peer_learns_of_start_first_event_and_end(self):
        self.send_report(complete=True)
        work_id = self.sender.start(work(due_ms=300, pause_ms=250, weight=1.5))
        self.send_report()
        self.assertEqual(self.sender.loads(), self.receiver.loads())
        self.assertEqual(100, self.receiver.loads()['s'].backlog_ms)
        self.sender.first_event(work_id)
        self.send_report()
        load = self.receiver.loads()['s']
        self.assertEqual(0, load.backlog_ms)
        self.assertEqual(
            (server_queue.Writer(pause_ms=250, weight=1.5),), load.writers
        )
        self.sender.end(work_id)
        self.send_report()
        self.assertEqual({}, self.receiver.loads())

    def test_complete_report_makes_good_a_lost_one(self):
        self.send_report(complete=True)
        work_id = self.sender.start(work())
        self.send_report()
        self.sender.end(work_id)
        self.sender.report(complete=False)
        self.sender.start(work('t'))
        self.send_report()
        self.assertEqual(0, self.receiver.peer_count)
        self.send_report(complete=True)
        self.assertEqual({'t'}, set(self.receiver.loads()))
        self.assertEqual(1, self.receiver.peer_count)

    def test_repeated_report_is_ignored(self):
        self.send_report(complete=True)
        self.sender.start(work())
        report = self.sender.report(complete=False)
        self.receiver.apply_report(peer='one', report=report)
        self.receiver.apply_report(peer='one', report=report)
        self.assertEqual(1, self.receiver.loads()['s'].active)

    def test_silent_peer_is_forgotten(self):
        self.sender.start(work())
        self.send_report(complete=True)
        self.clock.advance(duration_ms=fleet.REPORT_TTL_MS + 1)
        self.receiver.remove_expired()
        self.assertEqual({}, self.receiver.loads())

    def test_malformed_work_is_ignored(self):
        # Guards against a peer whose report makes full servers seem free, or
        # each later placement fail.
        good = (1, 's', 10, 0, 100, 0, 100, 5000, 0, 0, 0)
        for name, malformed in (
            ('no tuple', 5),
            ('no fields', ()),
            ('missing fields', good[:2]),
            ('unknown field', (*good, 0)),
            ('negative memory', (*good[:7], -5000, *good[8:])),
            ('huge memory', (*good[:7], 2**60, *good[8:])),
            ('no number', (*good[:7], 'x', *good[8:])),
            ('null', (*good[:7], None, *good[8:])),
            ('not a number', (*good[:2], float('nan'), *good[3:])),
            ('huge time', (*good[:4], -(2**60), *good[5:])),
            ('id is a list', ([1], *good[1:])),
            ('server is a number', (1, 5, *good[2:])),
        ):
            for is_complete in (False, True):
                receiver = fleet.FleetLoad(clock=self.clock)
                report = messages.LoadReported(
                    sequence=1,
                    complete=is_complete,
                    started=(malformed, (2, 't', *good[2:])),
                )
                with (
                    self.subTest(name, is_complete=is_complete),
                    self.assertLogs('shallothinge.entries') as logs,
                ):
                    receiver.apply_report(peer='one', report=report)
                    loads = receiver.loads()
                    self.assertEqual({'t'}, set(loads))
                    self.assertEqual(5000, loads['t'].memory_tokens)
                    self.assertEqual(1, len(logs.records))

    def test_memory_of_a_silent_peer_is_unconfirmed_for_some_time(self):
        # A peer that falls silent has ended, and then its servers release the
        # memory, or it is cut off, and then they still hold it. Its slots and
        # reads are assumed to be free at once. Its memory is assumed to be
        # free, too, but in doubt until most answers have ended: large prompts
        # then prefer other servers, and are not refused.
        self.sender.start(work(memory_tokens=300_000))
        self.send_report(complete=True)
        for after_ms, memory_tokens, unconfirmed_tokens in (
            (0, 300_000, 0),
            (fleet.REPORT_TTL_MS, 300_000, 0),
            (1, 0, 300_000),
            (fleet.UNCONFIRMED_TTL_MS, 0, 300_000),
            (1, 0, 0),
        ):
            self.clock.advance(duration_ms=after_ms)
            self.receiver.remove_expired()
            load = self.receiver.loads().get('s', server_queue.ServerLoad())
            with self.subTest(now_ms=self.clock.now_ms()):
                self.assertEqual(
                    (memory_tokens, unconfirmed_tokens),
                    (load.memory_tokens, load.unconfirmed_tokens),
                )
                self.assertEqual(load.active, int(memory_tokens > 0))

    def test_peer_that_is_heard_again_confirms_its_memory(self):
        work_id = self.sender.start(work(memory_tokens=300_000))
        self.send_report(complete=True)
        self.clock.advance(duration_ms=fleet.REPORT_TTL_MS + 1)
        self.receiver.remove_expired()
        self.assertEqual(['one'], self.receiver.known_peers())
        self.send_report(complete=True)
        load = self.receiver.loads()['s']
        self.assertEqual(
            (300_000, 0), (load.memory_tokens, load.unconfirmed_tokens)
        )
        self.assertEqual(['one'], self.receiver.known_peers())
        self.sender.end(work_id)
        self.send_report()
        self.assertEqual({}, self.receiver.loads())

    def test_long_read_counts_down_to_its_end_and_beyond(self):
        def end_in_ms():
            return self.receiver.read_end_in_ms('s', min_read_ms=200)

        self.assertIsNone(end_in_ms())
        self.sender.start(work(read_ms=100))
        work_id = self.sender.start(work(read_ms=500))
        self.send_report(complete=True)
        for now_ms, expected_ms in ((0, 600), (400, 200), (700, -100)):
            with self.subTest(now_ms=now_ms):
                self.clock.advance(duration_ms=now_ms - self.clock.now_ms())
                self.assertEqual(expected_ms, end_in_ms())
        self.sender.first_event(work_id)
        self.send_report()
        self.assertIsNone(end_in_ms())

    def test_read_of_a_silent_peer_explains_no_silence(self):
        self.sender.start(work(read_ms=9000))
        self.send_report(complete=True)
        self.clock.advance(duration_ms=fleet.REPORT_TTL_MS + 1)
        self.receiver.remove_expired()
        self.assertIsNone(self.receiver.read_end_in_ms('s', min_read_ms=200))


class ServerQueueTest(unittest.TestCase):
    """Shares of divided prompts are read before whole ones, newest first."""

    def setUp(self):
        self.queue = server_queue.ServerQueue(now_ms=0)

    def start(self, at_ms, **fields):
        self.queue.start(work(started_ms=at_ms, **fields), at_ms)

    def test_whole_reads_end_behind_shares_of_divided_prompts(self):
        self.start(0, read_ms=500.0, due_ms=900, weight=2.0)
        self.start(
            100,
            read_ms=300.0,
            due_ms=800,
            is_helping=True,
            is_divided=True,
        )
        load = self.queue.load(200)
        self.assertEqual((1, 1), (load.active, load.helping))
        self.assertEqual(600, load.backlog_ms)
        self.assertEqual(
            (
                server_queue.PendingRead(
                    ends_in_ms=200, due_in_ms=600, weight=1.0
                ),
                server_queue.PendingRead(
                    ends_in_ms=600, due_in_ms=700, weight=2.0
                ),
            ),
            load.reads,
        )

    def test_newest_share_is_read_first_whoever_it_is_for(self):
        # As observed on the engines: older shares make no progress meanwhile.
        for at_ms, is_helping in ((0, True), (100, False), (200, True)):
            self.start(
                at_ms,
                read_ms=500.0,
                due_ms=at_ms,
                is_helping=is_helping,
                is_divided=True,
            )
        ends = {
            one.due_in_ms + 300: one.ends_in_ms
            for one in self.queue.load(300).reads
        }
        self.assertEqual({200: 400, 100: 800, 0: 1200}, ends)

    def test_read_that_waited_is_not_thought_to_be_done(self):
        first = work(read_ms=600.0)
        self.queue.start(first, 0)
        self.queue.start(work(read_ms=500.0), 100)
        self.queue.first_event(first, 600)
        self.assertEqual(400, self.queue.load(700).backlog_ms)

    def test_overdue_read_is_thought_to_end_soon(self):
        self.queue.start(work(read_ms=50.0), 0)
        self.assertEqual(
            server_queue.OVERDUE_READ_MS, self.queue.load(400).backlog_ms
        )

    def test_share_is_thought_to_be_read_some_time_after_it_should_be(self):
        # Guards against taking a share as read too early: an engine that was
        # slightly late got the next share, which it read first, so that the
        # previous one was delayed further.
        self.start(0, read_ms=50.0, is_helping=True, is_divided=True)
        end_ms = 50 + int(server_queue.UNCONFIRMED_READ_MS)
        for now_ms, backlog_ms in (
            (30, 20),
            (50, server_queue.OVERDUE_READ_MS),
            (end_ms - 1, server_queue.OVERDUE_READ_MS),
            (end_ms, 0),
        ):
            self.assertEqual(backlog_ms, self.queue.load(now_ms).backlog_ms)
