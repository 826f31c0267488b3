"""Tests of the small pure parts: authority, stalls, watch, releases."""

import unittest

from shallothinge import clock
from shallothinge.agent import authority
from shallothinge.agent import model
from shallothinge.agent import reconcile
from shallothinge.agent import stall
from shallothinge.agent import status
from shallothinge.agent import watch
from shallothinge.bundles import model as bundles
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders
from shallothinge.leases import messages

LEASE_MS = 3000
VERSION = 5


def make_holder(*, manual_clock, **config) -> holders.LeaseHolder:
    """Return a holder with a lease under a configuration."""
    holder = holders.LeaseHolder(
        clock=manual_clock,
        holder_id='agent-1',
        incarnation='1',
        role='agent',
        wants_members=False,
    )
    grant = messages.LeaseGranted(
        sequence=holder.next_request().sequence,
        duration_ms=LEASE_MS,
        state_version=VERSION,
        fence=1,
        config=bundles.ServingConfig(state_version=VERSION, **config),
    )
    holder.apply_grant(grant)
    return holder


class AuthorityTest(unittest.TestCase):
    """Who may begin new work, row by row."""

    def test_rows(self):
        rows = (
            ('allowed', {}, 0, VERSION, None),
            ('older asker', {}, 0, VERSION - 1, None),
            ('newer asker', {}, 0, VERSION + 1, ErrorKind.NO_LEASE),
            ('frozen', {}, LEASE_MS, VERSION, ErrorKind.NO_LEASE),
            ('zone', {'zones_out': ('z',)}, 0, VERSION, ErrorKind.ZONE_OUT),
            (
                'older asker, zone out',
                {'zones_out': ('z',)},
                0,
                VERSION - 1,
                ErrorKind.ZONE_OUT,
            ),
            (
                'server',
                {'servers_out': ('agent-1',)},
                0,
                VERSION,
                ErrorKind.BACKEND_OUT,
            ),
        )
        for name, config, waited_ms, version, expected in rows:
            with self.subTest(name):
                manual = clock.ManualClock()
                checked = authority.Authority(
                    holder=make_holder(manual_clock=manual, **config),
                    server_id='agent-1',
                    zone='z',
                )
                manual.advance(duration_ms=waited_ms)
                answer = checked.may_begin(state_version=version)
                self.assertEqual(expected, getattr(answer, 'kind', None))

    def test_older_asker_may_not_use_what_the_bundle_took_away(self):
        workspace = bundles.WorkspaceSpec(
            name='jenga-fix',
            key_hashes=(),
            models=('small@1',),
            services=('booking',),
        )
        bundle = bundles.Bundle(
            version=1,
            replaces_version=0,
            models=(),
            services=(),
            workspaces=(workspace,),
        )
        holder = make_holder(manual_clock=clock.ManualClock(), bundle=bundle)
        checked = authority.Authority(
            holder=holder, server_id='agent-1', zone='z'
        )
        rows = (
            ('granted model', VERSION - 1, 'jenga-fix', 'small@1', True),
            ('granted service', VERSION - 1, 'jenga-fix', 'booking', True),
            ('older version', VERSION - 1, 'jenga-fix', 'small@0', False),
            ('unknown workspace', VERSION - 1, 'pwani', 'small@1', False),
            ('checked by the asker', VERSION, 'pwani', 'small@1', True),
        )
        for name, version, workspace_name, used, expected in rows:
            with self.subTest(name):
                answer = checked.may_use(
                    state_version=version,
                    workspace=workspace_name,
                    name=used,
                )
                self.assertEqual(expected, answer)

    def test_superseded_agent_may_not_act(self):
        checked = authority.Authority(
            holder=make_holder(manual_clock=clock.ManualClock()),
            server_id='agent-1',
            zone='z',
        )
        checked.supersede(fence=1)
        self.assertFalse(checked.may_act())


