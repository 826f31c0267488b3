"""Errors on reading and writing the files in a data folder."""

import errno
import pathlib

# The device is full, or the disk quota or the file size limit is reached.
FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
REPAIR_PAGE = 'docs/operators/lost-disk.md'


class StorageError(Exception):
    """The data folder cannot be used; the message says how to fix it."""


class StorageDamaged(StorageError):
    """A file is missing or holds bytes that this program did not write.

    :param path: the damaged file.
    :param offset_bytes: the position at which the damage begins.
    :param detail: what is wrong, for the message.
    """

    def __init__(self, *, path: pathlib.Path, offset_bytes: int, detail: str):
        super().__init__(
            f'{path}: damaged at byte {offset_bytes}: {detail}; do not edit '
            'the file; rejoin with an empty disk as described in '
            f'{REPAIR_PAGE} ("shallothinge control repair")'
        )
        self.path = path
        self.offset_bytes = offset_bytes


class FolderLocked(StorageError):
    """Another process uses the data folder."""


class WriteFailed(StorageError):
    """A write or sync failed, so the content of the disk is unknown.

    The process must exit: a later sync may succeed although the data of the
    failed one was never written.
    """


class DiskFull(WriteFailed):
    """The disk has no space for a write.

    Once it has space again, the folder must be read again, because the
    content of the disk is unknown.
    """


def write_error(*, path: pathlib.Path, error: OSError) -> WriteFailed:
    """Return the exception for an ``OSError`` of a write or sync."""
    kind = DiskFull if error.errno in FULL_ERRNOS else WriteFailed
    return kind(f'{path}: {error.strerror}')
