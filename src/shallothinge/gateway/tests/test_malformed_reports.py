"""Tests of malformed reports from other gateways.

An odd value in one entry must not end a process, lose the other entries, or
leave state that harms later reports and requests.
"""

import logging
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies
import msgpack
from twisted.internet import task

from shallothinge import clock
from shallothinge import protocol
from shallothinge import wire
from shallothinge.gateway import peers
from shallothinge.gateway import room
from shallothinge.placement import fleet
from shallothinge.placement import messages
from shallothinge.quarantine import records
from shallothinge.quarantine import state as quarantines
from shallothinge.server_limits import state as server_limits
from shallothinge.transport import endpoint

NAN, INFINITY = float('nan'), float('inf')
MAX_INT = 2**64 - 1
# An odd value replaces each field in turn.
ODD = (None, True, '', 'x', b'x', -1, -MAX_INT // 2, MAX_INT)
ODD += (-0.5, 1e300, NAN, INFINITY, -INFINITY, [], [[]], [1, 2], {}, {'a': 1})
# What stands in place of an entry.
ODD_ENTRIES = (*ODD, [None] * 3, [None] * 4, ['x'] * 11, [0] * 12)
KEY = ('s', '1')
WORK = (7, 's', 100, 0, 300, 250, 100, 50, 0, 0, 0)
LIMIT = ('s', '1', 2.0, 1)
REQUESTS = ('s', '1', 1)
CRASH = ('s', '1', 10, [['part', 0]])
USED = ('part', 500)
WHOLE = ('part', 10)
QUARANTINED = ('part', 1, 60_000, 0)
LIFTED = ('part', 1)
# Rows: message, its field, a sound entry of it.
ENTRIES = (
    ('LoadReported', 'started', WORK),
    ('PartsReported', 'crashes', CRASH),
    ('PartsReported', 'late_crashes', CRASH),
    ('PartsReported', 'used', USED),
    ('PartsReported', 'whole', WHOLE),
    ('PartsReported', 'quarantined', QUARANTINED),
    ('PartsReported', 'lifted', LIFTED),
    ('LimitsReported', 'limits', LIMIT),
    ('LimitsReported', 'requests', REQUESTS),
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), MAX_INT)
    | strategies.floats()
    | strategies.text(max_size=3)
    | strategies.binary(max_size=3)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.lists(inner, max_size=12)
    | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=2),
    max_leaves=12,
)


def variants(entry):
    """Yield the entry with each field replaced, missing, or added."""
    for index in range(len(entry)):
        for odd in ODD:
            yield (*entry[:index], odd, *entry[index + 1 :])
        yield entry[:index] + entry[index + 1 :]
    yield (*entry, 0)
    yield from ODD_ENTRIES


