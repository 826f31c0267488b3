"""Faults in a settings file: where, what was found, what is allowed."""

import pathlib


class SettingsFault(ValueError):
    """One fault in a settings file.

    :param line: line number from 1, or 0 if the key is missing.
    :param key: dotted name of the key, such as ``process.address``.
    :param found: what the file has there.
    :param allowed: what would be accepted.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        line: int,
        key: str,
        found: str,
        allowed: str,
    ):
        where = f'{path}:{line}' if line else f'{path}'
        super().__init__(f'{where}: {key}: found {found}; allowed: {allowed}')
        self.path = path
        self.line = line
        self.key = key
        self.found = found
        self.allowed = allowed


class Collector:
    """Gathers the faults of one file."""

    def __init__(self, *, path: pathlib.Path, lines: dict[str, int]):
        self._path = path
        self._lines = lines
        self.faults: list[SettingsFault] = []

    def add(self, *, key: str, found: object, allowed: str) -> None:
        """Note a fault at a key."""
        self.faults.append(
            SettingsFault(
                path=self._path,
                line=self._lines.get(key, 0),
                key=key,
                found=str(found),
                allowed=allowed,
            )
        )

    def raise_all(self) -> None:
        """Raise all faults together.

        :raises ExceptionGroup: of ``SettingsFault``, if there are any.
        """
        if self.faults:
            faults = sorted(self.faults, key=lambda fault: fault.line)
            raise ExceptionGroup(f'{self._path} can not be used', faults)
