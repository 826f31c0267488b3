"""When the replicated log is replaced by a snapshot of the state."""

import attrs

from shallothinge import memory

# A log of less is short to read, whatever the state.
LEAST_LOG_BYTES = 4 * memory.MEGABYTE
# The log and what it keeps before a snapshot are held in memory once, and
# twice on the disk while they are rewritten.
MEMORY_PART = 1 / 8
DISK_PART = 1 / 8


@attrs.frozen(kw_only=True)
class CompactionPolicy:
    """Bounds the log after a snapshot by its entries and by its bytes.

    ``snapshot_entries`` is the number of entries after which a snapshot is
    due, ``ceiling_bytes`` the most bytes that the log may have even if the
    state is larger.
    """

    snapshot_entries: int
    ceiling_bytes: int

    def is_due(
        self, *, entries: int, log_bytes: int, snapshot_bytes: int
    ) -> bool:
        """Return whether a snapshot is due.

        The log must have grown by the size of the last snapshot, so that
        snapshots write at most as many bytes as the log does, unless the
        state is larger than the ceiling.

        :param entries: number of entries applied since the last snapshot.
        :param log_bytes: size of the log after that snapshot.
        :param snapshot_bytes: size of the last snapshot, 0 if there is none.
        """
        if entries < 1 or log_bytes < min(snapshot_bytes, self.ceiling_bytes):
            return False
        return entries >= self.snapshot_entries or log_bytes >= min(
            LEAST_LOG_BYTES, self.ceiling_bytes
        )


def make_policy(
    *, snapshot_entries: int, memory_bytes: int, disk_mb: int
) -> CompactionPolicy:
    """Return the policy of a host.

    :param memory_bytes: memory that the process may use.
    :param disk_mb: size of the disk of the data folder; 0 if not stated.
    """
    ceiling_bytes = MEMORY_PART * memory_bytes
    if disk_mb:
        ceiling_bytes = min(
            ceiling_bytes, DISK_PART * disk_mb * memory.MEGABYTE
        )
    return CompactionPolicy(
        snapshot_entries=snapshot_entries, ceiling_bytes=int(ceiling_bytes)
    )
