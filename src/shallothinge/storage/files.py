"""Writes that are on the disk when they return."""

from collections.abc import Callable
import os
import pathlib

from shallothinge.storage import errors
from shallothinge.storage import frames

FILE_MODE = 0o600
FOLDER_MODE = 0o700
ASIDE_SUFFIX = '.new'

Sync = Callable[[int], None]


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, also if the system takes them in parts."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def sync_folder(path: pathlib.Path, *, sync: Sync) -> None:
    """Make created and renamed names of a folder durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(
    path: pathlib.Path, *, payload: bytes, salt: bytes, sync: Sync
) -> None:
    """Replace a file by one that holds a single frame, or keep the old.

    :raises WriteFailed: if it is not known to be on the disk.
    """
    aside = path.with_name(path.name + ASIDE_SUFFIX)
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    data = frames.encode_header(salt=salt)
    data += frames.encode_frame(payload, salt=salt)
    try:
        descriptor = os.open(aside, flags, FILE_MODE)
        try:
            write_all(descriptor, data)
            sync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(aside, path)
        sync_folder(path.parent, sync=sync)
    except OSError as error:
        # Half a file would take the room that others need.
        aside.unlink(missing_ok=True)
        raise errors.write_error(path=path, error=error) from error


def read_frames(path: pathlib.Path) -> tuple[bytes, frames.Scan]:
    """Return a file's salt and what it holds.

    :raises StorageDamaged: if it has no header, or whole frames after one
        that is not.
    """
    data = path.read_bytes()
    salt = frames.salt_of(data)
    if salt is None:
        raise errors.StorageDamaged(
            path=path, offset_bytes=0, detail='no header of this program'
        )
    scan = frames.scan(data, salt=salt)
    if scan.damaged:
        raise errors.StorageDamaged(
            path=path,
            offset_bytes=scan.whole_bytes,
            detail='a record does not match its checksum',
        )
    return salt, scan