class StallTest(unittest.TestCase):
    """How long messages may have waited."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.stall = stall.StallDetector(clock=self.clock)

    def test_messages_read_after_a_freeze_count_from_its_start(self):
        self.clock.advance(duration_ms=5000)
        self.assertEqual(5000, self.stall.waited_ms())
        self.stall.tick()
        self.assertEqual(5000, self.stall.waited_ms())

    def test_a_freeze_is_over_after_the_queue_was_drained(self):
        self.clock.advance(duration_ms=5000)
        for _ in range(10):
            self.stall.tick()
            self.clock.advance(duration_ms=stall.TICK_MS)
        self.assertEqual(0, self.stall.waited_ms())

    def test_usual_ticks_are_no_freeze(self):
        for _ in range(10):
            self.clock.advance(duration_ms=stall.TICK_MS)
            self.assertEqual(0, self.stall.waited_ms())
            self.stall.tick()


class WatchTest(unittest.TestCase):
    """Health of one engine."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.watch = watch.EngineWatch(clock=self.clock)
        self.hear('first')

    def hear(self, incarnation):
        """Note an answer of a ready engine."""
        health = model.EngineHealth(incarnation=incarnation, ready=True)
        return self.watch.heard(health)

    def test_frozen_is_told_once(self):
        self.clock.advance(duration_ms=watch.FROZEN_MS)
        self.assertFalse(self.watch.is_serving())
        self.assertEqual(watch.Change.FROZEN, self.watch.missed())
        self.assertEqual(watch.Change.NONE, self.watch.missed())
        self.assertEqual(watch.Change.NONE, self.hear('first'))
        self.assertTrue(self.watch.is_serving())

    def test_restart_is_seen_by_the_incarnation(self):
        self.assertEqual(watch.Change.RESTARTED, self.hear('second'))

    def test_broken_connection_holds_work_until_the_next_answer(self):
        self.watch.doubt()
        self.assertFalse(self.watch.is_serving())
        self.hear('first')
        self.assertTrue(self.watch.is_serving())


class ReleaseQueueTest(unittest.TestCase):
    """Releases that get lost."""

    def test_release_is_asked_for_until_confirmed(self):
        manual = clock.ManualClock()
        queue = reconcile.ReleaseQueue(clock=manual)
        holding = reconcile.Holding(
            collection=reconcile.Collection.STREAMS, identifier='r1.1'
        )
        queue.add(holding)
        for _ in range(3):
            self.assertEqual((holding,), queue.due())
            self.assertEqual((), queue.due())
            queue.failed(holding)
            manual.advance(duration_ms=reconcile.LAST_RETRY_MS)
        queue.confirmed(holding)
        self.assertEqual((), queue.due())
        self.assertEqual(0, len(queue))

    def test_silent_streams_are_those_behind_twice_without_progress(self):
        rows = (
            ('prefill', {'a': 0}, {'a': 0}, {'a': 0}, {'a': 0}, set()),
            ('silent', {'a': 5}, {'a': 2}, {'a': 9}, {'a': 2}, {'a'}),
            ('moving', {'a': 5}, {'a': 2}, {'a': 9}, {'a': 4}, set()),
            ('vanished', {}, {'a': 2}, {}, {'a': 2}, {'a'}),
        )
        for name, first, held, second, held_later, expected in rows:
            with self.subTest(name):
                check = reconcile.SilenceCheck()
                check.check(listed=first, held=held)
                silent = check.check(listed=second, held=held_later)
                self.assertEqual(expected, silent)


class CacheViewTest(unittest.TestCase):
    """The engine's cache from late events with gaps."""

    def test_gap_needs_a_listing(self):
        view = status.CacheView()
        view.take_listing(model.CacheListing(sequence=3, blocks=('a',)))
        events = [
            model.CacheEvent(sequence=4, op='added', block='b'),
            model.CacheEvent(sequence=6, op='added', block='d'),
        ]
        view.take_events(events)
        self.assertTrue(view.needs_listing)
        self.assertEqual({'a', 'b'}, view.blocks)
        view.take_listing(model.CacheListing(sequence=6, blocks=('b', 'd')))
        self.assertEqual((('b', 'd'), ('a',)), view.take_changes())

    def test_repeated_events_change_nothing(self):
        view = status.CacheView()
        view.take_listing(model.CacheListing(sequence=3, blocks=('a',)))
        view.take_events(
            [model.CacheEvent(sequence=2, op='removed', block='a')]
        )
        self.assertEqual({'a'}, view.blocks)
