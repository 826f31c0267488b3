"""Tests of the reservations of an agent."""

import unittest

from shallothinge import clock
from shallothinge.reservations import messages
from shallothinge.reservations import table

EXPIRY_MS = 1000


class ReservationTableTest(unittest.TestCase):
    """Expiry and release of one reservation."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.table = table.ReservationTable(clock=self.clock)
        request = messages.ReserveMemory(
            reservation_id='p1',
            request_id='r1',
            entry_id='entry-1',
            tokens=500,
            expiry_ms=EXPIRY_MS,
        )
        self.table.hold(request=request, owner_id='entry-1')
        self.table.hold(request=request, owner_id='entry-1')

    def test_repeated_request_counts_once(self):
        self.assertEqual(500, self.table.tokens)

    def test_expiry(self):
        rows = (
            ('silence', 'entry-1', frozenset(), ('p1',)),
            ('wanted', 'entry-1', frozenset({'r1'}), ()),
            ('wanted by another', 'entry-2', frozenset({'r1'}), ('p1',)),
        )
        for name, owner, wanted, expected in rows:
            with self.subTest(name):
                self.setUp()
                self.clock.advance(duration_ms=EXPIRY_MS - 1)
                self.table.extend(owner_id=owner, request_ids=wanted)
                self.clock.advance(duration_ms=1)
                self.assertEqual(expected, self.table.expired())

    def test_release(self):
        self.assertTrue(self.table.release(reservation_id='p1'))
        self.assertFalse(self.table.release(reservation_id='p1'))
        self.assertEqual(0, self.table.tokens)
