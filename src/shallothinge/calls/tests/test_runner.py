"""Tests that a call runs at most once when any step fails."""

import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge import errors
from shallothinge.calls import messages
from shallothinge.calls import runner
from shallothinge.errors import ErrorKind

ANSWER = messages.StoredAnswer(status=200, content_type='', body=b'done')


class FakeControl:
    """Fake control that keeps one claim per key with its outcome."""

    def __init__(self):
        self.claims = {}
        self.index = 0

    def claim(self, claim_id, key):
        """Grant the first claim of a key; refuse the others by its outcome."""
        held = self.claims.get(key)
        if held is None or held['resolution'] == 'not_run':
            self.index += 1
            held = {'id': claim_id, 'index': self.index, 'resolution': None}
            self.claims[key] = held
        if held['id'] == claim_id:
            return messages.ClaimGranted(
                claim_id=claim_id, claim_index=held['index']
            )
        answer = held['resolution']
        if isinstance(answer, messages.StoredAnswer):
            return messages.ClaimRefused(
                claim_id=claim_id, kind=ErrorKind.KEY_REUSED, answer=answer
            )
        return messages.ClaimRefused(
            claim_id=claim_id, kind=ErrorKind.OUTCOME_UNKNOWN
        )

    def resolve(self, key, action):
        """Record an outcome."""
        held = self.claims[key]
        if action.answer is not None:
            held['resolution'] = action.answer
        elif action.not_run:
            held['resolution'] = 'not_run'
        else:
            held['resolution'] = 'unknown'


class EntryDriver:
    """Drives one call through faults that Hypothesis draws."""

    def __init__(self, *, name, control, service, draw):
        self.name = name
        self.control = control
        self.service = service
        self.draw = draw
        self.runner = runner.CallRunner(repeatable=False)
        self.todo = []
        self.final = []
        self.executed_before = service['runs']

    def start(self):
        """Start the call."""
        self.todo.extend(self.runner.start())

    def step(self):
        """Perform one action or deliver one event."""
        event = self.draw(
            st.sampled_from(('act', 'act', 'act', 'deadline', 'left'))
        )
        if event == 'deadline':
            self.todo.extend(self.runner.deadline_passed())
        elif event == 'left':
            self.runner.caller_left()
        elif self.todo:
            self._perform(self.todo.pop(0))

    def _perform(self, action):
        if isinstance(action, runner.Claim):
            answer = self.control.claim(self.name, 'key')
            self.todo.extend(self.runner.claim_answered(answer))
        elif isinstance(action, runner.Send):
            self._send(action)
        elif isinstance(action, runner.Resolve):
            self.control.resolve('key', action)
            self.todo.extend(self.runner.resolved())
        else:
            self.final.append(action)

    def _send(self, action):
        outcome = self.draw(
            st.sampled_from(
                ('ran', 'ran_lost', 'lost', 'refused', 'not_sent', 'late')
            )
        )
        if outcome in ('ran', 'ran_lost', 'late'):
            self.service['runs'] += 1
        if outcome == 'ran':
            steps = self.runner.succeeded(
                attempt=action.attempt, answer=ANSWER
            )
        elif outcome in ('ran_lost', 'lost'):
            steps = self.runner.broke(attempt=action.attempt)
        elif outcome == 'refused':
            steps = self.runner.refused(
                attempt=action.attempt, kind=ErrorKind.STOPPING
            )
        elif outcome == 'not_sent':
            steps = self.runner.not_sent(ErrorKind.NO_BACKEND_SERVER)
        else:
            steps = self.runner.deadline_passed()
            steps += self.runner.succeeded(
                attempt=action.attempt, answer=ANSWER
            )
        self.todo.extend(steps)


