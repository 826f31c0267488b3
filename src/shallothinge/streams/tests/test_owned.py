"""Tests of the agent's stream table: owners, offsets and ids."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
from twisted.internet import task

from shallothinge import clock
from shallothinge.agent import frames
from shallothinge.errors import ErrorKind
from shallothinge.streams import messages
from shallothinge.streams import owned

ANSWER_TOKENS = 12
OWNERS = ('entry-1', 'entry-2')
REQUEST_IDS = ('r1', 'r2', 'r3')
LOAD = messages.LoadReport(server_id='agent-1')


def sender_of(owner, route, incarnation='1') -> owned.Sender:
    """Return an entry on one connection."""
    return owned.Sender(
        process_id=owner, incarnation=incarnation, route=route.encode()
    )


def request_of(request_id, *, attempt=1, delivered=()):
    """Return a request to start a stream."""
    return messages.StartStream(
        request_id=request_id,
        attempt=attempt,
        entry_id='',
        workspace='jenga-fix',
        model='small',
        delivered=delivered,
    )


def key_of(request_id, attempt=1) -> owned.StreamKey:
    """Return the identity of a stream."""
    return owned.StreamKey(request_id=request_id, attempt=attempt)


def finished_at(key, offset) -> messages.StreamFinished:
    """Return the final message of a complete answer."""
    return messages.StreamFinished(
        request_id=key.request_id,
        attempt=key.attempt,
        offset=offset,
        finish_reason='stop',
        prompt_tokens=1,
        cached_tokens=0,
        generated_tokens=offset,
        load=LOAD,
    )


class FakeEndpoint:
    """Queues messages by connection; drops those on cut connections."""

    def __init__(self):
        self.queues = {}
        self.cut = set()

    def send(self, *, route, message) -> bool:
        """Queue a message unless the connection is cut."""
        if route in self.cut:
            return False
        self.queues.setdefault(route, []).append(message)
        return True


class Streams(stateful.RuleBasedStateMachine):
    """Two entries and one agent, with late and repeated engine events.

    Each token names its stream and offset, so that a token at the wrong
    offset or entry is detected.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.reactor = task.Clock()
        self.endpoint = FakeEndpoint()
        self.table = owned.StreamTable(clock=self.clock)
        self.sender = frames.FrameSender(
            reactor=self.reactor, table=self.table, endpoint=self.endpoint
        )
        self.routes = {}
        self.got = {}
        self.used = {}
        self.route_count = 0
        for owner in OWNERS:
            self._connect(owner)

    def _connect(self, owner):
        self.route_count += 1
        self.routes[owner] = f'{owner}/{self.route_count}'
        self.table.hear(sender_of(owner, self.routes[owner]))

    @stateful.rule(
        owner=strategies.sampled_from(OWNERS),
        request_id=strategies.sampled_from(REQUEST_IDS),
        attempt=strategies.integers(1, 2),
    )
    def start(self, owner, request_id, attempt):
        """Start a stream; an id that another one used is refused."""
        key = key_of(request_id, attempt)
        started = self.table.start(
            key=key,
            owner_id=owner,
            request=request_of(request_id, attempt=attempt),
        )
        if started is owned.Start.NEW:
            assert key not in self.used
            self.used[key] = owner
            self.got[key] = []

    @stateful.precondition(lambda self: self.used)
    @stateful.rule(data=strategies.data())
    def generate(self, data):
        """Let an engine event come with any part of the answer."""
        key = data.draw(strategies.sampled_from(sorted(self.used, key=str)))
        first = data.draw(strategies.integers(0, ANSWER_TOKENS - 1))
        last = data.draw(strategies.integers(first, ANSWER_TOKENS))
        tokens = tuple(f'{key}/{place}' for place in range(first, last))
        self.table.extend(key=key, offset=first, tokens=tokens)
        self.sender.mark(key)

    @stateful.rule(request_id=strategies.sampled_from(REQUEST_IDS))
    def finish(self, request_id):
        """Finish a stream whose tokens are all here."""
        for key in (key_of(request_id, 1), key_of(request_id, 2)):
            stream = self.table.get(key)
            if stream is not None and stream.next_offset == ANSWER_TOKENS:
                ending = finished_at(key, ANSWER_TOKENS)
                self.table.end(key=key, ending=ending)
                self.sender.mark(key)

    @stateful.rule(owner=strategies.sampled_from(OWNERS))
    def cut(self, owner):
        """Cut a connection; what was sent on it is lost."""
        self.reactor.advance(1)
        route = self.routes[owner].encode()
        self.endpoint.cut.add(route)
        self.endpoint.queues.pop(route, None)

    @stateful.rule(owner=strategies.sampled_from(OWNERS))
    def reconnect(self, owner):
        """Open a new connection and resume each stream on it."""
        old = self.routes[owner]
        self._connect(owner)
        late = self.table.hear(sender_of(owner, old))
        assert late.hearing is owned.Hearing.SUPERSEDED
        for key, user in self.used.items():
            if user == owner:
                resumed = self.table.resume(
                    key=key, owner_id=owner, next_offset=len(self.got[key])
                )
                if resumed:
                    self.sender.mark(key)

    @stateful.rule()
    def deliver(self):
        """Flush the agent and let the entries read."""
        self.reactor.advance(1)
        for owner in OWNERS:
            route = self.routes[owner].encode()
            for message in self.endpoint.queues.pop(route, ()):
                self._read(owner, message)

    @stateful.rule(owner=strategies.sampled_from(OWNERS))
    def settle(self, owner):
        """Reconnect and read: all that the agent has must be there."""
        self.reconnect(owner)
        self.deliver()
        for key, user in self.used.items():
            stream = self.table.get(key)
            if user == owner and stream is not None:
                assert len(self.got[key]) == stream.next_offset

    def _read(self, owner, message):
        if isinstance(message, messages.FrameBatch):
            for frame in message.frames:
                self._read(owner, frame)
            return
        key = key_of(message.request_id, message.attempt)
        assert self.used[key] == owner
        got = self.got[key]
        if isinstance(message, messages.StreamFinished):
            assert len(got) == message.offset
            return
        assert message.offset == len(got)
        got.extend(message.tokens)
        assert got == [f'{key}/{place}' for place in range(len(got))]


