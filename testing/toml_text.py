"""Writes settings objects as TOML text, for tests and trials."""

import json

import attrs


def write(value: object) -> str:
    """Return the TOML text of an ``attrs`` object."""
    return '\n'.join(_table_lines(value, prefix='')) + '\n'


def _table_lines(value: object, *, prefix: str) -> list[str]:
    plain = []
    nested = []
    for field in attrs.fields(type(value)):
        item = getattr(value, field.name)
        name = f'{prefix}.{field.name}' if prefix else field.name
        if attrs.has(type(item)):
            nested += ['', f'[{name}]', *_table_lines(item, prefix=name)]
        elif _is_table_array(item):
            for element in item:
                lines = _table_lines(element, prefix=name)
                nested += ['', f'[[{name}]]', *lines]
        elif item is not None:
            plain.append(f'{field.name} = {_scalar(item)}')
    return plain + nested


def _is_table_array(item: object) -> bool:
    return isinstance(item, tuple) and any(
        attrs.has(type(element)) for element in item
    )


def _scalar(item: object) -> str:
    if isinstance(item, tuple):
        return '[' + ', '.join(_scalar(element) for element in item) + ']'
    return json.dumps(item)
