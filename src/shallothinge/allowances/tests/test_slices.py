"""Tests of allowances: the sum of all slices stays within them."""

import unittest

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge.allowances import messages
from shallothinge.allowances import slices
from shallothinge.leases.messages import Holder

ALLOWANCE_TOKENS = 100
MONTHS = ('2026-01', '2026-02', '2026-03')
TOKENS = strategies.integers(1, 60)


@attrs.define(kw_only=True)
class Entry:
    """What one entry holds, has asked for and has not reported yet."""

    holder: Holder
    available: int = 0
    unreported: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    lapses: int = 0
    answered: set = attrs.field(factory=set)


class LapseTest(unittest.TestCase):
    """Slices of an entry whose lease lapsed unnoticed."""

    def _ask(self, allowances, *, tokens, lapses):
        return allowances.grant(
            request=messages.SliceRequested(
                request_id=f'{tokens}-{lapses}',
                entry_id='e1',
                entry_incarnation='1',
                workspace='w',
                tokens=tokens,
                lapses=lapses,
            ),
            allowance_tokens=ALLOWANCE_TOKENS,
        ).tokens

    def test_void_slices_return_when_the_entry_asks_again(self):
        allowances = slices.Allowances()
        self.assertEqual(90, self._ask(allowances, tokens=90, lapses=0))
        self.assertEqual(80, self._ask(allowances, tokens=80, lapses=1))
        self.assertEqual(0, self._ask(allowances, tokens=5, lapses=0))
        self.assertEqual(80, allowances.by_workspace['w'].held_tokens)

    def test_tokens_can_be_handed_back(self):
        allowances = slices.Allowances()
        self._ask(allowances, tokens=90, lapses=0)
        self.assertEqual(-90, self._ask(allowances, tokens=-95, lapses=0))
        self.assertEqual(0, allowances.by_workspace['w'].held_tokens)


class AllowanceMachine(stateful.RuleBasedStateMachine):
    """Entries ask, spend, report, lapse; messages are lost or repeated.

    ``lost_tokens`` were spent by entries whose lease ended before they
    reported it; by so much an allowance may be exceeded.
    """

    def __init__(self):
        super().__init__()
        self.allowances = slices.Allowances()
        self.month = 0
        self.allowances.begin_month(month=MONTHS[0])
        self.entries = [
            Entry(holder=Holder(holder_id=f'e{number}', incarnation='1'))
            for number in range(3)
        ]
        self.spent_tokens = 0
        self.lost_tokens = 0
        self.requests = 0

    numbers = strategies.integers(0, 2)

    @stateful.rule(number=numbers, tokens=TOKENS)
    def ask(self, number, tokens):
        """An entry decides to ask; nothing arrives yet."""
        entry = self.entries[number]
        self.requests += 1
        entry.requests.append(
            messages.SliceRequested(
                request_id=f'r{self.requests}',
                entry_id=entry.holder.holder_id,
                entry_incarnation=entry.holder.incarnation,
                workspace='w',
                tokens=tokens,
                lapses=entry.lapses,
            )
        )

    @stateful.rule(
        number=numbers, data=strategies.data(), lost=strategies.booleans()
    )
    def deliver_request(self, number, data, lost):
        """A request arrives, perhaps again; its answer may be lost."""
        entry = self.entries[number]
        if not entry.requests:
            return
        request = data.draw(strategies.sampled_from(entry.requests))
        answer = self.allowances.grant(
            request=request, allowance_tokens=ALLOWANCE_TOKENS
        )
        if request.lapses != entry.lapses or lost:
            return
        if request.request_id not in entry.answered:
            entry.answered.add(request.request_id)
            entry.available += answer.tokens

    @stateful.rule(number=numbers, tokens=TOKENS)
    def spend(self, number, tokens):
        """An entry lets requests spend what it holds."""
        entry = self.entries[number]
        tokens = min(tokens, entry.available)
        if not tokens:
            return
        entry.available -= tokens
        self.spent_tokens += tokens
        entry.unreported.append(
            messages.UsageRecord(
                workspace='w',
                model='m@1',
                day=f'{MONTHS[self.month]}-05',
                requests=1,
                prompt_tokens=tokens,
                cached_tokens=0,
                generated_tokens=0,
            )
        )

    @stateful.rule(number=numbers)
    def report(self, number):
        """An entry's usage is stored; the ledger counts it once."""
        entry = self.entries[number]
        self.allowances.settle(
            holder=entry.holder, records=tuple(entry.unreported)
        )
        entry.unreported = []

    @stateful.rule(number=numbers, noticed=strategies.booleans())
    def lapse(self, number, noticed):
        """An entry's lease runs out; it drops its slices, then control.

        Control may not notice a short lapse; requests from before it may
        arrive later.
        """
        entry = self.entries[number]
        self.lost_tokens += sum(
            slices.charged_tokens(record) for record in entry.unreported
        )
        entry.available = 0
        entry.unreported = []
        entry.lapses += 1
        if noticed:
            self.allowances.end_holders(holders=(entry.holder,))

    @stateful.precondition(lambda self: self.month + 1 < len(MONTHS))
    @stateful.rule()
    def begin_month(self):
        """A month begins, with all usage of the old one reported."""
        for number in range(len(self.entries)):
            self.report(number)
        self.month += 1
        self.spent_tokens = 0
        self.lost_tokens = 0
        self.allowances.begin_month(month=MONTHS[self.month])

    @stateful.invariant()
    def allowance_is_not_exceeded(self):
        """Counting what is spent and what entries may still spend."""
        available = sum(entry.available for entry in self.entries)
        bound = ALLOWANCE_TOKENS + self.lost_tokens
        assert self.spent_tokens + available <= bound


AllowanceMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30
)
AllowanceStateTest = AllowanceMachine.TestCase
