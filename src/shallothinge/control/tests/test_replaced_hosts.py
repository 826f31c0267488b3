"""Tests of disk losses after control hosts were replaced or added.

Each loss is within the tolerance of the deployment: afterwards commands are
committed again, and in the end the running hosts are the voters.
"""

import contextlib
import itertools
import pathlib
import tempfile
import unittest

from shallothinge.control.tests import fleet as fleets
from shallothinge.control.tests import hosts

OVERLAP_MS = 1000
DOWN_MS = 1500
LONG_MS = 24_000
# Longer than the time within which a command has to be committed.
AWAY_MS = 8000
# Ends one step after a command is proposed: no follower holds it yet.
IN_FLIGHT_MS = fleets.PROPOSE_MS + hosts.STEP_MS


class Case(unittest.TestCase):
    """Base of tests on deployments of three or six hosts."""

    @contextlib.contextmanager
    def deployed(self, *, founders=3, seed=0, **row):
        """Yield a deployment; check at the end that it has recovered."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.subTest(seed=seed, **row))
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            fleet = fleets.Fleet(
                folder=pathlib.Path(folder),
                founders=founders,
                tolerance=founders // 3,
                seed=seed,
            )
            stack.callback(fleet.close)
            yield fleet
            fleet.check_recovery()

    def replace(self, fleet, *, leads=False):
        """Replace a host as planned; wait until the new one has caught up."""
        old_id = pick(fleet, leads=leads)
        new_id = fleet.start_new()
        fleet.run(OVERLAP_MS)
        fleet.stop_for_good(old_id)
        fleet.run(fleet.hosts[new_id].caught_up_ms - fleet.now_ms)
        return new_id

    def lose_disks(self, fleet, *host_ids, others_lose_power=False):
        """Wipe disks; optionally the other hosts lose power as well."""
        self.assertTrue(fleet.may_lose(*host_ids))
        for host_id in host_ids:
            fleet.kill(host_id, back_ms=DOWN_MS, wiped=True)
        if others_lose_power:
            fleet.kill_rest(*host_ids, back_ms=DOWN_MS)
        fleet.run(fleets.RECOVERY_MS)


def pick(fleet, *, leads=False, exclude=()):
    """Return the id of the leader or of another host."""
    found = [
        host_id
        for host_id in fleet.hosts
        if (host_id == fleet.leader_id()) is leads and host_id not in exclude
    ]
    return found[0] if found else fleet.leader_id()


class ReplacedAsPlannedTest(Case):
    """A new host joins before the old one stops for good."""

    def check_loss(self, *, leads, after_ms, others_lose_power):
        with self.deployed(leads=leads, after_ms=after_ms) as fleet:
            new_id = self.replace(fleet, leads=leads)
            fleet.run(after_ms)
            self.lose_disks(
                fleet,
                pick(fleet, exclude=(new_id,)),
                others_lose_power=others_lose_power,
            )

    def test_next_lost_disk_does_not_end_control(self):
        for leads in (False, True):
            self.check_loss(leads=leads, after_ms=0, others_lose_power=False)

    def test_next_lost_disk_long_after_does_not_end_control(self):
        for leads in (False, True):
            self.check_loss(
                leads=leads, after_ms=LONG_MS, others_lose_power=False
            )

    def test_next_lost_disk_with_power_lost_by_others_does_not_end_control(
        self,
    ):
        for leads, after_ms in itertools.product((False, True), (0, LONG_MS)):
            self.check_loss(
                leads=leads, after_ms=after_ms, others_lose_power=True
            )

    def test_lost_disk_of_the_new_leader_does_not_end_control(self):
        with self.deployed() as fleet:
            self.replace(fleet, leads=True)
            self.lose_disks(fleet, fleet.leader_id())

    def test_lost_disk_of_the_new_host_does_not_end_control(self):
        with self.deployed() as fleet:
            self.lose_disks(fleet, self.replace(fleet))

    def test_lost_disk_after_two_in_series_does_not_end_control(self):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                new_ids = [self.replace(fleet, leads=leads) for _ in range(2)]
                self.lose_disks(fleet, pick(fleet, exclude=new_ids))

    def test_second_replacement_in_series_does_not_end_control(self):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                self.replace(fleet, leads=leads)
                self.replace(fleet, leads=leads)

    def test_two_lost_disks_of_six_hosts_do_not_end_control(self):
        for leads in (False, True):
            with self.deployed(founders=6, leads=leads) as fleet:
                new_id = self.replace(fleet, leads=leads)
                first_id = pick(fleet, exclude=(new_id,))
                second_id = pick(fleet, exclude=(new_id, first_id))
                self.lose_disks(fleet, first_id, second_id)

    def test_two_lost_disks_of_six_while_two_others_are_away(self):
        for how, key, after_ms in (
            ('cut_off', 'for_ms', 3500),
            ('freeze', 'for_ms', 3500),
            ('kill', 'back_ms', 3500),
            ('restart', 'back_ms', 1000),
        ):
            with self.deployed(founders=6, how=how) as fleet:
                self.replace(fleet)
                fleet.run(fleets.CATCH_UP_MS)
                ids = list(fleet.hosts)
                for host_id in ids[:2]:
                    getattr(fleet, how)(host_id, **{key: 6000})
                fleet.run(after_ms)
                for host_id in ids[2:4]:
                    fleet.kill(host_id, back_ms=DOWN_MS, wiped=True)
                fleet.run(fleets.RECOVERY_MS)

    def test_two_lost_disks_of_six_after_two_replaced_do_not_end_control(
        self,
    ):
        with self.deployed(founders=6) as fleet:
            new_ids = [self.replace(fleet) for _ in range(2)]
            first_id = pick(fleet, exclude=new_ids)
            second_id = pick(fleet, exclude=(*new_ids, first_id))
            self.lose_disks(fleet, first_id, second_id)

    def test_replaced_host_of_three_has_no_vote(self):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                self.replace(fleet, leads=leads)

    def test_replaced_host_of_six_has_no_vote(self):
        for leads in (False, True):
            with self.deployed(founders=6, leads=leads) as fleet:
                self.replace(fleet, leads=leads)


class NewHostTest(Case):
    """New hosts: added ones and replacements of lost ones."""

    def test_lost_disk_after_an_unplanned_replacement(self):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                old_id = pick(fleet, leads=leads)
                fleet.lose_for_good(old_id)
                fleet.run(OVERLAP_MS)
                new_id = fleet.replace(old_id)
                fleet.run(fleets.CATCH_UP_MS)
                self.lose_disks(fleet, pick(fleet, exclude=(new_id,)))

    def test_lost_leader_has_no_vote_once_its_successor_counts(self):
        # With the first two seeds, the first election has no winner.
        for seed in (26, 57, 0, 1):
            with self.deployed(seed=seed) as fleet:
                fleet.run(seed * 7 + hosts.STEP_MS)
                old_id = fleet.leader_id()
                fleet.lose_for_good(old_id)
                fleet.replace(old_id)
                fleet.run(fleets.CATCH_UP_MS)
                self.assertNotIn(old_id, fleet.network.leader().member_ids)
                self.lose_disks(fleet, fleet.leader_id())

    def test_gone_host_is_not_taken_back_by_a_later_leader(self):
        with self.deployed() as fleet:
            old_id = pick(fleet)
            fleet.lose_for_good(old_id)
            fleet.replace(old_id)
            for _ in range(3):
                fleet.run(fleets.CATCH_UP_MS)
                fleet.hand_over()

    def test_gone_host_is_never_taken_in_again(self):
        with self.deployed() as fleet:
            old_id = pick(fleet)
            fleet.lose_for_good(old_id)
            fleet.replace(old_id)
            fleet.run(fleets.CATCH_UP_MS)
            for _ in range(3):
                fleet.hand_over()
                self.assertNotIn(old_id, self.members_in(fleet, LONG_MS))

    def members_in(self, fleet, duration_ms):
        """Let time pass; return all ids that were members meanwhile."""
        found = set()
        for _ in range(duration_ms // OVERLAP_MS):
            fleet.run(OVERLAP_MS)
            found.update(fleet.network.leader().member_ids)
        return found

    def replace_by_one_that_comes_back_empty(self, fleet):
        """Replace a host by one that loses its disk; return the new id."""
        old_id = pick(fleet)
        new_id = fleet.start_new()
        fleet.run(OVERLAP_MS)
        fleet.kill(new_id, back_ms=DOWN_MS, wiped=True)
        fleet.run(DOWN_MS + fleets.CATCH_UP_MS)
        fleet.stop_for_good(old_id)
        fleet.run(OVERLAP_MS)
        return new_id

    def test_new_host_that_comes_back_empty(self):
        with self.deployed() as fleet:
            self.replace_by_one_that_comes_back_empty(fleet)

    def test_lost_disk_after_a_new_host_came_back_empty(self):
        with self.deployed() as fleet:
            new_id = self.replace_by_one_that_comes_back_empty(fleet)
            self.lose_disks(fleet, pick(fleet, exclude=(new_id,)))

    def test_added_hosts_of_which_one_loses_its_disk(self):
        for added in (1, 2):
            with self.deployed(added=added) as fleet:
                self.add(fleet, added)
                self.lose_disks(fleet, pick(fleet))

    def test_one_of_four_hosts_stops_then_a_lost_disk(self):
        self.check_stopped(added=1)

    def test_one_of_five_hosts_stops_then_a_lost_disk(self):
        self.check_stopped(added=2)

    def test_one_of_four_hosts_is_gone_then_a_lost_disk(self):
        self.check_gone(added=1)

    def test_one_of_five_hosts_is_gone_then_a_lost_disk(self):
        self.check_gone(added=2)

    def test_two_of_five_hosts_stop_at_once_then_a_lost_disk(self):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                self.add(fleet, 2)
                first_id = pick(fleet, leads=leads)
                fleet.stop_for_good(first_id)
                fleet.run(1)
                fleet.stop_for_good(pick(fleet, exclude=(first_id,)))
                fleet.run(fleets.CATCH_UP_MS)
                self.lose_disks(fleet, pick(fleet))

    def test_leader_of_four_and_another_stop_at_once_as_one_starts(self):
        for second, seed in itertools.product(range(3), range(4)):
            with self.deployed(second=second, seed=seed) as fleet:
                self.add(fleet, 1)
                fleet.run(IN_FLIGHT_MS - fleet.now_ms % fleets.PROPOSE_MS)
                first_id = fleet.leader_id()
                others = [one for one in fleet.hosts if one != first_id]
                fleet.start_new()
                fleet.stop_for_good(first_id)
                fleet.run(hosts.STEP_MS)
                fleet.stop_for_good(others[second])
                fleet.run(fleets.CATCH_UP_MS)

    def test_one_of_four_hosts_stops_as_the_leader_is_lost(self):
        for wiped, seed in itertools.product((False, True), (0, 18, 38, 41)):
            with self.deployed(wiped=wiped, seed=seed) as fleet:
                self.add(fleet, 1)
                leader_id = fleet.leader_id()
                fleet.kill(leader_id, back_ms=DOWN_MS, wiped=wiped)
                fleet.stop_for_good(pick(fleet, exclude=(leader_id,)))
                fleet.run(fleets.CATCH_UP_MS)

    def test_leader_of_four_stops_as_another_is_lost(self):
        for wiped, seed in itertools.product((False, True), range(4)):
            with self.deployed(wiped=wiped, seed=seed) as fleet:
                self.add(fleet, 1)
                leader_id = fleet.leader_id()
                lost_id = pick(fleet, exclude=(leader_id,))
                fleet.kill(lost_id, back_ms=DOWN_MS, wiped=wiped)
                fleet.stop_for_good(leader_id)
                fleet.run(fleets.CATCH_UP_MS)

    def check_stopped(self, *, added):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                self.add(fleet, added)
                fleet.stop_for_good(pick(fleet, leads=leads))
                fleet.run(fleets.CATCH_UP_MS)
                self.lose_disks(fleet, pick(fleet))

    def check_gone(self, *, added):
        for leads in (False, True):
            with self.deployed(leads=leads) as fleet:
                self.add(fleet, added)
                fleet.lose_for_good(
                    pick(fleet, leads=leads), had_successor=True
                )
                fleet.run(fleets.CATCH_UP_MS)
                self.lose_disks(fleet, pick(fleet))

    def add(self, fleet, count):
        for _ in range(count):
            fleet.start_new()
            fleet.run(fleets.CATCH_UP_MS)


class LostZoneTest(Case):
    """A zone is lost while an old host and its successor run in it."""

    def check(self, lose, *, founders=3, overlaps_ms=(0, 1000, LONG_MS)):
        for leads, overlap_ms in itertools.product((False, True), overlaps_ms):
            with self.deployed(
                founders=founders, leads=leads, overlap_ms=overlap_ms
            ) as fleet:
                old_id = pick(fleet, leads=leads)
                zone = fleet.hosts[old_id].zone
                fleet.start_new(zone=zone)
                fleet.run(overlap_ms)
                self.assertTrue(fleet.may_lose_zone(zone))
                lose(fleet, zone)
                fleet.run(AWAY_MS + fleets.CATCH_UP_MS)
                fleet.stop_for_good(old_id)
                fleet.run(fleets.CATCH_UP_MS)

    def cut_off(self, fleet, zone):
        fleet.cut_off_zone(zone, for_ms=AWAY_MS)

    def lose_power(self, fleet, zone):
        fleet.kill_zone(zone, back_ms=AWAY_MS)

    def test_cut_zone_of_a_planned_replacement_does_not_end_control(self):
        self.check(self.cut_off)

    def test_lost_power_in_zone_of_a_replacement_does_not_end_control(self):
        self.check(self.lose_power)

    def test_cut_zone_of_six_hosts_and_a_new_one_does_not_end_control(self):
        self.check(self.cut_off, founders=6)

    def test_cut_zone_of_a_replacement_after_a_restart_in_another_zone(self):
        for leads, seed in itertools.product((False, True), range(3)):
            with self.deployed(leads=leads, seed=seed) as fleet:
                old_id = pick(fleet, leads=False)
                zone = fleet.hosts[old_id].zone
                fleet.start_new(zone=zone)
                fleet.run(fleets.CATCH_UP_MS)
                fleet.restart(
                    pick(fleet, leads=leads, exclude=fleet.hosts_in(zone)),
                    back_ms=DOWN_MS,
                )
                fleet.run(2 * fleets.CATCH_UP_MS)
                self.assertTrue(fleet.may_lose_zone(zone))
                self.cut_off(fleet, zone)
                fleet.run(AWAY_MS + fleets.CATCH_UP_MS)