class AtMostOnceTest(unittest.TestCase):
    """Several entries that share a key and may crash at any step."""

    @hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
    @hypothesis.given(data=st.data())
    def test_one_execution_and_true_refusals(self, data):
        control = FakeControl()
        service = {'runs': 0}
        entries = []
        for number in range(3):
            entry = EntryDriver(
                name=f'c{number}',
                control=control,
                service=service,
                draw=data.draw,
            )
            entry.start()
            entries.append(entry)
        alive = list(entries)
        for _ in range(data.draw(st.integers(0, 40))):
            if not alive:
                break
            entry = data.draw(st.sampled_from(alive))
            if data.draw(st.integers(0, 19)) == 0:
                alive.remove(entry)
                continue
            entry.step()
            self.assertLessEqual(service['runs'], 1)
        for entry in entries:
            self.assertLessEqual(len(entry.final), 1)
            self._check_reported_outcome(entry, service)

    def _check_reported_outcome(self, entry, service):
        for action in entry.final:
            if isinstance(action, runner.Answer):
                self.assertEqual(1, service['runs'])
                continue
            state = errors.ANSWERS[action.kind].work_state
            if state is errors.WorkState.NOT_RUN:
                held = entry.control.claims.get('key')
                own = held is not None and held['id'] == entry.name
                self.assertFalse(
                    own and held['resolution'] not in (None, 'not_run')
                )
                if own:
                    self.assertEqual(0, service['runs'])


class StepTest(unittest.TestCase):
    """Single sequences of events."""

    def _sent(self, **settings):
        call = runner.CallRunner(repeatable=False, **settings)
        self.assertEqual([runner.Claim()], call.start())
        granted = messages.ClaimGranted(claim_id='c', claim_index=7)
        self.assertEqual(
            [runner.Send(attempt=1, claim_index=7)],
            call.claim_answered(granted),
        )
        return call

    def test_answer_is_recorded_before_it_is_given(self):
        call = self._sent()
        steps = call.succeeded(attempt=1, answer=ANSWER)
        self.assertEqual([runner.Resolve(claim_index=7, answer=ANSWER)], steps)
        self.assertEqual([runner.Answer(answer=ANSWER)], call.resolved())

    def test_broken_call_is_not_sent_again(self):
        call = self._sent()
        steps = call.broke(attempt=1)
        self.assertEqual(
            [
                runner.Resolve(claim_index=7),
                runner.Fail(kind=ErrorKind.OUTCOME_UNKNOWN),
            ],
            steps,
        )
        self.assertEqual([], call.refused(attempt=1, kind=ErrorKind.STOPPING))

    def test_refused_call_is_sent_again_under_the_same_claim(self):
        call = self._sent()
        steps = call.refused(attempt=1, kind=ErrorKind.STOPPING)
        self.assertEqual([runner.Send(attempt=2, claim_index=7)], steps)

    def test_claim_granted_after_the_deadline_is_resolved_as_not_run(self):
        call = runner.CallRunner(repeatable=False)
        call.start()
        self.assertEqual(
            [runner.Fail(kind=ErrorKind.EXPIRED_NOT_RUN)],
            call.deadline_passed(),
        )
        granted = messages.ClaimGranted(claim_id='c', claim_index=7)
        self.assertEqual(
            [runner.Resolve(claim_index=7, not_run=True)],
            call.claim_answered(granted),
        )

    def test_repeatable_call_is_repeated_within_the_budget(self):
        for allowed in (True, False):
            with self.subTest(allowed=allowed):
                call = runner.CallRunner(
                    repeatable=True, may_retry=lambda: allowed
                )
                call.start()
                steps = call.broke(attempt=1)
                expected = [runner.Fail(kind=ErrorKind.BACKEND_FAILED)]
                if allowed:
                    expected = [runner.Send(attempt=2, claim_index=0)]
                self.assertEqual(expected, steps)

    def test_call_that_may_have_run_is_not_reported_as_not_run(self):
        call = runner.CallRunner(repeatable=True)
        call.start()
        call.broke(attempt=1)
        steps = call.not_sent(ErrorKind.NO_BACKEND_SERVER)
        self.assertEqual([runner.Fail(kind=ErrorKind.BACKEND_FAILED)], steps)
