"""Tests of the record of backend servers that left."""

import unittest

from shallothinge.membership import departures


class DeparturesTest(unittest.TestCase):
    """Coverage and retention of departures."""

    def setUp(self):
        self.record = departures.Departures()

    def leave(self, incarnation, *, index=7, now_ms=1000):
        return self.record.record(
            server_id='i', incarnation=incarnation, index=index, now_ms=now_ms
        )

    def covers(self, incarnation, server_id='i'):
        found = self.record.find(server_id=server_id, incarnation=incarnation)
        return found is not None

    def test_departure_covers_its_incarnation_or_all(self):
        for left, covered in (
            ('5', {'5': True, '6': False, '': True}),
            ('', {'5': True, '6': True, '': True}),
        ):
            self.setUp()
            self.assertTrue(self.leave(left))
            for incarnation, expected in covered.items():
                with self.subTest(left=left, incarnation=incarnation):
                    self.assertEqual(expected, self.covers(incarnation))
                    self.assertFalse(self.covers(incarnation, 'j'))

    def test_repeated_departure_is_recorded_once(self):
        self.leave('5', index=7)
        for incarnation in ('5', ''):
            self.assertFalse(self.leave(incarnation, index=9))
        self.assertTrue(self.leave('6', index=11))
        self.assertEqual(
            ['5', '6'], [one.incarnation for one in self.record.entries]
        )

    def test_since_returns_departures_after_an_index(self):
        self.leave('5', index=7)
        self.leave('6', index=9)
        for index, count in ((0, 2), (7, 1), (9, 0)):
            self.assertEqual(count, len(self.record.since(index=index)))

    def test_departures_are_removed_after_retention(self):
        for incarnation, retention_ms in (
            ('5', departures.RETENTION_MS),
            ('', departures.UNKNOWN_INCARNATION_RETENTION_MS),
        ):
            self.setUp()
            self.leave(incarnation, now_ms=1000)
            for now_ms, is_kept in (
                (1000 + retention_ms, True),
                (1001 + retention_ms, False),
            ):
                with self.subTest(incarnation=incarnation, now_ms=now_ms):
                    is_old = self.record.has_old(now_ms=now_ms)
                    self.assertEqual(is_kept, not is_old)
                    self.record.forget_old(now_ms=now_ms)
                    self.assertEqual(is_kept, self.covers('5'))
