"""Tests of an engine or service whose bytes do not end."""

import json
import unittest
from unittest import mock

from shallothinge import clock
from shallothinge import sse
from shallothinge.agent import bounds
from shallothinge.agent import engine
from shallothinge.agent import http
from shallothinge.agent import running
from shallothinge.agent import warming
from shallothinge.errors import ErrorKind
from shallothinge.http1.tests import endless
from shallothinge.http1.tests import wires
from shallothinge.streams import owned

EVENT_STREAM = endless.head('')
MAX_TOKENS = 4
URL = 'http://10.0.0.1:8000'
# The longest whole answer, what frames it, and what a kernel hands out.
MOST_BYTES = 17 * 1024 * 1024
# An answer to a poll, an order or a call; only a stream may be longer.
ASK_MS = 5000


def format_event(fields):
    """Return the bytes of one event of a stream."""
    return sse.format_event(json.dumps(fields))


def event_of(offset, tokens):
    """Return the bytes of an event with tokens."""
    return format_event({'offset': offset, 'tokens': tokens})


class EndlessTest(unittest.TestCase):
    """Whatever an engine sends, its agent takes a bounded part of it."""

    def setUp(self):
        self.reactor = wires.Reactor()
        self.http = http.HttpClient(reactor=self.reactor, url=URL)

    def ask(self, **fields):
        """Ask; return what became of it, and the connection."""
        outcomes = []
        asked = self.http.ask(
            timeout_ms=ASK_MS,
            **{'method': 'GET', 'path': '/health', **fields},
        )
        asked.addBoth(outcomes.append)
        self.reactor.advance(0)
        return outcomes, self.reactor.wires[-1]

    def assert_given_up(self, wire, first, again):
        is_given_up = wire.pour(first, again, most_bytes=2 * MOST_BYTES)
        self.assertTrue(is_given_up, f'{wire.poured_bytes} bytes taken')
        self.assertLess(wire.poured_bytes, MOST_BYTES)
        self.assertTrue(wire.transport.disconnecting)

    def test_answer_without_end_is_none(self):
        for method in ('GET', 'POST'):
            for name, first, again in endless.shapes():
                with self.subTest(name, method=method):
                    self.setUp()
                    outcomes, wire = self.ask(method=method)
                    self.assert_given_up(wire, first, again)
                    wire.close_badly()
                    (failure,) = outcomes
                    self.assertNotIsInstance(failure, http.Answer)
                    self.assertIsNone(failure.check(http.NotSent))

    def test_bytes_after_a_whole_answer_belong_to_nothing(self):
        outcomes, wire = self.ask()
        first = endless.head('Content-Length: 2', '') + b'ok'
        self.assert_given_up(wire, first, b'x')
        self.assertEqual(b'ok', outcomes[0].body)
        outcomes, wire = self.ask()
        wire.send(first)
        self.assertEqual(b'ok', outcomes[0].body)

    def test_answer_that_may_have_been_cut_is_none(self):
        outcomes, wire = self.ask()
        wire.send(endless.head('') + b'ok')
        wire.close()
        self.assertNotIsInstance(outcomes[0], http.Answer)

    def test_slow_answer_is_given_up_in_time(self):
        outcomes, wire = self.ask()
        wire.send(endless.head('Content-Length: 2', '') + b'o')
        self.reactor.advance(ASK_MS / 1000)
        self.assertEqual(1, len(outcomes))
        self.assertTrue(wire.transport.disconnecting)


