"""Tests of the complete state machine."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from shallothinge.allowances import messages as allowances
from shallothinge.bundles import messages as bundles
from shallothinge.bundles import text
from shallothinge.bundles.tests import samples
from shallothinge.calls import messages as calls
from shallothinge.control import commands
from shallothinge.control import state
from shallothinge.jobs import messages as jobs
from shallothinge.leases import messages as leases
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators

HOLDER = leases.Holder(holder_id='e1', incarnation='1')
ANSWER = calls.StoredAnswer(status=200, content_type='t', body=b'\x00\xff')


def accept(version, replaces):
    """Return the command that accepts a submitted bundle."""
    content = samples.bundle_text(
        version=version, replaces=replaces, allowance_tokens=100
    )
    return bundles.AcceptBundle(
        order_id=f'submit-{version}',
        fingerprint=f'f{version}',
        operator='amina',
        content=content,
        content_hash=f'h{version}',
        bundle=text.parse_bundle(content),
    )


def sign_off(version):
    """Return a sign-off."""
    return operators.SignOffBundle(
        order_id=f'sign-{version}',
        operator='baraka',
        content_hash=f'h{version}',
        signature=b'',
    )


def roll(version):
    """Return the order to roll a bundle."""
    return operators.RollBundle(
        order_id=f'roll-{version}',
        operator='amina',
        content_hash=f'h{version}',
    )


def claim(number):
    """Return a claim; odd and even numbers have different keys."""
    return calls.ClaimCall(
        claim_id=f'c{number}',
        workspace='underwriting',
        service='bond-registry',
        idempotency_key=f'k{number % 2}',
        body_hash='b',
        entry_id='e1',
        entry_incarnation='1',
    )


ORDERS = (
    accept(1, 0),
    sign_off(1),
    roll(1),
    accept(2, 1),
    sign_off(2),
    roll(2),
    accept(3, 1),
    sign_off(3),
    roll(3),
    operators.SetZone(order_id='z1', operator='amina', zone='a', out=True),
    operators.SetServer(
        order_id='s1', operator='amina', server_id='s1', out=True
    ),
)
COMMANDS = (
    *ORDERS,
    membership.FenceServer(server_id='s1', incarnation='1'),
    membership.FenceServer(server_id='s1', incarnation='2'),
    claim(1),
    claim(2),
    claim(3),
    calls.ResolveClaim(claim_id='c1', claim_index=0, answer=ANSWER),
    calls.ResolveClaim(claim_id='c2', claim_index=0, not_run=True),
    calls.ResolveClaim(claim_id='c3', claim_index=0),
    allowances.SliceRequested(
        request_id='r1',
        entry_id='e1',
        entry_incarnation='1',
        workspace='underwriting',
        tokens=60,
    ),
    allowances.UsageReported(
        entry_id='e1',
        entry_incarnation='1',
        sequence=1,
        records=(
            allowances.UsageRecord(
                workspace='underwriting',
                model='notes@3',
                day='1970-01-01',
                requests=1,
                prompt_tokens=10,
                cached_tokens=0,
                generated_tokens=5,
            ),
        ),
    ),
    jobs.SubmitJob(request_id='j1', workspace='w', body=b'x'),
    jobs.ClaimJob(request_id='q1', entry_id='e1', entry_incarnation='1'),
    jobs.FinishJob(request_id='q2', job_id='j1', claim_index=3, answer=ANSWER),
    leases.EndHolders(holders=(HOLDER,)),
    commands.Prune(before_ms=2000),
    commands.RefuseOrder(
        fingerprint='x',
        answer=operators.OrderAnswered(order_id='refused'),
    ),
)


class StateTest(unittest.TestCase):
    """Snapshots, and values that must never go back."""

    def setUp(self):
        self.codec = commands.build_codec()

    def _encode(self, command, now_ms):
        return self.codec.encode(
            commands.Stamped(now_ms=now_ms, command=self.codec.encode(command))
        )

    @settings(max_examples=100)
    @given(
        strategies.lists(
            strategies.sampled_from(COMMANDS), max_size=40, unique=False
        ),
        strategies.integers(0, 40),
    )
    def test_snapshot_equals_replay(self, sequence, cut):
        replayed = state.ControlState()
        restored = state.ControlState()
        for index, command in enumerate(sequence, start=1):
            data = self._encode(command, index * 100)
            answer = replayed.apply(index=index, command=data)
            self.assertEqual(answer, restored.apply(index=index, command=data))
            if index == cut:
                snapshot = restored.snapshot()
                restored = state.ControlState()
                restored.restore(snapshot)
        self.assertEqual(replayed.data, restored.data)
        self.assertEqual(replayed.snapshot(), restored.snapshot())

    @settings(max_examples=100)
    @given(strategies.lists(strategies.sampled_from(ORDERS), max_size=60))
    def test_configuration_never_reverts(self, sequence):
        machine = state.ControlState()
        state_version = 0
        bundle_version = 0
        for index, command in enumerate(sequence, start=1):
            machine.apply(index=index, command=self._encode(command, 100))
            config = machine.data.config
            bundle = config.bundle
            self.assertGreaterEqual(config.state_version, state_version)
            state_version = config.state_version
            if bundle is not None:
                self.assertGreaterEqual(bundle.version, bundle_version)
                bundle_version = bundle.version
            else:
                self.assertEqual(0, bundle_version)

    @settings(max_examples=100)
    @given(strategies.lists(strategies.sampled_from(ORDERS), max_size=60))
    def test_resent_orders_get_their_first_answer(self, sequence):
        machine = state.ControlState()
        first = {}
        for index, command in enumerate(sequence, start=1):
            answer = self.codec.decode(
                machine.apply(index=index, command=self._encode(command, 100))
            )
            if isinstance(answer, operators.OrderAnswered):
                known = first.setdefault(answer.order_id, answer)
                self.assertEqual(known, answer)

    def test_clock_that_steps_back_changes_no_time(self):
        machine = state.ControlState()
        late_ms = 40 * 24 * 3600 * 1000
        for index, now_ms in enumerate((late_ms, 0), start=1):
            machine.apply(
                index=index, command=self._encode(claim(index), now_ms)
            )
        self.assertEqual('1970-02', machine.data.allowances.month)
        self.assertEqual(late_ms, machine.data.now_ms)
