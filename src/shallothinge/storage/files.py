"""Durable file writes, and reads of files made of frames."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import os
import pathlib
from typing import BinaryIO

from shallothinge.storage import errors
from shallothinge.storage import frames

FILE_MODE = 0o600
FOLDER_MODE = 0o700
TEMPORARY_SUFFIX = '.new'

Sync = Callable[[int], None]


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, continuing after partial writes."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def sync_folder(path: pathlib.Path, *, sync: Sync) -> None:
    """Sync a folder, so that file creations and renames in it are durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def _write_file(
    path: pathlib.Path, pieces: Iterable[bytes], *, sync: Sync
) -> None:
    """Write a file in pieces and sync it, but not its name."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(path, flags, FILE_MODE)
    try:
        for piece in pieces:
            write_all(descriptor, piece)
        sync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(
    path: pathlib.Path, *, payloads: Iterable[bytes], salt: bytes, sync: Sync
) -> None:
    """Atomically replace a file by one that holds a frame for each payload.

    Each payload is written before the next one is asked for, so that they
    need not be in memory together.

    :raises WriteFailed: if the new file may not be durable.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        _write_file(temporary, _pieces(payloads, salt=salt), sync=sync)
        os.rename(temporary, path)
        sync_folder(path.parent, sync=sync)
    except OSError as error:
        # A partial file would take disk space that other writes need.
        temporary.unlink(missing_ok=True)
        raise errors.write_error(path=path, error=error) from error


def _pieces(payloads: Iterable[bytes], *, salt: bytes) -> Iterator[bytes]:
    yield frames.encode_header(salt=salt)
    for payload in payloads:
        yield frames.encode_frame_header(payload, salt=salt)
        yield payload


def check_space(path: pathlib.Path, *, size_bytes: int, sync: Sync) -> None:
    """Write a file of some size and remove it.

    :raises WriteFailed: if the disk does not take it.
    """
    try:
        try:
            _write_file(path, (bytes(size_bytes),), sync=sync)
        finally:
            path.unlink(missing_ok=True)
    except OSError as error:
        raise errors.write_error(path=path, error=error) from error


def scan_frames(
    file: BinaryIO, *, path: pathlib.Path
) -> tuple[bytes, frames.Scan]:
    """Return an open file's salt and the scan of its frames.

    :raises StorageDamaged: if the header is invalid, or if a valid frame
        follows an invalid one.
    """
    salt = frames.read_salt(file)
    if salt is None:
        raise errors.StorageDamaged(
            path=path, offset_bytes=0, detail='the file header is not valid'
        )
    scan = frames.scan(file, salt=salt)
    if scan.damaged:
        raise errors.StorageDamaged(
            path=path,
            offset_bytes=scan.valid_bytes,
            detail='a record does not match its checksum',
        )
    return salt, scan
