"""Data folders of one replica that is a cluster of its own."""

import random

from shallothinge import memory
from shallothinge.consensus import model
from shallothinge.control import compaction
from shallothinge.control import replica_store
from shallothinge.storage import data_folder

PROCESS_ID = 'c1'
POLICY = compaction.make_policy(
    snapshot_entries=1000, memory_bytes=200 * memory.MEGABYTE, disk_mb=64
)
LATE_MS = 10_000


def open_folder(path):
    """Open a data folder."""
    return data_folder.DataFolder(path=path, process_id=PROCESS_ID)


def open_store(path, *, machine):
    """Open a data folder as the control process does."""
    return replica_store.ReplicaStore(
        folder=open_folder(path),
        policy=POLICY,
        timing=model.Timing(kept_entries=250),
        machine=machine,
        rng=random.Random(1),
    )


def found(path, *, machine):
    """Found a cluster of one in a new data folder; its entry has index 1."""
    store = open_store(path, machine=machine)
    store.node.found_cluster(name='test', replica_ids=(store.node.replica_id,))
    store.store(store.node.take_effects(0))
    store.close()


def apply_all(store):
    """Elect the replica and apply all that it has."""
    for now_ms in (0, LATE_MS):
        store.node.tick(now_ms)
    effects = store.node.take_effects(LATE_MS)
    store.store(effects)
    for _ in store.apply(effects):
        pass
