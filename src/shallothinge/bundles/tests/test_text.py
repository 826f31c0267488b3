"""Tests of reading a bundle's text."""

import importlib.resources
import unittest

from shallothinge.bundles import diff
from shallothinge.bundles import text
from shallothinge.bundles.tests import samples

# What is replaced in the sample, by what, and the fault that must be named:
# line, key, a part of what was found, a part of the fix.
FAULTS = (
    ('name = "notes"', 'nmae = "notes"', 6, 'models.nmae', 'not known', 'use'),
    ('name = "notes"', 'nmae = "notes"', 5, 'models.name', 'no such', 'add'),
    ('version = 1', 'version = 0', 1, 'version', '0', 'integer from 1'),
    ('version = 1', 'version = true', 1, 'version', 'True', 'integer'),
    ('version = 1', 'version = ', 1, '', 'Invalid', 'syntax'),
    ('replaces_version = 0', 'replaces_version = 1', 1, 'version', '1', ''),
    ('zones = ["a"]', 'zones = ["c"]', 9, 'models.zones', 'c', 'a, b'),
    ('["notes@3"]', '["notes@4"]', 18, 'workspaces.models', '@4', 'notes@3'),
    ('["notes@3"]', '"notes@3"', 18, 'workspaces.models', 'notes', 'a list'),
    ('["bond-registry"]', '["bonds"]', 19, 'workspaces.services', 'bonds', ''),
    ('= false', '= "no"', 13, 'services.repeatable', "'no'", 'true or false'),
    (
        'allowance_tokens_per_month = 0',
        'allowance_tokens_per_month = -5',
        20,
        'workspaces.allowance_tokens_per_month',
        '-5',
        'from 0',
    ),
    (samples.KEY_HASH, 'abc', 17, 'workspaces.key_hashes', 'abc', '64 hex'),
    (
        '[[services]]',
        '[[models]]\nname = "notes"\nversion = "3"\n[[services]]',
        12,
        'models.name',
        'stands twice',
        'rename',
    ),
    (
        '[[services]]',
        '[[workspaces]]\nname = "second"\nmodels = []\n'
        f'key_hashes = ["{samples.KEY_HASH}"]\n[[services]]',
        21,
        'workspaces.key_hashes',
        'of second',
        'of its own',
    ),
)


class ParseBundleTest(unittest.TestCase):
    """Faults are named with their line, and all at once."""

    def test_faults_name_line_key_and_fix(self):
        for old, new, line, key, found, fix in FAULTS:
            with self.subTest(new=new, key=key):
                content = samples.bundle_text().replace(old, new, 1)
                with self.assertRaises(ExceptionGroup) as raised:
                    text.parse_bundle(content)
                matching = [
                    fault
                    for fault in raised.exception.exceptions
                    if (fault.line, fault.key) == (line, key)
                ]
                self.assertTrue(matching, raised.exception.exceptions)
                self.assertIn(found, matching[0].found)
                self.assertIn(fix, matching[0].fix)

    def test_all_faults_are_reported_together(self):
        content = samples.bundle_text().replace('version = 1', 'version = 0')
        content = content.replace('= false', '= 7')
        with self.assertRaises(ExceptionGroup) as raised:
            text.parse_bundle(content)
        self.assertEqual(2, len(raised.exception.exceptions))

    def test_examples_are_valid(self):
        folder = importlib.resources.files('shallothinge.bundles.examples')
        names = [
            item.name
            for item in folder.iterdir()
            if item.name.endswith('.toml')
        ]
        self.assertEqual(2, len(names))
        for name in names:
            with self.subTest(name=name):
                content = (folder / name).read_text(encoding='utf-8')
                bundle = text.parse_bundle(content)
                self.assertEqual(10, len(bundle.workspaces))

    def test_diff_names_what_changed(self):
        before = text.parse_bundle(samples.bundle_text())
        after = text.parse_bundle(
            samples.bundle_text(version=2, replaces=1, allowance_tokens=9)
        )
        lines = [
            change.describe()
            for change in diff.find_changes(before=before, after=after)
        ]
        self.assertEqual(
            [
                '~ version: 1 -> 2',
                '~ workspace underwriting allowance_tokens_per_month: 0 -> 9',
            ],
            lines,
        )
        self.assertEqual((), diff.find_changes(before=after, after=after))
