"""Tests of streams that trickle: stalled ones, and slow but sound ones."""

import unittest

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.gateway.tests import test_silent_server

STREAM = '/lohu930/1'
COMMENT = b': still here\n\n'
STEP_MS = 100
# The sample route's longest pause is 250 ms, its stall timeout 1125 ms, and
# the first event of a short prompt is overdue after a second.
STALLED_STEPS = 13
events = test_silent_server.events


def event_bytes(steps):
    """Return the bytes of an event one by one, without its end."""
    return [b'd', b'a', b't', b'a', b':'] + [b'x'] * (steps - 5)


class TricklingStreamTest(unittest.TestCase):
    """Bytes that are no event must not pass for progress."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())

    @property
    def calls(self):
        return self.rig.caller.calls

    def start(self, *, passed_on):
        exchange = self.rig.request(
            STREAM, tokens=test_silent_server.PROMPT_TOKENS
        )
        body = events(*range(1, passed_on + 1))
        self.calls[0].answer(200, body=body, ends=False)
        return exchange

    def trickle(self, call, pieces):
        """Let a server send a piece now and then."""
        for piece in pieces:
            self.rig.advance(STEP_MS)
            call.listener.on_data(piece)

    def test_stalled_stream_that_sends_bytes_is_taken_over(self):
        """Each comment restarted the timeout: such streams never ended."""
        rows = {
            'comments': [COMMENT] * STALLED_STEPS,
            'blank lines': [b'\n\n'] * STALLED_STEPS,
            'fields without data': [b'retry: 9\n\n'] * STALLED_STEPS,
            'bytes of an event': event_bytes(STALLED_STEPS),
        }
        for name, pieces in rows.items():
            for passed_on in (0, 3):
                with self.subTest(name, passed_on=passed_on):
                    self.setUp()
                    exchange = self.start(passed_on=passed_on)
                    self.trickle(self.calls[0], pieces)
                    self.assertEqual(2, len(self.calls))
                    first, second = self.calls
                    self.trickle(first, pieces[:1])
                    self.assertFalse(second.is_cancelled)
                    second.answer(200, body=events(*range(passed_on + 1, 6)))
                    self.assertTrue(first.is_cancelled)
                    self.assertTrue(exchange.is_whole)
                    self.assertTrue(
                        exchange.received.endswith(
                            events(*range(passed_on + 1, 6))
                        )
                    )

    def test_server_that_sends_only_comments_is_avoided(self):
        self.start(passed_on=0)
        first = self.rig.server_at(self.calls[0].address).server_id
        self.trickle(self.calls[0], [COMMENT] * STALLED_STEPS)
        failed_ids = self.rig.load.report(complete=False).failed
        self.assertEqual((first,), failed_ids)

    def test_comments_are_passed_on_but_are_no_first_event(self):
        exchange = self.start(passed_on=0)
        with self.assertLogs(test_forwarding.LOGGER) as logged:
            self.trickle(self.calls[0], [COMMENT, events(1), COMMENT])
            self.calls[0].end()
        self.assertEqual(COMMENT + events(1) + COMMENT, exchange.received)
        ended = logged.records[-1]
        self.assertEqual('request ended', ended.msg)
        self.assertEqual(2 * STEP_MS, ended.first_event_ms)

    def test_comments_of_two_servers_are_not_mixed_into_the_stream(self):
        exchange = self.start(passed_on=3)
        self.rig.advance(STEP_MS * STALLED_STEPS)
        for call in self.calls:
            if call is not self.calls[0]:
                call.answer(200, ends=False)
            call.listener.on_data(COMMENT)
        self.assertEqual(events(1, 2, 3), exchange.received)

    def test_slow_but_sound_stream_is_never_cut(self):
        """Events may come late, in pieces, and beside comments."""
        pieces = [bytes([byte]) for byte in events(4, 5, 6)]
        rows = {
            'below the timeout': (10, [events(4), events(5), events(6)]),
            'beyond the timeout': (14, [events(4), events(5), events(6)]),
            'byte by byte': (1, pieces),
            'between comments': (7, [COMMENT, events(4, 5, 6)]),
        }
        for name, (steps, body) in rows.items():
            for may_resume in (True, False):
                with self.subTest(name, may_resume=may_resume):
                    self.rig = rig.Rig(
                        configuration=test_forwarding.only_engines(
                            {'resume-streams': may_resume}
                        )
                    )
                    exchange = self.start(passed_on=3)
                    for piece in body:
                        for _ in range(steps):
                            self.rig.advance(STEP_MS)
                        if not self.calls[0].is_cancelled:
                            self.calls[0].listener.on_data(piece)
                    self.assertFalse(self.calls[0].is_cancelled)
                    self.calls[0].end()
                    self.assertTrue(exchange.is_whole)
                    received = exchange.received.replace(COMMENT, b'')
                    self.assertEqual(events(1, 2, 3, 4, 5, 6), received)
