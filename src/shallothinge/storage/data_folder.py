"""The data folder of one replica: its identity, log and snapshot."""

from collections.abc import Iterable
import fcntl
import os
import pathlib
import secrets

from shallothinge import wire
from shallothinge.consensus import model
from shallothinge.storage import errors
from shallothinge.storage import files
from shallothinge.storage import frames
from shallothinge.storage import log_file

LOG_NAME = 'log'
SNAPSHOT_NAME = 'snapshot'
LOCK_NAME = 'lock'
PROBE_NAME = 'space'
# What one message of the leader may append.
PROBE_BYTES = 256 * 1024
DISK_ID_BYTES = 8


class DataFolder:
    """Files of one replica, locked against use by other processes.

    The identity is the first record of the log file, so that a lost log
    cannot be mistaken for an empty log of the same replica.

    ``restored`` is what the files held when they were read, until
    ``release_restored`` is called.

    :param rejoin: create a new folder with an identity that may replace the
        former replica of this process.
    :param sync: flushes a file descriptor to disk.
    :raises StorageError: if the folder is in use, damaged or incomplete, or
        belongs to another process.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        process_id: str,
        rejoin: bool = False,
        sync: files.Sync = os.fsync,
    ):
        self.path = path
        self._sync = sync
        self._codec = wire.Codec(message_types=model.RECORDS)
        self._lock = _lock(path)
        self._log_file = log_file.LogFile(
            path=path / LOG_NAME, codec=self._codec, sync=sync
        )
        try:
            if not (path / LOG_NAME).exists():
                self._create(process_id=process_id, rejoin=rejoin)
            self._sync_names()
            self._read()
        except errors.StorageError:
            self.close()
            raise
        if model.process_id_of(self.identity.replica_id) != process_id:
            self.close()
            raise errors.StorageError(
                f'{path}: belongs to replica {self.identity.replica_id}, not '
                f'to {process_id}; correct data_folder in the settings'
            )

    @property
    def log_bytes(self) -> int:
        """Return the size of the log file."""
        return self._log_file.size_bytes

    def append(self, records: Iterable) -> None:
        """Write records and sync them.

        :raises WriteFailed: if they may not be durable.
        """
        self._log_file.append(records)

    def rewrite(self, records: Iterable) -> None:
        """Replace all records of the log, keeping the identity.

        :raises WriteFailed: if the new records may not be durable.
        """
        self._log_file.rewrite((self.identity, *records))

    def store_snapshot(self, snapshot: model.Snapshot) -> None:
        """Replace the stored snapshot.

        :raises WriteFailed: if the new snapshot may not be durable.
        """
        files.replace_file(
            self.path / SNAPSHOT_NAME,
            payloads=(self._codec.encode(snapshot),),
            salt=frames.new_salt(),
            sync=self._sync,
        )

    def check_space(self) -> None:
        """Write as much as a message may append, and remove it.

        :raises WriteFailed: if the disk does not take it.
        """
        files.check_space(
            self.path / PROBE_NAME, size_bytes=PROBE_BYTES, sync=self._sync
        )

    def release_restored(self) -> None:
        """Drop what was read, so that it is held only while it is used."""
        self.restored = None

    def close(self) -> None:
        """Close the log file and release the lock."""
        self._log_file.close()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _create(self, *, process_id: str, rejoin: bool) -> None:
        if (self.path / SNAPSHOT_NAME).exists():
            raise errors.StorageDamaged(
                path=self.path / LOG_NAME,
                offset_bytes=0,
                detail='the log file is missing but a snapshot exists',
            )
        replica_id = model.make_replica_id(
            process_id=process_id, disk_id=secrets.token_hex(DISK_ID_BYTES)
        )
        identity = model.Identity(replica_id=replica_id, rejoin=rejoin)
        self._log_file.rewrite((identity,))
        self._log_file.close()

    def _sync_names(self) -> None:
        """Make the names of the files and of the folder itself durable.

        The process that created or renamed them may have been killed before
        it could sync them.

        :raises WriteFailed: if they may not be durable.
        """
        for path in (self.path, self.path.parent):
            try:
                files.sync_folder(path, sync=self._sync)
            except OSError as error:
                raise errors.write_error(path=path, error=error) from error

    def _read(self) -> None:
        records = self._log_file.read()
        self.identity = next(records)
        self.restored = restore(records, snapshot=self._read_snapshot())

    def _read_snapshot(self) -> model.Snapshot | None:
        path = self.path / SNAPSHOT_NAME
        if not path.exists():
            return None
        with path.open('rb') as file:
            _, scan = files.scan_frames(file, path=path)
            if len(scan.spans) != 1:
                raise errors.StorageDamaged(
                    path=path,
                    offset_bytes=scan.valid_bytes,
                    detail='the snapshot does not match its checksum',
                )
            payload = frames.SpanReader(file=file, span=scan.spans[0])
            return self._codec.decode(payload.read(payload.left_bytes))


def restore(
    records: Iterable, *, snapshot: model.Snapshot | None
) -> model.Restored:
    """Return the state that results from replaying a log file's records.

    An entry replaces any earlier entry with its index and all entries after
    that one.
    """
    cluster = None
    hard_state = model.HardState()
    base = model.LogBase()
    entries = []
    for record in records:
        if isinstance(record, model.Cluster):
            cluster = record
        elif isinstance(record, model.HardState):
            hard_state = record
        elif isinstance(record, model.LogBase):
            base = record
            entries = []
        elif isinstance(record, model.Entry):
            del entries[record.index - base.index - 1 :]
            entries.append(record)
    return model.Restored(
        cluster=cluster,
        hard_state=hard_state,
        base=base,
        entries=tuple(entries),
        snapshot=snapshot,
    )


def _lock(path: pathlib.Path) -> int:
    try:
        path.mkdir(mode=files.FOLDER_MODE, parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(path / LOCK_NAME, flags, files.FILE_MODE)
    except OSError as error:
        if error.errno in errors.FULL_ERRNOS:
            raise errors.write_error(path=path, error=error) from error
        raise errors.StorageError(f'{path}: {error.strerror}') from error
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise errors.FolderLocked(
            f'{path}: another process uses this data folder'
        ) from error
    return descriptor
