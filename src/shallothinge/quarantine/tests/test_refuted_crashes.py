"""Tests of crashes that did not happen: the server goes on sending."""

import unittest

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from shallothinge import clock as clocks
from shallothinge import wire
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import evidence
from shallothinge.quarantine import messages
from shallothinge.quarantine import records
from shallothinge.quarantine import state
from shallothinge.quarantine import suspects
from shallothinge.quarantine.tests import simulation
from shallothinge.quarantine.tests import test_quarantine

BAD, OTHER = test_quarantine.BAD, test_quarantine.OTHER
REQUEST = test_quarantine.REQUEST
SERVER = ('s1', '1')
CODEC = wire.Codec(message_types=messages.MESSAGES)


class RefutedTestCase(unittest.TestCase):
    """Three gateways whose clocks a test advances."""

    def setUp(self):
        self.clock = clocks.ManualClock(start_ms=1_000_000)
        self.gateways = [
            state.PartQuarantine(clock=self.clock) for _ in range(3)
        ]
        self.one, self.two, self.three = self.gateways

    def advance(self, duration_ms):
        self.clock.advance(duration_ms=duration_ms)

    def crash(self, server_id, *part_ids, at=None):
        """Record a close 200 ms later; return when the server was open."""
        self.advance(200)
        (at or self.one).record_crash(key=(server_id, '1'), part_ids=part_ids)
        return self.clock.now_ms() - 100

    def send_data(self, server_id, opened_ms, *, at=None):
        """Let data arrive that is not in flight any more."""
        self.advance(crash_table.IN_FLIGHT_MS)
        (at or self.one).record_data(key=(server_id, '1'), opened_ms=opened_ms)

    def exchange(self, *, complete=False, receivers=None):
        """Let all gateways report to each other."""
        for sender in self.gateways:
            report = sender.report(complete=complete)
            for receiver in receivers or self.gateways:
                if report is not None and receiver is not sender:
                    receiver.apply_report(CODEC.decode(CODEC.encode(report)))

    def judge(self):
        """Decide what is due, and exchange it."""
        self.exchange()
        self.advance(evidence.REFUTE_MS)
        for gateway in self.gateways:
            gateway.judge()
        self.exchange()

    def assertQuarantined(self, wanted, *part_ids):
        """Check a part at all gateways."""
        for index, gateway in enumerate(self.gateways):
            self.assertEqual(
                wanted, gateway.is_quarantined(part_ids), f'gateway {index}'
            )


