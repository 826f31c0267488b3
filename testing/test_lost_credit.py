"""Tests of adding up what callers lost, by cause."""

import json
import unittest

from experiments import lost_credit

PAUSES = {300: 250}


def line(message, *, second, request_id='r', **fields):
    """Return a log line as a bench prints it."""
    content = json.dumps(
        {
            'message': message,
            'request_id': request_id,
            'time': f't{second}',
            **fields,
        }
    )
    return f'  {second:.4f} host-1 {content}\n'


def ended(outcome, *, second, first_ms=100, pause_ms=0, **fields):
    return line(
        'request ended',
        second=second,
        outcome=outcome,
        objective_ms=300,
        first_event_ms=first_ms,
        longest_pause_ms=pause_ms,
        total_ms=900,
        **fields,
    )


class LostCreditTest(unittest.TestCase):
    """A log of a few requests."""

    def add_up(self, *lines):
        return lost_credit.add_up(lost_credit.read_stories(lines), PAUSES)

    def test_causes(self):
        rows = (
            ('in time', ended('finished', second=1)),
            ('late first event', ended('finished', second=1, first_ms=301)),
            ('late pause', ended('finished', second=1, pause_ms=251)),
            ('refused, no room', ended('overloaded', second=1)),
            ('failed or cut', ended('cut_stalled', second=1)),
        )
        for cause, one in rows:
            with self.subTest(cause):
                found, _ = self.add_up(one)
                self.assertEqual([cause], list(found))

    def test_what_is_not_owed_does_not_count(self):
        found, total = self.add_up(ended('not_found', second=1))
        self.assertEqual(({}, 0.0), (dict(found), total))

    def test_worst_windows_are_shown(self):
        found, _ = self.add_up(
            ended('overloaded', second=34.1),
            ended('overloaded', second=35.9),
            ended('overloaded', second=12.0),
        )
        row = found['refused, no room']
        self.assertEqual('34 to 36 s, 12 to 14 s', row.worst())

    def test_story_tells_waits_and_failed_attempts_of_its_request(self):
        found, _ = self.add_up(
            line('request waits', second=1, cause='reads'),
            line('attempt failed', second=2, cause='stalled'),
            line('attempt failed', second=2, request_id='x', cause='broken'),
            'cut in the middle: {"message": "request en',
            ended('overloaded', second=3),
        )
        [story] = found['refused, no room'].stories
        self.assertEqual(
            ('request waits: reads', 'attempt failed: stalled'), story.steps
        )
        self.assertIn('r overloaded after 900 ms', lost_credit.describe(story))
