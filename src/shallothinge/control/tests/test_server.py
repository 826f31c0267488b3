"""Tests of the control server with an in-memory log."""

import unittest

import attrs

from shallothinge.bundles.tests import samples
from shallothinge.calls import messages as calls
from shallothinge.control import maintenance
from shallothinge.control.tests import fakes
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders
from shallothinge.leases import messages as leases
from shallothinge.membership.model import BackendServer
from shallothinge.operators import messages as operators


def _server(server_id, incarnation):
    return BackendServer(
        server_id=server_id,
        incarnation=incarnation,
        address='tcp://127.0.0.1:1',
        zone='a',
        host='h',
    )


class ServerTest(unittest.TestCase):
    """Leases, fencing and refusals."""

    def setUp(self):
        self.bench = fakes.Bench()

    def _holder(self, process_id, incarnation='1', *, agent=False):
        holder = holders.LeaseHolder(
            clock=self.bench.clock,
            holder_id=process_id,
            incarnation=incarnation,
            role='agent' if agent else 'entry',
            wants_members=not agent,
        )
        if agent:
            holder.server = _server(process_id, incarnation)
        return holder

    def _lease(self, holder):
        role = 'entry' if holder.server is None else 'agent'
        process_id = holder.next_request().holder_id
        return self.bench.lease(holder, role=role, process_id=process_id)

    def test_messages_of_other_roles_are_refused(self):
        rows = (
            (operators.DumpRequested(request_id='1'), 'entry'),
            (operators.QueryRequested(request_id='1', view='status'), 'agent'),
            (
                operators.SetZone(
                    order_id='1', operator='amina', zone='a', out=True
                ),
                'entry',
            ),
        )
        for message, role in rows:
            with self.subTest(message=message, role=role):
                answer = self.bench.ask(message, role=role)
                self.assertEqual(ErrorKind.FORBIDDEN, answer.kind)
        self.assertEqual([], self.bench.log.commands)

    def test_peer_gets_no_lease_for_another_process(self):
        request = self._holder('e1').next_request()
        answer = self.bench.ask(request, role='entry', process_id='e2')
        self.assertEqual(ErrorKind.FORBIDDEN, answer.kind)

    def test_follower_names_the_leader(self):
        self.bench.log.is_leader = False
        self.bench.log.leader_id = 'c2'
        answer = self._lease(self._holder('e1'))
        self.assertEqual(ErrorKind.NOT_LEADER, answer.kind)
        self.assertEqual('c2', answer.leader_id)

    def test_entry_learns_announced_servers(self):
        entry = self._holder('e1')
        self._lease(self._holder('s1', agent=True))
        self._lease(entry)
        self.assertEqual(['s1'], list(entry.members))
        self.bench.clock.advance(duration_ms=3001)
        self.bench.server.tick()
        self._lease(entry)
        self.assertEqual({}, entry.members)

    def test_one_confirmation_serves_all_waiting_requests(self):
        self.bench.log.holds_reads = True
        for number in range(5):
            self._lease(self._holder(f'e{number}'))
        self.assertEqual(1, self.bench.log.reads)
        self.bench.sent.clear()
        self.bench.log.release_reads()
        self.assertEqual(1, len(self.bench.sent))
        self.assertEqual(2, self.bench.log.reads)
        self.bench.log.release_reads()
        self.assertEqual(5, len(self.bench.sent))
        self.assertEqual(2, self.bench.log.reads)

    def test_no_lease_without_a_majority(self):
        self.bench.log.holds_reads = True
        self._lease(self._holder('e1'))
        self.assertEqual([], self.bench.sent)
        self.bench.log.release_reads(error=RuntimeError('deposed'))
        self.assertIsInstance(self.bench.sent[0], leases.LeaseRefused)

    def test_newest_incarnation_waits_for_its_predecessor(self):
        old = self._holder('s1', '1', agent=True)
        new = self._holder('s1', '2', agent=True)
        self.assertIsInstance(self._lease(old), leases.LeaseGranted)
        self.assertEqual(ErrorKind.NO_LEASE, self._lease(new).kind)
        self.assertEqual(ErrorKind.STALE_FENCE, self._lease(old).kind)
        self.bench.clock.advance(duration_ms=2999)
        self.assertEqual(ErrorKind.NO_LEASE, self._lease(new).kind)
        self.assertFalse(old.is_valid())
        self.bench.clock.advance(duration_ms=1)
        self.assertIsInstance(self._lease(new), leases.LeaseGranted)
        self.assertGreater(new.fence, old.fence)
        self.assertEqual(ErrorKind.STALE_FENCE, self._lease(old).kind)

    def test_new_leader_renews_at_once_and_admits_none_early(self):
        old = self._holder('s1', '1', agent=True)
        self._lease(old)
        self.bench.clock.advance(duration_ms=1000)
        self.bench.log.elected_ms = self.bench.clock.now_ms()
        self.assertIsInstance(self._lease(old), leases.LeaseGranted)
        other = self._holder('s2', '1', agent=True)
        self.assertEqual(ErrorKind.NO_LEASE, self._lease(other).kind)
        self.bench.clock.advance(duration_ms=3000)
        self.assertIsInstance(self._lease(other), leases.LeaseGranted)

    def test_new_leader_drops_no_members_before_it_hears_them(self):
        entry = self._holder('e1')
        self._lease(self._holder('s1', agent=True))
        self._lease(entry)
        self.bench.log.elected_ms = self.bench.clock.now_ms()
        self._lease(entry)
        self.assertEqual(['s1'], list(entry.members))

    def test_change_is_in_force_once_confirmed_or_run_out(self):
        confirming = self._holder('e1')
        frozen = self._holder('e2')
        self._lease(confirming)
        self._lease(frozen)
        version = self.bench.set_zone('a', out=True).state_version
        self._lease(confirming)
        self.assertEqual(('a',), confirming.config.zones_out)
        answer = self.bench.in_force(version)
        self.assertEqual(('e1', 'e2'), answer.waiting_for)
        self._lease(confirming)
        answer = self.bench.in_force(version)
        self.assertEqual(('e2',), answer.waiting_for)
        self.bench.clock.advance(duration_ms=3000)
        self.assertTrue(self.bench.in_force(version).in_force)
        self.assertFalse(frozen.is_valid())

    def test_holders_are_nudged_once_for_changes_in_quick_succession(self):
        self._lease(self._holder('e1'))
        nudges = []
        for out in (True, False):
            self.bench.set_zone('a', out=out)
            nudges += self.bench.sent[:-1]
        nudge = leases.LeaseNudge(state_version=1, members_epoch='1-0')
        self.assertEqual([nudge], nudges)
        self.bench.clock.advance(duration_ms=500)
        self.bench.sent.clear()
        self.bench.server.tick()
        nudge = attrs.evolve(nudge, state_version=2)
        self.assertEqual([nudge], self.bench.sent)

    def test_holders_of_a_new_leader_are_nudged_more_often(self):
        # After a restart of all processes, gateways had only one server for
        # 0.65 s: their first list held one, and the others were heard 0.1 s
        # later.
        self.bench.log.elected_ms = self.bench.clock.now_ms()
        self._lease(self._holder('e1'))
        for out in (True, False):
            self.bench.set_zone('a', out=out)
        for after_ms, count in ((99, 0), (1, 1)):
            self.bench.clock.advance(duration_ms=after_ms)
            self.bench.sent.clear()
            self.bench.server.tick()
            with self.subTest(after_ms=after_ms):
                self.assertEqual(count, len(self.bench.sent))

    def test_bundle_is_not_sent_again_for_an_outage(self):
        entry = self._holder('e1')
        self.bench.put_in_force(samples.bundle_text())
        self.assertIsNotNone(self._lease(entry).config.bundle)
        self.bench.set_zone('a', out=True)
        grant = self._lease(entry)
        self.assertIsNone(grant.config.bundle)
        self.assertEqual(('a',), entry.config.zones_out)
        self.assertEqual(1, entry.config.bundle.version)

    def test_agents_get_no_hashes_of_api_keys(self):
        entry = self._holder('e1')
        agent = self._holder('s1', agent=True)
        self.bench.put_in_force(samples.bundle_text())
        hashes = []
        for holder in (entry, agent):
            self._lease(holder)
            hashes.append(holder.config.bundle.workspaces[0].key_hashes)
        self.assertEqual([(samples.KEY_HASH,), ()], hashes)

    def test_claims_end_with_the_lease_of_their_entry(self):
        entry = self._holder('e1')
        self._lease(entry)
        claim = calls.ClaimCall(
            claim_id='c1',
            workspace='w',
            service='s',
            idempotency_key='k',
            body_hash='b',
            entry_id='e1',
            entry_incarnation='1',
        )
        self.bench.ask(claim, role='entry', process_id='e1')
        self.bench.clock.advance(duration_ms=2999)
        self.bench.server.tick()
        self.assertEqual((), self.bench.machine.data.claims.unknown())
        self.bench.clock.advance(duration_ms=maintenance.SWEEP_INTERVAL_MS)
        self.bench.server.tick()
        self.assertEqual(1, len(self.bench.machine.data.claims.unknown()))
        late = attrs.evolve(claim, claim_id='c2')
        answer = self.bench.ask(late, role='entry', process_id='e1')
        self.assertEqual(ErrorKind.NO_LEASE, answer.kind)
        answer = self.bench.ask(late, role='entry', process_id='e2')
        self.assertEqual(ErrorKind.FORBIDDEN, answer.kind)


