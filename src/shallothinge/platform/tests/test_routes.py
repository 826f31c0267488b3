"""Tests of reading the platform's configuration."""

import json
import unittest

from shallothinge.http1 import messages
from shallothinge.platform import routes
from shallothinge.platform.tests import samples
from shallothinge.routes import model

NUMBERS = (
    *(
        ('routes', 0, name)
        for name in (
            'timeout-ms',
            'target-latency-ms',
            'target-gap-ms',
            'priority',
            'attempts',
        )
    ),
    ('routes', 0, 'traffic-split', 0, 'weight'),
    ('services', 0, 'cold-per-s'),
    *(('services', 0, 'engine', name) for name in samples.ENGINE),
    ('limits', 'header-bytes'),
    ('limits', 'idle-timeout-ms'),
    ('tenants', 0, 'priority'),
)


def change(path, value):
    """Return the sample with the value at a path replaced or removed."""
    fields = samples.configuration()
    at = fields
    for key in path[:-1]:
        at = at[key]
    if value is None:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return json.dumps(fields).encode()


class ReadTest(unittest.TestCase):
    """A configuration becomes a route table, or is refused."""

    def test_names_and_units_are_translated(self):
        content = json.dumps(samples.CONFIGURATION).encode()
        table = routes.read_document(routes.pack(content))
        first, second = table.routes
        self.assertEqual(7, table.version)
        self.assertIs(model.RequestKind.STREAMING, first.kind)
        self.assertTrue(first.is_resumable and first.is_repeatable)
        self.assertEqual((300, 250), (first.objective_ms, 250))
        self.assertEqual([90, 10], [one.weight for one in first.split])
        self.assertFalse(second.is_repeatable)
        self.assertEqual(1, second.attempts)
        self.assertEqual(1500, second.objective_ms)
        engine = table.services[0].engine
        self.assertEqual(154.0, engine.read_tokens_per_ms)
        self.assertEqual(('k1', 'k2'), table.workspaces[0].api_keys)
        self.assertEqual(1000, table.limits.body_bytes)

    def test_reading_time_grows_with_the_pairs_of_tokens(self):
        content = json.dumps(samples.CONFIGURATION).encode()
        engine = routes.read(content).services[0].engine
        self.assertAlmostEqual(34.5, engine.read_ms(5_000), delta=0.5)
        self.assertAlmostEqual(456, engine.read_ms(45_000), delta=1)
        self.assertAlmostEqual(3865, engine.read_ms(182_000), delta=1)

    def test_what_contradicts_itself_is_refused(self):
        split = [{'service': 'llm', 'weight': 0}]
        cases = (
            ('cut short', json.dumps(samples.CONFIGURATION).encode()[:-20]),
            ('not an object', b'[]'),
            ('no version', change(('version',), None)),
            ('version as text', change(('version',), '7')),
            ('no routes', change(('routes',), None)),
            ('unknown service', change(('routes', 1, 'service'), 'other')),
            ('same place', change(('routes', 1, 'path-prefix'), '/lohu930/')),
            ('no weight', change(('routes', 0, 'traffic-split'), split)),
            ('no timeout', change(('routes', 0, 'timeout-ms'), 0)),
            ('unknown kind', change(('routes', 0, 'kind'), 'other')),
            ('shared key', change(('tenants', 1, 'api-keys'), ['k1'])),
        )
        for name, content in cases:
            with self.subTest(name):
                with self.assertRaises(routes.InvalidConfiguration):
                    routes.read(content)

    def test_numbers_that_requests_could_not_be_served_with_are_refused(self):
        for path in NUMBERS:
            for value in ('1', [], True, float('nan'), float('inf'), 10**400):
                with self.subTest(path=path, value=value):
                    with self.assertRaises(routes.InvalidConfiguration):
                        routes.read(change(path, value))
        with self.assertRaises(routes.InvalidConfiguration):
            routes.read(change(('services', 0, 'engine', 'read_per_s'), 0))

    def test_optional_number_that_is_null_has_its_default(self):
        fields = samples.configuration()
        fields['routes'][0].update({'attempts': None, 'priority': None})
        fields['services'][0]['cold-per-s'] = None
        fields['limits']['body-bytes'] = None
        table = routes.read(json.dumps(fields).encode())
        self.assertEqual(
            (1, 1), (table.routes[0].attempts, table.routes[0].priority)
        )
        self.assertEqual(0.0, table.services[0].cold_requests_per_s)
        self.assertEqual(messages.Limits().body_bytes, table.limits.body_bytes)

    def test_document_that_is_damaged_is_refused(self):
        for document in (b'', b'{}', routes.pack(b'{}')[:-3]):
            with self.subTest(document=document):
                with self.assertRaises(routes.InvalidConfiguration):
                    routes.read_document(document)
