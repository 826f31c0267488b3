"""Tests of silence detection on a link to an unreachable endpoint."""

import unittest

from twisted.internet import testing
import zmq

from shallothinge import clock
from shallothinge import protocol
from shallothinge.transport import keys
from shallothinge.transport import link
from shallothinge.transport import messages

STEP_MS = 100
# Nothing listens on this port, so connections are refused at once.
UNUSED_ADDRESS = 'tcp://127.0.0.1:1'
SILENT_LINE = 'no message from the endpoint; opening a new connection'


class Frame:
    """A received frame."""

    def __init__(self, *, content: bytes):
        self.bytes = content


class SilenceTest(unittest.TestCase):
    """A link whose endpoint is silent."""

    def setUp(self):
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, linger=0)
        self.clock = clock.ManualClock()
        self.reactor = testing.MemoryReactorClock()
        self.codec = protocol.build_codec()
        pair = keys.generate_key_pair(role='control')
        self.link = link.Link(
            reactor=self.reactor,
            context=self.context,
            address=UNUSED_ADDRESS,
            server_key=pair.public,
            key_pair=pair,
            hello=messages.Hello(process_id='c1', incarnation='1'),
            codec=self.codec,
            clock=self.clock,
            on_message=lambda message: None,
        )
        self.addCleanup(self.link.close)

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(duration_ms=STEP_MS)
            self.reactor.advance(STEP_MS / 1000)

    def hear(self):
        content = self.codec.encode(messages.Pong())
        self.link._receive([Frame(content=content)])

    def test_silence_accumulates_across_reconnects(self):
        for silent_ms in (2000, 5000, 30_000):
            with self.subTest(silent_ms=silent_ms):
                self.hear()
                self.advance(silent_ms)
                self.assertEqual(silent_ms, self.link.silent_ms)

    def test_process_pause_does_not_count_as_silence(self):
        self.advance(1000)
        self.clock.advance(duration_ms=60_000)
        self.reactor.advance(60)
        self.assertLessEqual(self.link.silent_ms, 1000 + link.LATE_CHECK_MS)

    def test_reconnect_log_lines_grow_logarithmically(self):
        with self.assertLogs(link.LOG, 'INFO') as logged:
            self.advance(600_000)
            self.hear()
        silent = [one for one in logged.records if one.msg == SILENT_LINE]
        counts = [one.replaced_count for one in silent]
        self.assertEqual([1, 2, 4, 8, 16, 32, 64, 128], counts)
        self.assertEqual(
            'the endpoint is responding again', logged.records[-1].msg
        )
        self.assertGreaterEqual(logged.records[-1].silent_ms, 590_000)

    def test_later_silence_is_logged_again(self):
        for _ in range(3):
            with self.assertLogs(link.LOG, 'INFO') as logged:
                self.advance(3100)
                self.hear()
            self.assertEqual(SILENT_LINE, logged.records[0].msg)
            self.assertEqual(1, logged.records[0].replaced_count)


if __name__ == '__main__':
    unittest.main()
