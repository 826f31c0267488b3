"""Tests of reading the platform's configuration."""

import json
import unittest
import zlib

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


ODD_FLAGS = (None, [], {}, '', 0, 1, 'false', 'no', [0])
ODD_LISTS = (None, {}, '', 0, False, True, 'no')


def paths_of(value, path=()):
    """Return the paths of all fields and entries below a value."""
    if isinstance(value, dict):
        inner = value.items()
    elif isinstance(value, list):
        inner = enumerate(value)
    else:
        return []
    found = []
    for key, one in inner:
        found += [(*path, key), *paths_of(one, (*path, key))]
    return found


def change(path, value, *, null=False):
    """Return the sample with the value at a path replaced or removed.

    :param null: whether None is sent as a value; otherwise it removes.
    """
    fields = samples.configuration()
    at = fields
    for key in path[:-1]:
        at = at[key]
    if value is None and not null:
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

    def test_only_absent_tenants_mean_that_no_keys_are_needed(self):
        # An empty list was read like an absent one, so that any key passed.
        for name, tenants, needs_keys in (
            ('absent', None, False),
            ('empty', [], True),
            ('without keys', [{'name': 'w', 'api-keys': []}], True),
        ):
            with self.subTest(name):
                table = routes.read(change(('tenants',), tenants))
                self.assertEqual(needs_keys, table.needs_keys)
                self.assertEqual(name == 'empty', table.is_closed)

    def test_fields_of_another_type_are_refused(self):
        # JSON text and numbers are true or false to Python, and texts are
        # lists of their letters.
        rows = (
            (('tenants',), ODD_LISTS),
            (('tenants', 0, 'api-keys'), (*ODD_LISTS, 'abc')),
            (('routes', 0, 'allow-anonymous'), ODD_FLAGS),
            (('routes', 0, 'resume-streams'), ODD_FLAGS),
            (('routes',), ODD_LISTS),
            (('services',), ODD_LISTS),
            (('routes', 0, 'traffic-split'), (*ODD_LISTS, [])),
            (('services', 0, 'engine'), (*ODD_LISTS, [])),
        )
        for path, values in rows:
            for value in values:
                with self.subTest(path=path, value=value):
                    with self.assertRaises(routes.InvalidConfiguration):
                        routes.read(change(path, value, null=True))

    def test_odd_values_open_no_route(self):
        for path in paths_of(samples.configuration()):
            for value in (None, [], {}, '', 0, False, 'no', [0], '0', True):
                fields = json.loads(change(path, value, null=True))
                with self.subTest(path=path, value=value):
                    try:
                        table = routes.read(json.dumps(fields).encode())
                    except routes.InvalidConfiguration:
                        continue
                    self.assertTrue(table.needs_keys)
                    for read, sent in zip(
                        table.routes, fields['routes'], strict=True
                    ):
                        is_open = sent.get('allow-anonymous') is True
                        self.assertIs(is_open, read.is_anonymous)
                    for read, sent in zip(
                        table.workspaces, fields['tenants'], strict=True
                    ):
                        self.assertEqual(list(read.api_keys), sent['api-keys'])

    def test_closed_configuration_is_read_back_as_it_was_sent(self):
        content = change(('tenants',), [])
        document = routes.pack(content, is_closed=True)
        self.assertEqual(content, routes.unpack(document))
        self.assertTrue(routes.read_document(document).is_closed)

    def test_gateway_of_a_former_release_refuses_a_closed_configuration(self):
        # It would let any key pass, if it could read the document.
        document = routes.pack(change(('tenants',), []), is_closed=True)
        with self.assertRaises(zlib.error):
            zlib.decompress(document)

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
