"""Tests of a whole entry against a fake control host and fake agents."""

import io
import json
import pathlib
import shutil
import tempfile

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from twisted.web import client
from twisted.web import http_headers

from shallothinge import process as processes
from shallothinge.allowances import messages as allowances
from shallothinge.calls import messages as calls
from shallothinge.entry.tests import fakes
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages as operators
from shallothinge.streams import messages as streams

POLL_MS = 20
TOKENS = 5
LIVE = b'GET /livez HTTP/1.1\r\nHost: h\r\n\r\n'


class EntryTestCase(unittest.TestCase):
    """One entry, one control host, two agents, callers over HTTP."""

    timeout = 15
    workspace_changes = {}
    http_settings = {}

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        fakes.write_keys(self.folder)
        self.control = fakes.FakeControl(
            reactor=reactor,
            folder=self.folder,
            bundle=fakes.make_bundle(**self.workspace_changes),
        )
        self.addCleanup(self.control.close)
        self.agents = {}
        for server_id in ('s1', 's2'):
            agent = fakes.FakeAgent(
                reactor=reactor, folder=self.folder, server_id=server_id
            )
            self.agents[server_id] = agent
            self.addCleanup(agent.close)
        self.control.members = [
            agent.announced() for agent in self.agents.values()
        ]
        self.entry = fakes.make_entry(
            reactor=reactor,
            folder=self.folder,
            control=self.control,
            **self.http_settings,
        )
        self.addCleanup(self.entry.close)
        self.entry.start()
        self.pool = client.HTTPConnectionPool(reactor, persistent=False)
        return self.until(self._is_connected)

    def _is_connected(self):
        if not self.entry.holder.is_valid():
            self.entry.control.renew_now()
        self.entry.fleet.announce_owned()
        agents = self.agents.values()
        return all(agent.of_type(streams.StreamsOwned) for agent in agents)

    @defer.inlineCallbacks
    def until(self, condition):
        """Wait until a condition holds; the test's timeout bounds it."""
        while not condition():
            yield task.deferLater(reactor, POLL_MS / 1000, lambda: None)

    @defer.inlineCallbacks
    def ask(self, path, *, method='POST', body=None, **headers):
        """Send a request; gives the response and its body."""
        fields = http_headers.Headers(
            {'Authorization': [f'Bearer {fakes.API_KEY}']}
        )
        for name, value in headers.items():
            fields.setRawHeaders(name.replace('_', '-'), [value])
        port = self.entry.http_port
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(io.BytesIO(body))
        response = yield client.Agent(reactor, pool=self.pool).request(
            method.encode(),
            f'http://127.0.0.1:{port}{path}'.encode(),
            fields,
            producer,
        )
        content = yield client.readBody(response)
        return response, content

    def chat(self, *, stream=False, **headers):
        """Send a chat completion."""
        body = {
            'model': 'small',
            'messages': [{'role': 'user', 'content': 'a leaking tap'}],
            'max_tokens': TOKENS,
            'stream': stream,
        }
        return self.ask(
            '/v1/chat/completions', body=json.dumps(body).encode(), **headers
        )

    def script_all(self, script):
        """Let every agent answer by a script."""
        for agent in self.agents.values():
            agent.script = script

    def all_sent(self, message_type):
        """Return the messages of a type that any agent got."""
        found = []
        for agent in self.agents.values():
            found.extend(agent.of_type(message_type))
        return found


