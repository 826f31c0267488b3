"""Tests that processes of one release understand those of the last one.

While a deployment is restarted host by host, both speak to each other.
"""

import json
import unittest

import attrs
import msgpack

from shallothinge import protocol
from testing import versions


class VersionsTest(unittest.TestCase):
    """Messages with fields that one side does not have."""

    def setUp(self):
        self.codec = protocol.build_codec()

    def test_messages_of_former_releases_are_read(self):
        paths = sorted(versions.FOLDER.glob('*.json'))
        self.assertTrue(paths)
        for path in paths:
            encoded = json.loads(path.read_text(encoding='utf-8'))
            for name, text in encoded.items():
                with self.subTest(release=path.stem, message=name):
                    data = bytes.fromhex(text)
                    _, sent = msgpack.unpackb(data)
                    message = self.codec.decode(data)
                    self.assertEqual(name, type(message).__name__)
                    # What both releases know arrives as it was sent.
                    _, kept = msgpack.unpackb(self.codec.encode(message))
                    for field in sent.keys() & kept.keys():
                        self.assertKept(sent[field], kept[field], field)

    def assertKept(self, sent, kept, path):
        """Check a value; records in it may have got new fields only."""
        if isinstance(sent, dict) and isinstance(kept, dict):
            self.assertLessEqual(sent.keys(), kept.keys(), path)
            for field, value in sent.items():
                self.assertKept(value, kept[field], f'{path}.{field}')
        elif isinstance(sent, list) and isinstance(kept, list):
            self.assertEqual(len(sent), len(kept), path)
            for number, pair in enumerate(zip(sent, kept, strict=True)):
                self.assertKept(*pair, f'{path}.{number}')
        else:
            self.assertEqual(sent, kept, path)

    def test_field_of_a_later_release_is_passed_over(self):
        for message_type in self.codec.message_types:
            with self.subTest(message_type.__name__):
                message = versions.sample_message(message_type)
                name, fields = msgpack.unpackb(self.codec.encode(message))
                fields['added_later'] = [1, {'a': 2}]
                data = msgpack.packb([name, fields])
                self.assertEqual(message, self.codec.decode(data))

    def test_new_fields_have_defaults(self):
        for path in versions.FOLDER.glob('*.json'):
            encoded = json.loads(path.read_text(encoding='utf-8'))
            for message_type in self.codec.message_types:
                text = encoded.get(message_type.__name__)
                if text is None:
                    continue
                _, sent = msgpack.unpackb(bytes.fromhex(text))
                added = [
                    field
                    for field in attrs.fields(message_type)
                    if field.name not in sent
                ]
                with self.subTest(message_type.__name__):
                    for field in added:
                        self.assertIsNot(
                            attrs.NOTHING, field.default, field.name
                        )
