"""Tests that the platform's words stay in its adapter."""

import pathlib
import re
import unittest

ADAPTER = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ADAPTER.parent
REPOSITORY = SOURCE.parent.parent
# What runs beside the product speaks through the adapter, too.
FOLDERS = (SOURCE, REPOSITORY / 'testing', REPOSITORY / 'experiments')
# Names of headers, fields and calls on the platform's wire that no other
# module has a reason to write.
WIRE_NAMES = re.compile(
    r'expected-instance|request-attempt-id|response-signature'
    r'|heartbeat-address|token-counts|prompt-prefix|cold-milliseconds'
    r'|not-executed|length-hint|request-urgency|deadline-milliseconds'
    r'|instance-load|instance-id|kv-cache|cold-remaining-ms|path-prefix'
    r'|traffic-split|allow-anonymous|sticky-sessions|resume-streams'
    r'|target-latency-ms|target-gap-ms|shallothinge_node_file|/evacuation'
    r'|/instances',
    re.IGNORECASE,
)
# Tests of the request path play the platform's callers and servers.
PLAYS_THE_PLATFORM = ('src/shallothinge/gateway/tests/',)


class WireNamesTest(unittest.TestCase):
    """Names of the wire outside the adapter."""

    def test_only_the_adapter_knows_the_names_of_the_wire(self):
        found = []
        paths = [path for one in FOLDERS for path in one.rglob('*.py')]
        for path in sorted(paths):
            name = str(path.relative_to(REPOSITORY))
            if ADAPTER in path.parents or name.startswith(PLAYS_THE_PLATFORM):
                continue
            text = path.read_text(encoding='utf-8')
            found += [f'{name}: {one}' for one in WIRE_NAMES.findall(text)]
        self.assertEqual([], found)
