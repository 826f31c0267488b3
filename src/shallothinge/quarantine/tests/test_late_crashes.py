"""Tests of crashes of servers that had been writing answers for a while."""

import unittest

from shallothinge import clock as clocks
from shallothinge.quarantine import chance
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments
from shallothinge.quarantine import state
from shallothinge.quarantine import suspects
from shallothinge.quarantine.tests import simulation

BAD = 'bad'
TENANT = 'tenant'
SERVERS = 12
SERVICES = frozenset(('pool',))
CONTACT_MS = 3000
MAX_LATE_RUNS = 3


class Places:
    """Servers of one service, each of which starts again under a new id."""

    def __init__(self):
        self.ids = [f's{number}' for number in range(SERVERS)]

    def find_place(self, server_id):
        """Return that all servers are in one zone."""
        return moments.Place(zone='z')

    def list_zone(self, zone):
        """Return all servers."""
        return self.list_serving(SERVICES)

    def find_services(self, server_id):
        """Return the service of a listed server."""
        return SERVICES if server_id in self.ids else frozenset()

    def list_serving(self, services):
        """Return all servers."""
        return frozenset((one, '1') for one in self.ids)


class Running:
    """A request that is in progress at a gateway."""

    def __init__(self, gateway, part_ids):
        self.part_ids = part_ids
        self._gateway = gateway
        self._run = gateway.start_run(part_ids)

    def end(self, *, key=None):
        """End, because a server crashed if its key is given."""
        self._gateway.end_run(self._run)
        if key is not None:
            self._gateway.record_crash(
                key=key, part_ids=self.part_ids, is_late=True
            )


