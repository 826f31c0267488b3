"""Compares the tables of a TOML file with the settings classes."""

import difflib
import math
import types
import typing

import attrs

from shallothinge.settings import faults

UNITS = {
    '_ms': 'milliseconds',
    '_s': 'seconds',
    '_days': 'days',
    '_bytes': 'bytes',
    '_tokens': 'tokens',
    '_percent': 'percent',
}
MAX_PERCENT = 100


def check_table(
    *, table: object, table_type: type, key: str, found: faults.Collector
) -> None:
    """Note every unknown, missing and ill-typed key of a table."""
    if not isinstance(table, dict):
        found.add(key=key, found=repr(table), allowed='a table')
        return
    hints = typing.get_type_hints(table_type)
    fields = {field.name: field for field in attrs.fields(table_type)}
    for name in table:
        if name not in fields:
            _unknown(name, key=key, known=tuple(fields), found=found)
    for name, field in fields.items():
        full = f'{key}.{name}' if key else name
        if name in table:
            check_value(
                value=table[name], wanted=hints[name], key=full, found=found
            )
        elif field.default is attrs.NOTHING:
            allowed = describe(hints[name], name)
            found.add(key=full, found='no such key', allowed=allowed)


def check_value(
    *, value: object, wanted, key: str, found: faults.Collector
) -> None:
    """Note a value of the wrong type or range."""
    if typing.get_origin(wanted) is tuple:
        _check_sequence(value, typing.get_args(wanted)[0], key, found)
        return
    if isinstance(wanted, types.UnionType):
        wanted = typing.get_args(wanted)[0]
    if attrs.has(wanted):
        check_table(table=value, table_type=wanted, key=key, found=found)
        return
    name = key.rpartition('.')[2]
    allowed_types = (int, float) if wanted is float else (wanted,)
    if type(value) not in allowed_types:
        found.add(key=key, found=repr(value), allowed=describe(wanted, name))
    elif wanted in (int, float) and not _in_range(value, name):
        found.add(key=key, found=repr(value), allowed=describe(wanted, name))


def describe(wanted, name: str) -> str:
    """Return what a value may be, with its unit."""
    if typing.get_origin(wanted) is tuple:
        return 'an array'
    if attrs.has(wanted):
        return 'a table'
    if wanted is int:
        for suffix, unit in UNITS.items():
            if name.endswith(suffix):
                limit = '' if unit != 'percent' else ', 100 at most'
                return f'a whole number of {unit}, 0 or more{limit}'
        return 'a whole number, 0 or more'
    if wanted is float:
        return 'a number, 0 or more'
    if wanted is bool:
        return 'true or false'
    return 'a text in quotes'


def _in_range(value: int | float, name: str) -> bool:
    if value < 0 or not math.isfinite(value):
        return False
    return not name.endswith('_percent') or value <= MAX_PERCENT


def _check_sequence(value, wanted, key, found) -> None:
    if not isinstance(value, list):
        found.add(key=key, found=repr(value), allowed='an array')
        return
    for index, element in enumerate(value):
        check_value(
            value=element, wanted=wanted, key=f'{key}[{index}]', found=found
        )


def _unknown(name, *, key, known, found) -> None:
    full = f'{key}.{name}' if key else name
    stem = name.rpartition('_')[0]
    near = [other for other in known if stem and other.startswith(stem + '_')]
    near = near or difflib.get_close_matches(name, known, n=1)
    allowed = f'{near[0]}?' if near else ', '.join(sorted(known))
    found.add(key=full, found='an unknown key', allowed=allowed)
