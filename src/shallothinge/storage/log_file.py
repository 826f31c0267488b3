"""The log file: batches of records, each synced before its write returns."""

from collections.abc import Iterable
from collections.abc import Iterator
import os
import pathlib
from typing import BinaryIO

import msgpack

from shallothinge import wire
from shallothinge.storage import errors
from shallothinge.storage import files
from shallothinge.storage import frames

# Records of a rewritten file are divided into frames of about this size.
REWRITE_FRAME_BYTES = 256 * 1024


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

    def read(self) -> Iterator:
        """Return all records one by one, without an incomplete last frame.

        That frame is cut off, and the rest synced: it may have been written
        by a process that was killed before its sync. The first frame is
        never incomplete, because the file is synced before it is renamed
        into place. All frames are checked before the first record is
        returned; records are decoded as they are asked for.

        :raises StorageDamaged: if the file is damaged before the last frame.
        :raises StorageError: if a record cannot be decoded.
        """
        with self._path.open('rb') as file:
            self._salt, scan = files.scan_frames(file, path=self._path)
        if not scan.spans:
            raise errors.StorageDamaged(
                path=self._path,
                offset_bytes=scan.valid_bytes,
                detail='the first record does not match its checksum',
            )
        self._open()
        self._make_durable(scan.valid_bytes)
        return self._read_records(scan.spans)

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

        They are encoded and written some at a time. A last frame without
        records shows that those before it were written in full, so that
        damage in them is not taken for an incomplete write.

        :raises WriteFailed: if the new file may not be durable.
        """
        self.close()
        self._salt = frames.new_salt()
        files.replace_file(
            self._path,
            payloads=self._encode_batches(records),
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

    def _make_durable(self, size_bytes: int) -> None:
        try:
            if self.size_bytes > size_bytes:
                os.ftruncate(self._descriptor, size_bytes)
            self._sync(self._descriptor)
        except OSError as error:
            raise self._write_error(error) from error
        self.size_bytes = size_bytes

    def _encode(self, records: Iterable) -> bytes:
        return msgpack.packb([self._codec.encode(one) for one in records])

    def _encode_batches(self, records: Iterable) -> Iterator[bytes]:
        batch, batch_bytes = [], 0
        for record in records:
            encoded = self._codec.encode(record)
            batch_bytes += len(encoded)
            if batch and batch_bytes > REWRITE_FRAME_BYTES:
                yield msgpack.packb(batch)
                batch, batch_bytes = [], len(encoded)
            batch.append(encoded)
        yield msgpack.packb(batch)
        yield msgpack.packb([])

    def _read_records(self, spans: tuple[frames.Span, ...]) -> Iterator:
        with self._path.open('rb') as file:
            for span in spans:
                yield from self._decode(file, span)

    def _decode(self, file: BinaryIO, span: frames.Span) -> Iterator:
        """Decode a frame record by record; it may hold a whole log."""
        unpacker = msgpack.Unpacker(
            frames.SpanReader(file=file, span=span),
            read_size=frames.CHUNK_BYTES,
            max_buffer_size=span.size_bytes + frames.CHUNK_BYTES,
        )
        try:
            for _ in range(unpacker.read_array_header()):
                yield self._codec.decode(unpacker.unpack())
            if unpacker.tell() != span.size_bytes:
                raise ValueError('bytes follow the last record')
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise errors.StorageError(
                f'{self._path}: record may be of a newer release: {error}'
            ) from error

    def _write_error(self, error: OSError) -> errors.WriteFailed:
        return errors.write_error(path=self._path, error=error)
