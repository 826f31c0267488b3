"""Writes the tables of the docs that follow from the code.

``python -m testing.doc_tables`` writes them anew; a test checks that pages
and code agree.
"""

import pathlib
import sys
import types
import typing

import attrs

from shallothinge import errors
from shallothinge.operators import exit_codes
from shallothinge.settings import model
from shallothinge.settings import shape

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
END = '<!-- end -->'
BLOCK_START = '<!-- {name}: written by testing/doc_tables.py -->\n'
FILE_TYPES = (
    ('control', model.ControlSettings),
    ('entry', model.EntrySettings),
    ('agent', model.AgentSettings),
    ('gateway', model.GatewaySettings),
    ('operator', model.OperatorSettings),
)


def table(rows: list[tuple[str, ...]]) -> str:
    """Return rows as a Markdown table; the first row is the head."""
    head, *body = rows
    lines = ['| ' + ' | '.join(head) + ' |', '|' + '---|' * len(head)]
    lines += ['| ' + ' | '.join(row) + ' |' for row in body]
    return '\n'.join(lines) + '\n'


def errors_table() -> str:
    """Return the table of all error kinds."""
    rows = [('code', 'status', 'work_state', 'retry_after_ms', 'meaning')]
    for kind, answer in errors.ANSWERS.items():
        rows.append(
            (
                f'`{kind.value}`',
                str(answer.http_status),
                f'`{answer.work_state.value}`',
                str(answer.retry_after_ms),
                answer.meaning,
            )
        )
    return table(rows)


def exit_statuses_table() -> str:
    """Return the table of the command line's exit statuses."""
    rows = [('status', 'meaning')]
    for code, meaning in exit_codes.MEANINGS.items():
        rows.append((str(code.value), meaning))
    return table(rows)


def keys_table() -> str:
    """Return the table of all settings keys."""
    rows = [('file', 'key', 'value', 'default')]
    for role, file_type in FILE_TYPES:
        hints = typing.get_type_hints(file_type)
        for field in attrs.fields(file_type):
            rows += _key_rows(role, field.name, hints[field.name])
    return table(rows)


def _key_rows(role: str, name: str, wanted) -> list[tuple[str, ...]]:
    table_name = f'[{name}]'
    if typing.get_origin(wanted) is tuple:
        wanted = typing.get_args(wanted)[0]
        table_name = f'[[{name}]]'
    if isinstance(wanted, types.UnionType):
        wanted = typing.get_args(wanted)[0]
    hints = typing.get_type_hints(wanted)
    return [
        (
            role,
            f'`{table_name}` `{field.name}`',
            shape.describe(hints[field.name], field.name),
            _default(field.default),
        )
        for field in attrs.fields(wanted)
    ]


def _default(value: object) -> str:
    if value is attrs.NOTHING:
        return 'required'
    if value in ('', ()):
        return 'empty'
    if isinstance(value, bool):
        return str(value).lower()
    return f'{value:,}' if isinstance(value, int) else f'`{value}`'


BLOCKS = (
    ('API.md', 'errors', errors_table),
    ('OPERATING.md', 'exit statuses', exit_statuses_table),
    ('CONFIGURATION.md', 'keys', keys_table),
)


def replace_block(text: str, *, name: str, content: str) -> str:
    """Return a page with the content of one block replaced.

    :raises ValueError: if the page has no such block.
    """
    start = BLOCK_START.format(name=name)
    before, found, rest = text.partition(start)
    _, ended, after = rest.partition(END)
    if not found or not ended:
        raise ValueError(f'the page has no block "{name}"')
    return before + found + content + ended + after


def main() -> int:
    """Write every block."""
    for page, name, build in BLOCKS:
        path = DOCS / page
        text = path.read_text(encoding='utf-8')
        path.write_text(
            replace_block(text, name=name, content=build()), encoding='utf-8'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
