"""Tests of the fingerprints of requests."""

import unittest

from shallothinge.quarantine import fingerprints

FIELDS = {
    'caller': 'w1',
    'method': 'POST',
    'host': 'a.example',
    'target': '/a?b=1',
    'body': b'body',
}


class FingerprintTest(unittest.TestCase):
    """The fields that make requests the same."""

    def setUp(self):
        self.fingerprinter = fingerprints.Fingerprinter(secret=b'secret')

    def test_same_request_has_the_same_fingerprint_at_each_gateway(self):
        other = fingerprints.Fingerprinter(secret=b'secret')
        made = self.fingerprinter.compute(**FIELDS)
        self.assertEqual(made, other.compute(**FIELDS))
        self.assertTrue(fingerprints.is_fingerprint(made))

    def test_other_requests_have_other_fingerprints(self):
        rows = (
            {'caller': 'w2'},
            {'method': 'PUT'},
            {'host': 'b.example'},
            {'target': '/a?b=2'},
            {'body': b''},
            # The same bytes, divided differently among the fields.
            {'host': 'a.example/', 'target': 'a?b=1'},
            {'target': '/a?b=1b', 'body': b'ody'},
        )
        made = {self.fingerprinter.compute(**FIELDS)}
        for changes in rows:
            made.add(self.fingerprinter.compute(**{**FIELDS, **changes}))
        self.assertEqual(len(rows) + 1, len(made))

    def test_fingerprint_depends_on_the_secret(self):
        other = fingerprints.Fingerprinter(secret=b'other')
        self.assertNotEqual(
            self.fingerprinter.compute(**FIELDS), other.compute(**FIELDS)
        )
