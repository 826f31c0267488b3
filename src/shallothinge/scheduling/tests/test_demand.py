"""Tests of the exchange of what waits."""

import collections
import logging
import math
import unittest

import hypothesis
from hypothesis import strategies

from shallothinge import protocol
from shallothinge.scheduling import demand
from shallothinge.scheduling import messages
from shallothinge.scheduling.tests import samples

SERVICE = samples.SERVICE
VALID = (SERVICE, 0, False, 100, 1000)
HUGE = 10**30
LOGGER = 'shallothinge.scheduling.demand'


def build_report(sequence=1, **fields):
    """Return a report, also with fields that are not valid."""
    return messages.DemandReported(sequence=sequence, **fields)


class PeerReportTest(unittest.TestCase):
    """What is taken of a report."""

    def test_report_replaces_the_earlier_one(self):
        # Sequence numbers of reports of one waiting request each, number of
        # the one that is known then.
        rows = (
            ('next', (1, 2), 1),
            ('after a lost one', (1, 5), 1),
            ('repeated', (1, 1), 0),
            ('overtaken', (2, 1), 0),
        )
        for name, sequences, expected in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                gateway.join(due_in_ms=600)
                for index, sequence in enumerate(sequences):
                    entry = (SERVICE, 1, False, 1000 * index, 5000)
                    gateway.peers.apply_report(
                        build_report(sequence, waiting=(entry,)), peer_id='p'
                    )
                self.assertEqual(1 - expected, gateway.queue.rank(1))

    def test_entries_expire_after_the_last_report(self):
        # The entries of a crashed gateway must not delay others for longer.
        rows = (
            ('at the end', demand.DEMAND_TTL_MS, True),
            ('expired', demand.DEMAND_TTL_MS + 1, False),
            ('long expired', 10 * demand.PEER_RETENTION_MS, False),
        )
        for name, silent_ms, is_known in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                changes = []
                gateway.peers.on_change = lambda: changes.append(1)
                own = gateway.join(due_in_ms=9000)
                gateway.receive(peer_id='other')
                entry = (SERVICE, 0, False, 5000, 9000)
                gateway.receive(entry, in_use=((SERVICE, 'w', 3, True),))
                gateway.pass_ms(silent_ms - 1)
                gateway.receive(peer_id='other')
                gateway.pass_ms(1)
                self.assertEqual(is_known, gateway.peers.has_demand(SERVICE))
                self.assertEqual(is_known, bool(gateway.peers.in_use()))
                self.assertEqual(
                    is_known, bool(gateway.peers.waiting_workspaces(SERVICE))
                )
                self.assertEqual(int(is_known), gateway.queue.rank(own))
                self.assertEqual(1 if is_known else 2, len(changes))

    def test_entry_keeps_the_earliest_time_that_was_reported(self):
        # Reports take time, so that a peer's requests seem to start later
        # than they must. Two gateways would both take themselves for first.
        # Time that passes, delay and fields of the second report, rank of a
        # request 1 ms later than the entry was at first.
        number = 7
        rows = (
            ('no report', None, 1),
            ('delayed', (40, 5, (0, False, 100, 1000, number)), 1),
            ('less delayed', (40, -5, (0, False, 100, 1000, number)), 1),
            ('another request', (40, 5, (0, False, 100, 1000, 8)), 0),
            ('changed side', (40, 5, (0, True, 100, 1000, number)), 0),
            ('not numbered', (40, 5, (0, False, 100, 1000)), 0),
        )
        for name, second, expected in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                own = gateway.join(urgency=0, due_in_ms=201)
                gateway.receive((SERVICE, 0, False, 100, 1000, number))
                if second is not None:
                    passed_ms, delay_ms, fields = second
                    urgency, is_above, start_by_in_ms, *rest = fields
                    gateway.pass_ms(passed_ms)
                    start_by_in_ms += delay_ms - passed_ms
                    gateway.receive(
                        (SERVICE, urgency, is_above, start_by_in_ms, *rest)
                    )
                self.assertEqual(expected, gateway.queue.rank(own))

    def test_two_entries_with_one_number(self):
        gateway = samples.Gateway()
        own = gateway.join(due_in_ms=9000)
        numbered = (SERVICE, 0, False, 2000, 3000, 5)
        with self.assertLogs(LOGGER, logging.WARNING):
            gateway.receive(numbered, ('other', *numbered[1:]))
        self.assertEqual(1, gateway.queue.rank(own))
        gateway.receive(('other', *numbered[1:]))
        self.assertEqual(0, gateway.queue.rank(own))
        self.assertTrue(gateway.peers.has_demand('other'))

    def test_peers_are_told_apart(self):
        gateway = samples.Gateway()
        own = gateway.join()
        used = (SERVICE, 'w', 2.5, False)
        for peer_id in ('p 1', 'p 2'):
            gateway.receive(VALID, peer_id=peer_id, in_use=(used,))
        self.assertEqual(2, gateway.queue.rank(own))
        self.assertEqual({(SERVICE, 'w'): 5.0}, gateway.peers.in_use())
        gateway.receive(peer_id='p 1')
        self.assertEqual(1, gateway.queue.rank(own))
        self.assertEqual({(SERVICE, 'w'): 2.5}, gateway.peers.in_use())

    def test_placements_of_a_silent_peer_are_not_counted_twice(self):
        gateway = samples.Gateway()
        counted = []
        gateway.peers.on_granted = lambda *fields: counted.append(fields)
        gateway.receive(granted=((SERVICE, 10, 2),))
        gateway.pass_ms(demand.PEER_RETENTION_MS)
        gateway.receive()
        gateway.receive(granted=((SERVICE, 13, 3),))
        gateway.receive(granted=((SERVICE, 13, 3),))
        self.assertEqual([(SERVICE, 3, 1)], counted)

    def test_counts_of_services_are_bounded(self):
        gateway = samples.Gateway()
        for index in range(3 * messages.MAX_SERVICES):
            gateway.receive(granted=((f's-{index}', 1, 0),))
        counted = []
        gateway.peers.on_granted = lambda *fields: counted.append(fields)
        for index in range(3 * messages.MAX_SERVICES):
            gateway.receive(granted=((f's-{index}', 2, 0),))
        self.assertLessEqual(len(counted), messages.MAX_SERVICES)

    @hypothesis.given(
        reports=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('p 1', 'p 2', 'p 3')),
                strategies.lists(
                    strategies.tuples(
                        strategies.sampled_from((SERVICE, 'other')),
                        strategies.sampled_from('ab'),
                        strategies.sampled_from((0, 0.1, 0.7, 3)),
                        strategies.booleans(),
                    ),
                    unique_by=lambda one: one[:2],
                ),
                strategies.sampled_from((0, 200)),
            )
        )
    )
    @hypothesis.settings(deadline=None)
    def test_sums_are_those_of_the_reports_in_force(self, reports):
        # The sums over all peers are kept step by step.
        gateway = samples.Gateway()
        in_force = {}
        for peer_id, in_use, passed_ms in reports:
            gateway.receive(peer_id=peer_id, in_use=tuple(in_use))
            in_force[peer_id] = (gateway.clock.now_ms(), in_use)
            gateway.pass_ms(passed_ms)
            sums = collections.Counter()
            waiting = collections.defaultdict(set)
            for received_ms, entries in in_force.values():
                age_ms = gateway.clock.now_ms() - received_ms
                if age_ms <= demand.DEMAND_TTL_MS:
                    for service, workspace, slots, waits in entries:
                        sums[service, workspace] += slots
                        if waits:
                            waiting[service].add(workspace)
            found = gateway.peers.in_use()
            self.assertEqual(
                {key for key, slots in sums.items() if slots}, set(found)
            )
            for key, slots in found.items():
                self.assertAlmostEqual(sums[key], slots)
            for service in (SERVICE, 'other'):
                self.assertEqual(
                    waiting[service],
                    set(gateway.peers.waiting_workspaces(service)),
                )


