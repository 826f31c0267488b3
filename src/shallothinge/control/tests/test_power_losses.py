"""Seeded days on which all hosts lose power, and some of them their disks.

Whatever was acknowledged must be there once the hosts are back.
"""

import itertools
import os
import pathlib
import tempfile
import unittest

from shallothinge.control.tests import fleet as fleets
from shallothinge.control.tests import power_losses

# More by hand: POWER_LOSS_SEEDS=100:300 python -m unittest ...
SEEDS = os.environ.get('POWER_LOSS_SEEDS', '0:3')
# Hosts, and how many disks may be lost at once.
DEPLOYMENTS = ((3, 1), (6, 2), (8, 2))
BACK_MS = (0, 50, 400, 1500, 3000)
PAUSES_MS = (5, 50, 250, 1000, 4000)
# Syncs before a stop: of one command, or of a whole start or recovery.
SKIPPED_SYNCS = (0, 1, 2, 5, 20, 60)


class Day:
    """Faults that one seed chooses, then a final loss of power.

    :param fleet: the deployment.
    """

    def __init__(self, *, fleet: power_losses.PowerLossFleet):
        self.fleet = fleet
        self.rng = fleet.rng
        self.faults = (
            self.replace_as_planned,
            self.lose_disk,
            self.kill_at_sync,
            self.lose_power_at_sync,
            self.cut_off,
            self.freeze,
            self.lose_all_power,
            self.fleet.hand_over,
        )

    def play(self):
        """Play the day and check that the hosts recover with everything."""
        # Until then the new hosts count as lost themselves.
        self.fleet.run(fleets.CATCH_UP_MS)
        for _ in range(self.rng.randint(1, 5)):
            self.rng.choice(self.faults)()
            self.fleet.run(self.rng.choice(PAUSES_MS))
        self.fleet.wait_for_stops()
        self.wait_for_moment()
        self.lose_power_now()
        if self.rng.random() < 0.5:
            self.lose_power_while_recovering()
        self.fleet.check_recovery()

    def replace_as_planned(self):
        if not self.fleet.wait_for_room():
            return
        self.fleet.start_new()
        self.fleet.run(self.rng.choice(PAUSES_MS))
        old_id = self.rng.choice(list(self.fleet.hosts))
        if self.fleet.may_stop(old_id):
            self.fleet.stop_for_good(old_id)

    def lose_disk(self):
        host_id = self.pick()
        if host_id:
            self.fleet.wipe(host_id, back_ms=self.back_ms())

    def kill_at_sync(self):
        """Kill one process at a sync; what it wrote survives unsynced."""
        self.stop_at_syncs(self.fleet.kill)

    def lose_power_at_sync(self):
        """Let one machine lose power at a sync."""
        self.stop_at_syncs(self.fleet.lose_power)

    def stop_at_syncs(self, stop):
        """Stop a host at a sync, and perhaps in its next start as well."""
        host_id = self.pick()
        for _ in range(self.rng.randint(1, 2) if host_id else 0):
            skipped = self.rng.choice(SKIPPED_SYNCS)
            if self.fleet.run_to_sync(skipped=skipped, only=host_id):
                stop(host_id, back_ms=self.rng.choice((0, 50)))

    def cut_off(self):
        host_id = self.pick()
        if host_id:
            self.fleet.cut_off(host_id, for_ms=self.rng.choice(PAUSES_MS))

    def freeze(self):
        host_id = self.pick()
        if host_id:
            self.fleet.freeze(host_id, for_ms=self.rng.choice(PAUSES_MS))

    def lose_all_power(self):
        """Lose the power of all, in the middle of the day."""
        self.wait_for_moment()
        self.lose_power_now()
        self.fleet.run(fleets.RECOVERY_MS)

    def wait_for_moment(self):
        """Run to a random moment, an acknowledgement or a sync.

        At the last kind of moment one host has lost power a little earlier.
        """
        moment = self.rng.choice(
            ('timed', 'taken', 'sync', 'taken, sync', 'one earlier')
        )
        if moment == 'timed':
            self.fleet.run(self.rng.choice(PAUSES_MS))
        if moment == 'one earlier':
            host_id = self.fleet.run_to_sync()
            if host_id:
                self.fleet.lose_power(host_id, back_ms=self.back_ms())
            self.fleet.run(self.rng.choice(PAUSES_MS[:2]))
        if 'taken' in moment:
            self.fleet.run_to_acknowledgement()
        if 'sync' in moment:
            self.fleet.run_to_sync(skipped=self.rng.choice(SKIPPED_SYNCS))

    def lose_power_now(self):
        """Lose the power of all and as many disks as may be lost."""
        count = self.fleet.spare_disks()
        host_ids = self.fleet.oldest_first()
        chosen = self.rng.choice(('oldest', 'random', 'leader'))
        if chosen == 'random':
            self.rng.shuffle(host_ids)
        elif chosen == 'leader':
            leader_id = self.fleet.leader_id()
            host_ids.sort(key=lambda one: one != leader_id)
        self.fleet.lose_all_power(*host_ids[:count], back_ms=self.back_ms)

    def lose_power_while_recovering(self):
        skipped = self.rng.choice(SKIPPED_SYNCS)
        self.fleet.run_to_sync(skipped=skipped, limit_ms=4000)
        self.fleet.lose_all_power(back_ms=self.back_ms)

    def pick(self):
        """Return the id of a host that may be lost now, or ''."""
        host_id = self.rng.choice(list(self.fleet.hosts))
        if not self.fleet.wait_for_room(host_id):
            return ''
        host = self.fleet.hosts.get(host_id)
        if host is None or host.is_away or host.leaving:
            return ''
        return host_id

    def back_ms(self):
        return self.rng.choice(BACK_MS)


class PowerLossTest(unittest.TestCase):
    """All hosts lose power, with the disks that a deployment bears."""

    def play(self, *, founders, tolerance, seed):
        with tempfile.TemporaryDirectory() as folder:
            fleet = power_losses.PowerLossFleet(
                folder=pathlib.Path(folder),
                founders=founders,
                tolerance=tolerance,
                seed=seed,
            )
            try:
                Day(fleet=fleet).play()
            finally:
                fleet.close()

    def test_nothing_acknowledged_is_lost_with_disks_and_power(self):
        seeds = range(*map(int, SEEDS.split(':')))
        for deployed, seed in itertools.product(DEPLOYMENTS, seeds):
            founders, tolerance = deployed
            with self.subTest(founders=founders, seed=seed):
                self.play(founders=founders, tolerance=tolerance, seed=seed)
