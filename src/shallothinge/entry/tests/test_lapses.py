"""Tests that an entry drops what a lapsed lease had covered."""

import types
import unittest

from twisted.internet import defer

from shallothinge import clock
from shallothinge.allowances import messages as allowances
from shallothinge.bundles import model
from shallothinge.calls import messages as calls
from shallothinge.entry import call_run
from shallothinge.entry import spend
from shallothinge.errors import ErrorKind

WORKSPACE = model.WorkspaceSpec(
    name='w', key_hashes=(), models=(), allowance_tokens_per_month=1000
)


class Control:
    """Keeps the questions, for a test to answer."""

    def __init__(self):
        self.asked = []

    def send_request(self, message, *, timeout_ms):
        """Keep a question."""
        self.asked.append((message, defer.Deferred()))
        return self.asked[-1][1]

    def grant(self, tokens):
        """Answer the newest request for a slice."""
        request, answered = self.asked[-1]
        answered.callback(
            allowances.SliceGranted(
                request_id=request.request_id,
                workspace=request.workspace,
                tokens=tokens,
            )
        )


class SpendingLapseTest(unittest.TestCase):
    """Slices are void after a lapse."""

    def setUp(self):
        self.lapses = 0
        self.control = Control()
        self.verdicts = []
        self.spending = spend.Spending(
            clock=clock.ManualClock(),
            wall_clock=clock.ManualClock(),
            control=self.control,
            entry_id='e1',
            incarnation='1',
            read_lapses=lambda: self.lapses,
        )

    def _reserve(self, request_id):
        self.spending.reserve(
            request_id=request_id,
            workspace=WORKSPACE,
            tokens=100,
            then=self.verdicts.append,
        )

    def test_slice_is_dropped_after_a_lapse(self):
        self._reserve('r1')
        self.control.grant(500_000)
        self.assertEqual([None], self.verdicts)
        self.lapses = 1
        self._reserve('r2')
        self.assertEqual([None], self.verdicts)
        self.assertEqual(1, self.control.asked[-1][0].lapses)

    def test_slice_asked_for_before_a_lapse_is_not_used(self):
        self._reserve('r1')
        self.lapses = 1
        self.control.grant(500_000)
        self.assertEqual([], self.verdicts)
        self.control.grant(500_000)
        self.assertEqual([None], self.verdicts)


class CallLapseTest(unittest.TestCase):
    """A claimed call is not sent after a lapse."""

    def _run(self, *, lapses, repeatable=False):
        """Claim a call, let the lease lapse, and return what was done."""
        holder = types.SimpleNamespace(
            lapses=0,
            is_valid=lambda: True,
            config=types.SimpleNamespace(state_version=1),
        )
        sent = []
        fleet = types.SimpleNamespace(
            candidates=lambda need: {'s1': None},
            begin=lambda **fields: None,
            end=lambda **fields: None,
            send=lambda server_id, message: not sent.append(message),
        )
        env = types.SimpleNamespace(
            clock=clock.ManualClock(),
            entry_id='e1',
            holder=holder,
            fleet=fleet,
            budget=types.SimpleNamespace(take=lambda: True),
            policy=types.SimpleNamespace(
                choose=lambda candidates, tokens: types.SimpleNamespace(
                    server_id='s1'
                )
            ),
        )
        control = Control()
        run = call_run.CallRun(
            job=call_run.CallJob(
                request_id='r1',
                workspace='w',
                service='booking',
                repeatable=repeatable,
                method='POST',
                path='/',
                body=b'',
                body_hash='b',
                idempotency_key='k',
                ends_ms=60_000,
            ),
            shared=call_run.CallEnvironment(
                env=env,
                control=control,
                incarnation='1',
                is_closing=lambda: False,
            ),
            sink=types.SimpleNamespace(failed=self.failures.append),
            on_done=lambda run: None,
        )
        run.start()
        holder.lapses = lapses
        if not repeatable:
            claim, answered = control.asked[0]
            answered.callback(
                calls.ClaimGranted(claim_id=claim.claim_id, claim_index=7)
            )
        return sent, control.asked

    def setUp(self):
        self.failures = []

    def test_claim_from_before_a_lapse_is_given_back(self):
        sent, asked = self._run(lapses=1)
        self.assertEqual([], sent)
        outcome, stored = asked[-1]
        self.assertTrue(outcome.not_run)
        stored.callback(calls.ClaimResolved(claim_id=outcome.claim_id))
        self.assertEqual(ErrorKind.NO_LEASE, self.failures[0].kind)

    def test_call_is_sent_under_an_unbroken_lease(self):
        for repeatable in (False, True):
            with self.subTest(repeatable=repeatable):
                sent, _ = self._run(lapses=0, repeatable=repeatable)
                self.assertEqual(1, len(sent))