class MalformedReportTest(unittest.TestCase):
    """Reports that no gateway of this release sends."""

    def apply(self, gateway, report):
        """Apply a report.

        :returns: the numbers of skipped entries that were logged.
        """
        with self.assertLogs(LOGGER, logging.WARNING) as logs:
            logging.getLogger(LOGGER).warning('present in any case')
            gateway.peers.apply_report(report, peer_id='p')
        return [one.skipped_count for one in logs.records[1:]]

    def test_malformed_entry_is_skipped_and_others_count(self):
        malformed = (
            (),
            'text',
            None,
            7,
            VALID[:4],
            (None, *VALID[1:]),
            *((*VALID, number) for number in (-1, 0.5, HUGE, 'x', None)),
            (b'chat', *VALID[1:]),
            ('', *VALID[1:]),
            ('s' * 10_000, *VALID[1:]),
            ([], *VALID[1:]),
            *(
                (SERVICE, urgency, *VALID[2:])
                for urgency in (-1, 0.5, HUGE, 'x', True, None, math.nan, [])
            ),
            *((SERVICE, 0, above, 1, 1) for above in (2, 'x', None, [], {})),
            *(
                (SERVICE, 0, False, *times)
                for value in ('x', None, math.nan, True, [1], {})
                for times in ((value, 1), (1, value))
            ),
        )
        for entry in malformed:
            with self.subTest(entry=entry):
                gateway = samples.Gateway()
                own = gateway.join()
                report = build_report(
                    waiting=(entry, VALID, entry),
                    in_use=((SERVICE, 'w', 1, True),),
                )
                self.assertEqual([2], self.apply(gateway, report))
                self.assertEqual(1, gateway.queue.rank(own))
                self.assertEqual({(SERVICE, 'w'): 1}, gateway.peers.in_use())

    def test_malformed_use_is_skipped_and_others_count(self):
        valid = (SERVICE, 'w', 2, False)
        malformed = (
            (),
            None,
            valid[:2],
            ('', *valid[1:]),
            (SERVICE, None, 1, False),
            (SERVICE, 'w' * 10_000, 1, False),
            (SERVICE, [], 1, False),
            *(
                (SERVICE, 'w', slots, False)
                for slots in (-1, HUGE, math.inf, math.nan, 'x', None, True)
            ),
            (SERVICE, 'w', 1, 'x'),
        )
        for entry in malformed:
            with self.subTest(entry=entry):
                gateway = samples.Gateway()
                report = build_report(
                    waiting=(VALID,), in_use=(entry, valid, entry)
                )
                self.assertEqual([2], self.apply(gateway, report))
                self.assertEqual({(SERVICE, 'w'): 2}, gateway.peers.in_use())
                self.assertTrue(gateway.peers.has_demand(SERVICE))

    def test_malformed_counts_are_skipped(self):
        malformed = (
            (),
            5,
            (SERVICE, 9),
            *(
                (SERVICE, *counts)
                for value in (-1, HUGE, 0.5, 'x', None, True)
                for counts in ((value, 0), (9, value))
            ),
            (None, 9, 0),
        )
        for entry in malformed:
            with self.subTest(entry=entry):
                gateway = samples.Gateway()
                counted = []
                gateway.peers.on_granted = lambda *one: counted.append(one)
                skipped = [
                    self.apply(gateway, build_report(sequence, granted=one))
                    for sequence, one in enumerate(
                        (((SERVICE, 3, 0),), (entry,), ((SERVICE, 4, 1),))
                    )
                ]
                self.assertEqual([[], [1], []], skipped)
                self.assertEqual([(SERVICE, 1, 1)], counted)

    def test_whole_field_of_another_type(self):
        rows = (
            ('waiting', {'waiting': None, 'in_use': ((SERVICE, 'w', 1, 0),)}),
            ('in_use', {'in_use': 7, 'waiting': (VALID,)}),
            ('granted', {'granted': 'text', 'waiting': (VALID,)}),
        )
        for name, fields in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                report = build_report(**fields)
                self.assertEqual([1], self.apply(gateway, report))
                self.assertNotEqual(
                    (False, {}),
                    (gateway.peers.has_demand(), gateway.peers.in_use()),
                )

    def test_report_with_a_malformed_sequence_is_ignored(self):
        for sequence in (-1, 0.5, HUGE, 'x', None, True, math.nan, ()):
            with self.subTest(sequence=sequence):
                gateway = samples.Gateway()
                report = build_report(sequence, waiting=(VALID,))
                self.assertEqual([1], self.apply(gateway, report))
                self.assertFalse(gateway.peers.has_demand())
                gateway.receive(VALID, peer_id='p')
                self.assertTrue(gateway.peers.has_demand())

    def test_entries_beyond_the_limits_are_skipped(self):
        limit = messages.MAX_ENTRIES_PER_SERVICE
        rows = (
            ('of a service', {'waiting': (VALID,) * (limit + 3)}, 3),
            (
                'services',
                {
                    'waiting': tuple(
                        (f's-{index}', *VALID[1:])
                        for index in range(messages.MAX_SERVICES + 3)
                    )
                },
                3,
            ),
            (
                'workspaces',
                {
                    'in_use': tuple(
                        (SERVICE, f'w-{index}', 1, False)
                        for index in range(messages.MAX_WORKSPACES + 3)
                    )
                },
                3,
            ),
        )
        for name, fields, expected in rows:
            with self.subTest(name):
                report = build_report(**fields)
                self.assertEqual(
                    [expected], self.apply(samples.Gateway(), report)
                )

    def test_times_are_clamped(self):
        # An infinite or huge time must not make computing with it fail.
        for time_ms in (HUGE, math.inf, -HUGE, -math.inf):
            with self.subTest(time_ms=time_ms):
                gateway = samples.Gateway()
                own = gateway.join(due_in_ms=0)
                gateway.grant(1)
                entry = (SERVICE, 1, False, time_ms, time_ms)
                report = build_report(waiting=(entry,))
                self.assertEqual([], self.apply(gateway, report))
                self.assertIn(gateway.queue.rank(own), (0, 1))
                self.assertGreater(gateway.queue.expected_wait_ms(own), 0)

    @hypothesis.given(
        fields=strategies.dictionaries(
            strategies.sampled_from(('waiting', 'in_use', 'granted')),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers()
                | strategies.floats()
                | strategies.text(max_size=3)
                | strategies.just(SERVICE),
                lambda inner: strategies.lists(inner, max_size=6)
                | strategies.tuples(inner, inner, inner, inner, inner)
                | strategies.dictionaries(strategies.text(), inner),
                max_leaves=30,
            ),
        ),
        sequence=strategies.integers() | strategies.floats(),
    )
    @hypothesis.settings(deadline=None)
    def test_no_report_raises_or_loses_own_requests(self, fields, sequence):
        gateway = samples.Gateway()
        ids = [gateway.join() for _ in range(3)]
        self.apply(gateway, build_report(sequence, **fields))
        self.assertEqual(ids, gateway.queue.ranked(SERVICE))
        gateway.pass_ms(demand.DEMAND_TTL_MS + 1)
        self.assertEqual([0, 1, 2], [gateway.queue.rank(one) for one in ids])


