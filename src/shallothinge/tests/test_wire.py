"""Tests of the message codec."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies
import msgpack

from shallothinge import wire


@attrs.frozen(kw_only=True)
class Sample:
    """A message with one field of each common shape."""

    name: str
    payload: bytes = b''
    offsets: tuple[int, ...] = ()
    count: int = 0
    is_last: bool = False
    works: tuple[tuple, ...] = ()


@attrs.frozen(kw_only=True)
class Unknown:
    """A message that the codec under test does not know."""


class CodecTest(unittest.TestCase):
    """Round trips and refusals."""

    def setUp(self):
        self.codec = wire.Codec(message_types=(Sample,))

    @given(
        strategies.builds(
            Sample,
            name=strategies.text(),
            payload=strategies.binary(),
            offsets=strategies.lists(strategies.integers(0, 2**40)).map(tuple),
        )
    )
    def test_round_trip_keeps_message(self, message):
        data = self.codec.encode(message)
        self.assertEqual(message, self.codec.decode(data))

    @given(strategies.binary(max_size=64))
    def test_arbitrary_bytes_are_refused_or_decoded(self, data):
        try:
            self.codec.decode(data)
        except wire.WireError:
            pass

    def test_unknown_message_is_refused(self):
        with self.assertRaises(wire.WireError):
            self.codec.encode(Unknown())

    def test_fields_are_read_as_what_they_are(self):
        rows = (
            ('count', 7, 7),
            ('count', 7.0, 7),
            ('count', wire.MAX_INTEGER, wire.MAX_INTEGER),
            ('is_last', True, True),
            ('is_last', 0, False),
            ('works', [[1, 'a'], 5, 'ab', None], ((1, 'a'), (), (), ())),
        )
        for name, sent, expected in rows:
            with self.subTest(name, sent=sent):
                fields = {'name': 'n', name: sent}
                message = self.codec.decode(msgpack.packb(['Sample', fields]))
                value = getattr(message, name)
                self.assertEqual(expected, value)
                self.assertIs(type(expected), type(value))

    def test_integer_that_fits_into_no_answer_is_refused(self):
        # A sum or an answer with it could not be encoded.
        for odd in (1e300, float('inf'), float('nan'), 2**63, 2**64 - 1):
            with self.subTest(odd=odd):
                fields = {'name': 'n', 'count': odd}
                with self.assertRaises(wire.WireError):
                    self.codec.decode(msgpack.packb(['Sample', fields]))
