"""Tests of the parser for server-sent events."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies

from shallothinge import sse

LINES = strategies.text(
    alphabet=strategies.characters(exclude_categories=('C', 'Z')), min_size=1
)


LINE_ENDS = ('\r\n', '\n', '\r')


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
        with self.assertRaises(sse.EventTooLong):
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
        with self.assertRaises(sse.EventTooLong):
            parser.feed(b'data: 123456789')


class EventSplitterTest(unittest.TestCase):
    """Only complete events are returned."""

    def test_what_has_no_data_is_told_from_events(self):
        """Comments of a dark server passed for its progress."""
        for data, has_data in (
            (b'data: 1\n\n', True),
            (b'data\n\n', True),
            (b'id: 3\r\ndata:\r\n\r\n', True),
            (b': c\rdata: 1\r\r', True),
            (b'\n\n', False),
            (b': data: 1\n\n', False),
            (b'id: 3\nevent: data\n\n', False),
            (b'database: 1\n\n', False),
        ):
            with self.subTest(data=data):
                splitter = sse.EventSplitter()
                (event,) = splitter.feed(data)
                self.assertEqual(data, event.data)
                self.assertIs(has_data, event.has_data)

    def test_events_over_pieces(self):
        splitter = sse.EventSplitter()
        events = []
        for data in (b'id: 1\nda', b'ta: a\n', b'\nid:2\r\n\r\n', b': c\n\nx'):
            events += splitter.feed(data)
        self.assertEqual(
            [
                ('1', b'id: 1\ndata: a\n\n'),
                ('2', b'id:2\r\n\r\n'),
                ('', b': c\n\n'),
            ],
            [(event.event_id, event.data) for event in events],
        )
        self.assertEqual(b'x', splitter.rest)

    def test_events_are_the_same_in_pieces_of_any_size(self):
        text = b'id: 1\n\n\n\n\r\n\r\nid:2\r\n\r\n\n\nx\r\n\r\n\r\n\n\ny\r\n\r'
        whole = sse.EventSplitter()
        expected = [(one.event_id, one.data) for one in whole.feed(text)]
        for size in range(1, len(text)):
            with self.subTest(size=size):
                splitter = sse.EventSplitter()
                events = []
                for start in range(0, len(text), size):
                    events += splitter.feed(text[start : start + size])
                self.assertEqual(
                    expected, [(one.event_id, one.data) for one in events]
                )
                self.assertEqual(whole.rest, splitter.rest)

    def test_event_that_comes_byte_by_byte_is_not_read_again_each_time(self):
        splitter = sse.EventSplitter()
        with self.assertRaises(sse.EventTooLong):
            for _ in range(sse.MAX_EVENT_BYTES + 1):
                splitter.feed(b'x')

    def test_event_without_end(self):
        splitter = sse.EventSplitter()
        with self.assertRaises(sse.EventTooLong):
            splitter.feed(b'x' * (sse.MAX_EVENT_BYTES + 1))

    def test_sound_events_are_not_held_back_by_mixed_line_ends(self):
        for first, second in itertools.product(LINE_ENDS, repeat=2):
            with self.subTest(first=first, second=second):
                blank = first + second
                if blank == '\r\n':
                    continue
                text = f'id: 1{first}data: a{blank}id: 2{second}data: b'
                splitter = sse.EventSplitter()
                found = splitter.feed(text.encode())
                self.assertEqual(['1'], [one.event_id for one in found])
                found = splitter.feed(blank.encode()) + splitter.end()
                self.assertEqual(['2'], [one.event_id for one in found])
                self.assertEqual(b'', splitter.rest.strip())
                parsed = sse.EventParser().feed(f'{text}{blank}x'.encode())
                self.assertEqual(['a', 'b'], parsed)

    @given(
        strategies.lists(
            strategies.sampled_from(('id: 1', 'data: x', ':', *LINE_ENDS))
        ),
        strategies.integers(1, 9),
    )
    def test_line_ends_mixed_at_random_are_split_alike(self, parts, size):
        text = ''.join(parts).encode()
        whole, pieces = sse.EventSplitter(), sse.EventSplitter()
        expected = whole.feed(text) + whole.end()
        found = []
        for start in range(0, len(text), size):
            found += pieces.feed(text[start : start + size])
        found += pieces.end()
        self.assertEqual(expected, found)
        self.assertEqual(whole.rest, pieces.rest)
        passed_on = b''.join(one.data for one in found) + pieces.rest
        self.assertEqual(text, passed_on)
        for one in found:
            self.assertNotIn(b'', one.data.splitlines()[1:-1])
        self.assertNotIn(b'', pieces.rest.splitlines()[1:])