class LateCrashTest(unittest.TestCase):
    """Three gateways whose servers crash while they write."""

    def setUp(self):
        self.clock = clocks.ManualClock(start_ms=1_000_000)
        self.places = Places()
        self.gateways = [
            state.PartQuarantine(clock=self.clock, places=self.places)
            for _ in range(3)
        ]
        self.crashes = 0

    def run_request(self, index, *part_ids):
        own = f'{fingerprints.PREFIX}{self.clock.now_ms()}-{index}'
        return Running(self.gateways[index], (*part_ids, own))

    def crash(self, number, requests):
        """Crash a server under requests, and start it under a new id."""
        key = (self.places.ids[number], '1')
        for one in requests:
            one.end(key=key)
        self.crashes += 1
        self.exchange()
        self.places.ids[number] = f's{number}-{self.crashes}'

    def exchange(self):
        """Let all gateways know and judge."""
        for _ in range(2):
            for sender in self.gateways:
                report = sender.report(complete=False)
                for receiver in self.gateways:
                    if report is not None and receiver is not sender:
                        receiver.apply_report(
                            report, peer_id=str(self.gateways.index(sender))
                        )
        self.clock.advance(duration_ms=suspects.SETTLE_MS)
        for one in self.gateways:
            one.judge()

    def crash_until_found(self, part_id, make, *, writing_ms, most):
        """Crash a server under one request after another.

        :returns: after how many crashes the part was quarantined, or None.
        """
        for number in range(most):
            request = make(number)
            self.clock.advance(duration_ms=writing_ms)
            self.crash(number % SERVERS, [request])
            self.clock.advance(duration_ms=1000)
            if all(one.is_quarantined((part_id,)) for one in self.gateways):
                return number + 1
        return None

    # Guards against a deadly part that was never found as it crashes late.
    def test_part_that_crashes_servers_late_is_found_at_any_moment(self):
        for writing_ms in (300, 400, 900, 3000, 20_000):
            with self.subTest(writing_ms=writing_ms):
                self.setUp()
                found = self.crash_until_found(
                    BAD,
                    lambda number: self.run_request(number % 3, TENANT, BAD),
                    writing_ms=writing_ms,
                    most=8,
                )
                self.assertIsNotNone(found)

    # Guards against a deadly request that was never found for this reason.
    def test_request_that_crashes_servers_late_is_found(self):
        for writing_ms in (400, 3000):
            with self.subTest(writing_ms=writing_ms):
                self.setUp()
                own = f'{fingerprints.PREFIX}deadly'
                found = self.crash_until_found(
                    own,
                    lambda number: Running(
                        self.gateways[number % 3], (TENANT, own)
                    ),
                    writing_ms=writing_ms,
                    most=6,
                )
                self.assertIsNotNone(found)

    def test_part_of_long_streams_everywhere_is_not_blamed(self):
        streams = {
            number: self.run_request(number % 3, TENANT)
            for number in range(SERVERS)
        }
        for turn in range(40):
            self.clock.advance(duration_ms=1400)
            number = turn * 5 % SERVERS
            self.crash(number, [streams[number]])
            streams[number] = self.run_request(number % 3, TENANT)
        for one in self.gateways:
            self.assertFalse(one.is_quarantined((TENANT,)))

    def test_lone_long_stream_that_is_hit_now_and_then_is_not_blamed(self):
        own = f'{fingerprints.PREFIX}long'
        stream, at = Running(self.gateways[0], (own,)), 0
        hits = 0
        for turn in range(60):
            self.clock.advance(duration_ms=1400)
            number = turn * 5 % SERVERS
            other = self.run_request(1, TENANT)
            self.clock.advance(duration_ms=20)
            if number == at:
                hits += 1
                self.crash(number, [other, stream])
                stream = Running(self.gateways[hits % 3], (own,))
                at = (at + 7) % SERVERS
            else:
                self.crash(number, [other])
        self.assertGreaterEqual(hits, 4)
        for one in self.gateways:
            self.assertFalse(one.is_quarantined((own,)))

    def test_log_tells_why_late_crashes_count_or_not(self):
        self.crash_until_found(
            BAD,
            lambda number: self.run_request(0, BAD),
            writing_ms=400,
            most=3,
        )
        one = self.gateways[0]
        with self.assertLogs('shallothinge.quarantine.evidence') as logs:
            one.remove_expired()
        [doubt] = logs.records
        self.assertEqual((BAD, 2, 2), (doubt.part_id, doubt.crashes, doubt.of))
        self.assertGreater(doubt.probability, chance.LEAST_PROBABILITY)
        with self.assertNoLogs('shallothinge.quarantine.evidence'):
            one.remove_expired()
        with self.assertLogs('shallothinge.quarantine.state') as logs:
            self.crash_until_found(
                BAD,
                lambda number: self.run_request(0, BAD),
                writing_ms=400,
                most=3,
            )
        verdict = logs.records[0]
        self.assertEqual(BAD, verdict.part_id)
        self.assertLess(verdict.server_time_share, 0.1)
        self.assertLessEqual(verdict.probability, chance.LEAST_PROBABILITY)

    def test_complete_answer_clears_late_crashes(self):
        for number in range(12):
            request = self.run_request(number % 3, TENANT, BAD)
            self.clock.advance(duration_ms=400)
            self.crash(number % SERVERS, [request])
            self.gateways[number % 3].record_whole((TENANT, BAD))
            self.exchange()
            self.clock.advance(duration_ms=1000)
        for one in self.gateways:
            self.assertFalse(one.is_quarantined((BAD,)))

    # Guards against refuted crashes that made others look like chance.
    def test_crashes_that_peers_repeat_after_they_were_refuted_do_not_count(
        self,
    ):
        one, other = self.gateways[:2]
        opened_ms = self.clock.now_ms()
        self.clock.advance(duration_ms=100)

        def reset(number):
            key = (f's{number}', '1')
            other.record_crash(key=key, part_ids=(TENANT,))
            one.apply_report(other.report(complete=False), peer_id='1')
            self.clock.advance(duration_ms=30)
            one.record_data(key=key, opened_ms=opened_ms)
            one.apply_report(other.report(complete=True), peer_id='1')

        def request(number):
            for server in range(4 + 2 * number, 6 + 2 * number):
                reset(server)
            return self.run_request(0, BAD)

        found = self.crash_until_found(BAD, request, writing_ms=400, most=4)
        self.assertEqual(4, found)

    def test_crash_whose_parts_were_answered_is_reported_all_the_same(self):
        self.gateways[0].record_crash(key=('s0', '1'), part_ids=(TENANT,))
        self.gateways[0].record_whole((TENANT,))
        report = self.gateways[0].report(complete=False)
        self.assertEqual(
            [('s0', '1')], [crash[:2] for crash in report.crashes]
        )

    def test_late_parts_are_reported_apart_for_former_releases(self):
        self.run_request(0, TENANT).end(key=('s0', '1'))
        self.gateways[0].record_crash(key=('s0', '1'), part_ids=(BAD,))
        report = self.gateways[0].report(complete=False)
        [(*_, early)] = report.crashes
        [(*_, late)] = report.late_crashes
        self.assertEqual([BAD], [part_id for part_id, _ in early])
        self.assertIn(TENANT, [part_id for part_id, _ in late])
        self.assertNotIn(BAD, [part_id for part_id, _ in late])


