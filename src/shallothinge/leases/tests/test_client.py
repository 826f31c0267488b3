"""Tests of the client's choice of control host."""

import math
import unittest

from twisted.internet import task

from shallothinge import clock
from shallothinge.errors import ErrorKind
from shallothinge.leases import client
from shallothinge.leases import holder
from shallothinge.leases import messages
from shallothinge.membership.model import MembershipUpdate
from shallothinge.operators import messages as operators
from shallothinge.settings import model
from shallothinge.transport import link

HOST_IDS = ('control-1', 'control-2', 'control-3')
STEP_MS = 10
LEASE_MS = 3000
ELECTION_MS = 1500


class FakeControl:
    """Three control hosts: one is the leader, any may be silent."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.reactor = task.Clock()
        self.leader_id = HOST_IDS[0]
        self.known_leader_id = HOST_IDS[0]
        self.silent_ids = set()
        self.control_ids = ()
        self.accepts_silent_ms = math.inf
        self.links = []
        self.opened_ids = []
        self.asked_ids = []

    def connect(self, *, address, role, on_message):
        """Open a connection to a host whose address is its id."""
        if 'odd' in address:
            raise ValueError('injected: not an address')
        opened = FakeLink(
            control=self,
            host_id=address.removeprefix('tcp://'),
            on_message=on_message,
        )
        self.links.append(opened)
        self.opened_ids.append(opened.host_id)
        return opened

    def linked_ids(self):
        """Return the hosts to which a connection is open."""
        return {opened.host_id for opened in self.links}

    def answer(self, host_id, request):
        """Return a host's answer to a request."""
        self.asked_ids.append(host_id)
        if isinstance(request, operators.DumpRequested):
            return messages.ControlRefused(
                request_id=request.request_id,
                kind=ErrorKind.NOT_LEADER,
                leader_id=self.known_leader_id,
            )
        if host_id == self.leader_id:
            return messages.LeaseGranted(
                sequence=request.sequence,
                duration_ms=LEASE_MS,
                state_version=0,
                control_ids=self.control_ids,
            )
        return messages.LeaseRefused(
            sequence=request.sequence,
            kind=ErrorKind.NOT_LEADER,
            leader_id=self.known_leader_id,
        )

    def advance(self, *, duration_ms):
        """Advance the clocks in steps of ``STEP_MS``."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(duration_ms=STEP_MS)
            self.reactor.advance(STEP_MS / 1000)


class FakeLink:
    """A connection that accepts messages until silence is detected."""

    def __init__(self, *, control, host_id, on_message):
        self._control = control
        self.host_id = host_id
        self._on_message = on_message
        self._heard_ms = control.clock.now_ms()

    @property
    def silent_ms(self):
        """Return how long the host was silent; a live host never is."""
        if self.host_id not in self._control.silent_ids:
            self._heard_ms = self._control.clock.now_ms()
        return self._control.clock.now_ms() - self._heard_ms

    def send(self, message):
        """Deliver at once and schedule the answer after 2 ms."""
        if self.host_id not in self._control.silent_ids:
            answer = self._control.answer(self.host_id, message)
            self._control.reactor.callLater(0.002, self._on_message, answer)
        return self.silent_ms <= self._control.accepts_silent_ms

    def close(self):
        """Remove this connection from the open ones."""
        self._control.links.remove(self)


class FollowLeaderTest(unittest.TestCase):
    """The lease stays valid when a control host goes silent."""

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

    def _apply_member_list(self, *, epoch, version):
        """Apply a complete list of backend servers of one epoch."""
        request = self.holder.next_request()
        self.holder.apply_grant(
            messages.LeaseGranted(
                sequence=request.sequence,
                duration_ms=LEASE_MS,
                state_version=0,
                members_epoch=epoch,
                members=MembershipUpdate(version=version, complete=True),
            )
        )

    def test_nudge_of_a_new_leader_renews_despite_a_lower_version(self):
        self._apply_member_list(epoch='old', version=150)
        rows = (
            ('old', 150, False),
            ('old', 149, False),
            ('old', 151, True),
            ('new', 2, True),
        )
        for epoch, version, renews in rows:
            with self.subTest(epoch=epoch, version=version):
                before = self.holder.next_request().sequence
                self.client._receive(
                    messages.LeaseNudge(
                        state_version=0,
                        members_epoch=epoch,
                        members_version=version,
                    )
                )
                sent = self.holder.next_request().sequence - before - 1
                self.assertEqual(renews, bool(sent))

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


class GoneHostTest(unittest.TestCase):
    """Removal of silent control hosts; three are seeds at first."""

    def setUp(self):
        self.control = FakeControl()
        self.control.accepts_silent_ms = link.SILENCE_MS
        self.holder = None

    def _start(self, *, has_lease=True, leader_id=HOST_IDS[0]):
        self.control.leader_id = self.control.known_leader_id = leader_id
        if has_lease:
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
            learns_hosts=True,
        )
        self.client.start()
        self.addCleanup(self.client.close)
        self.control.advance(duration_ms=2000)

    def _set_silent(self, *host_ids):
        """Make hosts silent and leave control without a leader."""
        self.control.silent_ids = set(host_ids)
        self.control.leader_id = self.control.known_leader_id = ''

    def _request_repeatedly(self, duration_ms):
        """Send a request each second; return the hosts linked last."""
        linked_ids = set()
        for number in range(duration_ms // 1000):
            request = operators.DumpRequested(request_id=f'r{number}')
            answered = self.client.send_request(request, timeout_ms=900)
            answered.addErrback(lambda failure: None)
            linked_ids = self.control.linked_ids()
            self.control.advance(duration_ms=1000)
        return linked_ids

    def test_host_without_an_address_costs_no_lease(self):
        # It was asked first, which raised an exception at each renewal.
        self._start()
        rows = (
            messages.LeaseRefused(
                sequence=1, kind=ErrorKind.NOT_LEADER, leader_id='odd-1'
            ),
            messages.ControlRefused(
                request_id='r', kind=ErrorKind.NOT_LEADER, leader_id='odd-2'
            ),
            messages.LeaseGranted(
                sequence=10**6,
                duration_ms=-1,
                state_version=-1,
                control_ids=('odd-3', ''),
            ),
        )
        with self.assertLogs(client.LOG, 'ERROR'):
            for message in rows:
                with self.subTest(message=message):
                    self.control.links[0]._on_message(message)
                    for _ in range(10):
                        self.control.advance(duration_ms=1000)
                        self.assertTrue(self.holder.is_valid())

    def test_silent_former_member_is_removed(self):
        self.control.control_ids = (*HOST_IDS, 'control-4')
        self._start()
        self.control.control_ids = HOST_IDS
        self.control.advance(duration_ms=2000)
        self._set_silent('control-4')
        self.assertNotIn('control-4', self._request_repeatedly(60_000))

    def test_silent_former_seed_is_removed(self):
        for has_lease in (True, False):
            with self.subTest(has_lease=has_lease):
                self.setUp()
                self._start(has_lease=has_lease)
                self.client.update_seeds(HOST_IDS[1:])
                self._set_silent(HOST_IDS[0])
                linked_ids = self._request_repeatedly(60_000)
                self.assertEqual(set(HOST_IDS[1:]), linked_ids)

    def test_silent_former_leader_that_was_only_named_is_removed(self):
        self._start(has_lease=False, leader_id='control-4')
        self.assertIn('control-4', self._request_repeatedly(3000))
        self._set_silent('control-4')
        self.assertEqual(set(HOST_IDS), self._request_repeatedly(60_000))

    def test_silent_seeds_and_members_are_never_removed(self):
        self.control.control_ids = (HOST_IDS[0], 'control-4')
        self._start()
        self._set_silent('control-4', HOST_IDS[2])
        self._request_repeatedly(60_000)
        self.control.silent_ids = set(HOST_IDS)
        self.control.leader_id = 'control-4'
        self.control.advance(duration_ms=5000)
        self.assertTrue(self.holder.is_valid())

    def test_former_member_that_answers_is_kept(self):
        self.control.control_ids = (*HOST_IDS, 'control-4')
        self._start()
        self.control.control_ids = HOST_IDS
        self.control.advance(duration_ms=2000)
        self._set_silent()
        self.assertIn('control-4', self._request_repeatedly(60_000))

    def test_silent_host_is_tried_on_one_connection(self):
        self._start()
        self._set_silent(HOST_IDS[0])
        self.control.opened_ids.clear()
        self._request_repeatedly(60_000)
        self.assertLessEqual(self.control.opened_ids.count(HOST_IDS[0]), 1)

    def test_request_after_an_unanswered_one_goes_to_another_host(self):
        self.control.accepts_silent_ms = math.inf
        self._start(has_lease=False)
        self._request_repeatedly(1000)
        self.control.silent_ids = {HOST_IDS[0]}
        self.control.leader_id = self.control.known_leader_id = HOST_IDS[2]
        self.control.asked_ids.clear()
        self._request_repeatedly(2000)
        self.assertIn(HOST_IDS[2], self.control.asked_ids)
