"""Tests of the message codec."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies

from shallothinge import wire


@attrs.frozen(kw_only=True)
class Sample:
    """A message with one field of each common shape."""

    name: str
    payload: bytes = b''
    offsets: tuple[int, ...] = ()


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
