"""Tests of the holder's side of a lease."""

import unittest

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
    """When a holder may act, and under which configuration."""

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
        self.holder.granted(self._grant(sequence=request.sequence))
        self.assertEqual(940, self.holder.remaining_ms)

    def test_answer_after_freeze_gives_no_lease(self):
        request = self.holder.next_request()
        self.clock.advance(duration_ms=4000)
        self.holder.granted(self._grant(sequence=request.sequence))
        self.assertFalse(self.holder.is_valid())

    def test_repeated_grant_is_ignored(self):
        request = self.holder.next_request()
        grant = self._grant(sequence=request.sequence)
        self.assertTrue(self.holder.granted(grant))
        self.assertFalse(self.holder.granted(grant))

    def test_grant_for_older_configuration_does_not_renew(self):
        config = ServingConfig(state_version=5, zones_out=('a',))
        first = self.holder.next_request()
        self.holder.granted(
            self._grant(sequence=first.sequence, version=5, config=config)
        )
        second = self.holder.next_request()
        stale = self._grant(sequence=second.sequence, version=4)
        self.assertFalse(self.holder.granted(stale))
        self.assertEqual(config, self.holder.config)

    def test_grant_for_newer_configuration_must_carry_it(self):
        request = self.holder.next_request()
        grant = self._grant(sequence=request.sequence, version=3)
        self.assertFalse(self.holder.granted(grant))
        self.assertFalse(self.holder.is_valid())

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
                self.holder.granted(grant)
                self.assertEqual(expected, set(self.holder.members))

    def test_late_answer_does_not_undo_newer_membership(self):
        early = self.holder.next_request()
        late = self.holder.next_request()
        for request, server_id in ((late, 's2'), (early, 's1')):
            listing = MembershipUpdate(
                version=1, complete=True, joined=(_server(server_id),)
            )
            grant = self._grant(sequence=request.sequence, members=listing)
            self.holder.granted(grant)
        self.assertEqual({'s2'}, set(self.holder.members))
