"""Tests of measuring the pace of servers by the requests sent to them."""

import itertools
import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.placement import pace

STREAM_HEADERS = (*rig.SIGNED, ('content-type', 'text/event-stream'))
SERVER_ID = 'llm-0'


class PaceTest(unittest.TestCase):
    """Guards against slow servers that get as much work as the others."""

    def setUp(self):
        self.numbers = itertools.count(1)
        self.rig = rig.Rig(
            configuration=test_forwarding.only_engines(), server_count=1
        )

    def send(self, *, after_ms, connected_after_ms=0, tokens=5_000, **fields):
        """Play a stream whose first event comes some time after its send."""
        exchange = self.rig.request(
            test_forwarding.STREAM, tokens=tokens, **fields
        )
        call = self.rig.caller.calls[-1]
        self.rig.advance(connected_after_ms)
        self.assertTrue(call.may_send())
        self.rig.advance(after_ms)
        call.answer(200, headers=STREAM_HEADERS, body=self.event(), ends=False)
        return exchange

    def event(self):
        """Return the next event."""
        return test_forwarding.event(next(self.numbers))

    @property
    def pace(self):
        """Return the pace with which the server is a candidate."""
        (candidate,) = self.rig.parts.servers.candidates(
            service='llm', tried_ids=frozenset()
        )
        self.assertEqual(SERVER_ID, candidate.server_id)
        return candidate.pace

    def send_several(self, **fields):
        for _ in range(pace.MIN_MEASUREMENTS):
            self.send(**fields)

    def test_late_first_events_make_a_server_slow(self):
        for name, fields, is_slow in (
            ('late', {'after_ms': 320}, True),
            ('in time', {'after_ms': 85}, False),
            (
                'waited for a connection',
                {'after_ms': 320, 'connected_after_ms': 50},
                False,
            ),
            (
                'resumed',
                {'after_ms': 320, 'last-event-id': '0'},
                False,
            ),
            ('long prompt', {'after_ms': 320, 'tokens': 30_000}, False),
        ):
            self.setUp()
            self.send_several(**fields)
            with self.subTest(name):
                self.assertEqual(is_slow, self.pace > 2)

    def test_late_first_event_beside_a_long_read_is_left_out(self):
        for _ in range(pace.MIN_MEASUREMENTS):
            self.rig.request(test_forwarding.STREAM, tokens=5_000)
            call = self.rig.caller.calls[-1]
            self.assertTrue(call.may_send())
            other_id = self.rig.load.start(
                self.rig.work_at(SERVER_ID, read_ms=300.0)
            )
            self.rig.advance(400)
            self.rig.load.end(other_id)
            call.answer(200, headers=STREAM_HEADERS, body=self.event())
        self.assertEqual(1.0, self.pace)

    def test_long_pauses_make_a_server_slow(self):
        for name, pause_ms, events, read_ms, has_slow_caller, is_slow in (
            ('late', 200, 1, 0.0, False, True),
            ('in time', 45, 1, 0.0, False, False),
            ('several at once', 200, 4, 0.0, False, False),
            ('beside a read', 200, 1, 20.0, False, False),
            ('slow caller', 200, 1, 0.0, True, False),
        ):
            self.setUp()
            exchange = self.send(after_ms=85)
            for _ in range(20):
                if read_ms:
                    self.rig.load.end(
                        self.rig.load.start(
                            self.rig.work_at(SERVER_ID, read_ms=read_ms)
                        )
                    )
                if has_slow_caller:
                    exchange.flow.pauseProducing()
                    exchange.flow.resumeProducing()
                self.rig.advance(pause_ms)
                self.rig.caller.calls[-1].listener.on_data(
                    b''.join(self.event() for _ in range(events))
                )
            with self.subTest(name):
                self.assertEqual(is_slow, self.pace > 2)

    def test_measurements_end_with_the_incarnation(self):
        self.send_several(after_ms=320)
        members = self.rig.holder.members
        members[SERVER_ID] = attrs.evolve(members[SERVER_ID], incarnation='2')
        self.assertEqual(1.0, self.pace)


if __name__ == '__main__':
    unittest.main()