class RefutedCrashTest(RefutedTestCase):
    """Resets of single connections of servers that go on."""

    def test_only_later_data_on_an_older_connection_refutes_a_crash(self):
        # Guards against sound requests in quarantine, and against crashes
        # that are dropped although they happened.
        margin_ms = crash_table.IN_FLIGHT_MS
        rows = (
            ('goes on', ('s2', '1'), -1, margin_ms, True),
            ('goes on for long', ('s2', '1'), -1000, 2000, True),
            ('in flight', ('s2', '1'), -1000, margin_ms - 1, False),
            ('at the moment', ('s2', '1'), -1000, 0, False),
            ('opened at the moment', ('s2', '1'), 0, 2000, False),
            ('opened later', ('s2', '1'), 10, 2000, False),
            ('other incarnation', ('s2', '2'), -1000, 2000, False),
            ('other server', ('s3', '1'), -1000, 2000, False),
        )
        for kind in (BAD, REQUEST):
            for name, key, opened_ms, received_ms, is_refuted in rows:
                for reader in range(3):
                    with self.subTest(name, kind=kind, reader=reader):
                        self.setUp()
                        for number in range(3):
                            self.crash(f's{number}', kind)
                        crashed_ms = self.clock.now_ms()
                        self.exchange()
                        self.advance(received_ms)
                        self.gateways[reader].record_data(
                            key=key, opened_ms=crashed_ms + opened_ms
                        )
                        self.judge()
                        self.assertQuarantined(not is_refuted, kind)

    def test_quarantine_is_lifted_at_once_if_its_evidence_is_refuted(self):
        # Sound requests were refused for ten minutes.
        rows = (
            ('three crashes', 3, (), 2, False),
            ('proven before', 6, (BAD,), 5, False),
            ('other crashes suffice', 4, (), 3, True),
            ('proven, other crashes suffice', 7, (BAD,), 6, True),
        )
        for name, crashes, proven, refuted, is_kept in rows:
            for reader in range(3):
                with self.subTest(name, reader=reader):
                    self.setUp()
                    self.one.record_whole(proven)
                    self.exchange()
                    for number in range(crashes):
                        opened_ms = self.crash(f's{number}', BAD)
                    self.judge()
                    self.assertQuarantined(True, BAD)
                    self.send_data(
                        f's{refuted}', opened_ms, at=self.gateways[reader]
                    )
                    self.exchange()
                    self.exchange()
                    self.assertQuarantined(is_kept, BAD)
                    self.exchange(complete=True)
                    self.assertQuarantined(is_kept, BAD)

    def test_request_is_admitted_as_soon_as_its_quarantine_is_lifted(self):
        for number in range(3):
            opened_ms = self.crash(f's{number}', REQUEST)
        self.judge()
        self.assertTrue(self.two.admit((REQUEST,)).refused_ms)
        self.send_data('s2', opened_ms)
        self.exchange()
        for gateway in self.gateways:
            self.assertEqual(state.ADMITTED, gateway.admit((REQUEST,)))

    def test_adopted_quarantine_rests_on_what_the_peer_knows(self):
        # The third gateway knows one crash, which is refuted there, but not
        # the others, with which the deciding gateway still has enough.
        for number in range(3):
            self.crash(f's{number}', BAD)
            self.exchange(receivers=[self.two])
        opened_ms = self.crash('s3', BAD)
        self.exchange()
        self.judge()
        self.assertQuarantined(True, BAD)
        self.send_data('s3', opened_ms, at=self.three)
        self.exchange()
        self.exchange()
        self.assertQuarantined(True, BAD)

    def test_adopted_quarantine_is_lifted_when_its_gateway_lifts_it(self):
        for number in range(3):
            opened_ms = self.crash(f's{number}', BAD)
        self.exchange(receivers=[self.two])
        self.one.judge()
        self.exchange()
        self.assertTrue(self.three.is_quarantined((BAD,)))
        self.send_data('s2', opened_ms, at=self.two)
        self.exchange()
        self.exchange()
        self.assertQuarantined(False, BAD)

    def test_gateway_that_knows_more_crashes_keeps_the_quarantine(self):
        for number in range(3):
            opened_ms = self.crash(f's{number}', BAD)
        self.judge()
        self.crash('s3', BAD, at=self.three)
        # The others do not know this crash yet.
        hidden = self.three.report(complete=False)
        self.send_data('s2', opened_ms)
        self.assertFalse(self.one.is_quarantined((BAD,)))
        lifted = self.one.report(complete=False)
        for gateway in (self.two, self.three):
            gateway.apply_report(lifted)
        self.assertTrue(self.three.is_quarantined((BAD,)))
        self.exchange()
        self.assertQuarantined(True, BAD)
        self.one.apply_report(hidden)
        self.exchange(complete=True)
        self.assertQuarantined(True, BAD)

    def test_late_report_of_a_refuted_crash_is_ignored(self):
        for number in range(2):
            self.crash(f's{number}', BAD)
        self.exchange()
        opened_ms = self.crash('s2', BAD)
        # A repetition of the crash is under way while it is refuted.
        late = self.one.report(complete=True)
        self.two.apply_report(late)
        self.send_data('s2', opened_ms, at=self.two)
        self.exchange()
        self.advance(3)
        for gateway in self.gateways[1:]:
            gateway.apply_report(late)
        self.judge()
        self.assertQuarantined(False, BAD)

    def test_later_crash_of_the_same_incarnation_counts(self):
        for index in range(3):
            with self.subTest(gateway=index):
                self.setUp()
                for number in range(3):
                    opened_ms = self.crash(f's{number}', BAD)
                    self.exchange()
                self.send_data('s2', opened_ms)
                self.judge()
                self.assertQuarantined(False, BAD)
                self.crash('s2', BAD, at=self.gateways[index])
                self.judge()
                self.assertQuarantined(True, BAD)

    def test_own_crash_soon_after_a_refuted_one_counts(self):
        # The gateway would take it for the one that was refuted.
        for number in range(3):
            opened_ms = self.crash(f's{number}', BAD)
        self.send_data('s2', opened_ms)
        self.advance(10)
        self.one.record_crash(key=('s2', '1'), part_ids=(BAD,))
        self.judge()
        self.assertQuarantined(True, BAD)

    def test_crash_after_a_reset_and_a_complete_answer_counts(self):
        # A reset of an idle server stays unrefuted. It must not hide the
        # later crash of the same incarnation, as if it had been before the
        # complete answer.
        for number in range(3):
            self.crash(f's{number}', REQUEST)
        self.one.record_whole((REQUEST,))
        self.judge()
        self.assertQuarantined(False, REQUEST)
        for number in range(3):
            self.crash(f's{number}', REQUEST)
        self.judge()
        self.assertQuarantined(True, REQUEST)

    def test_time_of_a_crash_is_when_it_was_first_seen(self):
        # With the later times of peers' reports, crashes 101 ms apart were
        # taken for one, and a deadly request crashed one more server.
        def crash_at_peer(server_id):
            self.two.record_crash(key=(server_id, '1'), part_ids=(BAD,))
            report = self.two.report(complete=False)
            self.advance(3)
            self.one.apply_report(report)

        self.crash('s0', BAD)
        self.crash('s1', OTHER)
        crash_at_peer('s1')
        self.advance(95)
        crash_at_peer('s2')
        self.one.judge()
        self.assertTrue(self.one.is_quarantined((BAD,)))

    def test_crashes_may_be_refuted_first_only_if_resets_were_seen(self):
        # Judged at once, the resets of a faulty server are blamed; judged
        # late, a deadly part crashes more servers.
        for has_resets in (False, True):
            with self.subTest(has_resets=has_resets):
                self.setUp()
                if has_resets:
                    opened_ms = self.crash('s9', OTHER)
                    self.send_data('s9', opened_ms)
                for number in range(3):
                    self.crash(f's{number}', BAD)
                self.advance(suspects.SETTLE_MS)
                self.one.judge()
                self.assertEqual(
                    not has_resets, self.one.is_quarantined((BAD,))
                )
                if has_resets:
                    self.assertTrue(self.one.admit((BAD,)).wait_ms)
                    self.advance(evidence.REFUTE_MS - suspects.SETTLE_MS)
                    self.one.judge()
                    self.assertTrue(self.one.is_quarantined((BAD,)))

    def test_adopted_quarantine_is_lifted_if_its_evidence_is_known(self):
        # Whichever report comes first, of the crashes or the quarantine.
        for is_told_first in (False, True):
            with self.subTest(is_told_first=is_told_first):
                self.setUp()
                for number in range(3):
                    opened_ms = self.crash(f's{number}', BAD)
                crashes = self.one.report(complete=False)
                self.one.judge()
                decision = self.one.report(complete=False)
                reports = [crashes, decision]
                for report in reversed(reports) if is_told_first else reports:
                    self.two.apply_report(report)
                self.assertTrue(self.two.is_quarantined((BAD,)))
                self.send_data('s2', opened_ms, at=self.two)
                self.assertFalse(self.two.is_quarantined((BAD,)))

    def test_crash_between_resets_that_were_refuted_counts(self):
        # Resets of an idle server before and after can't be refuted alike:
        # the connection was opened between them.
        self.crash('s2', OTHER)
        opened_ms = self.crash('s2', BAD)
        self.send_data('s2', opened_ms)
        for number in range(3, 5):
            self.crash(f's{number}', BAD)
            self.crash(f's{number + 2}', OTHER)
        self.judge()
        self.assertQuarantined(False, BAD)
        self.assertQuarantined(True, OTHER)

    def test_crashes_that_a_lifted_quarantine_explained_count_again(self):
        # Resets had a sound part quarantined, which then explained the
        # crashes under the deadly one.
        self.one.record_whole((OTHER,))
        self.exchange()
        resets = {
            f'reset-{number}': self.crash(f'reset-{number}', OTHER)
            for number in range(6)
        }
        self.judge()
        self.assertQuarantined(True, OTHER)
        for number in range(3):
            self.crash(f's{number}', OTHER, BAD, at=self.two)
        self.judge()
        self.assertQuarantined(False, BAD)
        for server_id, opened_ms in resets.items():
            self.send_data(server_id, opened_ms)
        self.exchange()
        for _ in range(evidence.REFUTE_MS // suspects.SETTLE_MS + 1):
            self.advance(suspects.SETTLE_MS)
            self.judge()
        self.assertQuarantined(True, BAD)
        self.assertQuarantined(False, OTHER)

    def test_renewal_by_a_probe_is_undone_if_its_crash_is_refuted(self):
        for others, is_kept in ((0, False), (1, True)):
            with self.subTest(others=others):
                self.setUp()
                for number in range(3):
                    self.crash(f's{number}', BAD)
                self.judge()
                self.advance(records.QUARANTINE_MS)
                for gateway in self.gateways:
                    gateway.remove_expired()
                self.assertTrue(self.one.admit((BAD,)).is_probe)
                self.exchange()
                opened_ms = self.crash('s9', BAD)
                for number in range(others):
                    self.crash(f'other-{number}', BAD)
                self.exchange()
                self.assertGreater(
                    self.two.admit((BAD,)).refused_ms, records.QUARANTINE_MS
                )
                self.send_data('s9', opened_ms, at=self.three)
                self.exchange()
                self.exchange()
                admission = self.two.admit((BAD,))
                self.assertEqual(is_kept, bool(admission.refused_ms))
                self.assertEqual(not is_kept, admission.is_probe)

    def test_part_is_released_if_one_request_explains_what_is_left(self):
        # The part of a deadly request was quarantined with it because of
        # resets under two other requests.
        for number in range(3):
            self.crash(f's{number}', BAD, REQUEST)
        opened_ms = [
            self.crash(f's{number}', BAD, f'request-{number}')
            for number in (3, 4)
        ]
        self.judge()
        self.assertQuarantined(True, BAD)
        for number in (3, 4):
            self.send_data(f's{number}', opened_ms[number - 3])
        self.exchange()
        for _ in range(4):
            self.judge()
        self.assertQuarantined(False, BAD)
        self.assertQuarantined(True, REQUEST)

    def test_gateway_of_a_former_release_lifts_the_quarantine(self):
        # It does not know the new fields, keeps the crash, and repeats the
        # quarantine until it is told that it was lifted.
        for number in range(3):
            opened_ms = self.crash(f's{number}', BAD)
        self.judge()
        self.send_data('s2', opened_ms)
        report = self.one.report(complete=False)
        former, new = self.two, self.three
        new.apply_report(report)
        repeated = former.report(complete=True)
        former.apply_report(attrs.evolve(report, refuted=(), unfounded=()))
        for gateway in (self.one, new):
            gateway.apply_report(repeated)
        self.exchange(complete=True)
        self.assertQuarantined(False, BAD)

    def test_invalid_entries_of_a_peer_are_ignored_and_no_others(self):
        # One such entry ended the handling of the whole report.
        valid = {
            'crashes': ('s9', '1', 5, ((BAD, 0),)),
            'whole': (OTHER, 5),
            'quarantined': (REQUEST, 1, 5000, 0),
            'lifted': (OTHER, 1),
            'refuted': ('s8', '1', 5),
            'unfounded': (OTHER, 1),
        }
        odd_values = (None, 'a', -1, 1 << 70, 1.5, (), {'a': 1})
        for field, entry in valid.items():
            odd = [entry[:-1], (*entry, 1), ()]
            for index in range(len(entry)):
                for value in odd_values:
                    if (field, index, value) == ('quarantined', 2, -1):
                        # A quarantine that has ended and waits for a probe.
                        continue
                    changed = list(entry)
                    changed[index] = value
                    odd.append(tuple(changed))
            for number, one in enumerate(odd):
                with self.subTest(field, entry=one):
                    self.setUp()
                    fields = {name: (row,) for name, row in valid.items()}
                    fields[field] = (one, entry)
                    with self.subTest(number):
                        self.one.apply_report(messages.PartsReported(**fields))
                    self.assertTrue(self.one._evidence.has_crash(('s9', '1')))
                    self.assertTrue(self.one.is_quarantined((REQUEST,)))
                    self.one.report(complete=True)
                    self.one.judge()
                    self.one.remove_expired()

    def test_what_is_remembered_of_refuted_crashes_is_bounded(self):
        for number in range(3_000):
            opened_ms = self.crash(number % 7, f'{number}')
            if number % 3:
                self.send_data(number % 7, opened_ms)
            self.one.apply_report(
                messages.PartsReported(refuted=((f'{number}', '1', 0),))
            )
        found = self.one._evidence
        self.assertLessEqual(len(found._refuted), evidence.MAX_REFUTED)
        self.assertLessEqual(
            len(self.one._outbox._refuted_ms), evidence.MAX_REFUTED
        )
        for crash in found._crashes._crashes.values():
            self.assertLessEqual(
                len(crash.closes), crash_table.MAX_CLOSES_OF_CRASH + 1
            )
        self.advance(evidence.WINDOW_MS + 1)
        self.one.remove_expired()
        self.assertEqual(0, len(found._crashes))
        self.assertEqual(0, len(found._refuted))
        self.assertEqual({}, self.one._outbox._refuted_ms)

    def test_refuted_crash_is_logged_with_what_decided_it(self):
        opened_ms = self.crash('s1', BAD)
        with self.assertLogs('shallothinge.quarantine', 'INFO') as logs:
            self.send_data('s1', opened_ms)
        [record] = logs.records
        self.assertEqual(
            ('s1', '1', crash_table.IN_FLIGHT_MS, True, 1),
            (
                record.server_id,
                record.incarnation,
                record.crash_age_ms,
                record.is_own,
                record.part_count,
            ),
        )


class FleetTest(unittest.TestCase):
    """Random servers that reset single connections and go on."""

    def play(self, seed, gateways, **fields):
        played = simulation.Simulation(
            seed=seed,
            gateways=gateways,
            per_s=simulation.BUSY_PER_S,
            reset_share=simulation.RESET_SHARE,
            deadly_from_ms=2_000,
            **fields,
        )
        played.run(8_000)
        self.assertGreater(played.resets, 30)
        return played

    @settings(max_examples=5, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        gateways=strategies.sampled_from((1, 3, 8, 20)),
    )
    def test_resets_quarantine_nothing(self, seed, gateways):
        played = self.play(seed, gateways, share=0.0)
        self.assertEqual(0, played.refused_sound)
        for gateway in played.gateways:
            self.assertEqual(0, gateway.count)
            self.assertEqual(0, gateway.request_count)

    @settings(max_examples=5, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        gateways=strategies.sampled_from((1, 3, 8, 20)),
        share=strategies.sampled_from((0.02, 0.05)),
    )
    def test_deadly_part_beside_resets_stops(self, seed, gateways, share):
        played = self.play(seed, gateways, share=share)
        self.assertEqual(0, played.runs_after)
        if len(played.crash_times_ms) >= 5:
            fifth_ms = played.crash_times_ms[4]
            self.assertLess(played.known_ms, fifth_ms + 3_000)
        self.assertLessEqual(played.refused_sound, played.sound // 100)

    @settings(max_examples=5, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        gateways=strategies.sampled_from((1, 3, 8, 20)),
        share=strategies.sampled_from((0.01, 0.03)),
    )
    def test_deadly_request_beside_resets_stops(self, seed, gateways, share):
        played = self.play(seed, gateways, share=0.0, repeated_share=share)
        self.assertEqual(0, played.runs_after)
        self.assertEqual(0, played.refused_sound)
        if len(played.crash_times_ms) >= 3:
            late_ms = played.crash_times_ms[2] + test_quarantine.CONTACT_MS
            late = [one for one in played.deadly_runs_ms if one > late_ms]
            self.assertLessEqual(len(late), test_quarantine.MAX_LATE_RUNS)


if __name__ == '__main__':
    unittest.main()
