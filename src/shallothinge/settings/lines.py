"""Line numbers of the keys in a TOML text, which its parser drops."""

import re

_TABLE = re.compile(r'^\s*\[\s*([\w.\-]+)\s*\]\s*(?:#.*)?$')
_ARRAY_TABLE = re.compile(r'^\s*\[\[\s*([\w.\-]+)\s*\]\]\s*(?:#.*)?$')
_KEY = re.compile(r'^\s*"?([\w.\-]+)"?\s*=')


def index_lines(text: str) -> dict[str, int]:
    """Return the line number of each table and key.

    Keys are dotted names; an element of an array of tables is named with
    its index, such as ``control_hosts[0].address``.
    """
    lines = {}
    counts = {}
    prefix = ''
    for number, line in enumerate(text.splitlines(), start=1):
        array_table = _ARRAY_TABLE.match(line)
        table = _TABLE.match(line)
        key = _KEY.match(line)
        if array_table:
            name = array_table[1]
            index = counts.get(name, 0)
            counts[name] = index + 1
            prefix = f'{name}[{index}]'
            lines.setdefault(name, number)
            lines[prefix] = number
        elif table:
            prefix = table[1]
            lines[prefix] = number
        elif key:
            name = f'{prefix}.{key[1]}' if prefix else key[1]
            lines.setdefault(name, number)
    return lines
