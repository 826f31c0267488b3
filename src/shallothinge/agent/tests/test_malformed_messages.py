"""Tests of malformed messages to an agent.

Whatever a message holds, the agent must go on: later streams run, no step
that repeats fails, and the engine and the gate hold nothing in the end.
"""

import logging

import attrs
import msgpack
from twisted.internet import defer

from shallothinge import periodic
from shallothinge import protocol
from shallothinge import wire
from shallothinge.agent.tests import fleet
from shallothinge.agent.tests import test_faults
from shallothinge.calls import messages as calls
from shallothinge.errors import ErrorKind
from shallothinge.reservations import messages as reservations
from shallothinge.reservations import table as tables
from shallothinge.streams import messages
from shallothinge.transport import endpoint

MAX_INT = 2**63 - 1
ODD = (None, True, '', 'x', b'x', -1, -(10**6), -MAX_INT, MAX_INT, -0.5)
ODD += (1e300, float('nan'), float('inf'), [], [[]], [1, 2], {}, {'a': 1})
CODEC = protocol.build_codec()
PEER = endpoint.Peer(
    route=b'odd', role='entry', process_id='entry-2', incarnation='1'
)


def sound_messages(number):
    """Return one message of each kind that an entry sends."""
    key = {'request_id': f'odd-{number}', 'attempt': 1}
    return (
        fleet.start_message(f'odd-{number}', entry_id='entry-2'),
        messages.ResumeStream(entry_id='entry-2', next_offset=0, **key),
        messages.CancelStream(**key),
        messages.StreamsOwned(entry_id='entry-2', request_ids=('odd',)),
        messages.CacheListingRequested(entry_id='entry-2'),
        reservations.ReserveMemory(
            reservation_id=f'odd-{number}',
            request_id=f'odd-{number}',
            entry_id='entry-2',
            tokens=50,
            expiry_ms=1,
        ),
        reservations.ReleaseMemory(reservation_id=f'odd-{number}'),
        calls.CallService(
            entry_id='entry-2',
            workspace='w',
            service='x',
            method='GET',
            path='/',
            **key,
        ),
    )


class MalformedMessagesTest(test_faults.FaultCase):
    """One agent whose engine has memory for 120,000 tokens."""

    def receive(self, message, **odd):
        """Receive a message as an endpoint does."""
        fields = attrs.asdict(message) | odd
        packed = msgpack.packb([type(message).__name__, fields])
        try:
            decoded = CODEC.decode(packed)
        except wire.WireError:
            return
        try:
            self.agent._receive(PEER, decoded)
        except Exception:
            # The transport logs it and goes on.
            pass

    @defer.inlineCallbacks
    def test_agent_serves_after_any_odd_field(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        yield self.start()
        failures = periodic.FAILURES.count
        number = 0
        for index in range(len(sound_messages(0))):
            names = attrs.fields_dict(type(sound_messages(0)[index]))
            for name in names:
                for odd in ODD:
                    number += 1
                    self.receive(sound_messages(number)[index], **{name: odd})
                    self.assertGreaterEqual(self.agent.gate.held_tokens, 0)
            yield self.until(lambda: len(self.agent.streams) < 2)
        yield self.run_stream('r1', max_tokens=8)
        yield self.until(lambda: len(self.tokens('r1')) == 8)
        # As the owner restarts; otherwise they expire.
        self.agent.holdings.release_owner('entry-2')
        yield self.engine_is_empty()
        self.assertEqual(failures, periodic.FAILURES.count)

    @defer.inlineCallbacks
    def test_work_of_fewer_than_no_tokens_is_refused(self):
        # It counted against other work, and the gate admitted more than the
        # engine holds.
        yield self.start()
        yield self.deliver(
            self.entry, fleet.start_message('r1', max_tokens=-100_000)
        )
        yield self.deliver(self.entry, self.reserve('p1', tokens=-100_000))
        yield self.until(lambda: self.got(messages.StreamRefused))
        yield self.until(lambda: self.got(reservations.ReservationRefused))
        [refused] = self.got(messages.StreamRefused)
        self.assertIs(ErrorKind.BAD_REQUEST, refused.kind)
        self.assertEqual(0, self.agent.gate.held_tokens)

    @defer.inlineCallbacks
    def test_memory_is_not_held_for_centuries(self):
        # Nobody extends it once its owner is gone for good.
        yield self.start()
        yield self.deliver(self.entry, self.reserve(expiry_ms=MAX_INT))
        yield self.until(lambda: self.got(reservations.MemoryReserved))
        [held] = self.agent.reserved.all()
        left_ms = held.ends_ms - self.agent._clock.now_ms()
        self.assertLessEqual(left_ms, tables.MAX_EXPIRY_MS)
