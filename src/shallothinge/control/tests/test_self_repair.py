"""Property test of control hosts that repair their own membership."""

import pathlib
import tempfile
import unittest

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge.control.tests import fleet

INDEXES = strategies.integers(0, 11)
# Time until the process of a stopped host starts again.
DOWN_MS = strategies.sampled_from((0, 400, 1500, 3000))
# From a short stall to an outage after which the host counts as lost.
AWAY_MS = strategies.sampled_from((300, 1200, 2600, 6000))
# Time between the start of the new host and the stop of the old one.
OVERLAP_MS = strategies.sampled_from((0, 200, 1000, 3000, 8000))
PAUSE_MS = strategies.sampled_from((0, 5, 50, 250, 1000, 4000))
MAX_ADDED = 2
# Fault of the zone in which a new host and its predecessor both run.
ZONE_FAULTS = strategies.sampled_from(('', 'power', 'cut'))
ZONES = strategies.integers(0, fleet.ZONE_COUNT - 1)
ZONE_DOWN_MS = strategies.sampled_from((0, 400, 1500))


class RepairingHosts(stateful.RuleBasedStateMachine):
    """Hosts are lost and replaced, never more than the tolerance at once."""

    founders = 3
    tolerance = 1

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def build(self, seed):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = fleet.Fleet(
            folder=pathlib.Path(self.folder.name),
            founders=self.founders,
            tolerance=self.tolerance,
            seed=seed,
        )

    def teardown(self):
        if not hasattr(self, 'fleet'):
            return
        try:
            self.fleet.check_recovery()
        finally:
            self.fleet.close()
            self.folder.cleanup()

    def pick(self, index, *, running=True):
        """Return the id of a host that may be lost now, or ''."""
        found = [
            host.host_id
            for host in self.fleet.hosts.values()
            if not (running and host.is_away)
        ]
        host_id = found[index % len(found)] if found else ''
        if not host_id or not self.fleet.wait_for_room(host_id):
            return ''
        return host_id if self.is_available(host_id) or not running else ''

    def is_available(self, host_id):
        host = self.fleet.hosts.get(host_id)
        return host and not host.is_away and not host.leaving

    @stateful.rule(duration_ms=PAUSE_MS)
    def wait(self, duration_ms):
        self.fleet.run(duration_ms)

    @stateful.rule()
    def hand_over(self):
        self.fleet.hand_over()

    @stateful.rule(
        index=INDEXES,
        overlap_ms=OVERLAP_MS,
        leads=strategies.booleans(),
        zone_fault=ZONE_FAULTS,
        back_ms=ZONE_DOWN_MS,
        for_ms=AWAY_MS,
    )
    def replace_as_planned(
        self, index, overlap_ms, leads, zone_fault, back_ms, for_ms
    ):
        if not self.fleet.wait_for_room():
            return
        ids = list(self.fleet.hosts)
        leader_id = self.fleet.leader_id()
        old_id = leader_id if leads and leader_id else ids[index % len(ids)]
        zone = self.fleet.hosts[old_id].zone
        self.fleet.start_new(zone=zone)
        self.fleet.run(overlap_ms)
        if zone_fault == 'power':
            self.lose_power_of(zone, back_ms)
        elif zone_fault == 'cut':
            self.cut_off_all_of(zone, for_ms)
        leadership_moved = leads and old_id != self.fleet.leader_id()
        if self.fleet.may_stop(old_id) and not leadership_moved:
            self.fleet.stop_for_good(old_id)
        else:
            self.stop_one(index, leads)

    def lose_power_of(self, zone, back_ms):
        if self.fleet.wait_for_zone(zone):
            self.fleet.kill_zone(zone, back_ms=back_ms)
            self.fleet.run(back_ms)

    def cut_off_all_of(self, zone, for_ms):
        if self.fleet.wait_for_zone(zone):
            self.fleet.cut_off_zone(zone, for_ms=for_ms)
            self.fleet.run(for_ms)

    @stateful.rule(zone=ZONES, back_ms=ZONE_DOWN_MS)
    def lose_power_of_zone(self, zone, back_ms):
        self.lose_power_of(zone, back_ms)

    @stateful.rule(zone=ZONES, for_ms=AWAY_MS)
    def cut_off_zone(self, zone, for_ms):
        self.cut_off_all_of(zone, for_ms)

    @stateful.rule(index=INDEXES)
    def add_host(self, index):
        max_count = self.founders + MAX_ADDED
        if len(self.fleet.hosts) < max_count and self.fleet.wait_for_room():
            self.fleet.start_new()

    @stateful.rule(index=INDEXES, leads=strategies.booleans())
    def stop_added_or_replaced(self, index, leads):
        self.stop_one(index, leads)

    def stop_one(self, index, leads):
        """Stop a host for which another one was added, as planned."""
        found = list(filter(self.fleet.may_stop, self.fleet.hosts))
        if not found:
            return
        host_id = found[index % len(found)]
        if leads and self.fleet.may_stop(self.fleet.leader_id()):
            host_id = self.fleet.leader_id()
        self.fleet.stop_for_good(host_id)

    @stateful.rule(index=INDEXES, empty_ms=OVERLAP_MS)
    def replace_unplanned(self, index, empty_ms):
        host_id = self.pick(index)
        if not host_id:
            return
        self.fleet.lose_for_good(host_id)
        self.fleet.run(empty_ms)
        self.fleet.replace(host_id)

    @stateful.rule(index=INDEXES)
    def lose_one_that_has_a_successor(self, index):
        host_id = self.pick(index)
        if host_id and self.fleet.may_stop(host_id):
            self.fleet.lose_for_good(host_id, had_successor=True)

    @stateful.rule(index=INDEXES, back_ms=DOWN_MS)
    def lose_disk(self, index, back_ms):
        host_id = self.pick(index, running=False)
        if host_id:
            self.fleet.kill(host_id, back_ms=back_ms, wiped=True)

    @stateful.rule(index=INDEXES, back_ms=DOWN_MS, rest_ms=DOWN_MS)
    def lose_disk_and_power_of_others(self, index, back_ms, rest_ms):
        host_id = self.pick(index)
        if not host_id:
            return
        self.fleet.wait_for_stops(host_id)
        if self.fleet.may_lose(host_id):
            self.fleet.kill(host_id, back_ms=back_ms, wiped=True)
            self.fleet.kill_rest(host_id, back_ms=rest_ms)

    @stateful.rule(back_ms=strategies.sampled_from((0, 400, 1000)))
    def restart_all(self, back_ms):
        self.fleet.wait_for_stops()
        self.fleet.kill_rest(back_ms=back_ms)

    @stateful.rule(index=INDEXES, back_ms=DOWN_MS)
    def kill(self, index, back_ms):
        host_id = self.pick(index)
        if host_id:
            self.fleet.kill(host_id, back_ms=back_ms)

    @stateful.rule(index=INDEXES, back_ms=DOWN_MS)
    def restart_as_planned(self, index, back_ms):
        host_id = self.pick(index)
        if host_id:
            self.fleet.restart(host_id, back_ms=back_ms)

    @stateful.rule(index=INDEXES, for_ms=AWAY_MS)
    def freeze(self, index, for_ms):
        host_id = self.pick(index)
        if host_id:
            self.fleet.freeze(host_id, for_ms=for_ms)

    @stateful.rule(index=INDEXES, for_ms=AWAY_MS)
    def cut_off(self, index, for_ms):
        host_id = self.pick(index)
        if host_id:
            self.fleet.cut_off(host_id, for_ms=for_ms)


class SixRepairingHosts(RepairingHosts):
    """Six hosts, of which two may be lost at once."""

    founders = 6
    tolerance = 2

    @stateful.rule(index=INDEXES, back_ms=DOWN_MS, rest_ms=DOWN_MS)
    def lose_two_disks(self, index, back_ms, rest_ms):
        ids = sorted(self.fleet.hosts)
        pair = ids[index % len(ids)], ids[(index + 1 + index // 6) % len(ids)]
        if pair[0] != pair[1] and self.fleet.wait_for_room(*pair):
            for host_id in pair:
                self.fleet.kill(host_id, back_ms=back_ms, wiped=True)


class SelfRepairTest(unittest.TestCase):
    """Runs the same examples each time; failures are not shrunk."""

    def check(self, machine, *, max_examples, step_count):
        stateful.run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=max_examples,
                stateful_step_count=step_count,
                deadline=None,
                phases=(Phase.generate,),
            ),
        )

    def test_three_hosts_serve_and_mend_themselves(self):
        self.check(RepairingHosts, max_examples=10, step_count=20)

    def test_six_hosts_serve_and_mend_themselves(self):
        self.check(SixRepairingHosts, max_examples=6, step_count=20)
