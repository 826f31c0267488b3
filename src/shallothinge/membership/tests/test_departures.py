"""Tests of the record of backend servers that left."""

import unittest

from shallothinge.membership import departures
from shallothinge.membership import messages
from shallothinge.membership import model
from shallothinge.membership.model import Departure
from shallothinge.membership.tests import samples

# An order's time, and starts before and after it.
ASKED_MS = 50


class DeparturesTest(unittest.TestCase):
    """Coverage and retention of departures."""

    def setUp(self):
        self.record = departures.Departures()
        self.now_ms = 1000

    def leave(self, incarnation, *, started_to_ms=0, index=7, now_ms=1000):
        return self.record.record(
            messages.RecordDeparture(
                server_id='i',
                incarnation=incarnation,
                started_to_ms=started_to_ms,
            ),
            index=index,
            now_ms=now_ms,
        )

    def covers(self, started_ms, server_id='i'):
        beat = samples.heartbeat(server_id, started_ms=started_ms)
        found = self.record.find(server=beat.server, now_ms=self.now_ms)
        return found is not None

    def test_departure_covers_its_incarnation_and_former_ones(self):
        # incarnation and started_to_ms recorded, covered starts, others
        rows = (
            ('40', 40, (39, 40), (41, 60)),
            ('40', ASKED_MS, (40, 49, 50), (51, 60)),
            ('', ASKED_MS, (40, 50), (51, 60)),
            # A server whose clock is ahead of the host's.
            ('60', ASKED_MS, (40, 50, 60), (55, 61)),
            # A former release records no start.
            ('40', 0, (40,), (39, 41)),
            ('', 0, (40, 999, 1000), (1001,)),
        )
        for incarnation, started_to_ms, covered, others in rows:
            self.setUp()
            self.leave(incarnation, started_to_ms=started_to_ms, now_ms=1000)
            for started_ms in (*covered, *others):
                with self.subTest(
                    incarnation=incarnation,
                    started_to_ms=started_to_ms,
                    started_ms=started_ms,
                ):
                    expected = started_ms in covered
                    self.assertEqual(expected, self.covers(started_ms))
                    self.assertFalse(self.covers(started_ms, 'j'))

    def test_unstated_start_is_covered_if_the_incarnation_is_not_known(self):
        for incarnation, expected in (('', True), ('0', True), ('40', False)):
            with self.subTest(incarnation=incarnation):
                self.setUp()
                self.leave(incarnation, started_to_ms=ASKED_MS)
                self.assertEqual(expected, self.covers(0))

    def test_other_starts_are_covered_while_heartbeats_may_be_late(self):
        # A server whose clock is behind reports on after a quick restart.
        self.leave('40', started_to_ms=ASKED_MS, now_ms=1000)
        for age_ms, expected in (
            (model.STARTS_COVERED_MS - 1, [True, True]),
            (model.STARTS_COVERED_MS, [True, False]),
        ):
            with self.subTest(age_ms=age_ms):
                self.now_ms = 1000 + age_ms
                self.assertEqual(expected, [self.covers(40), self.covers(45)])

    def test_former_departure_is_no_record_of_a_later_one(self):
        # A leader that does not know the incarnation takes none for recorded.
        self.leave('40', started_to_ms=40, index=7)
        self.assertTrue(self.leave('', started_to_ms=60, index=9))
        self.assertTrue(self.covers(50))

    def test_repeated_departure_is_recorded_once(self):
        for incarnation in ('40', ''):
            with self.subTest(incarnation=incarnation):
                self.setUp()
                self.leave(incarnation, started_to_ms=ASKED_MS)
                for started_to_ms in (40, ASKED_MS):
                    self.assertFalse(
                        self.leave(incarnation, started_to_ms=started_to_ms)
                    )
                self.assertTrue(
                    self.leave(incarnation, started_to_ms=ASKED_MS + 1)
                )
                self.assertEqual(2, len(self.record.entries))

    def test_since_returns_departures_after_an_index(self):
        self.leave('5', index=7)
        self.leave('6', index=9)
        for index, count in ((0, 2), (7, 1), (9, 0)):
            self.assertEqual(count, len(self.record.since(index=index)))

    def test_departures_are_removed_after_retention(self):
        for incarnation, started_to_ms, retention_ms in (
            ('40', ASKED_MS, departures.RETENTION_MS),
            ('', ASKED_MS, model.STARTS_COVERED_MS - 1),
            ('', 0, model.STARTS_COVERED_MS - 1),
            ('40', 0, departures.UNSTATED_START_RETENTION_MS),
            ('0', 0, departures.UNSTATED_START_RETENTION_MS),
        ):
            self.setUp()
            self.leave(incarnation, started_to_ms=started_to_ms, now_ms=1000)
            for now_ms, is_kept in (
                (1000 + retention_ms, True),
                (1001 + retention_ms, False),
            ):
                with self.subTest(incarnation=incarnation, now_ms=now_ms):
                    self.now_ms = now_ms
                    self.record.forget_old(now_ms=now_ms)
                    started_ms = int(incarnation or ASKED_MS)
                    self.assertEqual(is_kept, self.covers(started_ms))
            with self.subTest(incarnation=incarnation):
                self.assertFalse(self.record.has_old(now_ms=self.now_ms))
                self.record.forget_old(now_ms=self.now_ms + 1)
                self.assertEqual((), self.record.entries)

    def test_a_copy_of_the_record_finds_the_same(self):
        entry = Departure(server_id='i', incarnation='40', index=7, at_ms=1000)
        self.record = departures.Departures(entries=(entry,))
        self.assertTrue(self.covers(40))
