"""Tests of durable long requests at an entry."""

import json
import types
import unittest

from twisted.internet import defer
from twisted.internet import task

from shallothinge import clock
from shallothinge import errors
from shallothinge.entry import chat_start
from shallothinge.entry import jobs
from shallothinge.entry.tests import fakes
from shallothinge.errors import ErrorKind
from shallothinge.jobs import messages
from shallothinge.settings import model
from shallothinge.streams import messages as streams

BODY = json.dumps(
    {
        'model': 'small',
        'messages': [{'role': 'user', 'content': 'review the portfolio'}],
    }
).encode()


class Control:
    """Keeps the questions, for a test to answer."""

    def __init__(self):
        self.asked = []

    def send_request(self, message, *, timeout_ms):
        """Keep a question."""
        self.asked.append((message, defer.Deferred()))
        return self.asked[-1][1]

    def take(self, message_type):
        """Return the only open question, which must be of a type."""
        ((message, answered),) = self.asked
        self.asked = []
        assert isinstance(message, message_type), message
        return message, answered


class JobServiceTest(unittest.TestCase):
    """Claims, runs and ends of jobs."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.control = Control()
        self.started = []
        services = chat_start.ChatServices(
            reactor=task.Clock(),
            clock=self.clock,
            holder=types.SimpleNamespace(
                is_valid=lambda: True,
                config=types.SimpleNamespace(bundle=fakes.make_bundle()),
            ),
            chats=types.SimpleNamespace(
                is_stopping=False,
                submit=lambda job, sink: self.started.append((job, sink)),
            ),
            spending=types.SimpleNamespace(
                reserve=lambda then, **fields: then(None)
            ),
            admission=model.AdmissionSettings(),
        )
        self.jobs = jobs.JobService(
            services=services,
            wall_clock=self.clock,
            control=self.control,
            entry_id='e1',
            incarnation='1',
        )

    def _hand_over(self, *, workspace='repairs', body=BODY):
        self.jobs.claim_next()
        request, answered = self.control.take(messages.ClaimJob)
        answered.callback(
            messages.JobClaimed(
                request_id=request.request_id,
                job_id='j1',
                claim_index=5,
                workspace=workspace,
                body=body,
            )
        )

    def _finish(self):
        """Return the end of the job, beside the next claim."""
        ends = [
            message
            for message, _ in self.control.asked
            if isinstance(message, messages.FinishJob)
        ]
        self.assertEqual(1, len(ends))
        return ends[0]

    def test_a_whole_answer_is_stored(self):
        self._hand_over()
        job, sink = self.started[0]
        self.assertEqual('batch', job.request_class.value)
        sink.tokens(('all ', 'good'))
        sink.complete(
            streams.StreamFinished(
                request_id=job.request_id,
                attempt=1,
                offset=2,
                finish_reason='stop',
                prompt_tokens=5,
                cached_tokens=0,
                generated_tokens=2,
                load=fakes.LOAD,
            )
        )
        end = self._finish()
        self.assertEqual(('j1', 5), (end.job_id, end.claim_index))
        self.assertIn(b'all good', end.answer.body)

    def test_a_failed_run_is_given_back_and_the_entry_waits(self):
        self._hand_over()
        self.control.take(messages.ClaimJob)[1].callback(
            messages.JobClaimed(request_id='none')
        )
        self.started[0][1].failed(
            errors.ServingError(kind=ErrorKind.OVERLOADED)
        )
        end, stored = self.control.take(messages.FinishJob)
        self.assertEqual(ErrorKind.OVERLOADED, end.kind)
        self.assertTrue(self.jobs.is_busy)
        stored.callback(messages.JobFinished(request_id=end.request_id))
        self.assertFalse(self.jobs.is_busy)
        self.jobs.claim_next()
        self.assertEqual([], self.control.asked)
        self.clock.advance(duration_ms=2000)
        self.jobs.claim_next()
        self.control.take(messages.ClaimJob)

    def test_a_job_that_may_not_run_ends(self):
        rows = (
            ({'workspace': 'other'}, ErrorKind.FORBIDDEN),
            ({'body': b'{}'}, ErrorKind.BAD_REQUEST),
        )
        for fields, kind in rows:
            with self.subTest(kind=kind):
                self.setUp()
                self._hand_over(**fields)
                self.assertEqual(kind, self._finish().kind)
                self.assertEqual([], self.started)

    def test_a_claim_without_answer_is_asked_again(self):
        self.jobs.claim_next()
        first, answered = self.control.take(messages.ClaimJob)
        answered.errback(errors.ServingError(kind=ErrorKind.NO_LEASE))
        again, _ = self.control.take(messages.ClaimJob)
        self.assertEqual(first, again)