class ServerTimeTest(unittest.TestCase):
    """What is kept to tell chance from causes."""

    # Guards against a record for each part that ever ran beside a crash.
    def test_only_parts_of_known_crashes_take_room(self):
        crashes = crash_table.CrashTable(is_proven=lambda _: False)
        table = chance.ServerTime(places=Places(), crashes=crashes)
        key = ('s0', '1')
        crashes.add(
            key, crash_table.Observation(at_ms=1000, positions={BAD: 0})
        )
        table.note_crash(key, at_ms=1000, running=())
        for number in range(1000):
            run = chance.Run(part_ids=(f'p{number}', BAD), started_ms=900)
            table.note_end(run, 1500)
            table.apply_report(f'p{number}', 500, 'peer')
        self.assertEqual(1, len(table))
        self.assertEqual(((BAD, 500_000),), table.to_report(lambda one: True))
        crashes.remove_older(2000)
        table.keep_if(crashes.count_with)
        self.assertEqual(0, len(table))


class ProbabilityTest(unittest.TestCase):
    """How likely a part is at so many crashes."""

    def test_probability(self):
        table = (
            (0, 5, 0.5, 1.0),
            (3, 3, 0.1, 0.001),
            (1, 2, 0.5, 1.0),
            (2, 2, 0.5, 0.25),
            (3, 4, 0.5, 5 / 16),
            (3, 3, 1.0, 1.0),
            (3, 3, 0.0, 0.0),
        )
        for crashes, of, share, expected in table:
            with self.subTest(crashes=crashes, of=of, share=share):
                self.assertAlmostEqual(
                    expected,
                    chance.probability_of(crashes, of=of, share=share),
                )


class SimulatedLateCrashTest(unittest.TestCase):
    """Deadly requests whose crashes come at drawn moments, among others."""

    def play(self, **changed):
        fields = dict(
            gateways=8, per_s=40.0, long_share=0.05, long_ms=30_000, share=0.0
        )
        played = simulation.Simulation(**{**fields, **changed})
        played.run(20_000)
        return played

    def test_deadly_parts_and_requests_stop_whenever_they_crash_servers(self):
        for seed, after_ms in enumerate(
            ((0,), (400,), (0, 300, 600, 1200, 2400))
        ):
            with self.subTest(after_ms=after_ms):
                part = self.play(
                    seed=seed, share=0.0125, crash_after_ms=after_ms
                )
                request = self.play(
                    seed=seed, repeated_share=0.0125, crash_after_ms=after_ms
                )
                self.assertLessEqual(
                    part.late_runs(5, CONTACT_MS), MAX_LATE_RUNS
                )
                self.assertLessEqual(
                    request.late_runs(3, CONTACT_MS), MAX_LATE_RUNS
                )

    def test_crashes_in_series_have_no_long_stream_refused(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                played = self.play(
                    seed=seed,
                    long_share=0.2,
                    long_ms=60_000,
                    crashes_per_s=0.7,
                )
                self.assertGreater(len(played.crash_times_ms), 5)
                self.assertEqual(0, played.refused_sound)


if __name__ == '__main__':
    unittest.main()
