"""Tests of the stand-ins over loopback HTTP."""

import io
import json

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest
from twisted.web import client
from twisted.web import http_headers

from shallothinge.standin import answers
from shallothinge.standin import model
from shallothinge.standin import process


def body_of(value):
    """Return a producer of a JSON body."""
    return client.FileBodyProducer(io.BytesIO(value))


class StandinTest(unittest.TestCase):
    """A stand-in on a free port, asked by a plain HTTP client."""

    @defer.inlineCallbacks
    def serve(self, settings):
        port = yield process.listen(
            settings=settings, address='127.0.0.1:0', reactor=reactor
        )
        self.addCleanup(port.stopListening)
        return f'http://127.0.0.1:{port.getHost().port}'

    @defer.inlineCallbacks
    def ask(self, method, url, body=None, **headers):
        agent = client.Agent(reactor)
        data = json.dumps(body).encode() if body is not None else b''
        response = yield agent.request(
            method.encode(),
            url.encode(),
            http_headers.Headers(
                {name.replace('_', '-'): [v] for name, v in headers.items()}
            ),
            body_of(data),
        )
        content = yield client.readBody(response)
        return response.code, content

    @defer.inlineCallbacks
    def test_completion_streams_whole_answer(self):
        url = yield self.serve(model.EngineFile())
        body = {
            'request_id': 'r1',
            'model': 'small@1',
            'prompt': 'hello',
            'max_tokens': 4,
        }
        code, content = yield self.ask('POST', url + '/v1/completions', body)
        self.assertEqual(200, code)
        self.assertTrue(content.endswith(b'data: [DONE]\n\n'))
        events = [
            json.loads(line[6:])
            for line in content.splitlines()
            if line.startswith(b'data: {')
        ]
        received = [token for e in events for token in e.get('tokens', ())]
        wanted = [answers.expected_token('hello', n) for n in range(4)]
        self.assertEqual(wanted, received)
        code, content = yield self.ask('GET', url + '/v1/streams/r1?offset=2')
        self.assertIn(b'"offset": 2', content)
        code, _ = yield self.ask('DELETE', url + '/v1/streams/r1')
        self.assertEqual(204, code)

    @defer.inlineCallbacks
    def test_refusals(self):
        url = yield self.serve(
            model.EngineFile(engine=model.EngineOptions(memory_tokens=100))
        )
        start = {'request_id': 'r', 'model': 'small@1', 'prompt': 'p'}
        rows = (
            ('POST', '/v1/completions', {'prompt': 'p'}, 400),
            ('POST', '/v1/completions', {**start, 'model': 'x@1'}, 404),
            ('POST', '/v1/completions', {**start, 'max_tokens': 900}, 503),
            ('GET', '/v1/streams/none', None, 404),
            ('DELETE', '/v1/reservations/none', None, 404),
            ('POST', '/v1/orders', {'order': 'dance'}, 400),
            ('GET', '/nothing', None, 404),
        )
        for method, path, body, status in rows:
            with self.subTest(path=path, status=status):
                code, _ = yield self.ask(method, url + path, body)
                self.assertEqual(status, code)

    @defer.inlineCallbacks
    def test_service_counts_executions_by_key(self):
        url = yield self.serve(model.ServiceFile())
        for _ in range(2):
            yield self.ask('POST', url + '/jobs', {}, Idempotency_Key='k1')
        _, content = yield self.ask('GET', url + '/executions')
        self.assertEqual(
            {'total': 2, 'by_key': {'k1': 2}}, json.loads(content)
        )

    @defer.inlineCallbacks
    def test_weight_store_limits_loads(self):
        options = model.WeightStoreOptions(loads_per_minute=1, burst_loads=1)
        store = yield self.serve(model.WeightStoreFile(weights=options))
        engine = model.EngineOptions(weight_store_url=store)
        url = yield self.serve(model.EngineFile(engine=engine))
        codes = []
        for name in ('a@1', 'b@1'):
            order = {'order': 'load_model', 'model': name}
            code, _ = yield self.ask('POST', url + '/v1/orders', order)
            codes.append(code)
        self.assertEqual([200, 503], codes)

    @defer.inlineCallbacks
    def test_spanning_prompt_checks_parts_on_other_engines(self):
        first = yield self.serve(model.EngineFile())
        second = yield self.serve(model.EngineFile())
        part = {'reservation_id': 'v1', 'tokens': 100}
        start = {
            'request_id': 'r1',
            'model': 'small@1',
            'prompt': 'p',
            'max_tokens': 2,
            'parts': [{**part, 'url': second}],
        }
        code, _ = yield self.ask('POST', first + '/v1/completions', start)
        self.assertEqual(503, code)
        yield self.ask('POST', second + '/v1/reservations', part)
        code, _ = yield self.ask('POST', first + '/v1/completions', start)
        self.assertEqual(200, code)
