"""Tests of the agent's path from an entry to the backend server."""

from twisted.internet import defer

from shallothinge.agent.tests import fleet
from shallothinge.bundles import model as bundles
from shallothinge.errors import ErrorKind
from shallothinge.streams import messages


class StreamPathTest(fleet.FleetCase):
    """Streams through an agent to a stand-in engine."""

    @defer.inlineCallbacks
    def start(self, settings=fleet.ENGINE, **backend):
        """Start an agent that serves, and an entry connected to it."""
        self.web, url = yield self.start_standin(settings)
        self.agent = self.start_agent(url=url, **backend)
        self.entry = self.connect_entry(self.agent)
        yield self.until(self.agent.watch.is_serving)
        yield self.until(lambda: self.agent.streams.reconciled)

    @defer.inlineCallbacks
    def test_stream_arrives_whole(self):
        yield self.start()
        yield self.deliver(self.entry, fleet.start_message('r1'))
        yield self.until(lambda: self.got(messages.StreamFinished))
        finished = self.got(messages.StreamFinished)[0]
        self.assertEqual(1, len(self.got(messages.StreamAccepted)))
        self.assertEqual(8, finished.offset)
        self.assertEqual(8, len(self.tokens('r1')))

    @defer.inlineCallbacks
    def test_engine_holds_nothing_after_the_stream(self):
        yield self.start()
        yield self.deliver(self.entry, fleet.start_message('r1'))
        yield self.until(lambda: self.got(messages.StreamFinished))
        yield self.until(lambda: not self.agent.releases.all())
        self.assertEqual(0, self.agent.gate.held_tokens)
        self.assertEqual({}, self.web._engine.streams)

    @defer.inlineCallbacks
    def test_refusals(self):
        yield self.start()
        config = bundles.ServingConfig(state_version=2, zones_out=('zone-a',))
        self.control.config = config
        yield self.deliver(
            self.entry, fleet.start_message('newer', state_version=2)
        )
        yield self.until(lambda: self.agent.holder.config == config)
        yield self.deliver(self.entry, fleet.start_message('out'))
        yield self.until(lambda: len(self.got(messages.StreamRefused)) == 2)
        kinds = {
            refusal.request_id: refusal.kind
            for refusal in self.got(messages.StreamRefused)
        }
        expected = {'newer': ErrorKind.NO_LEASE, 'out': ErrorKind.ZONE_OUT}
        self.assertEqual(expected, kinds)
        self.assertEqual(0, self.web._engine.counters.streams_started)

    @defer.inlineCallbacks
    def test_stop_finishes_what_runs_and_refuses_the_rest(self):
        yield self.start()
        yield self.deliver(
            self.entry, fleet.start_message('r1', max_tokens=40)
        )
        yield self.until(lambda: self.got(messages.StreamAccepted))
        stopped = self.agent.stop()
        stopped_again = self.agent.stop()
        yield self.deliver(self.entry, fleet.start_message('late'))
        yield self.until(lambda: self.got(messages.StreamFinished))
        owned = messages.StreamsOwned(entry_id='entry-1')
        yield self.deliver(self.entry, owned)
        yield stopped
        yield stopped_again
        refusal = self.got(messages.StreamRefused)[0]
        self.assertEqual(ErrorKind.STOPPING, refusal.kind)
        self.assertEqual(40, len(self.tokens('r1')))
        self.assertTrue(self.control.requests[-1].leaving)
