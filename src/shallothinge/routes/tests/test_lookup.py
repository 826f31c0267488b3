"""Tests of the look-up of routes, services and workspaces."""

import random
import unittest

from shallothinge.routes import lookup
from shallothinge.routes import messages
from shallothinge.routes import model
from shallothinge.routes import state


def make_route(name, *, host='a.example', prefix='/x/', split=()):
    return model.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=model.RequestKind.SAFE,
        timeout_ms=1000,
        split=split or (model.Split(service='s', weight=1),),
    )


class RouteIndexTest(unittest.TestCase):
    """The longest matching prefix on a host is chosen."""

    def setUp(self):
        self.index = lookup.RouteIndex(
            table=model.RouteTable(
                version=1,
                routes=(
                    make_route('short', prefix='/x/'),
                    make_route('long', prefix='/x/y/'),
                    make_route('root', host='b.example', prefix='/'),
                ),
                workspaces=(model.Workspace(name='w', api_keys=('k1', 'k2')),),
            )
        )

    def test_routes_by_host_and_path(self):
        cases = (
            ('a.example', '/x/1', 'short'),
            ('A.Example', '/x/1', 'short'),
            ('a.example:8080', '/x/1?q=/x/y/', 'short'),
            ('a.example', '/x/y/1', 'long'),
            ('a.example', '/x/y', 'short'),
            ('a.example', '/x', None),
            ('a.example', '/z/1', None),
            ('b.example', '/anything', 'root'),
            ('c.example', '/x/1', None),
            ('', '/x/1', None),
        )
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                found = self.index.find_route(host=host, path=path)
                self.assertEqual(expected, found and found.name)

    def test_workspace_by_any_of_its_keys(self):
        self.assertEqual('w', self.index.find_workspace('k2').name)
        self.assertIsNone(self.index.find_workspace(''))

    def test_services_are_drawn_by_weight(self):
        route = make_route(
            'split',
            split=(
                model.Split(service='a', weight=90),
                model.Split(service='b', weight=0),
                model.Split(service='c', weight=10),
            ),
        )
        rng = random.Random(1)
        drawn = [
            lookup.choose_service(route=route, rng=rng) for _ in range(500)
        ]
        self.assertNotIn('b', drawn)
        self.assertGreater(drawn.count('a'), drawn.count('c'))
        self.assertGreater(drawn.count('c'), 0)


class RouteStoreTest(unittest.TestCase):
    """Only a higher version replaces the stored table."""

    def test_only_higher_versions_replace(self):
        store = state.RouteStore()
        for version, document, changes in (
            (4, b'four', True),
            (4, b'other', False),
            (3, b'three', False),
            (9, b'nine', True),
        ):
            order = messages.StoreRoutes(
                request_id='r', version=version, document=document
            )
            self.assertEqual(changes, store.store(order))
        self.assertEqual((9, b'nine'), (store.version, store.document))
