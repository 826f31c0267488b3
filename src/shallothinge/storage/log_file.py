"""The log file: batches of records, each synced before its write returns."""

from collections.abc import Iterable
import os
import pathlib

import msgpack

from shallothinge import wire
from shallothinge.storage import errors
from shallothinge.storage import files
from shallothinge.storage import frames


class LogFile:
    """A file to which batches of records are appended.

    :param codec: codec of the record classes.
    :param sync: flushes a file descriptor to disk.
    """

    def __init__(
        self, *, path: pathlib.Path, codec: wire.Codec, sync: files.Sync
    ):
        self._path = path
        self._codec = codec
        self._sync = sync
        self._salt = b''
        self._descriptor = None
        self.size_bytes = 0

    def read(self) -> tuple:
        """Return all records, truncating an incomplete last frame.

        The first frame is never incomplete, because the file is synced
        before it is renamed into place.

        :raises StorageDamaged: if the file is damaged before the last frame.
        :raises StorageError: if a record cannot be decoded.
        """
        self._salt, scan = files.read_frames(self._path)
        if not scan.payloads:
            raise errors.StorageDamaged(
                path=self._path,
                offset_bytes=scan.valid_bytes,
                detail='the first record does not match its checksum',
            )
        records = []
        for payload in scan.payloads:
            records.extend(self._decode(payload))
        self._open()
        if self.size_bytes > scan.valid_bytes:
            self._truncate(scan.valid_bytes)
        return tuple(records)

    def append(self, records: Iterable) -> None:
        """Write records as one batch and sync it.

        :raises WriteFailed: if the batch may not be durable.
        """
        frame = frames.encode_frame(self._encode(records), salt=self._salt)
        try:
            files.write_all(self._descriptor, frame)
            self._sync(self._descriptor)
        except OSError as error:
            raise self._write_error(error) from error
        self.size_bytes += len(frame)

    def rewrite(self, records: Iterable) -> None:
        """Atomically replace the file by one that holds only these records.

        :raises WriteFailed: if the new file may not be durable.
        """
        self.close()
        self._salt = frames.new_salt()
        files.replace_file(
            self._path,
            payload=self._encode(records),
            salt=self._salt,
            sync=self._sync,
        )
        self._open()

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _open(self) -> None:
        self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        self.size_bytes = os.fstat(self._descriptor).st_size

    def _truncate(self, size_bytes: int) -> None:
        try:
            os.ftruncate(self._descriptor, size_bytes)
            self._sync(self._descriptor)
        except OSError as error:
            raise self._write_error(error) from error
        self.size_bytes = size_bytes

    def _encode(self, records: Iterable) -> bytes:
        return msgpack.packb([self._codec.encode(one) for one in records])

    def _decode(self, payload: bytes) -> list:
        try:
            return [
                self._codec.decode(one) for one in msgpack.unpackb(payload)
            ]
        except (wire.WireError, ValueError, TypeError) as error:
            raise errors.StorageError(
                f'{self._path}: record may be of a newer release: {error}'
            ) from error

    def _write_error(self, error: OSError) -> errors.WriteFailed:
        return errors.write_error(path=self._path, error=error)
