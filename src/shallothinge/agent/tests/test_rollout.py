"""Tests of the orders that a bundle asks for."""

import unittest

from shallothinge import clock
from shallothinge.agent import rollout
from shallothinge.bundles import model

LOAD = rollout.Order.LOAD_MODEL
ADAPTER = rollout.Order.LOAD_ADAPTER
UNLOAD = rollout.Order.UNLOAD_MODEL
NONE_IN_USE = frozenset()


def bundle_of(*specs) -> model.Bundle:
    """Return a bundle of models given as (name, version, fields)."""
    return model.Bundle(
        version=1,
        replaces_version=0,
        models=tuple(
            model.ModelSpec(name=name, version=version, **fields)
            for name, version, fields in specs
        ),
        services=(),
        workspaces=(),
    )


class RolloutTest(unittest.TestCase):
    """Orders to one engine in zone-a with small@1 loaded."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.rollout = rollout.Rollout(
            clock=self.clock, zone='zone-a', initial_models=('small@1',)
        )

    def next_step(self, bundle, in_use=NONE_IN_USE):
        """Return the next order under a bundle."""
        return self.rollout.next_step(bundle=bundle, in_use=in_use)

    def test_first_order(self):
        rows = (
            ('no bundle', None, None),
            ('loaded', bundle_of(('small', '1', {})), None),
            (
                'missing',
                bundle_of(('large', '1', {})),
                rollout.Step(order=LOAD, model='large@1'),
            ),
            (
                'other zone',
                bundle_of(('large', '1', {'zones': ('zone-b',)})),
                None,
            ),
            (
                'adapter',
                bundle_of(('small', '1', {'adapters': ('sw',)})),
                rollout.Step(order=ADAPTER, model='small@1', adapter='sw'),
            ),
        )
        for name, bundle, expected in rows:
            with self.subTest(name):
                self.assertEqual(expected, self.next_step(bundle))

    def test_retry_after_of_the_weight_store_is_honoured(self):
        bundle = bundle_of(('large', '1', {}))
        self.rollout.failed(retry_after_ms=7000)
        self.clock.advance(duration_ms=6999)
        self.assertIsNone(self.next_step(bundle))
        self.clock.advance(duration_ms=1)
        self.assertEqual(LOAD, self.next_step(bundle).order)

    def test_replaced_version_is_unloaded_late_and_when_unused(self):
        bundle = bundle_of(('small', '2', {}))
        self.rollout.succeeded(self.next_step(bundle))
        self.assertEqual(('small@1', 'small@2'), self.rollout.models)
        self.assertIsNone(self.next_step(bundle))
        self.clock.advance(duration_ms=rollout.UNLOAD_DELAY_MS)
        in_use = frozenset({'small@1'})
        self.assertIsNone(self.next_step(bundle, in_use))
        step = self.next_step(bundle)
        self.assertEqual(UNLOAD, step.order)
        self.rollout.succeeded(step)
        self.assertEqual(('small@2',), self.rollout.models)

    def test_restarted_engine_is_loaded_again(self):
        bundle = bundle_of(('large', '1', {}))
        step = self.next_step(bundle)
        self.rollout.succeeded(step)
        self.assertIsNone(self.next_step(bundle))
        self.rollout.reset()
        self.assertEqual(step, self.next_step(bundle))
