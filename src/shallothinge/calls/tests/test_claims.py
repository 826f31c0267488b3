"""Tests of claims: a call runs under at most one grant of its key."""

import unittest

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge.calls import claims
from shallothinge.calls import messages
from shallothinge.errors import ErrorKind
from shallothinge.leases.messages import Holder

ANSWER = messages.StoredAnswer(status=200, content_type='t', body=b'done')
ENTRIES = (
    Holder(holder_id='e1', incarnation='1'),
    Holder(holder_id='e2', incarnation='1'),
)


def claim_call(claim_id, *, holder=ENTRIES[0], body_hash='b'):
    """Return a claim of the only key that these tests use."""
    return messages.ClaimCall(
        claim_id=claim_id,
        workspace='w',
        service='s',
        idempotency_key='k',
        body_hash=body_hash,
        entry_id=holder.holder_id,
        entry_incarnation=holder.incarnation,
    )


class ClaimsTest(unittest.TestCase):
    """Answers to claims after each kind of outcome."""

    def setUp(self):
        self.claims = claims.Claims()
        self.index = 0

    def _claim(self, claim_id, **fields):
        self.index += 1
        return self.claims.claim(
            request=claim_call(claim_id, **fields),
            index=self.index,
            now_ms=self.index,
        )

    def _resolve(self, claim_id, claim_index, **fields):
        self.index += 1
        self.claims.resolve(
            request=messages.ResolveClaim(
                claim_id=claim_id, claim_index=claim_index, **fields
            ),
            now_ms=self.index,
        )

    def test_second_claim_after_each_outcome(self):
        rows = (
            ('running', {}, None, ErrorKind.CALL_IN_PROGRESS),
            ('unknown', {}, {}, ErrorKind.OUTCOME_UNKNOWN),
            ('not run', {}, {'not_run': True}, None),
            ('body', {'body_hash': 'x'}, None, ErrorKind.KEY_REUSED),
            ('body', {'body_hash': 'x'}, {}, ErrorKind.KEY_REUSED),
            (
                'body',
                {'body_hash': 'x'},
                {'answer': ANSWER},
                ErrorKind.KEY_REUSED,
            ),
        )
        for name, fields, outcome, kind in rows:
            with self.subTest(name=name, outcome=outcome):
                self.claims = claims.Claims()
                granted = self._claim('c1')
                if outcome is not None:
                    self._resolve('c1', granted.claim_index, **outcome)
                answer = self._claim('c2', **fields)
                self.assertEqual(kind, getattr(answer, 'kind', None))

    def test_answer_is_replayed(self):
        granted = self._claim('c1')
        self._resolve('c1', granted.claim_index, answer=ANSWER)
        self.assertEqual(ANSWER, self._claim('c2').answer)
        self._resolve('c1', granted.claim_index, not_run=True)
        self.assertEqual(ANSWER, self._claim('c3').answer)

    def test_late_outcome_of_an_old_claim_is_ignored(self):
        first = self._claim('c1')
        self._resolve('c1', first.claim_index, not_run=True)
        self._claim('c2')
        self._resolve('c1', first.claim_index, not_run=True)
        answer = self._claim('c3')
        self.assertEqual(ErrorKind.CALL_IN_PROGRESS, answer.kind)

    def test_claim_that_was_freed_is_not_granted_when_resent(self):
        first = self._claim('c1')
        self._resolve('c1', first.claim_index, not_run=True)
        self.assertEqual(ErrorKind.STALE_FENCE, self._claim('c1').kind)
        self._claim('c2')
        self.assertEqual(ErrorKind.STALE_FENCE, self._claim('c1').kind)

    def test_not_run_does_not_follow_a_reported_unknown(self):
        granted = self._claim('c1')
        self._resolve('c1', granted.claim_index)
        self._resolve('c1', granted.claim_index, not_run=True)
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, self._claim('c2').kind)

    def test_claim_given_up_before_it_arrives_is_not_granted(self):
        self._resolve('c1', 0, not_run=True)
        self.assertEqual(ErrorKind.STALE_FENCE, self._claim('c1').kind)
        self.assertIsInstance(self._claim('c2'), messages.ClaimGranted)

    def test_operator_resolves_an_unknown_outcome(self):
        for answer in (None, ANSWER):
            with self.subTest(answer=answer):
                self.claims = claims.Claims()
                granted = self._claim('c1')
                order = messages.ResolveUnknownCall(
                    order_id='o',
                    operator='amina',
                    workspace='w',
                    service='s',
                    idempotency_key='k',
                    answer=answer,
                )
                early = self.claims.resolve_by_operator(order=order, now_ms=1)
                self.assertEqual(ErrorKind.NOT_FOUND, early.kind)
                self._resolve('c1', granted.claim_index)
                self.claims.resolve_by_operator(order=order, now_ms=1)
                again = self._claim('c2')
                self.assertEqual(answer, getattr(again, 'answer', None))

    def test_pruning_keeps_what_is_not_known(self):
        granted = self._claim('c1')
        self.claims.prune(before_ms=1000)
        self._resolve('c1', granted.claim_index)
        self.claims.prune(before_ms=1000)
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, self._claim('c2').kind)
        self._resolve('c1', granted.claim_index, answer=ANSWER)
        self.assertTrue(self.claims.has_idle_since(before_ms=1000))
        self.claims.prune(before_ms=1000)
        self.assertEqual(claims.Claims(), self.claims)


