"""Tests of bundles under racing operators who resend their orders."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge.bundles import messages
from shallothinge.bundles import state
from shallothinge.bundles import text
from shallothinge.bundles.tests import samples
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages as orders

OPERATORS = strategies.sampled_from(('amina', 'baraka'))
VERSIONS = strategies.integers(1, 4)


class BundleMachine(stateful.RuleBasedStateMachine):
    """Operators submit, sign off and roll in any order, also again."""

    hashes = stateful.Bundle('hashes')

    def __init__(self):
        super().__init__()
        self.store = state.BundleStore()
        self.submitters = {}
        self.signers = {}
        self.version = 0
        self.orders = 0

    def _order_id(self):
        self.orders += 1
        return f'o{self.orders}'

    @stateful.rule(
        target=hashes,
        operator=OPERATORS,
        version=VERSIONS,
        replaces=strategies.integers(0, 3),
        variant=strategies.integers(0, 1),
    )
    def submit(self, operator, version, replaces, variant):
        """Submit a bundle; equal versions differ by their variant."""
        version = max(version, replaces + 1)
        content = samples.bundle_text(
            version=version, replaces=replaces, allowance_tokens=variant
        )
        content_hash = f'{version}-{replaces}-{variant}'
        answer = self.store.accept(
            command=messages.AcceptBundle(
                order_id=self._order_id(),
                fingerprint='',
                operator=operator,
                content=content,
                content_hash=content_hash,
                bundle=text.parse_bundle(content),
            ),
            now_ms=0,
        )
        if answer.kind is None:
            self.submitters.setdefault(content_hash, operator)
        return content_hash

    @stateful.rule(content_hash=hashes, operator=OPERATORS)
    def sign_off(self, content_hash, operator):
        """Sign a bundle off, perhaps one's own."""
        answer = self.store.sign_off(
            order=orders.SignOffBundle(
                order_id=self._order_id(),
                operator=operator,
                content_hash=content_hash,
                signature=b'',
            ),
            now_ms=0,
        )
        if answer.kind is None:
            self.signers.setdefault(content_hash, operator)
            assert operator != self.submitters[content_hash]

    @stateful.rule(content_hash=hashes, operator=OPERATORS)
    def roll(self, content_hash, operator):
        """Roll a bundle, perhaps again after others were rolled."""
        before = self.store.in_force
        answer = self.store.roll(
            order=orders.RollBundle(
                order_id=self._order_id(),
                operator=operator,
                content_hash=content_hash,
            ),
            now_ms=0,
            index=self.orders,
        )
        after = self.store.in_force
        if answer.kind is None:
            assert after.content_hash == content_hash
            assert after.replaces_version == self.version
            assert after.version > self.version
            assert content_hash in self.signers
            self.version = after.version
        else:
            assert after == before
            if answer.kind is ErrorKind.VERSION_CONFLICT and before:
                assert before.describe() in answer.detail

    @stateful.invariant()
    def the_bundle_in_force_is_kept_whole(self):
        """Whatever is retired around it."""
        if self.version:
            assert self.store.in_force.bundle.version == self.version


BundleMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30
)
BundleStateTest = BundleMachine.TestCase
