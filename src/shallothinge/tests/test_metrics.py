"""Tests of the metrics of a process."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest
from twisted.web import client

from shallothinge import errors
from shallothinge import metrics


class MetricsTest(unittest.TestCase):
    """One process's metrics, read as Prometheus does."""

    @defer.inlineCallbacks
    def test_each_instrument_is_served(self):
        made = metrics.Metrics(
            role='entry', process_id='e1', zone='zone-1', host='h1'
        )
        made.count_request(request_class='interactive', outcome='finished')
        made.record_first_token(duration_ms=60, request_class='standard')
        counts = metrics.TokenCounts(
            prompt_tokens=8, cached_tokens=2, generated_tokens=4
        )
        made.count_tokens(workspace='w', model='m', counts=counts)
        made.count_refusal(kind=errors.ErrorKind.OVERLOADED)
        made.count_retry()
        made.count_hedge()
        made.observe_lease(read_remaining_ms=lambda: 2500)
        made.observe_queue(read_requests=lambda: 3)
        port = yield metrics.listen(
            metrics=made, address='127.0.0.1:0', reactor=reactor
        )
        self.addCleanup(port.stopListening)
        url = f'http://127.0.0.1:{port.getHost().port}/metrics'
        response = yield client.Agent(reactor).request(b'GET', url.encode())
        text = (yield client.readBody(response)).decode()
        for line in (
            'requests_total{outcome="finished",request_class="interactive"} 1',
            'first_token_milliseconds_bucket{le="100",'
            'request_class="standard"} 1',
            'tokens_total{kind="generated",model="m",workspace="w"} 4',
            'refusals_total{kind="overloaded"} 1',
            'retries_total 1',
            'hedges_total 1',
            'lease_remaining_milliseconds 2500',
            'queue_length 3',
        ):
            with self.subTest(line=line):
                self.assertIn(line, text)

    def test_two_processes_share_nothing(self):
        first = metrics.Metrics(role='a', process_id='1', zone='', host='')
        second = metrics.Metrics(role='a', process_id='2', zone='', host='')
        first.count_retry()
        self.assertNotIn(b'retries_total', second.text())
