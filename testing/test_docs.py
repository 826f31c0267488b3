"""Tests that the pages agree with the code."""

import pathlib
import re
import unittest

from testing import doc_tables

ROOT = doc_tables.DOCS.parent
LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')
MODULE = re.compile(r'`((?:[a-z]+/)+[a-z_]*(?:\.py)?)`')


class DocsTest(unittest.TestCase):
    """Tables, links and names of files in the pages."""

    def pages(self):
        return [ROOT / 'README.md', *doc_tables.DOCS.rglob('*.md')]

    def test_tables_follow_from_the_code(self):
        for page, name, build in doc_tables.BLOCKS:
            with self.subTest(page=page, table=name):
                text = (doc_tables.DOCS / page).read_text(encoding='utf-8')
                wanted = doc_tables.replace_block(
                    text, name=name, content=build()
                )
                self.assertEqual(wanted, text)

    def test_links_lead_to_files(self):
        for page in self.pages():
            for target in LINK.findall(page.read_text(encoding='utf-8')):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_named_modules_exist(self):
        source = ROOT / 'src' / 'shallothinge'
        for name in ('ARCHITECTURE.md', 'DEVELOPERS.md'):
            text = (doc_tables.DOCS / name).read_text(encoding='utf-8')
            for target in MODULE.findall(text):
                with self.subTest(page=name, target=target):
                    places = (ROOT / target, source / target)
                    self.assertTrue(any(map(pathlib.Path.exists, places)))