class EntryTest(EntryTestCase):
    """What callers see."""

    @defer.inlineCallbacks
    def test_whole_answer_in_one_piece(self):
        response, content = yield self.chat()
        self.assertEqual(200, response.code)
        choice = json.loads(content)['choices'][0]
        self.assertEqual('t0 t1 t2 t3 t4 ', choice['message']['content'])
        self.assertEqual('length', choice['finish_reason'])

    @defer.inlineCallbacks
    def test_streamed_answer_is_marked_as_whole(self):
        response, content = yield self.chat(stream=True)
        self.assertEqual(200, response.code)
        self.assertTrue(content.endswith(b'data: [DONE]\n\n'))
        self.assertIn(b'"finish_reason": "length"', content)

    @defer.inlineCallbacks
    def test_refusal_by_one_gate_goes_to_another_server(self):
        refused = []

        def refuse_first(message):
            if not isinstance(message, streams.StartStream) or refused:
                return None
            refused.append(message)
            return [
                streams.StreamRefused(
                    request_id=message.request_id,
                    attempt=message.attempt,
                    kind=ErrorKind.COLD_LIMIT,
                    retry_after_ms=100,
                    load=fakes.LOAD,
                )
            ]

        self.script_all(refuse_first)
        response, _ = yield self.chat()
        self.assertEqual(200, response.code)
        self.assertEqual(1, len(refused))

    @defer.inlineCallbacks
    def test_failed_attempt_continues_from_delivered_tokens(self):
        started = []

        def fail_first(message):
            if not isinstance(message, streams.StartStream):
                return None
            started.append(message)
            if len(started) > 1:
                return None
            return [
                fakes.accepted(message),
                *fakes.frames(message, first=0, last=2),
                streams.StreamFailed(
                    request_id=message.request_id,
                    attempt=message.attempt,
                    offset=2,
                    kind=ErrorKind.BACKEND_FAILED,
                    load=fakes.LOAD,
                ),
            ]

        self.script_all(fail_first)
        _, content = yield self.chat()
        text = json.loads(content)['choices'][0]['message']['content']
        self.assertEqual('t0 t1 t2 t3 t4 ', text)
        self.assertEqual(('t0 ', 't1 '), started[1].delivered)

    @defer.inlineCallbacks
    def test_cut_answer_is_not_marked_as_whole(self):
        def hang_after_two(message):
            if not isinstance(message, streams.StartStream):
                return None
            frames = fakes.frames(message, first=0, last=2)
            return [fakes.accepted(message), *frames]

        self.script_all(hang_after_two)
        response, content = yield self.chat(stream=True, X_Deadline_Ms='300')
        self.assertEqual(200, response.code)
        self.assertIn(b'"code": "deadline_exceeded"', content)
        self.assertNotIn(b'[DONE]', content)
        yield self.until(lambda: self.all_sent(streams.CancelStream))

    @defer.inlineCallbacks
    def test_without_lease_new_work_is_refused(self):
        self.control.grants_leases = False
        yield self.until(lambda: not self.entry.holder.is_valid())
        response, content = yield self.chat()
        self.assertEqual(503, response.code)
        error = json.loads(content)['error']
        self.assertEqual('no_lease', error['code'])
        self.assertEqual('not_run', error['work_state'])
        self.assertEqual([], self.all_sent(streams.StartStream))

    @defer.inlineCallbacks
    def test_bad_input_gets_a_clear_error(self):
        table = (
            ('not json', b'{', 400, 'bad_request'),
            ('no messages', b'{"model": "small"}', 400, 'bad_request'),
            (
                'unknown model',
                b'{"model":"x","messages":[{"role":"u","content":""}]}',
                404,
                'not_found',
            ),
        )
        for name, body, status, code in table:
            with self.subTest(name):
                response, content = yield self.ask(
                    '/v1/chat/completions', body=body
                )
                self.assertEqual(status, response.code)
                self.assertEqual(code, json.loads(content)['error']['code'])
        response, _ = yield self.chat()
        self.assertEqual(200, response.code)

    @defer.inlineCallbacks
    def test_unknown_key_is_refused(self):
        response, content = yield self.chat(Authorization='Bearer wrong')
        self.assertEqual(401, response.code)
        self.assertEqual(
            'unauthenticated', json.loads(content)['error']['code']
        )

    @defer.inlineCallbacks
    def test_repeatable_call_needs_no_key(self):
        response, content = yield self.ask(
            '/v1/services/status/jobs/7?full=1', method='GET'
        )
        self.assertEqual(200, response.code)
        self.assertEqual(b'ran /jobs/7?full=1', content)

    @defer.inlineCallbacks
    def test_call_that_may_not_be_repeated_needs_a_key(self):
        response, content = yield self.ask(
            '/v1/services/booking/jobs', body=b'{}'
        )
        self.assertEqual(400, response.code)
        self.assertEqual('key_required', json.loads(content)['error']['code'])
        self.assertEqual([], self.all_sent(calls.CallService))

    @defer.inlineCallbacks
    def test_booking_sent_twice_runs_once(self):
        answers = []
        for _ in range(2):
            _, content = yield self.ask(
                '/v1/services/booking/jobs', body=b'{}', Idempotency_Key='k1'
            )
            answers.append(content)
        self.assertEqual([b'ran /jobs', b'ran /jobs'], answers)
        self.assertEqual(1, len(self.all_sent(calls.CallService)))

    @defer.inlineCallbacks
    def test_planned_stop_finishes_streams_and_refuses_new_ones(self):
        held = []

        def hold(message):
            if not isinstance(message, streams.StartStream):
                return None
            held.append(message)
            return [fakes.accepted(message)]

        self.script_all(hold)
        asked = self.chat()
        yield self.until(lambda: held)
        stopped = self.entry.stop()
        self.assertIs(stopped, self.entry.stop())
        response, _ = yield self.ask('/readyz', method='GET')
        self.assertEqual(503, response.code)
        yield self.until(lambda: self.entry.chats.is_stopping)
        response, content = yield self.chat()
        self.assertEqual('stopping', json.loads(content)['error']['code'])
        self._finish(held[0])
        response, _ = yield asked
        self.assertEqual(200, response.code)
        yield stopped

    @defer.inlineCallbacks
    def test_caller_that_connects_as_the_process_ends_is_answered(self):
        # Its connection was accepted and cut before its request arrived.
        received = []

        class Caller(protocol.Protocol):
            def dataReceived(self, data):
                received.append(data)

        connected = protocol.ClientCreator(reactor, Caller).connectTCP(
            '127.0.0.1', self.entry.http_port
        )
        caller = yield connected
        stopped = self.entry.stop()
        stopped.addCallback(lambda _: caller.transport.abortConnection())
        yield self.until(lambda: self.entry.chats.is_stopping)
        caller.transport.write(LIVE)
        yield stopped
        answer = b''.join(received)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)

    def _finish(self, start):
        for connection in self.entry.fleet.connections.values():
            if start.request_id in connection.in_flight:
                server_id = connection.server.server_id
                for message in fakes.whole_stream(start):
                    self.entry.chats.take(server_id, message)
                return

    @defer.inlineCallbacks
    def test_disconnected_caller_frees_the_engine(self):
        self.script_all(lambda message: [])
        asked = self.chat()
        yield self.until(lambda: self.all_sent(streams.StartStream))
        asked.cancel()
        yield self.assertFailure(asked, client.ResponseNeverReceived)
        yield self.until(lambda: self.all_sent(streams.CancelStream))

    @defer.inlineCallbacks
    def test_usage_is_stored_before_the_process_ends(self):
        yield self.chat()
        yield self.entry.stop()
        (report,) = self.control.of_type(allowances.UsageReported)
        (record,) = report.records
        self.assertEqual('repairs', record.workspace)
        self.assertEqual(TOKENS, record.generated_tokens)

    @defer.inlineCallbacks
    def test_dump_holds_the_state(self):
        yield self.chat()
        state = json.loads(self.entry.dump())
        self.assertEqual(
            {'s1', 's2'},
            {each['server']['server_id'] for each in state['fleet']},
        )
        self.assertEqual([], state['chats']['runs'])

    def _ask_for_dump(self, process, *, on_message):
        link = process.connect(
            address=self.entry._endpoint.address,
            role='entry',
            on_message=on_message,
        )
        self.addCleanup(link.close)
        request = operators.DumpRequested(request_id='r1')
        return self.until(lambda: link.send(request))

    @defer.inlineCallbacks
    def test_dump_is_answered_to_operators_only(self):
        operator = processes.Process(
            reactor=reactor,
            settings=fakes.process_settings('o1', 'operator'),
            folder=self.folder,
        )
        self.addCleanup(operator.close)
        answered = defer.Deferred()
        others = []
        yield self._ask_for_dump(
            self.control.process, on_message=others.append
        )
        yield self._ask_for_dump(operator, on_message=answered.callback)
        answer = yield answered
        self.assertEqual('e1', json.loads(answer.json_text)['process_id'])
        self.assertEqual([], others)


class AllowanceTest(EntryTestCase):
    """A workspace with an allowance."""

    workspace_changes = {'allowance_tokens_per_month': 1000}

    @defer.inlineCallbacks
    def test_used_up_allowance_refuses_before_anything_runs(self):
        self.control.slice_tokens = 0
        response, content = yield self.chat()
        self.assertEqual(429, response.code)
        error = json.loads(content)['error']
        self.assertEqual('allowance_exhausted', error['code'])
        self.assertEqual([], self.all_sent(streams.StartStream))
