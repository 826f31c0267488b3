"""Tests of reading settings files and of the messages about faults."""

import pathlib
import tempfile
import unittest

from shallothinge.settings import load
from shallothinge.settings import model
from shallothinge.transport import keys

AGENT = """\
[process]
process_id = "a1"
zone = "zone-1"
host = "h1"
address = "tcp://127.0.0.1:7001"
key_file = "agent.key"
trust_file = "trust.toml"

[backend]
kind = "model"
url = "http://127.0.0.1:9001"
models = ["small@1"]
memory_tokens = 120000

[[control_hosts]]
process_id = "c1"
address = "tcp://127.0.0.1:7000"
"""

GATEWAY = """\
[process]
process_id = "g1"
zone = "zone-1"
host = "h1"
address = "tcp://127.0.0.1:7001"
key_file = "agent.key"
trust_file = "trust.toml"

[callers]
address = "127.0.0.1:8080"
readiness_address = "127.0.0.1:8081"

[discovery]
seeds = ["127.0.0.1:8082"]
port = 7000

[retries]
slack_requests = SLACK

[cold]
slack_requests = SLACK
"""

ROWS = (
    ('zone =', 'zona =', 3, 'process.zona', 'zone?'),
    ('"h1"', '7', 4, 'process.host', 'a text in quotes'),
    ('tcp://127.0.0.1:7001', 'tcp://host:1', 5, 'process.address', 'tcp://'),
    ('7001', '7000', 17, 'control_hosts[0].address', 'process.address'),
    ('"agent.key"', '"none.key"', 6, 'process.key_file', 'shallothinge keys'),
    ('"model"', '"modal"', 10, 'backend.kind', 'model, service'),
    ('http://127', 'ftp://127', 11, 'backend.url', 'http://'),
    ('120000', '"120k"', 13, 'backend.memory_tokens', 'number of tokens'),
    ('120000', '-1', 13, 'backend.memory_tokens', '0 or more'),
    ('120000', '0', 13, 'backend.memory_tokens', "engine's memory"),
    ('memory_tokens', 'memory_bytes', 13, 'backend.memory_bytes', 'memory_t'),
    ('url = "http://127.0.0.1:9001"', '', 0, 'backend.url', 'a text'),
    ('["small@1"]', '"small@1"', 12, 'backend.models', 'an array'),
    ('[process]', '[process', 0, '(file)', 'valid TOML'),
)


class ReadTest(unittest.TestCase):
    """An agent's file with one or more faults."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        pair = keys.generate_key_pair(role='agent')
        keys.write_key_pair(path=self.folder / 'agent.key', pair=pair)
        keys.write_trust(path=self.folder / 'trust.toml', pairs=(pair,))

    def read(self, text):
        path = self.folder / 'agent.toml'
        path.write_text(text, encoding='utf-8')
        return load.read(path=path, file_type=model.AgentSettings)

    def faults(self, text):
        with self.assertRaises(ExceptionGroup) as caught:
            self.read(text)
        return caught.exception.exceptions

    def test_valid_file(self):
        settings = self.read(AGENT)
        self.assertEqual('a1', settings.process.process_id)
        self.assertEqual(('small@1',), settings.backend.models)

    def test_each_fault_names_line_key_and_remedy(self):
        for old, new, line, key, allowed in ROWS:
            with self.subTest(old=old, new=new):
                faults = self.faults(AGENT.replace(old, new, 1))
                fault = {fault.key: fault for fault in faults}[key]
                self.assertEqual(line, fault.line)
                self.assertIn(allowed, fault.allowed)

    def test_all_faults_come_at_once(self):
        text = AGENT.replace('"h1"', '7').replace('"model"', '3')
        found = {fault.key for fault in self.faults(text)}
        self.assertEqual({'process.host', 'backend.kind'}, found)

    def test_key_file_that_others_may_read(self):
        (self.folder / 'agent.key').chmod(0o644)
        [fault] = self.faults(AGENT)
        self.assertIn('chmod 600', fault.found)

    def test_unknown_policy_lists_the_known_ones(self):
        text = AGENT.replace('7001', '7002')
        text = text[: text.index('[backend]')]
        text += '[http]\naddress = "127.0.0.1:8080"\n'
        text += '[routing]\npolicy = "best"\n'
        text += AGENT[AGENT.index('[[control_hosts]]') :]
        path = self.folder / 'entry.toml'
        path.write_text(text, encoding='utf-8')
        with self.assertRaises(ExceptionGroup) as caught:
            load.read(path=path, file_type=model.EntrySettings)
        [fault] = caught.exception.exceptions
        self.assertEqual('routing.policy', fault.key)
        self.assertIn('two_choices', fault.allowed)

    def read_gateway(self, slack_requests):
        path = self.folder / 'gateway.toml'
        path.write_text(
            GATEWAY.replace('SLACK', slack_requests), encoding='utf-8'
        )
        return load.read(path=path, file_type=model.GatewaySettings)

    def test_limits_that_hold_for_all_gateways_may_be_fractions(self):
        # A deployment whose limits were scaled down gave 47.7 repeats, and
        # no process started.
        for text, number in (('5', 5.0), ('0', 0.0), ('47.72', 47.72)):
            with self.subTest(text):
                settings = self.read_gateway(text)
                self.assertEqual(number, settings.retries.slack_requests)
                self.assertEqual(number, settings.cold.slack_requests)

    def test_limit_that_is_no_number_is_refused(self):
        for text in ('-0.5', '"5"', 'true', 'inf', 'nan'):
            with self.subTest(text):
                with self.assertRaises(ExceptionGroup) as caught:
                    self.read_gateway(text)
                for fault in caught.exception.exceptions:
                    self.assertIn('a number, 0 or more', fault.allowed)

    def test_role_is_known_by_its_tables(self):
        path = self.folder / 'agent.toml'
        path.write_text(AGENT, encoding='utf-8')
        self.assertIs(model.AgentSettings, load.detect_type(path))
