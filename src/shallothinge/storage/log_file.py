"""The log file: batches of records, each synced before it is answered."""

from collections.abc import Iterable
import os
import pathlib

import msgpack

from shallothinge import wire
from shallothinge.storage import errors
from shallothinge.storage import files
from shallothinge.storage import frames


class LogFile:
    """Appends batches of records to a file.

    :param codec: codec of the record classes.
    :param sync: flushes a descriptor to the disk.
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
        """Return all records; a torn tail is cut off the file.

        The first frame is never torn, as the file is renamed into place.

        :raises StorageDamaged: if the file is damaged before its tail.
        """
        self._salt, scan = files.read_frames(self._path)
        if not scan.payloads:
            raise errors.StorageDamaged(
                path=self._path,
                offset_bytes=scan.whole_bytes,
                detail='the first record does not match its checksum',
            )
        records = []
        for payload in scan.payloads:
            records.extend(self._decode(payload))
        self._open()
        if self.size_bytes > scan.whole_bytes:
            self._cut(scan.whole_bytes)
        return tuple(records)

    def append(self, records: Iterable) -> None:
        """Write records as one batch and sync it.

        :raises WriteFailed: if it is not known to be on the disk.
        """
        frame = frames.encode_frame(self._encode(records), salt=self._salt)
        try:
            files.write_all(self._descriptor, frame)
            self._sync(self._descriptor)
        except OSError as error:
            raise self._failed(error) from error
        self.size_bytes += len(frame)

    def rewrite(self, records: Iterable) -> None:
        """Replace the whole file by one that holds these records.

        :raises WriteFailed: if it is not known to be on the disk.
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

    def _cut(self, size_bytes: int) -> None:
        try:
            os.ftruncate(self._descriptor, size_bytes)
            self._sync(self._descriptor)
        except OSError as error:
            raise self._failed(error) from error
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
                f'{self._path}: written by a newer release: {error}'
            ) from error

    def _failed(self, error: OSError) -> errors.WriteFailed:
        return errors.write_error(path=self._path, error=error)