class MalformedReportsTest(unittest.TestCase):
    """One gateway that receives the bytes of its peers' reports."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.build()

    def build(self):
        """Start the gateway anew."""
        self.clock = clock.ManualClock(start_ms=1_000_000)
        self.codec = protocol.build_codec()
        self.load = fleet.FleetLoad(clock=self.clock)
        self.quarantine = quarantines.PartQuarantine(clock=self.clock)
        alone = server_limits.Gateways(heard_ids=('0',), listed_count=1)
        self.limits = server_limits.ServerLimits(
            clock=self.clock, own_id='0', find_gateways=lambda: alone
        )
        self.peers = peers.Peers(
            process=mock.Mock(),
            holder=mock.Mock(peers=()),
            load=self.load,
            quarantine=self.quarantine,
            limits=self.limits,
            room=room.RoomQueue(
                clock=self.clock,
                reactor=task.Clock(),
                load=self.load,
                own_id='0',
            ),
            address='tcp://own',
        )

    def receive(self, name, **fields):
        """Receive a message as the endpoint does; return if it was read."""
        sender = endpoint.Peer(
            route=b'r', role='entry', process_id='g2', incarnation='1'
        )
        try:
            message = self.codec.decode(msgpack.packb([name, fields]))
        except wire.WireError:
            return False
        self.peers.receive(sender, message)
        return True

    def check_usable(self):
        """Check that the gateway places, reports and forgets as before."""
        self.load.loads()
        self.load.read_end_in_ms('s', min_read_ms=1)
        self.limits.wait_ms(KEY)
        if self.limits.limit_per_s(KEY) is not None:
            self.limits.own_interval_ms((KEY,))
        self.quarantine.admit(('part',))
        self.quarantine.record_crash(key=('s9', '1'), part_ids=('part',))
        self.quarantine.judge()
        for source in (self.load, self.quarantine, self.limits):
            for report in (
                source.report(complete=False),
                source.report(complete=True),
                source.repeat_as_complete_report(),
            ):
                if report is not None:
                    self.codec.encode(report)
        self.load.remove_expired()
        self.quarantine.remove_expired()

    def check_server_recovers(self):
        """Check that odd values hold up no server and part for long."""
        self.assertLess(self.limits.wait_ms(KEY), 60_000)
        self.assertLessEqual(
            self.quarantine.admit(('part',)).refused_ms,
            records.MAX_QUARANTINE_MS,
        )
        self.clock.advance(duration_ms=fleet.REPORT_TTL_MS + 1)
        self.load.remove_expired()
        for load in self.load.loads().values():
            self.assertEqual((0, 0.0), (load.active, load.backlog_ms))
        self.clock.advance(duration_ms=fleet.UNCONFIRMED_TTL_MS + 1)
        self.load.remove_expired()
        self.assertEqual({}, self.load.loads())
        self.clock.advance(duration_ms=4 * records.FORGET_MS)
        self.quarantine.remove_expired()
        self.quarantine.remove_expired()
        self.assertFalse(self.quarantine.is_quarantined(('part',)))
        self.assertEqual(0, self.quarantine.count)

    def test_odd_entry_harms_neither_the_gateway_nor_the_other_entries(self):
        for name, field, entry in ENTRIES:
            for odd in variants(entry):
                with self.subTest(name, field=field, odd=odd):
                    self.build()
                    self.receive('LimitsReported', limits=[LIMIT])
                    fields = {field: [odd, entry, odd, entry]}
                    if name == 'LoadReported':
                        fields['sequence'] = 1
                    self.assertTrue(self.receive(name, **fields))
                    self.check_usable()
                    self.check_server_recovers()

    def test_odd_field_harms_nothing(self):
        fields = {field: name for name, field, _ in ENTRIES}
        fields |= dict.fromkeys(
            ('sequence', 'complete', 'writing', 'ended', 'failed', 'leaving'),
            'LoadReported',
        )
        for field, name in fields.items():
            for odd in (*ODD, *([one] for one in ODD)):
                with self.subTest(name, field=field, odd=odd):
                    self.build()
                    usual = {'sequence': 1} if name == 'LoadReported' else {}
                    self.receive(name, **{**usual, field: odd})
                    self.check_usable()
                    self.check_server_recovers()

    def test_malformed_third_work_loses_no_other_and_is_noticed(self):
        works = [(number, 's', *WORK[2:]) for number in range(1, 6)]
        for odd in ((3, 's', NAN, *WORK[3:]), None, (), (3,), [[]] * 11):
            with self.subTest(odd=odd):
                self.build()
                sent = [*works[:2], odd, *works[3:]]
                self.receive(
                    'LoadReported', sequence=1, complete=True, started=sent
                )
                self.assertEqual(4, self.load.loads()['s'].active)
                self.assertEqual(0, self.load.peer_count)
                self.receive('LoadReported', sequence=2, ended=[1, 3, 99])
                self.assertEqual(3, self.load.loads()['s'].active)
                self.receive(
                    'LoadReported', sequence=3, complete=True, started=works
                )
                self.assertEqual(5, self.load.loads()['s'].active)
                self.assertEqual(1, self.load.peer_count)
                self.receive('LoadReported', sequence=4, complete=True)
                self.assertEqual({}, self.load.loads())

    def test_repeated_ids_in_a_report_count_once(self):
        self.receive('LoadReported', sequence=1, started=[WORK, WORK])
        self.assertEqual(1, self.load.loads()['s'].active)
        self.receive('LoadReported', sequence=2, ended=[7, 7, 8])
        self.assertEqual({}, self.load.loads())

    def test_huge_sequence_mutes_a_peer_until_its_report_expires_only(self):
        self.receive('LoadReported', sequence=MAX_INT, started=[WORK])
        self.clock.advance(duration_ms=fleet.REPORT_TTL_MS + 1)
        self.receive('LoadReported', sequence=2, complete=True)
        self.load.remove_expired()
        self.receive('LoadReported', sequence=3, complete=True)
        self.assertEqual(1, self.load.peer_count)
        self.assertEqual({}, self.load.loads())

    def test_many_reported_requests_hold_a_server_up_for_seconds_only(self):
        # A count of 2 ** 40 kept the process busy for days.
        for counts in ((2**40,), (900_000,), (3,) * 10_000):
            with self.subTest(counts=counts[:2]):
                self.build()
                self.receive('LimitsReported', limits=[LIMIT])
                self.receive(
                    'LimitsReported',
                    requests=[(*KEY, count) for count in counts],
                )
                self.assertLessEqual(self.limits.wait_ms(KEY), 3000)

    def test_peer_cannot_lift_or_outlast_the_decisions_of_this_gateway(self):
        # An epoch of 64 bits made the next one too large for a report, and no
        # report on parts was sent as long as it was known.
        for field, entry in (
            ('lifted', ('part', MAX_INT)),
            ('quarantined', ('part', MAX_INT, 1, 0)),
        ):
            with self.subTest(field):
                self.build()
                self.receive('PartsReported', **{field: [entry]})
                for number in range(3):
                    self.clock.advance(duration_ms=200)
                    self.quarantine.record_crash(
                        key=(f's{number}', '1'), part_ids=('part',)
                    )
                self.quarantine.judge()
                self.assertTrue(self.quarantine.is_quarantined(('part',)))
                report = self.quarantine.report(complete=True)
                self.codec.encode(report)

    @given(
        name=strategies.sampled_from(
            ('LoadReported', 'PartsReported', 'LimitsReported')
        ),
        data=strategies.data(),
    )
    def test_arbitrary_fields_harm_nothing(self, name, data):
        self.build()
        fields = {}
        for other, field, entry in ENTRIES:
            if other == name:
                known = strategies.sampled_from(list(variants(entry)))
                fields[field] = data.draw(
                    strategies.lists(known | VALUES, max_size=4), field
                )
        if name == 'LoadReported':
            for field in ('sequence', 'complete', 'writing', 'ended'):
                if data.draw(strategies.booleans()):
                    fields[field] = data.draw(VALUES)
            fields.setdefault('sequence', 1)
        self.receive('LimitsReported', limits=[LIMIT])
        self.receive(name, **fields)
        self.check_usable()
        self.check_server_recovers()


class WorkFieldsTest(unittest.TestCase):
    """The checks of works match the fields that are sent."""

    def test_table_replaces_each_field(self):
        self.assertEqual(len(messages.WORK_FIELDS), len(WORK))
