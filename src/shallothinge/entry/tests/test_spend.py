"""Tests that no tokens stay held for an entry that never heard of them."""

import unittest

from twisted.internet import defer

from shallothinge import clock
from shallothinge import errors
from shallothinge.allowances import slices
from shallothinge.bundles import model
from shallothinge.entry import spend
from shallothinge.errors import ErrorKind

ALLOWANCE_TOKENS = 10_000_000


class Control:
    """Hands over slices; its answers can be lost, or wait."""

    def __init__(self):
        self.state = slices.Allowances()
        self.request_ids = []
        self.loses_answers = False
        self.waiting = None

    def send_request(self, request, *, timeout_ms):
        """Carry out a request; fail if its answer is lost."""
        self.request_ids.append(request.request_id)
        answer = self.state.grant(
            request=request, allowance_tokens=ALLOWANCE_TOKENS
        )
        answered = defer.Deferred()
        if self.waiting is not None:
            self.waiting.append((answered, answer))
        elif self.loses_answers:
            answered.errback(errors.ServingError(kind=ErrorKind.NO_LEASE))
        else:
            answered.callback(answer)
        return answered


class LostAnswerTest(unittest.TestCase):
    """Control handed over a slice and the entry did not hear of it."""

    def setUp(self):
        self.lapses = 0
        self.control = Control()
        self.verdicts = {}
        self.spending = spend.Spending(
            clock=clock.ManualClock(),
            wall_clock=clock.ManualClock(),
            control=self.control,
            entry_id='e1',
            incarnation='1',
            read_lapses=lambda: self.lapses,
        )

    def reserve(self, name='w'):
        self.spending.reserve(
            request_id=f'r-{name}',
            workspace=model.WorkspaceSpec(
                name=name,
                key_hashes=(),
                models=(),
                allowance_tokens_per_month=ALLOWANCE_TOKENS,
            ),
            tokens=100,
            then=lambda verdict: self.verdicts.update({name: verdict}),
        )

    def assert_all_held_is_known(self):
        """Compare what control counts as held with what the entry has."""
        held = {
            name: spending.held_tokens
            for name, spending in self.control.state.by_workspace.items()
        }
        known = {
            name: account['available_tokens']
            + sum(account['reserved'].values())
            for name, account in self.spending.describe().items()
        }
        self.assertEqual(held, known)

    def test_next_request_does_not_leave_a_second_slice_held(self):
        self.control.loses_answers = True
        self.reserve()
        self.reserve()
        self.assertEqual(ErrorKind.NO_LEASE, self.verdicts['w'])
        self.control.loses_answers = False
        self.reserve()
        self.assertIsNone(self.verdicts['w'])
        self.assertEqual(1, len(set(self.control.request_ids)))
        self.assert_all_held_is_known()

    def test_slice_is_not_left_held_when_no_further_request_comes(self):
        self.control.loses_answers = True
        self.reserve()
        self.control.loses_answers = False
        self.spending.ask_again()
        self.assert_all_held_is_known()

    def test_answered_question_is_not_asked_again(self):
        self.reserve()
        self.spending.ask_again()
        self.assertEqual(1, len(self.control.request_ids))

    def test_question_under_way_is_not_asked_twice(self):
        self.control.waiting = []
        self.reserve()
        self.spending.ask_again()
        self.reserve()
        self.assertEqual(1, len(self.control.request_ids))

    def test_void_question_is_not_repeated_after_a_lapse(self):
        self.control.loses_answers = True
        self.reserve()
        self.lapses = 1
        self.control.loses_answers = False
        self.spending.ask_again()
        self.assertEqual(1, len(self.control.request_ids))
        self.reserve()
        self.assertEqual(2, len(set(self.control.request_ids)))
        self.assert_all_held_is_known()

    def test_late_answer_from_before_a_lapse_ends_no_newer_question(self):
        self.control.waiting = []
        self.reserve()
        self.lapses = 1
        [(answered, answer)] = self.control.waiting
        self.control.waiting = None
        self.control.loses_answers = True
        answered.callback(answer)
        self.control.loses_answers = False
        self.spending.ask_again()
        self.assertEqual(2, len(set(self.control.request_ids)))
        self.assert_all_held_is_known()

    def test_more_workspaces_than_control_remembers_answers_for(self):
        names = [f'w{number}' for number in range(40)]
        self.control.loses_answers = True
        for name in names:
            self.reserve(name)
        self.assertEqual({ErrorKind.NO_LEASE}, set(self.verdicts.values()))
        self.control.loses_answers = False
        self.spending.ask_again()
        for name in names:
            self.reserve(name)
        self.assertEqual({None}, set(self.verdicts.values()))
        self.assert_all_held_is_known()

    def test_requests_of_many_workspaces_wait_for_their_turn(self):
        names = [f'w{number}' for number in range(40)]
        self.control.waiting = []
        for name in names:
            self.reserve(name)
        self.assertEqual({}, self.verdicts)
        while self.control.waiting:
            answered, answer = self.control.waiting.pop(0)
            answered.callback(answer)
        self.assertEqual(dict.fromkeys(names), self.verdicts)
        self.assert_all_held_is_known()

    def test_requests_that_wait_for_their_turn_are_refused_in_time(self):
        names = [f'w{number}' for number in range(40)]
        self.control.waiting = []
        for name in names:
            self.reserve(name)
        for answered, _ in list(self.control.waiting):
            answered.errback(errors.ServingError(kind=ErrorKind.NO_LEASE))
        self.assertEqual(set(names), set(self.verdicts))
        self.assertEqual({ErrorKind.NO_LEASE}, set(self.verdicts.values()))
