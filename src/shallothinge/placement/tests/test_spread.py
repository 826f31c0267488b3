"""Tests of finding the cheapest set of servers for a prompt."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from shallothinge.placement import spread

NUMBERS = strategies.integers(0, 50)


def price_delay(ready_ms):
    """Return a price that rises by a step at an objective of 25 ms."""
    return ready_ms / 100 + (20.0 if ready_ms > 25 else 0.0)


def part(price, ready_ms, free_tokens=0):
    return spread.Part(
        candidate=spread.Candidate(
            server_id='s', zone='z', slots=8, is_cold=False
        ),
        price=price,
        ready_ms=ready_ms,
        free_tokens=free_tokens,
    )


def price_of(parts):
    slowest_ms = max(one.ready_ms for one in parts)
    return sum(one.price for one in parts) + price_delay(slowest_ms)


class FindCheapestTest(unittest.TestCase):
    """Compares the set that is found with all possible sets."""

    @hypothesis.given(
        rows=strategies.lists(
            strategies.tuples(NUMBERS, NUMBERS), min_size=1, max_size=7
        ),
        count=strategies.integers(1, 5),
    )
    def test_no_set_is_cheaper(self, rows, count):
        parts = [part(price, ready_ms) for price, ready_ms in rows]
        found = spread.find_cheapest(
            parts, count=count, price_delay=price_delay
        )
        if len(parts) < count:
            self.assertIsNone(found)
            return
        least = min(map(price_of, itertools.combinations(parts, count)))
        self.assertAlmostEqual(least, price_of(found.parts))
        self.assertEqual(
            max(one.ready_ms for one in found.parts), found.ready_ms
        )

    @hypothesis.given(
        rows=strategies.lists(
            strategies.tuples(NUMBERS, NUMBERS, strategies.booleans()),
            min_size=1,
            max_size=7,
        ),
        count=strategies.integers(1, 5),
    )
    def test_one_part_has_the_memory(self, rows, count):
        parts = [
            part(price, ready_ms, has_memory)
            for price, ready_ms, has_memory in rows
        ]
        eligible = [one for one in parts if one.free_tokens]
        found = spread.find_cheapest_including(
            eligible, parts, count=count, price_delay=price_delay
        )
        if not eligible or len(parts) < count:
            self.assertIsNone(found)
            return
        self.assertEqual(count, len(found.parts))
        self.assertEqual(count, len({id(one) for one in found.parts}))
        self.assertTrue(any(one.free_tokens for one in found.parts))
        self.assertAlmostEqual(price_of(found.parts), found.price)


if __name__ == '__main__':
    unittest.main()
