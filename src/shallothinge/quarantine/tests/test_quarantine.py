"""Tests of the quarantine of prompt parts that crash servers."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from shallothinge import clock as clocks
from shallothinge import wire
from shallothinge.quarantine import complete_answers
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import evidence
from shallothinge.quarantine import messages
from shallothinge.quarantine import records
from shallothinge.quarantine import state
from shallothinge.quarantine import suspects
from shallothinge.quarantine.tests import simulation

FIRST, BAD, OTHER = 'first', 'bad', 'other'
REQUEST = 'request-1'
# The users' bound: later than 3 s after a request has crashed three servers
# it reaches at most three more.
CONTACT_MS = 3000
MAX_LATE_RUNS = 3


class QuarantineTest(unittest.TestCase):
    """Gateways whose clocks a test advances."""

    def setUp(self):
        self.clock = clocks.ManualClock(start_ms=1_000_000)
        self.one = state.PartQuarantine(clock=self.clock)
        self.two = state.PartQuarantine(clock=self.clock)

    def crash(self, number, *part_ids, at=None, after_ms=200):
        """Crash a server under a request with some parts."""
        self.clock.advance(duration_ms=after_ms)
        at = at or self.one
        at.record_crash(key=(f's{number}', '1'), part_ids=part_ids)

    def exchange(self, *, complete=False):
        """Let both gateways report to each other, and decide what is due."""
        for sender, receiver in (
            (self.one, self.two),
            (self.two, self.one),
        ):
            report = sender.report(complete=complete)
            if report is not None:
                receiver.apply_report(report)
        for gateway in (self.one, self.two):
            gateway.judge()

    def quarantine(self):
        """Let both gateways quarantine a part."""
        for number in range(3):
            self.crash(number, FIRST, BAD)
        self.exchange()
        self.exchange()
        self.assertTrue(self.two.is_quarantined((BAD,)))

    def test_part_is_quarantined_after_crashes_that_gateways_share(self):
        self.one.record_whole((FIRST,))
        for number, at in enumerate((self.one, self.two, self.one)):
            self.assertFalse(self.one.admit((FIRST, BAD)).refused_ms)
            self.crash(number, FIRST, BAD, at=at)
            self.exchange()
        for gateway in (self.one, self.two):
            self.assertEqual(
                records.QUARANTINE_MS,
                gateway.admit((FIRST, BAD)).refused_ms,
            )
            self.assertEqual(0, gateway.admit((FIRST,)).refused_ms)

    def test_sound_parts_are_not_quarantined_for_crashes_of_others(self):
        def same_moment():
            for number in range(9):
                self.crash(number, BAD, after_ms=10)

        def one_server():
            for _ in range(9):
                self.crash(1, BAD)

        def answered_between():
            for number in range(9):
                self.crash(number, BAD)
                self.one.record_whole((BAD,))

        def answered_at_a_peer():
            for number in range(9):
                self.crash(number, BAD)
                self.exchange()
                self.two.record_whole((BAD,))
                self.exchange()

        def proven_at_a_peer():
            self.two.record_whole((BAD,))
            for number in range(5):
                self.crash(number, BAD)
                self.exchange()

        def explained_by_another():
            self.quarantine()
            for number in range(3, 12):
                self.crash(number, BAD, at=self.two)
                self.crash(number, OTHER, after_ms=0)
                self.exchange()
            self.assertFalse(self.one.is_quarantined((OTHER,)))
            self.setUp()

        def too_old():
            for number in range(9):
                self.clock.advance(duration_ms=evidence.WINDOW_MS // 2 + 1)
                self.one.remove_expired()
                self.crash(number, BAD, after_ms=0)

        def no_parts():
            for number in range(9):
                self.crash(number)

        for happen in (
            same_moment,
            one_server,
            answered_between,
            answered_at_a_peer,
            proven_at_a_peer,
            explained_by_another,
            too_old,
            no_parts,
        ):
            with self.subTest(happen=happen.__name__):
                self.setUp()
                happen()
                self.one.judge()
                self.assertFalse(self.one.is_quarantined((BAD,)))
                self.assertFalse(self.two.is_quarantined((BAD,)))

    def test_part_is_not_blamed_before_all_gateways_have_reported(self):
        for number in range(3):
            self.crash(number, OTHER)
            self.crash(number, FIRST, BAD, at=self.two, after_ms=1)
        self.assertEqual(
            suspects.SETTLE_MS - 1, self.one.admit((OTHER,)).wait_ms
        )
        self.crash(3, FIRST, BAD, at=self.two)
        self.exchange()
        self.exchange()
        for gateway in (self.one, self.two):
            self.assertTrue(gateway.is_quarantined((BAD,)))
            self.assertFalse(gateway.is_quarantined((OTHER,)))
            self.assertEqual(state.ADMITTED, gateway.admit((OTHER,)))

    def test_position_of_a_part_is_the_one_in_its_own_prompt(self):
        for number in range(3):
            self.crash(number, 'good', BAD)
            self.crash(number, FIRST, BAD, after_ms=0)
        self.exchange()
        self.assertTrue(self.one.is_quarantined((BAD,)))

    def test_of_parts_that_always_come_together_the_later_is_blamed(self):
        self.quarantine()
        self.assertFalse(self.one.is_quarantined((FIRST,)))

    def test_part_that_turns_deadly_is_found_though_it_was_answered(self):
        self.one.record_whole((FIRST, BAD))
        for number in range(6):
            self.crash(number, FIRST, BAD)
        self.one.judge()
        self.assertTrue(self.one.is_quarantined((BAD,)))

    def test_gateway_that_starts_later_learns_what_is_quarantined(self):
        self.quarantine()
        late = state.PartQuarantine(clock=self.clock)
        late.apply_report(self.two.repeat_as_complete_report())
        self.assertTrue(late.is_quarantined((BAD,)))

    def test_gateway_that_was_cut_off_learns_what_it_missed(self):
        for number in range(3):
            self.crash(number, BAD)
        self.one.judge()
        self.one.report(complete=False)
        self.exchange(complete=True)
        self.assertTrue(self.two.is_quarantined((BAD,)))

    def test_crash_that_a_peer_missed_is_repeated(self):
        for number in range(2):
            self.crash(number, BAD)
        self.one.report(complete=False)
        self.exchange(complete=True)
        self.crash(2, BAD, at=self.two)
        self.two.judge()
        self.assertTrue(self.two.is_quarantined((BAD,)))

    def test_complete_answer_lifts_the_quarantine_everywhere(self):
        self.quarantine()
        stale = self.two.report(complete=True)
        self.one.record_whole((BAD,))
        self.exchange()
        self.one.apply_report(stale)
        for gateway in (self.one, self.two):
            self.assertFalse(gateway.is_quarantined((BAD,)))
        self.exchange(complete=True)
        self.assertFalse(self.one.is_quarantined((BAD,)))

    def test_quarantine_is_not_extended_by_reports_that_come_late(self):
        self.quarantine()
        left_ms = self.one.admit((BAD,)).refused_ms
        for _ in range(5):
            for sender, receiver in (
                (self.one, self.two),
                (self.two, self.one),
            ):
                report = sender.report(complete=True)
                self.clock.advance(duration_ms=400)
                receiver.apply_report(report)
        for gateway in (self.one, self.two):
            self.assertLessEqual(
                gateway.admit((BAD,)).refused_ms, left_ms - 4000
            )

    def test_quarantine_that_has_ended_blocks_no_request_of_a_new_gateway(
        self,
    ):
        self.quarantine()
        self.clock.advance(duration_ms=records.QUARANTINE_MS)
        late = state.PartQuarantine(clock=self.clock)
        watcher = mock.Mock()
        late.watch(watcher)
        late.apply_report(self.two.repeat_as_complete_report())
        watcher.on_quarantined.assert_not_called()
        self.assertTrue(late.admit((BAD,)).is_probe)

    def test_repeated_reports_notify_no_request_again(self):
        self.quarantine()
        watcher = mock.Mock()
        self.two.watch(watcher)
        self.clock.advance(duration_ms=1000)
        report = self.one.report(complete=True)
        self.clock.advance(duration_ms=3)
        self.two.apply_report(report)
        watcher.on_quarantined.assert_not_called()

    def test_part_that_was_lifted_can_be_quarantined_again(self):
        self.quarantine()
        self.one.record_whole((BAD,))
        self.exchange()
        for number in range(3, 9):
            self.crash(number, BAD)
        self.exchange()
        self.exchange()
        self.assertTrue(self.two.is_quarantined((BAD,)))

    def test_after_the_quarantine_one_probe_is_sent_for_all_gateways(self):
        self.quarantine()
        self.clock.advance(duration_ms=records.QUARANTINE_MS)
        self.assertTrue(self.one.admit((BAD,)).is_probe)
        self.exchange()
        for gateway in (self.one, self.two):
            self.assertTrue(gateway.admit((BAD,)).refused_ms)
        with self.subTest('the probe crashes its server'):
            self.crash(9, BAD)
            self.exchange()
            for gateway in (self.one, self.two):
                self.assertEqual(
                    2 * records.QUARANTINE_MS,
                    gateway.admit((BAD,)).refused_ms,
                )
        with self.subTest('the next probe is answered'):
            self.clock.advance(duration_ms=2 * records.QUARANTINE_MS)
            self.assertTrue(self.two.admit((BAD,)).is_probe)
            self.exchange()
            self.two.record_whole((BAD,))
            self.exchange()
            self.assertEqual(state.ADMITTED, self.one.admit((BAD,)))

    def test_request_is_blamed_before_its_parts(self):
        rows = (
            ('its parts are proven', (), True),
            ('its parts are not proven', (), False),
            ('a part is in one more crash', (FIRST,), True),
            ('an unproven part is in one more crash', (FIRST,), False),
        )
        for name, beside, is_proven in rows:
            with self.subTest(name):
                self.setUp()
                if is_proven:
                    self.one.record_whole((FIRST, OTHER))
                if beside:
                    self.crash(9, *beside, 'request-2')
                for number in range(3):
                    self.crash(number, FIRST, OTHER, REQUEST)
                self.exchange()
                self.exchange()
                for gateway in (self.one, self.two):
                    self.assertTrue(gateway.is_quarantined((REQUEST,)))
                    self.assertFalse(gateway.is_quarantined((FIRST, OTHER)))

    def test_part_is_blamed_for_crashes_under_many_requests(self):
        for number in range(4):
            self.crash(number, FIRST, BAD, f'request-{number % 2}')
        self.one.record_whole((FIRST,))
        for number in range(4, 7):
            self.crash(number, FIRST, BAD, f'request-{number}')
        self.exchange()
        self.assertTrue(self.one.is_quarantined((BAD,)))
        self.assertFalse(self.one.is_quarantined((FIRST, 'request-0')))

    def test_part_is_found_though_its_requests_are_blamed_first(self):
        for is_proven, crashes in ((False, (3, 2)), (True, (3, 3))):
            with self.subTest(is_proven=is_proven):
                self.setUp()
                if is_proven:
                    self.one.record_whole((FIRST, BAD))
                for request, count in enumerate(crashes):
                    self.assertFalse(self.one.is_quarantined((BAD,)))
                    for number in range(count):
                        self.crash(
                            f'{request}-{number}',
                            FIRST,
                            BAD,
                            f'request-{request}',
                            f'request-victim-{request}-{number}',
                        )
                        self.exchange()
                self.exchange()
                for gateway in (self.one, self.two):
                    self.assertTrue(gateway.is_quarantined((BAD,)))
                    self.assertTrue(gateway.is_quarantined(('request-0',)))
                    self.assertFalse(gateway.is_quarantined((FIRST,)))

    def test_part_of_two_requests_is_not_blamed_for_one_crash_more(self):
        for number in range(3):
            self.crash(number, BAD, REQUEST)
            self.exchange()
        self.crash(4, BAD, 'request-2')
        self.exchange()
        self.assertTrue(self.one.is_quarantined((REQUEST,)))
        self.assertFalse(self.one.is_quarantined((BAD,)))

    def test_request_that_was_at_the_same_crashes_is_not_blamed(self):
        def crash(number):
            self.crash(number, REQUEST)
            self.crash(number, 'request-2', after_ms=0)
            self.exchange()

        for number in range(3):
            crash(number)
        self.assertFalse(self.one.is_quarantined((REQUEST, 'request-2')))
        self.crash(3, REQUEST)
        self.exchange()
        self.assertTrue(self.one.is_quarantined((REQUEST,)))
        self.assertFalse(self.one.is_quarantined(('request-2',)))
        with self.subTest('they are always together'):
            self.setUp()
            for number in range(evidence.CRASHES_TO_BLAME_ONE_OF_TWO):
                crash(number)
            blamed = [self.one.is_quarantined((REQUEST,))]
            blamed.append(self.one.is_quarantined(('request-2',)))
            self.assertEqual([False, True], sorted(blamed))

    def test_request_that_is_answered_completely_is_not_blamed(self):
        for number in range(9):
            self.crash(number, REQUEST)
            self.exchange()
            self.two.record_whole((REQUEST,))
            self.exchange()
        self.assertFalse(self.one.is_quarantined((REQUEST,)))

    def test_requests_that_come_once_displace_nothing(self):
        self.one.record_whole((FIRST,))
        for number in range(20_000):
            self.one.record_whole((f'request-{number}',))
        self.assertEqual([FIRST], list(self.one._evidence._answers._single_ms))

    def test_proofs_of_shared_parts_outlast_prompts_of_many_parts(self):
        # A sound part without its proof takes half as many crashes.
        for _ in range(2):
            self.clock.advance(duration_ms=1)
            self.one.record_whole((FIRST,))
        for number in range(50):
            self.one.record_whole(
                tuple(f'{number}-{index}' for index in range(1000))
            )
        for number in range(5):
            self.crash(number, FIRST)
        self.exchange()
        self.assertFalse(self.one.is_quarantined((FIRST,)))
        self.assertLessEqual(
            len(self.one._evidence._answers), 2 * complete_answers.MAX_PARTS
        )

    def test_part_is_found_among_more_parts_than_are_remembered(self):
        # The first parts of a crash were kept, whatever they were.
        for is_first in (True, False):
            with self.subTest(is_first=is_first):
                self.setUp()
                for number in range(4):
                    others = [f'{number}-{index}' for index in range(15_000)]
                    ids = [BAD, *others] if is_first else [*others, BAD]
                    self.crash(
                        number,
                        *ids,
                        f'request-{number}',
                        at=(self.one, self.two)[number % 2],
                    )
                    self.exchange()
                for gateway in (self.one, self.two):
                    self.assertTrue(gateway.is_quarantined((BAD,)))
                    self.assertLessEqual(
                        gateway._evidence._crashes.size, crash_table.MAX_PARTS
                    )
                    self.assertGreater(gateway.dropped_count, 0)

    def test_crash_that_several_gateways_saw_may_have_too_many_parts(self):
        # A part that came with two closes was dropped twice: KeyError.
        for number in range(4):
            ids = [f'{number}-{index}' for index in range(8000)]
            for at in (self.one, self.two):
                self.crash(
                    number, BAD, *ids, f'request-{number}', at=at, after_ms=100
                )
            self.exchange()
        for gateway in (self.one, self.two):
            self.assertGreater(gateway.dropped_count, 0)
            self.assertTrue(gateway.is_quarantined((BAD,)))

    def test_requests_of_a_crash_are_those_among_its_parts(self):
        # They are kept apart, as prompts may have a thousand parts.
        self.crash(1, FIRST, REQUEST)
        self.crash(1, OTHER, 'request-2')
        crash = self.one._evidence._crashes.find(('s1', '1'))
        self.assertEqual((REQUEST, 'request-2'), crash.request_ids)
        self.one.record_whole((REQUEST,))
        self.assertEqual(('request-2',), crash.request_ids)
        self.assertEqual((FIRST, OTHER, 'request-2'), crash.part_ids)

    def test_report_of_a_crash_leaves_out_what_says_least(self):
        ids = [f'0-{index}' for index in range(20_000)]
        self.one.record_whole(ids[10_000:])
        for number in range(3):
            others = [f'{number}-{index}' for index in range(20_000)]
            self.crash(number, BAD, *others, f'request-{number}')
            report = self.one.report(complete=False)
            [(_, _, _, parts)] = report.crashes
            self.assertEqual(evidence.MAX_PARTS_REPORTED, len(parts))
            self.assertIn(f'request-{number}', dict(parts))
            self.assertEqual(number > 0, BAD in dict(parts))

    def test_quarantine_that_is_needed_least_is_dropped(self):
        for number in range(records.MAX_QUARANTINED):
            for crash in range(3):
                self.crash(f'{number}-{crash}', f'request-{number}')
            self.one.judge()
        self.one.admit(('request-0',))
        for crash in range(3):
            self.crash(f'new-{crash}', 'request-new')
        self.one.judge()
        for request, is_kept in (
            ('request-0', True),
            ('request-1', False),
            ('request-2', True),
            ('request-new', True),
        ):
            self.assertEqual(is_kept, self.one.is_quarantined((request,)))
        self.assertEqual(records.MAX_QUARANTINED, self.one.request_count)

    def test_what_is_remembered_is_bounded(self):
        for number in range(2_000):
            ids = tuple(f'{number}-{index}' for index in range(64))
            self.crash(number, *ids, after_ms=0)
            self.one.record_whole((f'whole-{number}',))
        crashes = self.one._evidence._crashes
        self.assertEqual(crash_table.MAX_CRASHES, len(crashes))
        self.assertLessEqual(crashes.size, crash_table.MAX_PARTS)
        for number in range(3 * 80):
            self.crash(5_000 + number, f'bad-{number // 3}')
            self.one.judge()
        self.assertEqual(records.MAX_QUARANTINED, self.one.count)
        self.clock.advance(duration_ms=evidence.WINDOW_MS + 1)
        self.one.report(complete=False)
        self.one.remove_expired()
        self.assertEqual(0, len(self.one._evidence._crashes))
        self.assertEqual({}, self.one._evidence._crashes._keys)
        self.assertEqual(0, self.one._evidence._crashes.size)
        self.assertEqual(0, len(self.one._evidence._answers))
        self.assertEqual({}, self.one._outbox._crashes_ms)

    def test_reports_pass_the_codec(self):
        self.quarantine()
        codec = wire.Codec(message_types=messages.MESSAGES)
        report = self.one.report(complete=True)
        passed = codec.decode(codec.encode(report))
        late = state.PartQuarantine(clock=self.clock)
        late.apply_report(passed)
        self.assertTrue(late.is_quarantined((BAD,)))


class FleetTest(unittest.TestCase):
    """Both promises over random requests, crashes and gateways."""

    @settings(max_examples=15, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        gateways=strategies.sampled_from((1, 3, 8, 20)),
        share=strategies.sampled_from((0.02, 0.05, 0.2)),
    )
    def test_deadly_part_stops_and_sound_requests_go_on(
        self, seed, gateways, share
    ):
        played = simulation.Simulation(
            seed=seed, gateways=gateways, per_s=40.0, share=share
        )
        played.run(20_000)
        self.assertEqual(0, played.runs_after)
        if len(played.crash_times_ms) >= 5:
            fifth_ms = played.crash_times_ms[4]
            self.assertLess(played.known_ms, fifth_ms + 3_000)
        self.assertLessEqual(played.refused_sound, played.sound // 100)

    @settings(max_examples=15, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        gateways=strategies.sampled_from((1, 3, 8, 20)),
        share=strategies.sampled_from((0.01, 0.03, 0.1)),
    )
    def test_deadly_request_stops_and_sound_requests_go_on(
        self, seed, gateways, share
    ):
        played = simulation.Simulation(
            seed=seed,
            gateways=gateways,
            per_s=40.0,
            share=0.0,
            repeated_share=share,
        )
        played.run(20_000)
        self.assertEqual(0, played.runs_after)
        self.assertEqual(0, played.refused_sound)
        if len(played.crash_times_ms) >= 3:
            late_ms = played.crash_times_ms[2] + CONTACT_MS
            late = [one for one in played.deadly_runs_ms if one > late_ms]
            self.assertLessEqual(len(late), MAX_LATE_RUNS)

    def test_without_a_deadly_part_nothing_is_refused(self):
        played = simulation.Simulation(
            seed=1, gateways=8, per_s=40.0, share=0.0
        )
        played.run(10_000)
        self.assertEqual(0, played.refused_sound)


if __name__ == '__main__':
    unittest.main()
