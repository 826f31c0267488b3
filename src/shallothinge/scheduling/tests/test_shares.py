"""Tests of fair shares."""

import unittest

import hypothesis
from hypothesis import strategies

from shallothinge.scheduling import shares

SERVICE = 'chat'
NAMES = 'abcd'


def find_above(used, waiting):
    """Return the workspaces above their shares, as a string."""
    in_use = {(SERVICE, one): slots for one, slots in used.items()}
    in_use['other', 'z'] = 1000.0
    found = shares.WorkspaceShares(in_use=lambda: in_use).above_share(
        SERVICE, frozenset(waiting)
    )
    return ''.join(sorted(found))


class WorkspaceSharesTest(unittest.TestCase):
    """Workspaces that use more than their fair share of a service."""

    def test_share_is_max_min_fair(self):
        # Slots in use, workspaces that wait, workspaces above their shares.
        rows = (
            ('nothing in use', {}, 'ab', ''),
            ('one alone', {'a': 9}, 'a', ''),
            ('same use', {'a': 3, 'b': 3}, 'ab', ''),
            ('one uses more', {'a': 4, 'b': 3}, 'ab', 'a'),
            ('a newcomer waits', {'a': 6}, 'ab', 'a'),
            ('satisfied with little', {'a': 6, 'b': 6, 'c': 1}, 'ab', ''),
            ('all satisfied', {'a': 6, 'b': 1}, '', ''),
            ('much in use, none waits there', {'a': 6, 'b': 1}, 'b', 'a'),
            ('rest of the satisfied', {'a': 1, 'b': 5, 'c': 4}, 'bc', 'b'),
            ('fractions', {'a': 0.5, 'b': 0.25}, 'ab', 'a'),
        )
        for name, used, waiting, expected in rows:
            with self.subTest(name):
                self.assertEqual(expected, find_above(used, waiting))
                in_use = {(SERVICE, one): count for one, count in used.items()}
                found = shares.WorkspaceShares(in_use=lambda: in_use)
                for one in NAMES:
                    self.assertEqual(
                        one in expected,
                        found.is_above_share(SERVICE, one, waiting),
                    )

    @hypothesis.given(
        used=strategies.dictionaries(
            strategies.sampled_from(NAMES), strategies.integers(0, 20)
        ),
        waiting=strategies.frozensets(strategies.sampled_from(NAMES)),
    )
    def test_those_above_use_more_than_any_other_that_waits(
        self, used, waiting
    ):
        # A workspace that uses less than another one must never have to
        # yield to it.
        above = find_above(used, waiting)
        below = waiting - set(above)
        if above:
            self.assertTrue(below, 'nobody could use what they yield')
            self.assertGreater(
                min(used[one] for one in above),
                max(used.get(one, 0) for one in below),
            )