class Reporting:
    """A gateway that reports."""

    def __init__(self):
        self.gateway = samples.Gateway()
        self.used = {}
        self.reporter = demand.DemandReporter(
            clock=self.gateway.clock,
            queue=self.gateway.queue,
            in_use=lambda: self.used,
        )
        self.gateway.queue.on_change = self.reporter.record_change

    def report(self, *, complete=False):
        """Return the report that is due, None if none is."""
        return self.reporter.report(complete=complete)


class DemandReporterTest(unittest.TestCase):
    """When a gateway reports, and what."""

    def test_nothing_is_reported_while_nothing_waits(self):
        reporting = Reporting()
        reporting.used = {(SERVICE, 'w'): 5}
        for complete in (False, True):
            self.assertIsNone(reporting.report(complete=complete))
        self.assertIsNone(reporting.reporter.next_report_in_ms())
        self.assertIsNone(reporting.reporter.repeat_as_complete_report())

    def test_changes_are_reported_at_once_but_not_too_often(self):
        reporting = Reporting()
        reporting.gateway.join()
        self.assertEqual(0, reporting.reporter.next_report_in_ms())
        self.assertEqual(1, len(reporting.report().waiting))
        reporting.gateway.join()
        interval_ms = demand.MIN_REPORT_INTERVAL_MS
        self.assertEqual(interval_ms, reporting.reporter.next_report_in_ms())
        self.assertIsNone(reporting.report())
        reporting.gateway.pass_ms(interval_ms)
        self.assertEqual(0, reporting.reporter.next_report_in_ms())
        self.assertEqual(2, len(reporting.report().waiting))

    def test_report_is_repeated_while_requests_wait(self):
        reporting = Reporting()
        reporting.gateway.join()
        first = reporting.report()
        interval_ms = demand.REPEAT_INTERVAL_MS
        self.assertEqual(interval_ms, reporting.reporter.next_report_in_ms())
        reporting.gateway.pass_ms(interval_ms - 1)
        self.assertIsNone(reporting.report())
        reporting.gateway.pass_ms(1)
        second = reporting.report()
        self.assertGreater(second.sequence, first.sequence)
        self.assertEqual(
            first.waiting[0][3] - interval_ms, second.waiting[0][3]
        )

    def test_end_of_waiting_is_reported_once(self):
        # Otherwise the peers would yield to a request that has been placed
        # until its entry expires.
        reporting = Reporting()
        first = reporting.gateway.join()
        reporting.report()
        reporting.gateway.queue.granted(first)
        reporting.gateway.pass_ms(demand.MIN_REPORT_INTERVAL_MS)
        self.assertEqual((), reporting.report().waiting)
        reporting.gateway.pass_ms(demand.REPEAT_INTERVAL_MS)
        self.assertIsNone(reporting.reporter.next_report_in_ms())
        self.assertIsNone(reporting.report(complete=True))

    def test_use_is_reported_while_something_waits_anywhere(self):
        # Who waits, service in use, whether its use is reported.
        rows = (
            ('nothing', None, SERVICE, False),
            ('here', 'own', SERVICE, True),
            ('at a peer', 'peer', SERVICE, True),
            ('here, for another service', 'own', 'other', False),
            ('at a peer, for another service', 'peer', 'other', False),
        )
        for name, waits, used, expected in rows:
            with self.subTest(name):
                reporting = Reporting()
                reporting.used = {(used, 'v'): 2.5, (used, 'idle'): 0}
                if waits == 'own':
                    reporting.gateway.join()
                elif waits == 'peer':
                    reporting.gateway.receive(VALID)
                report = reporting.report()
                found = report.in_use if report else ()
                self.assertEqual(expected, (used, 'v', 2.5, False) in found)
                self.assertEqual(
                    waits == 'own', (SERVICE, 'w', 0.0, True) in found
                )
                self.assertEqual(expected + (waits == 'own'), len(found))

    def test_reported_workspaces_are_bounded(self):
        # The workspaces that wait, and those that use most, matter most.
        reporting = Reporting()
        reporting.gateway.join(workspace='waits')
        count = 2 * messages.MAX_WORKSPACES
        reporting.used = {
            (SERVICE, str(index)): index + 1 for index in range(count)
        }
        in_use = reporting.report().in_use
        self.assertEqual(messages.MAX_WORKSPACES, len(in_use))
        self.assertEqual((SERVICE, 'waits', 0.0, True), in_use[0])
        self.assertEqual((SERVICE, str(count - 1), count, False), in_use[1])

    def test_report_for_a_new_peer_keeps_the_sequence(self):
        # The sequence of those that have received the last one continues.
        reporting = Reporting()
        reporting.gateway.join()
        last = reporting.report()
        self.assertEqual(last, reporting.reporter.repeat_as_complete_report())

    def test_peer_takes_what_is_reported(self):
        reporting = Reporting()
        gateway = reporting.gateway
        reporting.used = {(SERVICE, 'w'): 3}
        gateway.grant(9)
        gateway.join(urgency=0)
        late = gateway.join(due_in_ms=0)
        codec = protocol.build_codec()
        peer = samples.Gateway()
        counted = []
        peer.peers.on_granted = lambda *fields: counted.append(fields)
        for _ in range(2):
            data = codec.encode(reporting.report(complete=True))
            peer.peers.apply_report(codec.decode(data), peer_id='p')
            gateway.queue.granted(late)
        own = [peer.join(urgency=one, due_in_ms=2000) for one in (0, 1)]
        self.assertEqual([1, 2], [peer.queue.rank(one) for one in own])
        self.assertEqual({(SERVICE, 'w'): 3.0}, peer.peers.in_use())
        self.assertEqual({'w'}, set(peer.peers.waiting_workspaces(SERVICE)))
        self.assertEqual([(SERVICE, 1, 1)], counted)

    def test_entries_with_fewer_or_more_fields_are_taken(self):
        # Another release may report fewer or more of them.
        codec = protocol.build_codec()
        data = codec.encode(
            build_report(
                waiting=(VALID, (*VALID, 1, 'more')),
                in_use=((SERVICE, 'v', 1), (SERVICE, 'w', 2, True, 'more')),
                granted=((SERVICE, 1, 2, 'more'),),
            )
        )
        peer = samples.Gateway()
        with self.assertNoLogs(LOGGER):
            peer.peers.apply_report(codec.decode(data), peer_id='p')
        self.assertEqual(2, peer.queue.rank(peer.join()))
        self.assertEqual(
            {(SERVICE, 'v'): 1.0, (SERVICE, 'w'): 2.0}, peer.peers.in_use()
        )
