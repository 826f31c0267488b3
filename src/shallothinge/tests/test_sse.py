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

    def test_events_are_the_same_in_pieces_of_any_size(self):
        text = (
            b'data: 1\n\n\ndata: 2\r\n\r\n\r\n\r\ndata: 3\n\r\n'
            b': c\n\ndata: 4\r\ndata: 5\r\n\ndata: 6\n\ndata: 7\r\n\r'
        )
        expected = ['1', '2', '3', '4\n5', '6']
        for size in range(1, len(text) + 1):
            with self.subTest(size=size):
                parser = sse.EventParser()
                events = []
                for start in range(0, len(text), size):
                    events += parser.feed(text[start : start + size])
                self.assertEqual(expected, events)

    def test_event_that_comes_byte_by_byte_is_not_read_again_each_time(self):
        parser = sse.EventParser()
        with self.assertRaises(sse.EventTooLarge):
            for _ in range(sse.MAX_EVENT_BYTES + 1):
                parser.feed(b'x')

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
