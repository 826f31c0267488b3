"""Tests of streams that are silent while their server reads a long prompt."""

import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.gateway.tests import test_silent_server
from shallothinge.placement import fleet

LOGGER = 'shallothinge.gateway.request_log'
# By the sample route: pauses of 250 ms, a first event within 300 ms, and a
# caller that leaves after 2,000 ms.
STALL_MS = 1125
PAUSE_MS = 250
LATEST_TAKEOVER_MS = 1700


def by_own_gateway(rig, work):
    """Let this gateway place a read."""
    return rig.load.start(work)


def by_peer(rig, work):
    """Let another gateway place a read and report it."""
    peer = fleet.FleetLoad(clock=rig.clock)
    peer.start(work)
    rig.load.apply_report(peer='other', report=peer.report(complete=True))


class SilenceBesideReadTest(unittest.TestCase):
    """A read that explains the silence is waited for, within limits."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())

    @property
    def calls(self):
        return self.rig.caller.calls

    def start(self, *, passed_on=3):
        """Send a stream whose server sends some events, then falls silent."""
        exchange = self.rig.request(
            test_silent_server.STREAM, tokens=test_silent_server.PROMPT_TOKENS
        )
        if passed_on:
            body = test_silent_server.events(*range(1, passed_on + 1))
            self.calls[0].answer(200, body=body, ends=False)
        return exchange

    def read(self, read_ms, *, place=by_own_gateway, **fields):
        """Let the server of the stream read a prompt."""
        self.server_id = self.rig.server_at(self.calls[0].address).server_id
        work = self.rig.work_at(self.server_id, float(read_ms))
        return place(self.rig, attrs.evolve(work, **fields))

    def pass_time(self, duration_ms):
        for _ in range(duration_ms // 5):
            self.rig.advance(5)

    def assert_attempts(self, count, *, failed=False):
        """Check the attempts made, and whether the peers hear of a failure."""
        self.assertEqual(count, len(self.calls))
        self.assertEqual(
            count - 1, self.rig.parts.metrics.count_retry.call_count
        )
        failed_ids = self.rig.load.report(complete=False).failed
        self.assertEqual((self.server_id,) if failed else (), failed_ids)

    def test_stream_beside_a_known_read_is_not_taken_for_stalled(self):
        for place in (by_own_gateway, by_peer):
            for fields in (
                {},
                {'is_divided': True},
                {'is_divided': True, 'is_helping': True},
            ):
                for passed_on in (0, 3):
                    for after_ms in (0, 900):
                        with self.subTest(
                            place=place.__name__,
                            passed_on=passed_on,
                            after_ms=after_ms,
                            **fields,
                        ):
                            self.setUp()
                            exchange = self.start(passed_on=passed_on)
                            self.pass_time(after_ms)
                            self.read(1500 - after_ms, place=place, **fields)
                            self.pass_time(1600 - after_ms)
                            self.assert_attempts(1)
                            rest = range(passed_on + 1, 6)
                            body = test_silent_server.events(*rest)
                            if passed_on:
                                self.calls[0].listener.on_data(body)
                                self.calls[0].end()
                            else:
                                self.calls[0].answer(200, body=body)
                            self.assertTrue(exchange.is_whole)

    def test_takeover_comes_before_the_caller_leaves_and_blames_nobody(self):
        for passed_on in (0, 3):
            with self.subTest(passed_on=passed_on):
                self.setUp()
                self.start(passed_on=passed_on)
                self.read(5000)
                self.pass_time(LATEST_TAKEOVER_MS - 10)
                self.assert_attempts(1)
                self.pass_time(20)
                self.assert_attempts(2)

    def test_server_that_is_dark_beyond_the_end_of_its_read_has_failed(self):
        for place in (by_own_gateway, by_peer):
            with self.subTest(place=place.__name__):
                self.setUp()
                self.start()
                self.read(1200, place=place)
                self.pass_time(1200 + PAUSE_MS - 10)
                self.assert_attempts(1)
                self.pass_time(20)
                self.assert_attempts(2, failed=True)

    def test_server_that_stays_dark_after_a_takeover_has_failed(self):
        self.start()
        self.read(2000)
        self.pass_time(2000 + PAUSE_MS - 10)
        self.assert_attempts(2)
        self.pass_time(20)
        self.assert_attempts(2, failed=True)

    def test_stream_that_goes_on_after_a_takeover_is_not_called_stalled(self):
        self.start()
        self.read(2000)
        self.pass_time(LATEST_TAKEOVER_MS + 10)
        self.assert_attempts(2)
        self.calls[0].listener.on_data(test_silent_server.event(4))
        with self.assertNoLogs(LOGGER, 'INFO'):
            self.pass_time(STALL_MS - 10)

    def test_other_reads_do_not_explain_silence(self):
        def read_short():
            self.pass_time(1100)
            self.read(150)

        def read_and_end():
            work_id = self.read(5000)
            self.pass_time(1100)
            self.rig.load.end(work_id)

        def read_and_write():
            work_id = self.read(5000)
            self.pass_time(1100)
            self.rig.load.first_event(work_id)

        def read_overdue():
            self.read(800)
            self.pass_time(1100)

        for prepare in (
            read_short,
            read_and_end,
            read_and_write,
            read_overdue,
        ):
            with self.subTest(prepare=prepare.__name__):
                self.setUp()
                self.start()
                prepare()
                self.pass_time(STALL_MS - 1100 + 5)
                self.assert_attempts(2, failed=True)

    def test_stream_that_goes_on_gets_its_whole_timeout_again(self):
        self.start()
        self.read(1200)
        self.pass_time(1300)
        self.calls[0].listener.on_data(test_silent_server.event(4))
        self.pass_time(STALL_MS - 10)
        self.assert_attempts(1)

    def test_extension_is_not_the_timeout_after_a_pause_of_the_caller(self):
        exchange = self.start()
        read_id = self.read(1200)
        self.pass_time(1200)
        exchange.flow.pauseProducing()
        exchange.flow.resumeProducing()
        self.rig.load.end(read_id)
        self.pass_time(STALL_MS - 10)
        self.assert_attempts(1)

    def test_log_tells_of_the_read(self):
        self.start()
        self.read(5000)
        with self.assertLogs(LOGGER, 'INFO') as logs:
            self.rig.advance(STALL_MS)
            self.rig.advance(LATEST_TAKEOVER_MS - STALL_MS)
        waits, stalled = logs.records[:2]
        self.assertEqual('attempt waits for a read', waits.getMessage())
        self.assertEqual(self.server_id, waits.server_id)
        self.assertEqual(5000 - STALL_MS, waits.read_ends_in_ms)
        self.assertEqual(LATEST_TAKEOVER_MS - STALL_MS, waits.wait_ms)
        self.assertEqual('attempt stalled', stalled.getMessage())
        self.assertEqual(5000 - LATEST_TAKEOVER_MS, stalled.read_ends_in_ms)


if __name__ == '__main__':
    unittest.main()
