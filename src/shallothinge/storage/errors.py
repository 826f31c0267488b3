"""Errors of the files under the data folder."""

import errno
import pathlib

# No space on the device, the user's quota, or the limit of a file's size.
FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
REPAIR_PAGE = 'docs/operators/lost-disk.md'


class StorageError(Exception):
    """The data folder can not be used; the text names the fix."""


class StorageDamaged(StorageError):
    """A file holds bytes that were not written by this program.

    :param path: the damaged file.
    :param offset_bytes: where the damage begins.
    """

    def __init__(self, *, path: pathlib.Path, offset_bytes: int, detail: str):
        super().__init__(
            f'{path}: damaged at byte {offset_bytes}: {detail}; do not edit '
            'the file; rejoin with an empty disk as told in '
            f'{REPAIR_PAGE} ("shallothinge control repair")'
        )
        self.path = path
        self.offset_bytes = offset_bytes


class FolderLocked(StorageError):
    """Another process uses the data folder."""


class WriteFailed(StorageError):
    """A write or sync failed; what the disk holds is not known.

    The process has to end, as a later sync may succeed without having
    written what this one lost.
    """


class DiskFull(WriteFailed):
    """There is no room on the disk for a write.

    What the disk holds has to be read anew, once it has room again.
    """


def write_error(*, path: pathlib.Path, error: OSError) -> WriteFailed:
    """Return the error for a write that the system refused."""
    kind = DiskFull if error.errno in FULL_ERRNOS else WriteFailed
    return kind(f'{path}: {error.strerror}')