class EndlessStreamTest(unittest.TestCase):
    """A stream of an engine that sends without end."""

    def setUp(self):
        self.reactor = wires.Reactor()
        self.listener = mock.Mock()
        self.listener.next_offset.return_value = 0
        self.key = owned.StreamKey(request_id='r1', attempt=1)
        self.stream = running.EngineStream(
            reactor=self.reactor,
            engine=engine.EngineClient(reactor=self.reactor, url=URL),
            key=self.key,
            listener=self.listener,
        )
        completion = engine.Completion(
            request_id='r1',
            model='m',
            adapter='',
            prompt='p',
            delivered=(),
            max_tokens=MAX_TOKENS,
            priority=0,
            fence=1,
        )
        self.stream.start(completion=completion, may_send=lambda: True)
        self.reactor.advance(0)

    def test_endless_answer_to_a_stream_is_given_up(self):
        for name, first, again in endless.shapes():
            with self.subTest(name):
                self.setUp()
                with self.assertNoLogs('shallothinge.agent', 'ERROR'):
                    self.assert_given_up(self.reactor.wires[0], first, again)
                self.listener.connection_broke.assert_called_once_with()
                self.reactor.advance(running.RECONNECT_MS / 1000)
                self.reactor.advance(0)
                goes_on = len(self.reactor.wires) == 2
                self.assertNotEqual(goes_on, self.listener.failed.called)
                self.listener.finished.assert_not_called()
                self.listener.refused.assert_not_called()

    def test_endless_event_is_given_up_and_then_the_stream(self):
        self.pour_all(EVENT_STREAM + b'data: ', b'x')

    def test_events_without_a_new_token_are_given_up(self):
        for name, again in (
            ('comments', b': x\n\n'),
            ('lines of comments', b': x\n'),
            ('blank lines', b'\n'),
            ('fields without data', b'id: 1\n\n'),
            ('a token that is known', event_of(0, ('x',))),
            ('no tokens', event_of(0, ())),
        ):
            with self.subTest(name):
                self.setUp()
                self.listener.generated.return_value = owned.Extent.KNOWN
                wire = self.reactor.wires[0]
                self.assert_given_up(wire, EVENT_STREAM, again)
                self.listener.connection_broke.assert_called_once_with()
                self.reactor.advance(running.RECONNECT_MS / 1000)
                self.reactor.advance(0)
                self.assertEqual(2, len(self.reactor.wires))
        with mock.patch.object(bounds, 'IDLE_BYTES', 100_000):
            self.setUp()
            self.pour_all(EVENT_STREAM, b': x\n\n')

    def send_tokens(self, tokens):
        """Send events with these tokens until they are read no more.

        :returns: how many tokens, and characters, were taken.
        """
        wire = self.reactor.wires[0]
        self.listener.generated.return_value = owned.Extent.NEXT
        wire.send(EVENT_STREAM)
        sent = 0
        while wire.is_read and sent < 100 * MAX_TOKENS:
            wire.send(event_of(sent, tokens))
            sent += len(tokens)
        self.assertFalse(wire.is_read, f'{sent} tokens were taken')
        taken = [
            token
            for call in self.listener.generated.call_args_list
            for token in call.args[1].tokens
        ]
        return len(taken), sum(map(len, taken))

    def test_tokens_without_end_are_given_up(self):
        for name, tokens in (
            ('one by one', ('x',)),
            ('many at once', ('x',) * MAX_TOKENS * 3),
            ('huge', ('x' * 100_000,)),
            ('long', ('x' * (bounds.TOKEN_CHARACTERS + 1),)),
        ):
            with self.subTest(name):
                self.setUp()
                with self.assertLogs('shallothinge.agent', 'WARNING'):
                    taken, characters = self.send_tokens(tokens)
                self.assertLessEqual(taken, MAX_TOKENS)
                self.assertLessEqual(
                    characters, MAX_TOKENS * bounds.TOKEN_CHARACTERS
                )
                self.listener.failed.assert_called_once_with(
                    self.key, ErrorKind.BACKEND_FAILED
                )
                self.reactor.advance(running.RECONNECT_MS / 1000)
                self.assertEqual(1, len(self.reactor.wires))

    def test_answer_of_as_many_tokens_as_were_asked_for_is_whole(self):
        wire = self.reactor.wires[0]
        self.listener.generated.return_value = owned.Extent.NEXT
        self.listener.next_offset.return_value = MAX_TOKENS
        wire.send(EVENT_STREAM)
        longest = 'x' * bounds.TOKEN_CHARACTERS
        for offset in range(MAX_TOKENS):
            wire.send(b': x\n\n' * 10 + event_of(offset, (longest,)))
        wire.send(
            format_event({'finish_reason': 'length', 'offset': MAX_TOKENS})
        )
        self.assertEqual(MAX_TOKENS, self.listener.generated.call_count)
        self.listener.finished.assert_called_once()
        self.listener.failed.assert_not_called()

    def test_tokens_that_are_no_text_are_no_event(self):
        for tokens in ((1,), (None,), (['x'],)):
            with self.subTest(tokens=tokens):
                self.setUp()
                with self.assertNoLogs('shallothinge.agent', 'ERROR'):
                    self.reactor.wires[0].send(
                        EVENT_STREAM + event_of(0, tokens)
                    )
                self.listener.generated.assert_not_called()
                self.listener.connection_broke.assert_called_once_with()

    def test_refused_resumption_closes_its_connection(self):
        for status in (404, 500, 503):
            with self.subTest(status=status):
                self.setUp()
                self.reactor.wires[0].send(EVENT_STREAM)
                self.reactor.wires[0].close_badly()
                self.reactor.advance(running.RECONNECT_MS / 1000)
                self.reactor.advance(0)
                wire = self.reactor.wires[1]
                wire.send(
                    endless.head('Content-Length: 9', '', status=status) + b'x'
                )
                self.assertTrue(wire.transport.disconnecting)

    def assert_given_up(self, wire, first, again):
        taken = wire.pour(first, again, most_bytes=2 * MOST_BYTES)
        self.assertTrue(taken, f'{wire.poured_bytes} bytes taken')
        self.assertLess(wire.poured_bytes, MOST_BYTES)
        self.assertTrue(wire.transport.disconnecting)
        wire.close_badly()

    def pour_all(self, first, again):
        """Answer without end until the stream is given up."""
        with self.assertNoLogs('shallothinge.agent', 'ERROR'):
            for number in range(running.RECONNECTS + 1):
                self.assert_given_up(self.reactor.wires[number], first, again)
                self.reactor.advance(running.RECONNECT_MS / 1000)
                self.reactor.advance(0)
                if self.listener.failed.called:
                    break
        self.listener.failed.assert_called_once_with(
            self.key, ErrorKind.BACKEND_FAILED
        )
        self.listener.finished.assert_not_called()
        self.assertTrue(self.listener.connection_broke.called)


