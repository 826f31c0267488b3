"""Tests of the order of waiting long prompts."""

import unittest

from shallothinge import clock
from shallothinge.placement import waiting


class WaitingPromptsTest(unittest.TestCase):
    """Prompts that wait at one gateway."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.waiting = waiting.WaitingPrompts(clock=self.clock)

    def join(self, *, due_ms, min_first_event_ms=500.0, service='llm'):
        return self.waiting.join(
            waiting.WaitingPrompt(
                service=service,
                due_ms=due_ms,
                min_first_event_ms=min_first_event_ms,
            )
        )

    def order(self, *waiting_ids):
        """Return the ids in the order in which the prompts are placed."""
        found = []
        left = set(waiting_ids)
        while left:
            [first] = [one for one in left if self.waiting.is_first(one)]
            self.waiting.leave(first)
            left.discard(first)
            found.append(first)
        return found

    def test_soonest_due_comes_first(self):
        late, soon = self.join(due_ms=3000), self.join(due_ms=1500)
        self.assertEqual([soon, late], self.order(late, soon))

    def test_equal_ones_keep_the_order_of_their_arrival(self):
        ids = [self.join(due_ms=3000) for _ in range(3)]
        self.assertEqual(ids, self.order(*reversed(ids)))

    def test_one_that_is_late_in_any_case_lets_the_others_go_first(self):
        overdue = self.join(due_ms=1000, min_first_event_ms=900.0)
        in_time = self.join(due_ms=3000)
        self.assertTrue(self.waiting.is_first(overdue))
        self.clock.advance(duration_ms=200)
        self.assertEqual([in_time, overdue], self.order(overdue, in_time))

    def test_prompts_of_other_services_do_not_wait_for_each_other(self):
        one = self.join(due_ms=1000)
        other = self.join(due_ms=2000, service='other')
        self.assertTrue(self.waiting.is_first(one))
        self.assertTrue(self.waiting.is_first(other))

    def test_prompt_that_was_given_up_holds_up_nobody(self):
        first, second = self.join(due_ms=1000), self.join(due_ms=2000)
        self.assertFalse(self.waiting.is_first(second))
        self.waiting.leave(first)
        self.waiting.leave(first)
        self.assertTrue(self.waiting.is_first(second))
        self.assertEqual(1, self.waiting.count)
