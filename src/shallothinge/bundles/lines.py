"""Line numbers of keys in a TOML text, which the TOML reader doesn't keep."""

import re

_HEADER = re.compile(r'\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]\]?')
_KEY = re.compile(r'\s*([A-Za-z0-9_-]+)\s*=')
_TOML_ERROR_LINE = re.compile(r'line (\d+)')


class LineIndex:
    """Finds the line of a key by its table and the table's number."""

    def __init__(self, text: str):
        self._headers: dict[tuple[str, int], int] = {}
        self._keys: dict[tuple[str, int, str], int] = {}
        counts: dict[str, int] = {}
        table = ''
        number = 0
        for line_number, line in enumerate(text.splitlines(), start=1):
            header = _HEADER.match(line)
            if header is not None:
                table = header.group(1)
                number = counts.get(table, 0)
                counts[table] = number + 1
                self._headers[table, number] = line_number
                continue
            key = _KEY.match(line)
            if key is not None:
                place = (table, number, key.group(1))
                self._keys.setdefault(place, line_number)

    def find(self, *, table: str, number: int, key: str) -> int:
        """Return the line of a key, or of its table if the key is absent.

        :param table: name of the table, '' for the top of the file.
        :param number: which of the tables of this name, from 0.
        """
        line = self._keys.get((table, number, key))
        if line is None:
            line = self._headers.get((table, number))
        if line is None:
            line = self._keys.get(('', 0, table), 1)
        return line


def line_of_syntax_error(message: str) -> int:
    """Return the line that a TOML reader's message names, or 1."""
    match = _TOML_ERROR_LINE.search(message)
    return 1 if match is None else int(match.group(1))