class EndlessWarmUpTest(unittest.TestCase):
    """A warm-up prompt, for which nobody waits."""

    def setUp(self):
        self.reactor = wires.Reactor()
        self.clock = clock.ManualClock()
        self.gate = mock.Mock()
        self.releases = mock.Mock()
        self.warm_up = mock.Mock()
        self.warm_up.next_tokens.return_value = 1000
        authority = mock.Mock(stopping=False, fence=1)
        authority.may_act.return_value = True
        self.runner = warming.WarmUpRunner(
            reactor=self.reactor,
            clock=self.clock,
            name='w',
            engine=engine.EngineClient(reactor=self.reactor, url=URL),
            authority=authority,
            gate=self.gate,
            limit=mock.Mock(),
            watch=mock.Mock(),
            releases=self.releases,
            warm_up=self.warm_up,
            models=lambda: ('m',),
        )
        self.runner.look()
        self.reactor.advance(0)

    def test_answer_that_does_not_end_is_given_up_in_time(self):
        for name, first in (
            ('silent', b''),
            ('head that trickles', endless.head()),
            ('comments', EVENT_STREAM + b': x\n\n'),
            ('a known token', EVENT_STREAM + event_of(0, ('x',)) * 2),
        ):
            with self.subTest(name):
                self.setUp()
                wire = self.reactor.wires[0]
                wire.send(first)
                (engine_id,) = self.runner.engine_ids()
                while self.clock.now_ms() <= warming.WARM_UP_MS:
                    self.clock.advance(duration_ms=1000)
                    self.reactor.advance(1)
                    self.runner.look()
                self.assertNotIn(engine_id, self.runner.engine_ids())
                self.gate.release.assert_called()
                self.releases.add.assert_called()
                self.warm_up.failed.assert_called_once_with()
                self.assertTrue(wire.transport.disconnecting)


if __name__ == '__main__':
    unittest.main()
