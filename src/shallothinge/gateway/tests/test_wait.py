"""Tests of long prompts that wait at a gateway until servers are free."""

import collections
import unittest

from shallothinge.gateway import server_slots
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.placement import server_queue

STREAM = test_forwarding.STREAM
# They take one engine of the sample 0.46 s and 4 s to read.
MIDDLE_TOKENS = 45_000
LONG_TOKENS = 190_000
# The sample's latency objective is 0.3 s, so its callers leave after 2 s.
PATIENCE_MS = 2000


class WaitTest(unittest.TestCase):
    """Waiting for one service with three engines."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())
        self.work_ids = []

    @property
    def calls(self):
        return self.rig.caller.calls

    def occupy(self, *, read_ms, is_divided=True):
        """Put a read on all engines, as if another gateway had sent it."""
        for index in range(3):
            self.work_ids.append(
                self.rig.load.start(
                    server_queue.Work(
                        server_id=f'llm-{index}',
                        read_ms=read_ms,
                        started_ms=self.rig.clock.now_ms(),
                        is_divided=is_divided,
                    )
                )
            )

    def release(self):
        """End the reads that ``occupy`` started."""
        for work_id in self.work_ids:
            self.rig.load.end(work_id)

    def test_long_prompt_is_sent_once_its_servers_have_read_all(self):
        self.occupy(read_ms=400.0)
        self.rig.request(STREAM, tokens=MIDDLE_TOKENS)
        self.rig.advance(200)
        self.assertEqual([], self.calls)
        self.release()
        self.rig.advance(100)
        self.assertEqual(1, len(self.calls))

    def test_short_prompt_does_not_wait(self):
        self.occupy(read_ms=400.0)
        self.rig.request(STREAM, tokens=4_000)
        self.assertEqual(1, len(self.calls))

    def test_stream_that_is_resumed_does_not_wait(self):
        self.occupy(read_ms=400.0)
        self.rig.request(
            STREAM, tokens=MIDDLE_TOKENS, **{'last-event-id': '3'}
        )
        self.assertEqual(1, len(self.calls))

    def test_server_that_never_reports_does_not_block_prompts_forever(self):
        self.occupy(read_ms=400.0)
        self.rig.request(STREAM, tokens=MIDDLE_TOKENS)
        self.rig.advance(400 + int(server_queue.UNCONFIRMED_READ_MS) + 100)
        self.assertEqual(1, len(self.calls))

    def test_prompts_are_sent_in_turn(self):
        self.occupy(read_ms=400.0)
        first = self.rig.request(STREAM, tokens=MIDDLE_TOKENS)
        self.rig.advance(20)
        self.rig.request(STREAM, tokens=MIDDLE_TOKENS)
        self.release()
        self.rig.advance(100)
        for _ in range(5):
            self.rig.advance(20)
        self.assertEqual(1, len(self.calls))
        first.on_disconnect()
        self.rig.advance(100)
        self.assertEqual(2, len(self.calls))

    def test_prompt_that_waits_is_refused_before_its_caller_has_left(self):
        self.occupy(read_ms=9000.0, is_divided=False)
        exchange = self.rig.request(STREAM, tokens=LONG_TOKENS)
        waited_ms = 0
        while exchange.status is None and waited_ms < PATIENCE_MS:
            self.rig.advance(20)
            waited_ms += 20
        self.assertEqual(503, exchange.status)
        self.assertLess(waited_ms, PATIENCE_MS)
        self.assertIn('retry-after', exchange.headers)
        self.assertEqual([], self.calls)
        self.assertEqual(0, self.rig.parts.waiting.count)

    def test_first_servers_after_a_restart_are_shared_by_all_gateways(self):
        # Guards against overload after a restart: all processes were killed,
        # all callers reconnect at once, and the new leader knows of only
        # three servers. When each of four gateways filled these servers at
        # the same moment, they got four times as many requests as they have
        # slots, and most requests were refused there or stalled.
        self.rig.holder.is_member_list_partial = True
        self.rig.holder.peers = ('tcp://a',)
        self.rig.holder.member_list_age_ms = 0
        for _ in range(20):
            self.rig.request(STREAM, tokens=1000)
        sent = collections.Counter(call.address for call in self.calls)
        self.assertEqual({1}, set(sent.values()))
        self.rig.holder.peers = tuple(f'tcp://{name}' for name in 'abcd')
        self.rig.holder.member_list_age_ms = server_slots.PEERS_KNOWN_MS
        self.rig.advance(20)
        sent = collections.Counter(call.address for call in self.calls)
        self.assertEqual({2}, set(sent.values()))
        self.assertEqual(3, len(sent))
        self.rig.add_server('llm', 4)
        self.rig.advance(20)
        self.assertEqual(8, len(self.calls))
        self.rig.holder.is_member_list_partial = False
        self.rig.advance(20)
        self.assertEqual(20, len(self.calls))

    def test_first_wait_for_each_cause_is_logged_with_its_inputs(self):
        self.occupy(read_ms=400.0)
        with self.assertLogs('shallothinge.gateway', 'INFO') as logged:
            self.rig.request(STREAM, tokens=MIDDLE_TOKENS)
            self.rig.advance(100)
        [line] = [one for one in logged.records if one.msg == 'request waits']
        self.assertEqual('reads', line.cause)
        self.assertEqual(400, line.free_in_ms)
        self.assertEqual(rig.REQUEST_ID, line.request_id)
