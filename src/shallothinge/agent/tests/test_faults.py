"""Tests of what fails around an agent: entries, engines, lost messages.

After each fault the engine must hold nothing that nobody wants.
"""

from unittest import mock

from twisted.internet import defer

from shallothinge.agent import engine as engines
from shallothinge.agent import watch
from shallothinge.agent.tests import fleet
from shallothinge.bundles import model as bundles
from shallothinge.errors import ErrorKind
from shallothinge.reservations import messages as reservations
from shallothinge.standin import model as standin_model
from shallothinge.streams import messages
from shallothinge.streams import owned

SHORT_SILENCE_MS = 150
SHORT_FREEZE_MS = 300
LONG_ANSWER = 5000


class FaultCase(fleet.FleetCase):
    """An agent with an engine whose memory is looked at."""

    @defer.inlineCallbacks
    def start(self, settings=fleet.ENGINE, **backend):
        """Start an agent that serves, and an entry connected to it."""
        self.web, self.url = yield self.start_standin(settings)
        self.engine = self.web._engine
        self.agent = self.start_agent(url=self.url, **backend)
        self.entry = self.connect_entry(self.agent)
        yield self.until(lambda: self.agent.streams.reconciled)

    @defer.inlineCallbacks
    def run_stream(self, request_id='r1', **fields):
        """Start a long stream and wait for its first tokens."""
        fields.setdefault('max_tokens', LONG_ANSWER)
        message = fleet.start_message(request_id, **fields)
        yield self.deliver(self.entry, message)
        yield self.until(lambda: self.tokens(request_id))

    @defer.inlineCallbacks
    def engine_is_empty(self):
        """Wait until engine and gate hold nothing."""
        yield self.until(lambda: self.engine.memory.held_tokens == 0)
        yield self.until(lambda: self.agent.gate.held_tokens == 0)
        self.assertEqual({}, self.engine.streams)
        self.assertEqual({}, self.engine.reservations)

    def reserve(self, reservation_id='p1', **fields):
        """Return a request for a reservation."""
        values = {
            'request_id': 'r1',
            'entry_id': 'entry-1',
            'tokens': 5000,
            'expiry_ms': 60_000,
        }
        values.update(fields)
        return reservations.ReserveMemory(
            reservation_id=reservation_id, **values
        )


class EntryFaultTest(FaultCase):
    """Entries that die, restart or forget."""

    @defer.inlineCallbacks
    def test_streams_of_a_silent_entry_are_cancelled(self):
        yield self.start()
        yield self.run_stream()
        self.entry.close()
        with mock.patch.object(owned, 'OWNER_SILENCE_MS', SHORT_SILENCE_MS):
            yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_streams_and_reservations_of_a_restarted_entry_are_ended(self):
        yield self.start()
        yield self.run_stream()
        yield self.deliver(self.entry, self.reserve())
        yield self.until(lambda: self.got(reservations.MemoryReserved))
        self.entry.close()
        restarted = self.connect_entry(self.agent)
        yield self.deliver(
            restarted, messages.StreamsOwned(entry_id='entry-1')
        )
        yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_stream_that_the_list_lacks_is_cancelled(self):
        yield self.start()
        yield self.run_stream()
        yield self.deliver(
            self.entry, messages.StreamsOwned(entry_id='entry-1')
        )
        yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_stream_of_another_entry_is_left_alone(self):
        yield self.start()
        yield self.run_stream(max_tokens=60)
        other = self.connect_entry(self.agent, name='entry-2')
        yield self.deliver(
            other, messages.CancelStream(request_id='r1', attempt=1)
        )
        yield self.deliver(other, messages.StreamsOwned(entry_id='entry-1'))
        yield self.until(lambda: self.got(messages.StreamFinished))
        self.assertEqual(60, len(self.tokens('r1')))

    @defer.inlineCallbacks
    def test_half_made_reservation_expires(self):
        yield self.start()
        yield self.deliver(
            self.entry, self.reserve(expiry_ms=SHORT_SILENCE_MS)
        )
        yield self.until(lambda: self.got(reservations.MemoryReserved))
        yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_reservation_beyond_the_limit_is_refused(self):
        yield self.start()
        yield self.deliver(self.entry, self.reserve(tokens=200_000))
        yield self.until(lambda: self.got(reservations.ReservationRefused))
        yield self.engine_is_empty()


