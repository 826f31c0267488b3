"""Tests of servers that crash several at one moment."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from shallothinge import clock as clocks
from shallothinge import wire
from shallothinge.quarantine import messages
from shallothinge.quarantine import moments
from shallothinge.quarantine import state
from shallothinge.quarantine import suspects
from shallothinge.quarantine import suspicion as suspicions
from shallothinge.quarantine import zone_watch
from shallothinge.quarantine.tests import moments_simulation

BAD, SHARED, REQUEST = 'bad', 'shared', 'request-1'
ZONES = 3
SERVERS = 60
CONTACT_MS = 3000
MAX_LATE_RUNS = 3
Cause = moments_simulation.Cause


class Places:
    """Servers, of which each third is in the same zone.

    :ivar zone_count: over how many zones they are spread.
    :ivar hosts: host of each server, by its number.
    """

    def __init__(self):
        self.zone_count = ZONES
        self.hosts = {}

    def find_place(self, server_id):
        """Return where a server runs."""
        number = int(server_id[1:])
        return moments.Place(
            zone=f'z{number % self.zone_count}',
            host=self.hosts.get(number, ''),
        )

    def list_zone(self, zone):
        """Return the servers of a zone."""
        return frozenset(
            (f's{number}', '1')
            for number in range(SERVERS)
            if f'z{number % self.zone_count}' == zone
        )

    def find_services(self, server_id):
        """Return the only service."""
        return frozenset(('service',))

    def list_serving(self, services):
        """Return all servers, as they have one service."""
        return frozenset((f's{number}', '1') for number in range(SERVERS))


class MomentTest(unittest.TestCase):
    """What some gateways make of crashes at one moment."""

    GATEWAYS = 4

    def setUp(self):
        self.clock = clocks.ManualClock(start_ms=1_000_000)
        self.places = Places()
        self.gateways = [
            state.PartQuarantine(clock=self.clock, places=self.places)
            for _ in range(self.GATEWAYS)
        ]
        self.one, self.two, *_ = self.gateways

    def crash(self, numbers, *part_ids, at=None):
        """Crash servers under requests with some parts, at all gateways."""
        for index, number in enumerate(numbers):
            gateway = at or self.gateways[index % self.GATEWAYS]
            gateway.record_crash(key=(f's{number}', '1'), part_ids=part_ids)

    def exchange(self):
        for index, sender in enumerate(self.gateways):
            report = sender.report(complete=False)
            for receiver in self.gateways:
                if report is not None and receiver is not sender:
                    receiver.apply_report(report, peer_id=str(index))

    def go_on(self, numbers, *, at=None):
        """Let servers send data on new connections, after the crashes."""
        self.clock.advance(duration_ms=300)
        for number in numbers:
            (at or self.one).record_data(
                key=(f's{number}', '1'), opened_ms=self.clock.now_ms() - 1
            )

    def settle(self):
        """Let the gateways decide; return whether both refuse a part."""
        for _ in range(2):
            self.exchange()
            self.clock.advance(duration_ms=suspicions.SAME_MOMENT_WAIT_MS)
            for gateway in self.gateways:
                gateway.judge()
        self.exchange()
        return lambda part_id: all(
            one.is_quarantined((part_id,)) for one in self.gateways
        )

    def test_request_is_found_that_crashes_servers_at_one_moment(self):
        # All crashes of a moment counted once, so that it took three groups.
        for name, numbers, alive in (
            ('three zones', (0, 1, 2), ()),
            ('four, neighbours go on', (0, 1, 3, 4), (6, 7)),
            ('one zone, neighbours go on', (0, 3, 6), (9,)),
            ('forty', range(40), (40, 41, 42)),
        ):
            for bad in (REQUEST, BAD):
                with self.subTest(name, bad=bad):
                    self.setUp()
                    self.crash(numbers, SHARED, bad)
                    self.go_on(alive)
                    self.assertTrue(self.settle()(bad))

    def test_two_requests_are_found_that_crash_servers_at_one_moment(self):
        self.crash((0, 1, 2, 3), REQUEST)
        self.crash((4, 5, 6, 7), 'request-2')
        self.go_on((9, 10, 11))
        quarantined = self.settle()
        self.assertTrue(quarantined(REQUEST))
        self.settle()
        self.assertTrue(quarantined('request-2'))

    def test_what_another_cause_explains_blames_nothing(self):
        def lose_zone():
            self.crash(range(0, SERVERS, ZONES), REQUEST)
            self.go_on((1, 2))

        def lose_zone_under_other_requests():
            self.crash((0, 3, 6), REQUEST)
            self.crash((9, 12), 'request-2')
            self.go_on((1, 2, 15))

        def lose_two_zones():
            self.crash((0, 3, 1, 4), REQUEST)
            self.go_on((2, 5))

        def lose_power():
            self.crash((0, 1, 2, 3), REQUEST)
            self.crash((4, 5), 'request-2')

        def lose_host():
            self.places.hosts = dict.fromkeys((0, 3, 6, 9), 'h1')
            self.crash((0, 3, 6, 9), REQUEST)
            self.go_on((12,))

        def answer_elsewhere():
            self.crash((0, 1, 2), REQUEST)
            self.go_on((3, 4, 5))
            self.two.record_whole((REQUEST,))

        def answer_before():
            self.one.record_whole((BAD,))
            self.clock.advance(duration_ms=1)
            self.crash((0, 1, 2, 3, 4, 5), BAD)
            self.go_on((6, 7, 8))

        def start_again():
            self.crash((0, 3, 6), REQUEST)
            self.clock.advance(duration_ms=zone_watch.ZONE_WATCH_MS)
            self.go_on((9,))

        def send_before():
            self.crash((0, 3, 6), REQUEST)
            self.one.record_data(key=('s9', '1'), opened_ms=0)

        def lose_connections():
            self.crash((0, 1, 2, 3, 4), REQUEST, at=self.one)
            self.go_on((6, 7, 8), at=self.two)

        def know_no_places():
            self.places.find_place = lambda server_id: None
            self.crash((0, 1, 2, 3), REQUEST)
            self.go_on((6, 7, 8))

        for happen in (
            lose_zone,
            lose_zone_under_other_requests,
            lose_two_zones,
            lose_power,
            lose_host,
            answer_elsewhere,
            answer_before,
            start_again,
            send_before,
            lose_connections,
            know_no_places,
        ):
            with self.subTest(happen=happen.__name__):
                self.setUp()
                happen()
                quarantined = self.settle()
                self.assertFalse(quarantined(REQUEST))
                self.assertFalse(quarantined(BAD))

    def test_crashes_that_are_refuted_in_time_blame_nothing(self):
        opened_ms = self.clock.now_ms() - 1
        self.crash((0, 1, 2, 3), REQUEST)
        self.exchange()
        self.go_on((4, 5, 6))
        for number in range(4):
            self.one.record_data(key=(f's{number}', '1'), opened_ms=opened_ms)
        self.assertFalse(self.settle()(REQUEST))

    def test_request_waits_while_crashes_of_one_moment_are_judged(self):
        self.crash((0, 1, 2), REQUEST)
        self.exchange()
        self.clock.advance(duration_ms=suspects.SETTLE_MS)
        self.one.judge()
        self.assertGreater(self.one.admit((REQUEST,)).wait_ms, 0)
        self.assertEqual(0, self.one.admit(('request-2',)).wait_ms)

    def test_peer_learns_which_zones_were_not_lost(self):
        self.crash((0, 3, 6), REQUEST)
        self.exchange()
        self.go_on((9,), at=self.two)
        report = self.two.report(complete=False)
        codec = wire.Codec(message_types=messages.MESSAGES)
        passed = codec.decode(codec.encode(report))
        self.assertEqual(3, len(passed.live_zones))
        self.one.apply_report(passed, peer_id='1')
        self.clock.advance(duration_ms=suspicions.SAME_MOMENT_WAIT_MS)
        self.one.judge()
        self.assertTrue(self.one.is_quarantined((REQUEST,)))


class FleetTest(unittest.TestCase):
    """Both errors over random requests, crashes and gateways."""

    def play(self, *, seed, cause, size, per_s):
        played = moments_simulation.MomentSimulation(
            seed=seed, gateways=4, per_s=per_s, cause=cause, size=size
        )
        played.run(12_500)
        return played

    @settings(max_examples=10, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        cause=strategies.sampled_from((Cause.REQUEST, Cause.PART)),
        size=strategies.sampled_from((2, 4, 8)),
    )
    def test_groups_of_deadly_requests_stop(self, seed, cause, size):
        played = self.play(seed=seed, cause=cause, size=size, per_s=10.0)
        number = 5 if cause is Cause.PART else 3
        self.assertLessEqual(
            played.late_runs(number, CONTACT_MS), MAX_LATE_RUNS
        )
        self.assertEqual(0, played.refused_sound)

    @settings(max_examples=10, deadline=None)
    @given(
        seed=strategies.integers(0, 10_000),
        cause=strategies.sampled_from((Cause.ZONE, Cause.RACK)),
        size=strategies.sampled_from((4, 8)),
    )
    def test_lost_zones_and_racks_blame_no_sound_request(
        self, seed, cause, size
    ):
        played = self.play(seed=seed, cause=cause, size=size, per_s=10.0)
        self.assertEqual(0, played.refused_sound)
