"""Tests of the event stream parser."""

import unittest

from hypothesis import given
from hypothesis import strategies

from shallothinge import sse

LINES = strategies.text(
    alphabet=strategies.characters(exclude_categories=('C', 'Z')), min_size=1
)


class EventParserTest(unittest.TestCase):
    """Events come out whole, however the bytes are cut."""

    @given(strategies.lists(LINES), strategies.integers(1, 9))
    def test_any_cut_gives_the_same_events(self, events, size):
        data = b''.join(sse.format_event(event) for event in events)
        parser = sse.EventParser()
        parsed = []
        for start in range(0, len(data), size):
            parsed += parser.feed(data[start : start + size])
        self.assertEqual(events, parsed)

    def test_unfinished_event_above_limit_is_refused(self):
        parser = sse.EventParser(max_event_bytes=8)
        with self.assertRaises(sse.EventTooLarge):
            parser.feed(b'data: 123456789')
