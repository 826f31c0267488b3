"""Tests of following the leader among control hosts."""

import unittest

from twisted.internet import task

from shallothinge import clock
from shallothinge.errors import ErrorKind
from shallothinge.leases import client
from shallothinge.leases import holder
from shallothinge.leases import messages
from shallothinge.membership.model import MembershipUpdate
from shallothinge.settings import model

HOST_IDS = ('control-1', 'control-2', 'control-3')
STEP_MS = 10
LEASE_MS = 3000
ELECTION_MS = 1500


class FakeControl:
    """Three control hosts, of which one leads and others may be silent."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.reactor = task.Clock()
        self.leader_id = HOST_IDS[0]
        self.known_leader_id = HOST_IDS[0]
        self.silent_ids = set()

    def connect(self, *, address, role, on_message):
        """Open a connection to a host, whose address is its id."""
        return FakeLink(control=self, host_id=address, on_message=on_message)

    def answer(self, host_id, request):
        """Return a host's answer to a lease request."""
        if host_id == self.leader_id:
            return messages.LeaseGranted(
                sequence=request.sequence,
                duration_ms=LEASE_MS,
                state_version=0,
            )
        return messages.LeaseRefused(
            sequence=request.sequence,
            kind=ErrorKind.NOT_LEADER,
            leader_id=self.known_leader_id,
        )

    def advance(self, *, duration_ms):
        """Let time pass in small steps."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(duration_ms=STEP_MS)
            self.reactor.advance(STEP_MS / 1000)


class FakeLink:
    """A connection that takes messages also for a silent host."""

    def __init__(self, *, control, host_id, on_message):
        self._control = control
        self._host_id = host_id
        self._on_message = on_message

    def send(self, message):
        """Deliver at once and answer in the next turn."""
        if self._host_id not in self._control.silent_ids:
            answer = self._control.answer(self._host_id, message)
            self._control.reactor.callLater(0.002, self._on_message, answer)
        return True

    def close(self):
        """Nothing to close."""


class FollowLeaderTest(unittest.TestCase):
    """The lease is kept whichever host goes silent."""

    def setUp(self):
        self.control = FakeControl()
        self.holder = holder.LeaseHolder(
            clock=self.control.clock,
            holder_id='e1',
            incarnation='1',
            role='entry',
            wants_members=True,
        )
        self.client = client.ControlClient(
            process=self.control,
            hosts=tuple(
                model.ControlHost(process_id=host_id, address=host_id)
                for host_id in HOST_IDS
            ),
            holder=self.holder,
        )
        self.client.start()
        self.addCleanup(self.client.close)
        self.control.advance(duration_ms=2000)

    def _listed(self, *, epoch, version):
        """Let the holder take a complete list of one leadership."""
        request = self.holder.next_request()
        self.holder.granted(
            messages.LeaseGranted(
                sequence=request.sequence,
                duration_ms=LEASE_MS,
                state_version=0,
                members_epoch=epoch,
                members=MembershipUpdate(version=version, complete=True),
            )
        )

    def test_nudge_of_a_new_leader_is_followed_though_its_list_is_short(self):
        self._listed(epoch='old', version=150)
        rows = (
            ('old', 150, False),
            ('old', 149, False),
            ('old', 151, True),
            ('new', 2, True),
        )
        for epoch, version, is_followed in rows:
            with self.subTest(epoch=epoch, version=version):
                before = self.holder.next_request().sequence
                self.client._receive(
                    messages.LeaseNudge(
                        state_version=0,
                        members_epoch=epoch,
                        members_version=version,
                    )
                )
                asked = self.holder.next_request().sequence - before - 1
                self.assertEqual(is_followed, bool(asked))

    def _advance_with_lease(self, *, duration_ms):
        for _ in range(duration_ms // 100):
            self.control.advance(duration_ms=100)
            self.assertTrue(self.holder.is_valid())

    def test_lease_outlives_a_leader_that_goes_silent(self):
        for successor in HOST_IDS[1:]:
            with self.subTest(successor=successor):
                self.control.silent_ids = {self.control.leader_id}
                self._advance_with_lease(duration_ms=ELECTION_MS)
                self.control.leader_id = successor
                self.control.known_leader_id = successor
                self._advance_with_lease(duration_ms=20_000)

    def test_lease_outlives_followers_that_name_the_silent_leader(self):
        self.control.silent_ids = {'control-1'}
        self.control.leader_id = 'control-3'
        self._advance_with_lease(duration_ms=500)
        self.control.known_leader_id = 'control-3'
        self._advance_with_lease(duration_ms=10_000)
