"""Tests of an entry's slices of allowances and of its usage batches."""

import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge import clock
from shallothinge.allowances import book
from shallothinge.allowances import messages
from shallothinge.allowances import usage

WORKSPACE = 'w1'


def grant(tokens, *, unlimited=False):
    """Return control's answer."""
    return messages.SliceGranted(
        request_id='q', workspace=WORKSPACE, tokens=tokens, unlimited=unlimited
    )


class BookTest(unittest.TestCase):
    """One workspace's slices."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.book = book.AllowanceBook(clock=self.clock)

    def _reserve(self, tokens, request_id='r1'):
        return self.book.reserve(
            request_id=request_id, workspace=WORKSPACE, tokens=tokens
        )

    def _wanted(self):
        return self.book.wanted(workspace=WORKSPACE)

    def test_first_request_waits_for_a_slice(self):
        self.assertEqual(book.Verdict.WAIT_FOR_SLICE, self._reserve(1000))
        self.assertEqual(book.SLICE_TOKENS, self._wanted())
        self.assertEqual(0, self._wanted(), 'asked twice at once')
        self.book.granted(grant(book.SLICE_TOKENS))
        self.assertEqual(book.Verdict.RESERVED, self._reserve(1000))

    def test_large_request_asks_for_what_it_lacks(self):
        self._reserve(3 * book.SLICE_TOKENS)
        self.assertEqual(3 * book.SLICE_TOKENS, self._wanted())

    def test_next_slice_is_asked_for_ahead_of_need(self):
        self._reserve(1)
        self._wanted()
        self.book.granted(grant(book.SLICE_TOKENS))
        self.assertEqual(0, self._wanted())
        self._reserve(book.SLICE_TOKENS * 6 // 10)
        self.assertGreater(self._wanted(), 0)

    def test_used_up_allowance_refuses_for_a_while(self):
        self._reserve(1)
        self._wanted()
        self.book.granted(grant(0))
        self.assertEqual(book.Verdict.EXHAUSTED, self._reserve(1))
        self.assertEqual(0, self._wanted())
        self.clock.advance(duration_ms=book.EXHAUSTED_MS)
        self.assertEqual(book.Verdict.WAIT_FOR_SLICE, self._reserve(1))
        self.assertGreater(self._wanted(), 0)

    def test_unlimited_workspace_never_waits_again(self):
        self._reserve(1)
        self._wanted()
        self.book.granted(grant(0, unlimited=True))
        self.assertEqual(book.Verdict.RESERVED, self._reserve(10**9))

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(('reserve', 'settle', 'slice')),
                st.integers(1, 50_000),
            ),
            max_size=60,
        )
    )
    def test_reservations_and_spending_never_exceed_the_slices(self, steps):
        self.setUp()
        granted = spent = 0
        open_requests = {}
        for number, (step, tokens) in enumerate(steps):
            if step == 'reserve':
                verdict = self._reserve(tokens, f'r{number}')
                if verdict is book.Verdict.RESERVED:
                    open_requests[f'r{number}'] = tokens
            elif step == 'settle' and open_requests:
                request_id, reserved = open_requests.popitem()
                used = min(tokens, reserved)
                spent += used
                self.book.settle(
                    request_id=request_id, workspace=WORKSPACE, tokens=used
                )
            elif step == 'slice':
                granted += tokens
                self.book.granted(grant(tokens))
            held = sum(open_requests.values())
            self.assertLessEqual(spent + held, granted)


class UsageTest(unittest.TestCase):
    """Usage that is reported until it is stored."""

    def setUp(self):
        self.book = usage.UsageBook(entry_id='e1', entry_incarnation='i1')

    def _add(self, prompt_tokens):
        self.book.add(
            key=usage.UsageKey(
                workspace=WORKSPACE, model='small', day='2026-12-03'
            ),
            prompt_tokens=prompt_tokens,
            cached_tokens=0,
            generated_tokens=1,
        )

    def test_batch_is_the_same_until_it_is_stored(self):
        self._add(10)
        first = self.book.next_batch()
        self._add(5)
        self.assertEqual(first, self.book.next_batch())
        self.book.stored(sequence=first.sequence)
        second = self.book.next_batch()
        self.assertEqual(first.sequence + 1, second.sequence)
        self.assertEqual(5, second.records[0].prompt_tokens)

    def test_usage_of_one_key_is_summed(self):
        self._add(10)
        self._add(5)
        record = self.book.next_batch().records[0]
        self.assertEqual(
            (2, 15, 2),
            (record.requests, record.prompt_tokens, record.generated_tokens),
        )

    def test_late_confirmation_of_an_older_batch_changes_nothing(self):
        self._add(10)
        batch = self.book.next_batch()
        self.book.stored(sequence=batch.sequence - 1)
        self.assertFalse(self.book.is_empty)