@attrs.define(kw_only=True)
class Attempt:
    """The state that an entry keeps for a claim that it made.

    ``lapses`` is the number of the entry's lease expiries at the time of
    the claim. ``closed`` is set once the entry ran or withdrew the call.
    """

    request: messages.ClaimCall
    holder: Holder
    lapses: int
    grants: list = attrs.field(factory=list)
    closed: bool = False
    outcomes: list = attrs.field(factory=list)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Two entries that share a key; messages are lost, resent, reordered.

    An entry runs a call once for each claim that it was granted, unless
    its lease expired after the claim. The call must run at most once
    whatever is resent, and a key must not be marked free after its call
    ran.
    """

    def __init__(self):
        super().__init__()
        self.claims = claims.Claims()
        self.index = 0
        self.attempts = []
        self.lapses = dict.fromkeys(ENTRIES, 0)
        self.runs = 0

    def _next_index(self):
        self.index += 1
        return self.index

    @stateful.rule(holder=strategies.sampled_from(ENTRIES))
    def start(self, holder):
        """An entry creates a claim; nothing is delivered yet."""
        claim_id = f'c{len(self.attempts)}'
        self.attempts.append(
            Attempt(
                request=claim_call(claim_id, holder=holder),
                holder=holder,
                lapses=self.lapses[holder],
            )
        )

    def _attempt(self, data):
        return data.draw(strategies.sampled_from(self.attempts))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=strategies.data(), lost=strategies.booleans())
    def deliver_claim(self, data, lost):
        """A claim is delivered, possibly again; its answer may be lost."""
        attempt = self._attempt(data)
        answer = self.claims.claim(
            request=attempt.request, index=self._next_index(), now_ms=0
        )
        if isinstance(answer, messages.ClaimGranted) and not lost:
            attempt.grants.append(answer)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        data=strategies.data(),
        end=strategies.sampled_from(('answer', 'unknown', 'crash')),
    )
    def run_call(self, data, end):
        """An entry runs a granted call if its lease has not expired."""
        attempt = self._attempt(data)
        lapsed = self.lapses[attempt.holder] != attempt.lapses
        if attempt.closed or lapsed or not attempt.grants:
            return
        attempt.closed = True
        self.runs += 1
        if end != 'crash':
            attempt.outcomes.append(
                messages.ResolveClaim(
                    claim_id=attempt.request.claim_id,
                    claim_index=attempt.grants[-1].claim_index,
                    answer=ANSWER if end == 'answer' else None,
                )
            )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=strategies.data())
    def give_up(self, data):
        """An entry withdraws a claim before it has run the call."""
        attempt = self._attempt(data)
        if attempt.closed:
            return
        attempt.closed = True
        index = attempt.grants[-1].claim_index if attempt.grants else 0
        attempt.outcomes.append(
            messages.ResolveClaim(
                claim_id=attempt.request.claim_id,
                claim_index=index,
                not_run=True,
            )
        )

    @stateful.precondition(
        lambda self: any(attempt.outcomes for attempt in self.attempts)
    )
    @stateful.rule(data=strategies.data())
    def deliver_outcome(self, data):
        """An outcome is delivered, possibly late or more than once."""
        outcomes = [
            outcome
            for attempt in self.attempts
            for outcome in attempt.outcomes
        ]
        self.claims.resolve(
            request=data.draw(strategies.sampled_from(outcomes)), now_ms=0
        )

    @stateful.rule(holder=strategies.sampled_from(ENTRIES))
    def end_lease(self, holder):
        """Control learns that an entry's lease has expired."""
        self.lapses[holder] += 1
        self.claims.end_holders(holders=(holder,), now_ms=0)

    @stateful.precondition(lambda self: self.runs == 0)
    @stateful.rule()
    def free_by_operator(self):
        """An operator reports that the call did not run."""
        self.claims.resolve_by_operator(
            order=messages.ResolveUnknownCall(
                order_id='o',
                operator='amina',
                workspace='w',
                service='s',
                idempotency_key='k',
            ),
            now_ms=0,
        )

    @stateful.invariant()
    def the_call_ran_at_most_once(self):
        """The call runs at most once, however often it was claimed."""
        assert self.runs <= 1

    @stateful.invariant()
    def a_call_that_ran_does_not_free_its_key(self):
        """The key is not free before or after the outcome is delivered."""
        for record in self.claims.by_key.values():
            if self.runs:
                assert record.status is not claims.ClaimStatus.FREE


ClaimsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=25
)
ClaimsStateTest = ClaimsMachine.TestCase
