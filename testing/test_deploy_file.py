"""Tests of the deploy file against the layouts that it has to serve."""

import math
import pathlib
import tomllib
import unittest

DEPLOY = pathlib.Path(__file__).resolve().parent.parent / 'deploy'


class ControlHostsTest(unittest.TestCase):
    """Control runs on enough hosts with a disk."""

    def setUp(self):
        deploy = tomllib.loads((DEPLOY / 'system.toml').read_text())
        self.share = deploy['roles']['control']['share']

    def test_control_bears_the_losses_that_a_layout_states(self):
        # Guards against three replicas of which two lose their disks: what
        # was acknowledged is gone, and no majority ever comes back.
        # Name, hosts of each zone, hosts with a disk of each zone, losses.
        for name, hosts, disks, losses in (
            ('three small zones', (3, 2, 3), (1, 1, 1), 1),
            ('half of the hosts have a disk', (4, 4, 4), (2, 2, 2), 2),
            ('many without a disk', (10, 10, 8), (2, 2, 2), 2),
            ('four zones', (7, 7, 6, 6), (2, 2, 2, 2), 2),
            ('five zones, one disk each', (15, 12, 15, 14, 14), (1,) * 5, 2),
        ):
            with self.subTest(name=name):
                replicas = sum(
                    min(disk_count, math.ceil(self.share * host_count))
                    for host_count, disk_count in zip(
                        hosts, disks, strict=True
                    )
                )
                self.assertGreaterEqual(replicas, 2 * losses + 1)
                self.assertEqual(sum(disks), replicas)
