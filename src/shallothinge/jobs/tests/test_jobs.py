"""Tests of durable long requests at control."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge.calls.messages import StoredAnswer
from shallothinge.errors import ErrorKind
from shallothinge.jobs import messages
from shallothinge.jobs import state
from shallothinge.leases.messages import Holder

ENTRIES = ('e1', 'e2')


def answer_of(claim):
    """Return the answer that a claim's run gives."""
    body = f'{claim.job_id}:{claim.claim_index}'.encode()
    return StoredAnswer(status=200, content_type='t', body=body)


class JobsTest(unittest.TestCase):
    """Refusals, retention and what one workspace sees."""

    def setUp(self):
        self.jobs = state.Jobs()
        self.index = 0

    def submit(self, job_id, *, body=b'x', workspace='w'):
        """Submit a job."""
        self.index += 1
        return self.jobs.submit(
            request=messages.SubmitJob(
                request_id=job_id, workspace=workspace, body=body
            ),
            index=self.index,
            now_ms=self.index,
        )

    def claim(self, entry_id='e1'):
        """Claim the oldest job."""
        self.index += 1
        return self.jobs.claim(
            request=messages.ClaimJob(
                request_id=f'c{self.index}',
                entry_id=entry_id,
                entry_incarnation='1',
            ),
            index=self.index,
            now_ms=self.index,
        )

    def run_one(self, **end):
        """Claim the oldest job and end the claim."""
        claim = self.claim()
        self.finish(claim, **end)

    def finish(self, claim, **end):
        """End a claim."""
        self.index += 1
        self.jobs.finish(
            request=messages.FinishJob(
                request_id='f',
                job_id=claim.job_id,
                claim_index=claim.claim_index,
                **end,
            ),
            index=self.index,
            now_ms=self.index,
        )

    def fetch(self, job_id, *, workspace='w'):
        """Fetch a job."""
        return self.jobs.fetch(
            request=messages.FetchJob(
                request_id='r', job_id=job_id, workspace=workspace
            )
        )

    def test_submitted_again(self):
        rows = (
            (b'x', 'w', None),
            (b'y', 'w', ErrorKind.KEY_REUSED),
            (b'x', 'v', ErrorKind.KEY_REUSED),
        )
        self.submit('j1')
        for body, workspace, kind in rows:
            with self.subTest(body=body, workspace=workspace):
                answer = self.submit('j1', body=body, workspace=workspace)
                self.assertEqual(kind, getattr(answer, 'kind', None))
        self.assertEqual(1, len(self.jobs.queued))

    def test_store_is_bounded_and_freed(self):
        half = b'x' * (state.MAX_STORED_BYTES // 2)
        self.submit('j1', body=half)
        self.submit('j2', body=half)
        refused = self.submit('j3')
        self.assertEqual(ErrorKind.OVERLOADED, refused.kind)
        self.run_one(kind=ErrorKind.FORBIDDEN)
        self.assertIsInstance(self.submit('j3'), messages.JobAccepted)

    def test_a_job_is_shown_to_its_workspace_only(self):
        self.submit('j1')
        self.assertEqual('queued', self.fetch('j1').status)
        self.assertEqual('', self.fetch('j1', workspace='v').status)

    def test_end_of_a_replaced_claim_changes_nothing(self):
        self.submit('j1')
        first = self.claim('e1')
        self.jobs.end_holders(
            holders=(Holder(holder_id='e1', incarnation='1'),),
            index=self.index,
            now_ms=0,
        )
        second = self.claim('e2')
        self.finish(first, kind=ErrorKind.BACKEND_FAILED)
        self.assertEqual('running', self.fetch('j1').status)
        self.finish(second, answer=answer_of(second))
        self.assertEqual(answer_of(second), self.fetch('j1').answer)

    def test_failures_that_may_pass_are_tried_again(self):
        self.submit('j1')
        for _ in range(state.MAX_ATTEMPTS):
            self.assertEqual('queued', self.fetch('j1').status)
            self.run_one(kind=ErrorKind.OVERLOADED)
            self.run_one(kind=ErrorKind.BACKEND_FAILED)
        self.assertEqual(ErrorKind.BACKEND_FAILED, self.fetch('j1').kind)

    def test_ended_jobs_are_forgotten_and_waiting_ones_kept(self):
        self.submit('j1')
        self.submit('j2')
        self.run_one(
            answer=StoredAnswer(status=200, content_type='', body=b'')
        )
        self.assertTrue(self.jobs.has_idle_since(before_ms=1000))
        self.jobs.prune(before_ms=1000)
        self.assertEqual(['j2'], list(self.jobs.by_id))
        self.assertEqual(1, self.jobs.stored_bytes)


class JobsMachine(stateful.RuleBasedStateMachine):
    """Entries claim, answer, fail and lapse; messages repeat."""

    def __init__(self):
        super().__init__()
        self.jobs = state.Jobs()
        self.index = 0
        self.submitted = 0
        self.claims = []
        self.answers = {}

    def _next(self):
        self.index += 1
        return self.index

    @stateful.rule()
    def submit(self):
        """A job is submitted."""
        self.submitted += 1
        self.jobs.submit(
            request=messages.SubmitJob(
                request_id=f'j{self.submitted}', workspace='w', body=b'x'
            ),
            index=self._next(),
            now_ms=0,
        )

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES), times=strategies.integers(1, 2)
    )
    def claim(self, entry, times):
        """An entry claims a job, perhaps by a repeated message."""
        request = messages.ClaimJob(
            request_id=f'c{self.index}', entry_id=entry, entry_incarnation='1'
        )
        claims = {
            self.jobs.claim(request=request, index=self._next(), now_ms=0)
            for _ in range(times)
        }
        assert len(claims) == 1
        self.claims += [claim for claim in claims if claim.job_id]

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(
        number=strategies.integers(0, 5), failed=strategies.booleans()
    )
    def finish(self, number, failed):
        """The end of some claim arrives, perhaps late and again."""
        claim = self.claims[-1 - number % len(self.claims)]
        self.jobs.finish(
            request=messages.FinishJob(
                request_id='f',
                job_id=claim.job_id,
                claim_index=claim.claim_index,
                answer=None if failed else answer_of(claim),
                kind=ErrorKind.BACKEND_FAILED if failed else None,
            ),
            index=self._next(),
            now_ms=0,
        )

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def lapse(self, entry):
        """An entry's lease runs out."""
        self.jobs.end_holders(
            holders=(Holder(holder_id=entry, incarnation='1'),),
            index=self._next(),
            now_ms=0,
        )

    @stateful.invariant()
    def no_job_is_lost(self):
        """Each one waits, runs or has ended, and never has two places."""
        assert len(self.jobs.by_id) == self.submitted
        for job_id, record in self.jobs.by_id.items():
            is_queued = record.status is state.JobStatus.QUEUED
            is_running = record.status is state.JobStatus.RUNNING
            assert (job_id in self.jobs.queued) == is_queued
            assert (job_id in self.jobs.running) == is_running

    @stateful.invariant()
    def a_stored_answer_stays(self):
        """Whatever arrives later."""
        for job_id, record in self.jobs.by_id.items():
            if record.answer is not None:
                first = self.answers.setdefault(job_id, record.answer)
                assert record.answer == first


JobsMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30
)
JobsStateTest = JobsMachine.TestCase
