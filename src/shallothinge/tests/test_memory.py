"""Tests of the division of a process's memory."""

import unittest

from shallothinge import memory

MEGABYTE = memory.MEGABYTE


class DivideTest(unittest.TestCase):
    """The shares fit into what is left beside the process itself."""

    def test_copies_of_all_shares_fit_into_the_limit(self):
        # Bytes are copied when they are complete, so twice the shares.
        for limit_mb in (128, 200, 232, 300, 1024):
            with self.subTest(limit_mb=limit_mb):
                budget = memory.divide(limit_mb)
                held = budget.answers.limit_bytes + budget.requests.limit_bytes
                self.assertEqual(limit_mb * MEGABYTE, budget.limit_bytes)
                self.assertLessEqual(
                    2 * held + memory.OWN_BYTES, budget.limit_bytes
                )
                # The longest body of a request that callers may send.
                self.assertGreater(budget.requests.limit_bytes, 4 * MEGABYTE)

    def test_limit_that_is_not_stated_is_that_of_a_small_host(self):
        self.assertEqual(
            memory.DEFAULT_LIMIT_MB * MEGABYTE, memory.divide().limit_bytes
        )

    def test_limit_below_the_needs_of_the_process_is_divided_too(self):
        budget = memory.divide(40)
        self.assertGreater(budget.answers.limit_bytes, 0)
        self.assertLess(budget.answers.limit_bytes, 10 * MEGABYTE)


class ShareTest(unittest.TestCase):
    """Bytes by holder."""

    def setUp(self):
        self.share = memory.Share(name='answers', limit_bytes=100)

    def test_longest_holder_is_named_when_the_share_is_exceeded(self):
        for holder, count_bytes in (('a', 30), ('b', 40), ('a', 30)):
            self.assertIsNone(self.share.add(holder, count_bytes))
        self.assertEqual(0, self.share.free_bytes)
        with self.assertLogs('shallothinge.memory') as logs:
            self.assertEqual('a', self.share.add('b', 1))
        (line,) = logs.records
        self.assertEqual(
            ('answers', 100, 101, 2, 60),
            (
                line.share,
                line.limit_bytes,
                line.held_bytes,
                line.holder_count,
                line.longest_bytes,
            ),
        )
        self.assertEqual(1, self.share.exceeded_count)

    def test_dropped_bytes_are_free_again(self):
        self.share.add('a', 60)
        for _ in range(2):
            self.share.drop('a')
            self.assertEqual(100, self.share.free_bytes)


class CheckTest(unittest.TestCase):
    """Resident memory beside the limit."""

    def test_new_work_is_refused_while_much_is_held_near_the_limit(self):
        # resident part of the limit, held part of the shares, is short
        rows = (
            (0.5, 0.9, False),
            (0.9, 0.0, False),
            (0.9, 0.9, True),
            (None, 0.9, False),
        )
        for resident_part, held_part, is_short in rows:
            with self.subTest(resident=resident_part, held=held_part):
                budget = memory.divide(200)
                held = budget.answers.limit_bytes + budget.requests.limit_bytes
                budget.answers.held_bytes = int(held_part * held)
                resident_bytes = None
                if resident_part is not None:
                    resident_bytes = int(resident_part * budget.limit_bytes)
                budget.check(read=lambda found=resident_bytes: found)
                self.assertEqual(is_short, budget.is_short)

    def test_both_changes_are_logged(self):
        budget = memory.divide(200)
        budget.answers.held_bytes = budget.answers.limit_bytes
        with self.assertLogs('shallothinge.memory') as logs:
            budget.check(read=lambda: budget.limit_bytes)
            budget.check(read=lambda: budget.limit_bytes)
            budget.check(read=lambda: 1)
        self.assertEqual(2, len(logs.records))
        self.assertFalse(budget.is_short)

    def test_resident_memory_of_this_process_is_known(self):
        self.assertGreater(memory.read_resident_bytes(), MEGABYTE)
        self.assertGreaterEqual(
            memory.read_peak_bytes(), memory.read_resident_bytes() // 2
        )
