"""A disk for tests that forgets what was not synced when power is lost."""

import os
import pathlib
import random
import shutil

import attrs

from shallothinge.storage import data_folder
from shallothinge.storage import files


@attrs.define(kw_only=True)
class _File:
    """One file: its synced content, and a descriptor of the file itself.

    The open descriptor keeps the inode number from being used again.
    """

    descriptor: int
    synced: bytes = b''

    def written(self) -> bytes:
        """Return the content with all writes, synced or not."""
        size_bytes = os.fstat(self.descriptor).st_size
        return os.pread(self.descriptor, size_bytes, 0)


class VolatileDisk:
    """Tracks what was synced below a folder, and drops the rest on demand.

    Content is durable once its file was synced, and a name once its folder
    was. Each other change is kept, lost or, if it is a write, torn
    independently of the rest.

    :param on_sync: called with the synced path before and after each sync,
        and whether it is done; it may raise to stop the process there.
    """

    def __init__(self, *, rng: random.Random, on_sync=lambda *_: None):
        self._rng = rng
        self._on_sync = on_sync
        self._files: dict[int, _File] = {}
        self._names: dict[pathlib.Path, dict[str, int]] = {}

    def sync(self, descriptor: int) -> None:
        """Make the content of a file, or the names in a folder, durable."""
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        self._on_sync(path, False)
        if path.is_dir():
            self._names[path] = _names_in(path)
        else:
            self._sync_file(path)
        self._on_sync(path, True)

    def lose_power(self, folder: pathlib.Path) -> None:
        """Drop unsynced changes in a folder that no process uses any more."""
        loses_all = self._rng.random() < 0.4
        is_durable = folder.name in self._names.get(folder.parent, {})
        if not folder.exists():
            return
        if not is_durable and (loses_all or self._flip()):
            self.lose(folder)
            return
        contents = self._surviving(folder, loses_all=loses_all)
        self.lose(folder)
        folder.mkdir(mode=files.FOLDER_MODE)
        for name, content in contents.items():
            (folder / name).write_bytes(content)
            self._sync_file(folder / name)
        self._names[folder] = _names_in(folder)
        self._names[folder.parent] = _names_in(folder.parent)

    def lose(self, folder: pathlib.Path) -> None:
        """Remove a folder with everything in it."""
        shutil.rmtree(folder, ignore_errors=True)
        self._names.pop(folder, None)
        self._names.get(folder.parent, {}).pop(folder.name, None)
        self._forget_unused()

    def close(self) -> None:
        """Close all descriptors."""
        for file in self._files.values():
            os.close(file.descriptor)
        self._files.clear()

    def _surviving(
        self, folder: pathlib.Path, *, loses_all: bool
    ) -> dict[str, bytes]:
        durable = self._names.get(folder, {})
        current = _names_in(folder)
        for name in current:
            self._track(folder / name)
        contents = {}
        for name in sorted(
            (durable.keys() | current) - {data_folder.LOCK_NAME}
        ):
            found = durable.get(name)
            if not loses_all and self._flip():
                found = current.get(name)
            if found is not None:
                file = self._files[found]
                contents[name] = (
                    file.synced if loses_all else self._content(file)
                )
        return contents

    def _content(self, file: _File) -> bytes:
        """Return what is left: the synced content, all writes or a part."""
        synced, written = file.synced, file.written()
        if written == synced or not written.startswith(synced):
            return synced if self._flip() else written
        start = self._rng.randint(len(synced), len(written))
        end = self._rng.randint(start, len(written))
        torn = written[:start] + bytes(end - start) + written[end:]
        return self._rng.choice((synced, written, written[:start], torn))

    def _sync_file(self, path: pathlib.Path) -> None:
        file = self._track(path)
        file.synced = file.written()

    def _track(self, path: pathlib.Path) -> _File:
        inode = path.stat().st_ino
        if inode not in self._files:
            self._forget_unused()
            self._files[inode] = _File(
                descriptor=os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            )
        return self._files[inode]

    def _forget_unused(self) -> None:
        """Drop the files that no folder names, durably or at present."""
        used = set()
        for names in self._names.values():
            used.update(names.values())
        for inode, file in list(self._files.items()):
            if inode not in used and not os.fstat(file.descriptor).st_nlink:
                os.close(self._files.pop(inode).descriptor)

    def _flip(self) -> bool:
        return self._rng.random() < 0.5


def _names_in(folder: pathlib.Path) -> dict[str, int]:
    """Return the names in a folder and their inode numbers."""
    return {one.name: one.stat().st_ino for one in folder.iterdir()}
