"""Tests of parsing callers' requests and of what a workspace may use."""

import hashlib
import json
import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge import errors
from shallothinge.admission import classes
from shallothinge.bundles import model
from shallothinge.entry import requests
from shallothinge.entry import workspaces
from shallothinge.errors import ErrorKind
from shallothinge.settings.model import AdmissionSettings

TURN = {'role': 'user', 'content': 'hello'}
SOUND = {'model': 'small', 'messages': [TURN]}


def parse(**changes):
    """Parse a sound request with some fields changed."""
    return requests.parse_chat(json.dumps({**SOUND, **changes}).encode())


class ParseTest(unittest.TestCase):
    """Chat completions as callers send them."""

    def test_single_message_reaches_the_engine_unchanged(self):
        self.assertEqual('hello', parse().prompt)

    def test_conversation_names_its_roles(self):
        turns = [{'role': 'system', 'content': 'be brief'}, TURN]
        prompt = parse(messages=turns).prompt
        self.assertEqual('system: be brief\nuser: hello\nassistant:', prompt)

    def test_parts_of_text_are_joined(self):
        parts = [{'type': 'text', 'text': 'he'}, {'text': 'llo'}]
        turn = {'role': 'user', 'content': parts}
        self.assertEqual('hello', parse(messages=[turn]).prompt)

    def test_malformed_fields_are_named(self):
        table = (
            ('model', {'model': 3}),
            ('messages', {'messages': []}),
            ('messages', {'messages': 'hello'}),
            (r'messages\[0\]', {'messages': ['hello']}),
            (r'messages\[0\].role', {'messages': [{'content': 'x'}]}),
            (r'messages\[0\].content', {'messages': [{'role': 'user'}]}),
            ('max_tokens', {'max_tokens': 0}),
            ('max_tokens', {'max_tokens': True}),
            ('max_tokens', {'max_tokens': 10**9}),
            ('stream', {'stream': 'yes'}),
            ('adapter', {'adapter': 1}),
            ('surrogate', {'messages': [{**TURN, 'content': '\ud800'}]}),
        )
        for name, changes in table:
            with self.subTest(changes):
                with self.assertRaisesRegex(errors.ServingError, name):
                    parse(**changes)

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(body=st.binary(max_size=60))
    def test_any_bytes_are_parsed_or_refused_as_bad_request(self, body):
        try:
            requests.parse_chat(body)
        except errors.ServingError as error:
            self.assertEqual(ErrorKind.BAD_REQUEST, error.kind)

    def test_deeply_nested_body_is_refused(self):
        with self.assertRaises(errors.ServingError):
            requests.parse_chat(b'[' * 1_000_000)


class TermsTest(unittest.TestCase):
    """Deadline and class headers."""

    def _parse(self, deadline, request_class):
        return requests.parse_terms(
            deadline=deadline,
            request_class=request_class,
            settings=AdmissionSettings(
                default_deadline_ms=7, max_deadline_ms=100
            ),
        )

    def test_defaults(self):
        terms = self._parse('', '')
        self.assertEqual(7, terms.deadline_ms)
        self.assertEqual(classes.RequestClass.STANDARD, terms.request_class)

    def test_values_that_are_not_allowed(self):
        table = (('0', ''), ('101', ''), ('-1', ''), ('x', ''), ('', 'now'))
        for deadline, request_class in table:
            with self.subTest(deadline=deadline, request_class=request_class):
                with self.assertRaises(errors.ServingError):
                    self._parse(deadline, request_class)


def key_hash(key):
    """Return the hash that a bundle holds."""
    return hashlib.sha256(key.encode()).hexdigest()


WORKSPACE = model.WorkspaceSpec(
    name='w1',
    key_hashes=(key_hash('one'), key_hash('two')),
    models=('small', 'large@2'),
    services=('jobs',),
    adapters=('bonds',),
)
BUNDLE = model.Bundle(
    version=1,
    replaces_version=0,
    models=(
        model.ModelSpec(name='small', version='1', adapters=('bonds', 'b2')),
        model.ModelSpec(name='large', version='1'),
        model.ModelSpec(name='large', version='2'),
        model.ModelSpec(name='other', version='1'),
    ),
    services=(
        model.ServiceSpec(name='jobs', repeatable=True),
        model.ServiceSpec(name='bonds', repeatable=False),
    ),
    workspaces=(WORKSPACE,),
)


class WorkspaceTest(unittest.TestCase):
    """Keys, models, adapters and services."""

    def test_keys(self):
        table = (
            ('Bearer one', True),
            ('bearer two', True),
            ('Bearer three', False),
            ('one', False),
            ('Bearer ', False),
            ('', False),
        )
        for authorization, known in table:
            with self.subTest(authorization):
                try:
                    found = workspaces.authenticate(
                        authorization=authorization, bundle=BUNDLE
                    )
                except errors.ServingError as error:
                    self.assertFalse(known)
                    self.assertEqual(ErrorKind.UNAUTHENTICATED, error.kind)
                else:
                    self.assertTrue(known)
                    self.assertEqual('w1', found.name)

    def test_without_a_bundle_nobody_is_refused_for_the_key(self):
        with self.assertRaises(errors.ServingError) as caught:
            workspaces.authenticate(authorization='Bearer one', bundle=None)
        self.assertEqual(ErrorKind.NO_LEASE, caught.exception.kind)

    def test_models_and_adapters(self):
        table = (
            ('small', '', '1'),
            ('small@1', 'bonds', '1'),
            ('small', 'b2', ErrorKind.FORBIDDEN),
            ('small', 'none', ErrorKind.NOT_FOUND),
            ('large', '', '2'),
            ('large@1', '', ErrorKind.FORBIDDEN),
            ('other', '', ErrorKind.FORBIDDEN),
            ('unknown', '', ErrorKind.NOT_FOUND),
        )
        for name, adapter, expected in table:
            with self.subTest(name=name, adapter=adapter):
                try:
                    spec = workspaces.allowed_model(
                        name=name,
                        adapter=adapter,
                        workspace=WORKSPACE,
                        bundle=BUNDLE,
                    )
                except errors.ServingError as error:
                    self.assertEqual(expected, error.kind)
                else:
                    self.assertEqual(expected, spec.version)

    def test_services(self):
        table = (
            ('jobs', None),
            ('bonds', ErrorKind.FORBIDDEN),
            ('none', ErrorKind.NOT_FOUND),
        )
        for name, kind in table:
            with self.subTest(name):
                found = None
                try:
                    workspaces.allowed_service(
                        name=name, workspace=WORKSPACE, bundle=BUNDLE
                    )
                except errors.ServingError as error:
                    found = error.kind
                self.assertEqual(kind, found)