class OrderTest(unittest.TestCase):
    """The life cycle of a bundle, and resent orders."""

    def setUp(self):
        self.bench = fakes.Bench()

    def test_bundle_is_submitted_signed_off_and_rolled(self):
        content = samples.bundle_text()
        self.assertIsNone(self.bench.submit(content).kind)
        self.assertEqual(ErrorKind.FORBIDDEN, self.bench.roll(content).kind)
        own = self.bench.sign_off(content, operator='amina')
        self.assertEqual(ErrorKind.FORBIDDEN, own.kind)
        self.assertIsNone(self.bench.sign_off(content).kind)
        rolled = self.bench.roll(content)
        self.assertIsNone(rolled.kind)
        config = self.bench.machine.data.config
        self.assertEqual(rolled.state_version, config.state_version)
        self.assertEqual(1, config.bundle.version)

    def test_second_bundle_of_the_same_version_is_refused(self):
        first = samples.bundle_text()
        second = samples.bundle_text(allowance_tokens=7)
        for content in (first, second):
            self.bench.submit(content)
            self.bench.sign_off(content)
        self.assertIsNone(self.bench.roll(second).kind)
        lost = self.bench.roll(first)
        self.assertEqual(ErrorKind.VERSION_CONFLICT, lost.kind)
        self.assertIn('rolled by amina', lost.detail)

    def test_resent_order_gets_its_first_answer(self):
        first = samples.bundle_text()
        self.bench.submit(first)
        self.bench.sign_off(first)
        rolled = self.bench.roll(first, order_id='roll-1')
        self.bench.put_in_force(samples.bundle_text(version=2, replaces=1))
        again = self.bench.roll(first, order_id='roll-1')
        self.assertEqual(rolled, again)
        self.assertEqual(2, self.bench.machine.data.config.bundle.version)
        other = self.bench.roll(
            samples.bundle_text(version=2, replaces=1), order_id='roll-1'
        )
        self.assertEqual(ErrorKind.BAD_REQUEST, other.kind)

    def test_refusal_names_line_and_key(self):
        bad = samples.bundle_text().replace('= false', '= 7')
        answer = self.bench.submit(bad)
        self.assertEqual(ErrorKind.BAD_REQUEST, answer.kind)
        self.assertIn('line 13: services.repeatable', answer.detail)

    def test_zone_that_no_bundle_knows_is_refused(self):
        self.bench.put_in_force(samples.bundle_text())
        answer = self.bench.set_zone('aa', out=True)
        self.assertEqual(ErrorKind.NOT_FOUND, answer.kind)
        self.assertIn('a, b', answer.detail)

    def test_views_are_json(self):
        self.bench.put_in_force(samples.bundle_text())
        for view in (
            'status',
            'bundles',
            'members',
            'usage',
            'unknown_calls',
        ):
            with self.subTest(view=view):
                answer = self.bench.ask(
                    operators.QueryRequested(request_id='1', view=view),
                    role='operator',
                )
                self.assertIsNone(answer.kind)
                self.assertTrue(answer.json_text)
        dumped = self.bench.ask(
            operators.DumpRequested(request_id='1'), role='operator'
        )
        self.assertIn('"in_force_hash"', dumped.json_text)
