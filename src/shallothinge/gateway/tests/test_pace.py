"""Tests of measuring the pace of servers by the requests sent to them."""

import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.placement import pace

STREAM_HEADERS = (*rig.SIGNED, ('content-type', 'text/event-stream'))
FIRST_EVENT = b'id: 1\ndata: 1\n\n'
SERVER_ID = 'llm-0'


class PaceTest(unittest.TestCase):
    """Guards against slow servers that get as much work as the others."""

    def setUp(self):
        self.rig = rig.Rig(
            configuration=test_forwarding.only_engines(), server_count=1
        )

    def send(self, *, after_ms, connected_after_ms=0, tokens=5_000, **fields):
        """Play a stream whose first event comes some time after its send."""
        self.rig.request(test_forwarding.STREAM, tokens=tokens, **fields)
        call = self.rig.caller.calls[-1]
        self.rig.advance(connected_after_ms)
        self.assertTrue(call.may_send())
        self.rig.advance(after_ms)
        call.answer(200, headers=STREAM_HEADERS, body=FIRST_EVENT)

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
            call.answer(200, headers=STREAM_HEADERS, body=FIRST_EVENT)
        self.assertEqual(1.0, self.pace)

    def test_measurements_end_with_the_incarnation(self):
        self.send_several(after_ms=320)
        members = self.rig.holder.members
        members[SERVER_ID] = attrs.evolve(members[SERVER_ID], incarnation='2')
        self.assertEqual(1.0, self.pace)


if __name__ == '__main__':
    unittest.main()
