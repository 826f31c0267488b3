"""Tests of the metrics of what a replica stores."""

import unittest

from shallothinge import metrics
from shallothinge.control import replica_store
from shallothinge.control import storage_metrics

SIZES = replica_store.StoreSizes(
    log_bytes=5000,
    log_bytes_after_snapshot=400,
    snapshot_bytes=30,
    restored_peak_bytes=None,
)


class StorageMetricsTest(unittest.TestCase):
    """What is published of a replica's store."""

    def publish(self, sizes):
        made = metrics.Metrics(
            role='control', process_id='c1', zone='a', host='h'
        )
        storage_metrics.publish(metrics=made, read=lambda: sizes)
        return made.text().decode()

    def test_known_sizes_are_published(self):
        text = self.publish(SIZES)
        table = (
            ('replica_log_bytes', '5000.0'),
            ('replica_log_bytes_after_snapshot', '400.0'),
            ('replica_snapshot_bytes', '30.0'),
        )
        for name, value in table:
            with self.subTest(name):
                self.assertRegex(text, rf'(?m)^{name}(\{{.*\}})? {value}$')
        self.assertNotIn('replica_restored_peak_bytes', text)

    def test_nothing_is_published_without_a_replica(self):
        self.assertNotIn('replica_', self.publish(None))