class AgentFaultTest(FaultCase):
    """Agents that restart, lose cancellations or are cut off."""

    @defer.inlineCallbacks
    def test_restarted_agent_ends_what_it_does_not_know(self):
        yield self.start()
        yield self.run_stream()
        yield self.deliver(self.entry, self.reserve())
        yield self.until(lambda: self.got(reservations.MemoryReserved))
        self.agent.close()
        self.assertNotEqual(0, self.engine.memory.held_tokens)
        self.control.fence += 1
        self.agent = self.start_agent(url=self.url)
        yield self.until(lambda: self.agent.streams.reconciled)
        yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_lost_cancellation_is_repeated(self):
        yield self.start()
        yield self.run_stream()
        lost = [defer.fail(ConnectionError()) for _ in range(2)]
        delete = engines.EngineClient.delete

        def lossy(client, **fields):
            return lost.pop() if lost else delete(client, **fields)

        with mock.patch.object(engines.EngineClient, 'delete', lossy):
            yield self.deliver(
                self.entry, messages.CancelStream(request_id='r1', attempt=1)
            )
            yield self.engine_is_empty()
        self.assertEqual([], lost)

    @defer.inlineCallbacks
    def test_cut_off_agent_takes_no_work_and_finishes_what_runs(self):
        yield self.start()
        yield self.run_stream(max_tokens=30)
        self.end_lease(self.agent)
        yield self.deliver(self.entry, fleet.start_message('r2'))
        yield self.until(lambda: self.got(messages.StreamRefused))
        yield self.until(lambda: self.got(messages.StreamFinished))
        self.assertEqual(
            ErrorKind.NO_LEASE, self.got(messages.StreamRefused)[0].kind
        )
        self.assertEqual(30, len(self.tokens('r1')))
        self.assertEqual(1, self.engine.counters.streams_started)

    @defer.inlineCallbacks
    def test_lease_that_ends_while_connecting_stops_the_request(self):
        yield self.start()
        answers = [True]
        authority = self.agent.authority
        with mock.patch.object(
            authority, 'may_act', lambda: bool(answers and answers.pop())
        ):
            answers.clear()
            yield self.deliver(self.entry, fleet.start_message('r1'))
            yield self.until(lambda: self.got(messages.StreamRefused))
        self.assertEqual(
            ErrorKind.NO_LEASE, self.got(messages.StreamRefused)[0].kind
        )
        self.assertEqual(0, self.engine.counters.streams_started)

    @defer.inlineCallbacks
    def test_request_that_waited_beyond_its_deadline_is_not_run(self):
        yield self.start()
        with mock.patch.object(self.agent._stall, 'waited_ms', lambda: 30_000):
            yield self.deliver(
                self.entry, fleet.start_message('r1', deadline_ms=20_000)
            )
            yield self.until(lambda: self.got(messages.StreamRefused))
        self.assertEqual(
            ErrorKind.EXPIRED_NOT_RUN,
            self.got(messages.StreamRefused)[0].kind,
        )
        self.assertEqual(0, self.engine.counters.streams_started)


class EngineFaultTest(FaultCase):
    """Engines that fail, freeze or lose a connection."""

    @defer.inlineCallbacks
    def test_restarted_engine_fails_its_streams_with_the_offset(self):
        yield self.start()
        yield self.run_stream()
        self.engine.restart()
        yield self.until(lambda: self.got(messages.StreamFailed))
        failed = self.got(messages.StreamFailed)[0]
        self.assertEqual(ErrorKind.BACKEND_FAILED, failed.kind)
        self.assertEqual(len(self.tokens('r1')), failed.offset)
        yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_frozen_engine_fails_its_streams(self):
        yield self.start()
        yield self.run_stream()
        with (
            mock.patch.object(
                engines.EngineClient,
                'health',
                lambda client: defer.fail(TimeoutError()),
            ),
            mock.patch.object(watch, 'FROZEN_MS', SHORT_FREEZE_MS),
        ):
            yield self.until(lambda: self.got(messages.StreamFailed))
        yield self.engine_is_empty()

    @defer.inlineCallbacks
    def test_broken_connection_is_resumed_at_the_next_offset(self):
        yield self.start()
        yield self.run_stream(max_tokens=60)
        for reader in list(self.web._readers):
            reader.request.loseConnection()
        yield self.until(lambda: self.got(messages.StreamFinished))
        self.assertEqual(60, len(self.tokens('r1')))
        self.assertEqual(1, self.engine.counters.streams_started)

    @defer.inlineCallbacks
    def test_silent_connection_is_replaced(self):
        yield self.start()
        yield self.run_stream(max_tokens=60)
        for reader in list(self.web._readers):
            self.web._readers.remove(reader)
        yield self.until(lambda: self.got(messages.StreamFinished))
        self.assertEqual(60, len(self.tokens('r1')))

    @defer.inlineCallbacks
    def test_idle_engine_is_warmed_up_without_a_fall(self):
        options = standin_model.EngineOptions(
            starts_cold=True, cold_slowdown=2, warm_up_tokens=20_000
        )
        settings = standin_model.EngineFile(engine=options)
        yield self.start(settings, cold_limit_tokens=16_000)
        yield self.deliver(self.entry, self.reserve(tokens=100_000))
        yield self.until(lambda: self.got(reservations.ReservationRefused))
        refused = self.got(reservations.ReservationRefused)[0]
        self.assertEqual(ErrorKind.COLD_LIMIT, refused.kind)
        yield self.until(lambda: self.agent.limit.is_full)
        yield self.deliver(self.entry, self.reserve(tokens=100_000))
        yield self.until(lambda: self.got(reservations.MemoryReserved))
        self.assertEqual(0, self.engine.counters.falls)

    @defer.inlineCallbacks
    def test_models_of_the_bundle_are_loaded_and_announced(self):
        yield self.start(checks_fencing=True)
        bundle = bundles.Bundle(
            version=1,
            replaces_version=0,
            models=(
                bundles.ModelSpec(name='small', version='1'),
                bundles.ModelSpec(name='large', version='2'),
            ),
            services=(),
            workspaces=(),
        )
        self.control.config = bundles.ServingConfig(
            state_version=2, bundle=bundle
        )
        announced = ('small@1', 'large@2')
        yield self.until(
            lambda: self.control.requests[-1].server.models == announced
        )
        self.assertIn('large@2', self.engine.models)