StreamsTest = Streams.TestCase
StreamsTest.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


class StreamTableTest(unittest.TestCase):
    """Silent and restarted owners, and reused ids."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.table = owned.StreamTable(clock=self.clock)
        self.table.hear(sender_of('entry-1', 'a'))
        self.start('r1')

    def start(self, request_id, *, attempt=1, owner='entry-1'):
        """Start a stream."""
        return self.table.start(
            key=key_of(request_id, attempt),
            owner_id=owner,
            request=request_of(request_id, attempt=attempt),
        )

    def test_start_of_a_known_id(self):
        rows = (
            ('repeated', 'r1', 1, 'entry-1', owned.Start.REPEATED),
            ('other owner', 'r1', 1, 'entry-2', owned.Start.REUSED),
            ('next attempt of another', 'r1', 2, 'entry-2', 'reused'),
            ('next attempt', 'r1', 2, 'entry-1', owned.Start.NEW),
        )
        for name, request_id, attempt, owner, expected in rows:
            with self.subTest(name):
                self.setUp()
                answer = self.start(request_id, attempt=attempt, owner=owner)
                self.assertEqual(owned.Start(expected), answer)

    def test_id_of_a_removed_stream_is_not_used_again(self):
        self.table.remove(key_of('r1'))
        self.assertEqual(owned.Start.REUSED, self.start('r1'))

    def test_silent_owner_loses_its_streams(self):
        self.clock.advance(duration_ms=owned.OWNER_SILENCE_MS)
        self.assertEqual((), self.table.expired())
        self.clock.advance(duration_ms=1)
        self.assertEqual((key_of('r1'),), self.table.expired())

    def test_restarted_owner_loses_its_streams(self):
        heard = self.table.hear(sender_of('entry-1', 'b', incarnation='2'))
        self.assertTrue(heard.restarted)
        self.assertEqual((key_of('r1'),), heard.orphans)

    def test_streams_that_the_list_lacks_are_unwanted(self):
        self.start('r2')
        unwanted = self.table.unwanted(
            owner_id='entry-1', request_ids=frozenset({'r2'})
        )
        self.assertEqual((key_of('r1'),), unwanted)

    def test_extents(self):
        rows = (
            (0, 3, owned.Extent.NEXT),
            (2, 3, owned.Extent.NEXT),
            (0, 5, owned.Extent.KNOWN),
            (6, 1, owned.Extent.GAP),
        )
        for offset, count, expected in rows:
            with self.subTest(offset=offset, count=count):
                extent = self.table.extend(
                    key=key_of('r1'), offset=offset, tokens=('t',) * count
                )
                self.assertEqual(expected, extent)

    def test_tokens_after_the_ending_are_dropped(self):
        failed = messages.StreamFailed(
            request_id='r1',
            attempt=1,
            offset=0,
            kind=ErrorKind.BACKEND_FAILED,
            load=LOAD,
        )
        self.table.end(key=key_of('r1'), ending=failed)
        extent = self.table.extend(
            key=key_of('r1'), offset=0, tokens=('late',)
        )
        self.assertEqual(owned.Extent.UNKNOWN_STREAM, extent)
