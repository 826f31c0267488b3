"""Tests of long prompts that wait for their servers at a gateway."""

import collections
import unittest

from shallothinge.gateway import servers
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.placement import fleet

STREAM = test_forwarding.STREAM
# 0.46 s on one engine of the sample, and 4 s.
MIDDLE_TOKENS = 45_000
LONG_TOKENS = 190_000
# The sample's objective is 0.3 s, so that its callers leave after 2 s.
PATIENCE_MS = 2000


class WaitTest(unittest.TestCase):
    """One service with three engines."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())
        self.works = []

    @property
    def calls(self):
        return self.rig.caller.calls

    def occupy(self, *, read_ms, is_divided=True):
        """Let another gateway have read something on all engines."""
        for index in range(3):
            self.works.append(
                self.rig.load.start(
                    fleet.Work(
                        server_id=f'llm-{index}',
                        read_ms=read_ms,
                        started_ms=self.rig.clock.now_ms(),
                        is_divided=is_divided,
                    )
                )
            )

    def release(self):
        """Let the engines have read it."""
        for work_id in self.works:
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

    def test_server_that_never_tells_does_not_hold_prompts_up_for_good(self):
        self.occupy(read_ms=400.0)
        self.rig.request(STREAM, tokens=MIDDLE_TOKENS)
        self.rig.advance(400 + int(fleet.UNCONFIRMED_READ_MS) + 100)
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
        first.on_gone()
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
        # The load: all processes were killed, all callers come back at once,
        # and a new leader has heard of three servers so far. Four gateways
        # that filled them at the same moment gave them four times their
        # slots; most requests were refused there or stood still.
        self.rig.holder.is_list_partial = True
        self.rig.holder.peers = ('tcp://a',)
        self.rig.holder.list_age_ms = 0
        for _ in range(20):
            self.rig.request(STREAM, tokens=1000)
        sent = collections.Counter(call.address for call in self.calls)
        self.assertEqual({1}, set(sent.values()))
        self.rig.holder.peers = tuple(f'tcp://{name}' for name in 'abcd')
        self.rig.holder.list_age_ms = servers.PEERS_KNOWN_MS
        self.rig.advance(20)
        sent = collections.Counter(call.address for call in self.calls)
        self.assertEqual({2}, set(sent.values()))
        self.assertEqual(3, len(sent))
        self.rig.add_server('llm', 4)
        self.rig.advance(20)
        self.assertEqual(8, len(self.calls))
        self.rig.holder.is_list_partial = False
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
