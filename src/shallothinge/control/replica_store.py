"""What a replica keeps on its disk: snapshot, log, and when they change."""

from collections.abc import Iterator
import logging
import random

import attrs

from shallothinge import memory
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes
from shallothinge.control import compaction
from shallothinge.control import machine as machines
from shallothinge.storage import data_folder

LOG = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class StoreSizes:
    """How much a replica keeps on its disk, and about as much in memory.

    ``log_bytes_after_snapshot`` is the part of ``log_bytes`` that the next
    snapshot replaces. ``restored_peak_bytes`` is the most memory that the
    process had used when the data had been read, None if not known.
    """

    log_bytes: int
    log_bytes_after_snapshot: int
    snapshot_bytes: int
    restored_peak_bytes: int | None


class ReplicaStore:
    """The data folder of a replica, compacted as its log grows.

    :param folder: the opened data folder.
    :param policy: when the log is compacted.
    :param timing: parameters of the protocol.
    :param machine: the state machine; restored from the snapshot.
    :ivar node: the replica, made from what the folder held.
    :ivar applied_index: index of the last entry that was applied.
    :raises WriteFailed: if the disk does not take what a start writes.
    """

    def __init__(
        self,
        *,
        folder: data_folder.DataFolder,
        policy: compaction.CompactionPolicy,
        timing: model.Timing,
        machine: machines.StateMachine,
        rng: random.Random,
    ):
        self._folder = folder
        self._policy = policy
        self._machine = machine
        self.node = self._restore(timing, rng)
        self._restored_peak_bytes = memory.read_peak_bytes()
        LOG.info(
            'replica restored',
            extra={
                **attrs.asdict(self.sizes()),
                'resident_bytes': memory.read_resident_bytes(),
                'snapshot_index': self.applied_index,
                'last_index': self.node.log.last_index,
            },
        )

    def sizes(self) -> StoreSizes:
        """Return how much is stored."""
        snapshot = self.node.snapshot
        return StoreSizes(
            log_bytes=self._folder.log_bytes,
            log_bytes_after_snapshot=(
                self._folder.log_bytes - self._bytes_before_snapshot
            ),
            snapshot_bytes=len(snapshot.data) if snapshot else 0,
            restored_peak_bytes=self._restored_peak_bytes,
        )

    def store(self, effects: model.Effects) -> None:
        """Write what the node asks for, and sync it.

        :raises WriteFailed: if it may not be durable.
        """
        if effects.snapshot is not None:
            self._store_snapshot(effects.snapshot)
        elif effects.records:
            self._folder.append(effects.records)

    def apply(
        self, effects: model.Effects
    ) -> Iterator[tuple[model.Entry, bytes]]:
        """Apply a snapshot and committed entries to the state machine.

        Generates each entry with the state machine's answer, which is empty
        for an entry without a command.
        """
        if effects.snapshot is not None:
            self._machine.restore(effects.snapshot.data)
            self.applied_index = effects.snapshot.index
        for entry in effects.committed:
            answer = b''
            if entry.kind is model.EntryKind.COMMAND:
                answer = self._machine.apply(
                    index=entry.index, command=entry.data
                )
            self.applied_index = entry.index
            yield entry, answer

    def compact_if_due(self) -> None:
        """Take a snapshot if the log has grown by enough since the last.

        :raises WriteFailed: if the snapshot may not be durable.
        """
        snapshot = self.node.snapshot
        sizes = self.sizes()
        is_due = self._policy.is_due(
            entries=self.applied_index - (snapshot.index if snapshot else 0),
            log_bytes=sizes.log_bytes_after_snapshot,
            snapshot_bytes=sizes.snapshot_bytes,
        )
        if is_due:
            taken = self.node.compact(
                index=self.applied_index, data=self._machine.snapshot()
            )
            self._store_snapshot(taken)

    def close(self) -> None:
        """Close the files and release the lock."""
        self._folder.close()

    def _restore(self, timing: model.Timing, rng: random.Random) -> nodes.Node:
        """Make the node and the state machine from what is on the disk.

        The log is rewritten only if the snapshot replaces it: else a start
        would need the disk and the time for a second copy of it.
        """
        restored = self._folder.restored
        node = nodes.Node(
            replica_id=self._folder.identity.replica_id,
            rng=rng,
            timing=timing,
            restored=restored,
        )
        if node.log.base != restored.base:
            self._folder.rewrite(node.durable_records())
        else:
            self._folder.check_space()
        self.applied_index = 0
        if restored.snapshot is not None:
            self._machine.restore(restored.snapshot.data)
            self.applied_index = restored.snapshot.index
        self._bytes_before_snapshot = (
            self._folder.log_bytes - node.log.bytes_after(self.applied_index)
        )
        self._folder.release_restored()
        return node

    def _store_snapshot(self, snapshot: model.Snapshot) -> None:
        """Store a snapshot, then the log without what it replaces."""
        former_bytes = self._folder.log_bytes
        self._folder.store_snapshot(snapshot)
        self._folder.rewrite(self.node.durable_records())
        self._bytes_before_snapshot = (
            self._folder.log_bytes - self.node.log.bytes_after(snapshot.index)
        )
        LOG.info(
            'snapshot stored; log compacted',
            extra={
                'snapshot_index': snapshot.index,
                'snapshot_bytes': len(snapshot.data),
                'former_log_bytes': former_bytes,
                'log_bytes': self._folder.log_bytes,
            },
        )
