"""Tests of the holder's side of a lease."""

import unittest

import attrs

from shallothinge import clock
from shallothinge.bundles.model import ServingConfig
from shallothinge.leases import holder
from shallothinge.leases import messages
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import MembershipUpdate


def _server(server_id):
    return BackendServer(
        server_id=server_id,
        incarnation='1',
        address='tcp://127.0.0.1:1',
        zone='a',
        host='h',
    )


class LeaseHolderTest(unittest.TestCase):
    """Validity of the lease, configuration and membership updates."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.holder = holder.LeaseHolder(
            clock=self.clock,
            holder_id='e1',
            incarnation='1',
            role='entry',
            wants_members=True,
        )

    def _grant(self, *, sequence, version=0, config=None, **fields):
        return messages.LeaseGranted(
            sequence=sequence,
            duration_ms=3000,
            state_version=version,
            config=config,
            **fields,
        )

    def test_lease_counts_from_send_time(self):
        request = self.holder.next_request()
        self.clock.advance(duration_ms=2000)
        self.holder.apply_grant(self._grant(sequence=request.sequence))
        self.assertEqual(940, self.holder.remaining_ms)

    def test_answer_after_freeze_gives_no_lease(self):
        request = self.holder.next_request()
        self.clock.advance(duration_ms=4000)
        self.holder.apply_grant(self._grant(sequence=request.sequence))
        self.assertFalse(self.holder.is_valid())

    def test_first_list_of_a_new_leader_is_partial(self):
        # update, is_settled, expected is_member_list_partial
        first = MembershipUpdate(
            version=1, complete=True, joined=(_server('s1'),)
        )
        more = MembershipUpdate(
            version=2, complete=False, joined=(_server('s2'),)
        )
        for update, is_settled, is_partial in (
            (first, False, True),
            (more, False, True),
            (more, True, False),
            (None, False, True),
            (first, True, False),
            (None, False, False),
        ):
            request = self.holder.next_request()
            self.holder.apply_grant(
                self._grant(
                    sequence=request.sequence,
                    members=update,
                    members_epoch='e',
                    is_settled=is_settled,
                )
            )
            with self.subTest(update=update, is_settled=is_settled):
                self.assertEqual(
                    is_partial, self.holder.is_member_list_partial
                )

    def test_repeated_grant_is_ignored(self):
        request = self.holder.next_request()
        grant = self._grant(sequence=request.sequence)
        self.assertTrue(self.holder.apply_grant(grant))
        self.assertFalse(self.holder.apply_grant(grant))

    def test_grant_for_older_configuration_does_not_renew(self):
        config = ServingConfig(state_version=5, zones_out=('a',))
        first = self.holder.next_request()
        self.holder.apply_grant(
            self._grant(sequence=first.sequence, version=5, config=config)
        )
        second = self.holder.next_request()
        stale = self._grant(sequence=second.sequence, version=4)
        self.assertFalse(self.holder.apply_grant(stale))
        self.assertEqual(config, self.holder.config)

    def test_grant_for_newer_configuration_must_carry_it(self):
        request = self.holder.next_request()
        grant = self._grant(sequence=request.sequence, version=3)
        self.assertFalse(self.holder.apply_grant(grant))
        self.assertFalse(self.holder.is_valid())

    def test_grant_that_contradicts_itself_changes_nothing(self):
        # With a version that no grant reaches, the lease never came back.
        for config_version in (2, 2**63 - 1):
            with self.subTest(config_version=config_version):
                request = self.holder.next_request()
                config = ServingConfig(state_version=config_version)
                odd = self._grant(
                    sequence=request.sequence, version=1, config=config
                )
                self.assertFalse(self.holder.apply_grant(odd))
                self.assertEqual(0, self.holder.config.state_version)
                request = self.holder.next_request()
                grant = self._grant(sequence=request.sequence)
                self.assertTrue(self.holder.apply_grant(grant))

    def test_lease_is_never_long(self):
        # One of centuries would outlast each change of the configuration.
        for duration_ms in (2**63 - 1, holder.MAX_LEASE_MS + 1):
            with self.subTest(duration_ms=duration_ms):
                self.setUp()
                request = self.holder.next_request()
                self.holder.apply_grant(
                    messages.LeaseGranted(
                        sequence=request.sequence,
                        duration_ms=duration_ms,
                        state_version=0,
                    )
                )
                self.assertTrue(self.holder.is_valid())
                self.assertLessEqual(
                    self.holder.remaining_ms, holder.MAX_LEASE_MS
                )

    def test_membership_updates(self):
        joined = MembershipUpdate(
            version=1, complete=True, joined=(_server('s1'), _server('s2'))
        )
        left = MembershipUpdate(version=2, complete=False, left=('s1',))
        other_epoch = MembershipUpdate(version=9, complete=False, left=('s2',))
        steps = (
            ('full listing', 'l1', joined, {'s1', 's2'}),
            ('change', 'l1', left, {'s2'}),
            ('change of another leader', 'l2', other_epoch, {'s2'}),
            ('full listing again', 'l1', joined, {'s1', 's2'}),
        )
        for name, epoch, update, expected in steps:
            with self.subTest(name):
                request = self.holder.next_request()
                grant = self._grant(
                    sequence=request.sequence,
                    members=update,
                    members_epoch=epoch,
                )
                self.holder.apply_grant(grant)
                self.assertEqual(expected, set(self.holder.members))

    def test_preliminary_list_of_a_new_leader_is_merged(self):
        leaving = attrs.evolve(_server('s2'), leaving=True)
        steps = (
            (
                'l1',
                MembershipUpdate(
                    version=7,
                    complete=True,
                    joined=(_server('s1'), leaving, _server('s3')),
                ),
                {'s1': False, 's2': True, 's3': False},
            ),
            (
                'l2',
                MembershipUpdate(
                    version=2,
                    complete=False,
                    preliminary=True,
                    joined=(_server('s2'), _server('s4')),
                    left=('s3',),
                ),
                {'s1': False, 's2': True, 's4': False},
            ),
        )
        for epoch, update, expected in steps:
            request = self.holder.next_request()
            self.holder.apply_grant(
                self._grant(
                    sequence=request.sequence,
                    members=update,
                    members_epoch=epoch,
                )
            )
            listed = {
                server_id: server.leaving
                for server_id, server in self.holder.members.items()
            }
            self.assertEqual(expected, listed)
        self.assertEqual(7, self.holder.members_version)
        self.assertEqual('l1', self.holder.next_request().members_epoch)

    def test_peer_that_a_new_leader_does_not_list_yet_is_kept(self):
        def grant(digest, *peers):
            request = self.holder.next_request()
            self.holder.apply_grant(
                self._grant(
                    sequence=request.sequence, peers=peers, peers_digest=digest
                )
            )

        grant('l1', 'tcp://a', 'tcp://b')
        grant('l2', 'tcp://a')
        self.clock.advance(duration_ms=3000)
        self.assertEqual(('tcp://a', 'tcp://b'), self.holder.peers)
        self.clock.advance(duration_ms=holder.UNLISTED_PEER_RETENTION_MS)
        self.assertEqual(('tcp://a',), self.holder.peers)
        grant('l3', 'tcp://b')
        self.assertEqual({'tcp://a', 'tcp://b'}, set(self.holder.peers))

    def test_late_answer_does_not_undo_newer_membership(self):
        early = self.holder.next_request()
        late = self.holder.next_request()
        for request, server_id in ((late, 's2'), (early, 's1')):
            listing = MembershipUpdate(
                version=1, complete=True, joined=(_server(server_id),)
            )
            grant = self._grant(sequence=request.sequence, members=listing)
            self.holder.apply_grant(grant)
        self.assertEqual({'s2'}, set(self.holder.members))
