"""Reads a bundle's TOML text and names every fault with its line."""

from collections.abc import Callable
import re
import tomllib

import attrs

from shallothinge.bundles import lines
from shallothinge.bundles import rules
from shallothinge.bundles.faults import BundleFault
from shallothinge.bundles.model import Bundle
from shallothinge.bundles.model import ModelSpec
from shallothinge.bundles.model import ServiceSpec
from shallothinge.bundles.model import WorkspaceSpec

MAX_CONTENT_BYTES = 4 * 1024 * 1024
NAME = re.compile(r'[a-z0-9]([a-z0-9._-]*[a-z0-9])?')
MODEL_NAME = re.compile(r'[a-z0-9]([a-z0-9._-]*[a-z0-9])?@[A-Za-z0-9._-]+')
VERSION = re.compile(r'[A-Za-z0-9._-]+')
KEY_HASH = re.compile(r'[0-9a-f]{64}')

Check = Callable[[object], bool]


def _matches(pattern: re.Pattern) -> Check:
    def check(value: object) -> bool:
        return isinstance(value, str) and bool(pattern.fullmatch(value))

    return check


def _list_of(pattern: re.Pattern) -> Check:
    check_item = _matches(pattern)

    def check(value: object) -> bool:
        return isinstance(value, list) and all(map(check_item, value))

    return check


def _at_least(minimum: int) -> Check:
    def check(value: object) -> bool:
        is_number = isinstance(value, int) and not isinstance(value, bool)
        return is_number and value >= minimum

    return check


def _is_bool(value: object) -> bool:
    return isinstance(value, bool)


def _is_table_list(value: object) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) for item in value
    )


@attrs.frozen(kw_only=True)
class Key:
    """A key that a table may have."""

    check: Check
    allowed: str
    required: bool = False


_NAME_KEY = Key(
    check=_matches(NAME),
    allowed='lower-case letters, digits, ".", "_" and "-"',
    required=True,
)
_NAMES_KEY = Key(check=_list_of(NAME), allowed='a list of names')
_TABLES_KEY = Key(
    check=_is_table_list, allowed='an array of tables', required=True
)

TOP_KEYS = {
    'version': Key(
        check=_at_least(1), allowed='an integer from 1', required=True
    ),
    'replaces_version': Key(
        check=_at_least(0),
        allowed='the version in force, 0 if there is none',
        required=True,
    ),
    'zones': Key(
        check=_list_of(NAME),
        allowed='a list of the availability zones',
        required=True,
    ),
    'models': _TABLES_KEY,
    'services': attrs.evolve(_TABLES_KEY, required=False),
    'workspaces': _TABLES_KEY,
}
MODEL_KEYS = {
    'name': _NAME_KEY,
    'version': Key(
        check=_matches(VERSION),
        allowed='a version in quotes, such as "3"',
        required=True,
    ),
    'adapters': _NAMES_KEY,
    'zones': _NAMES_KEY,
    'context_tokens': Key(check=_at_least(1), allowed='an integer from 1'),
}
SERVICE_KEYS = {
    'name': _NAME_KEY,
    'repeatable': Key(check=_is_bool, allowed='true or false', required=True),
}
WORKSPACE_KEYS = {
    'name': _NAME_KEY,
    'key_hashes': Key(
        check=_list_of(KEY_HASH),
        allowed='a list of SHA-256 digests, 64 hex digits each',
        required=True,
    ),
    'models': Key(
        check=_list_of(MODEL_NAME),
        allowed='a list of "name@version"',
        required=True,
    ),
    'services': _NAMES_KEY,
    'adapters': _NAMES_KEY,
    'allowance_tokens_per_month': Key(
        check=_at_least(0), allowed='an integer from 0; 0 is no limit'
    ),
    'weight': Key(check=_at_least(1), allowed='an integer from 1'),
}
TABLES = {
    'models': (MODEL_KEYS, ModelSpec),
    'services': (SERVICE_KEYS, ServiceSpec),
    'workspaces': (WORKSPACE_KEYS, WorkspaceSpec),
}


def parse_bundle(content: str) -> Bundle:
    """Return the bundle that a TOML text holds.

    :raises ExceptionGroup: of ``BundleFault``, one for each fault.
    """
    _check_size(content)
    try:
        fields = tomllib.loads(content)
    except tomllib.TOMLDecodeError as error:
        fault = BundleFault(
            line=lines.line_of_syntax_error(str(error)),
            key='',
            found=str(error),
            fix='correct the TOML syntax',
        )
        raise ExceptionGroup('the bundle is not TOML', [fault]) from error
    return _Reader(index=lines.LineIndex(content)).read(fields)


def _check_size(content: str) -> None:
    size_bytes = len(content.encode())
    if size_bytes > MAX_CONTENT_BYTES:
        fault = BundleFault(
            line=1,
            key='',
            found=f'{size_bytes} bytes',
            fix=f'stay within {MAX_CONTENT_BYTES} bytes',
        )
        raise ExceptionGroup('the bundle is too large', [fault])


class _Reader:
    """Collects the faults of one text."""

    def __init__(self, *, index: lines.LineIndex):
        self._index = index
        self._faults: list[BundleFault] = []

    def read(self, fields: dict) -> Bundle:
        """Return the bundle or raise all faults found."""
        self._check_keys('', 0, fields, TOP_KEYS)
        for table, (keys, _) in TABLES.items():
            if not _is_table_list(fields.get(table, [])):
                continue
            for number, item in enumerate(fields.get(table, [])):
                self._check_keys(table, number, item, keys)
        self._raise_faults()
        bundle = _build(fields)
        self._faults = rules.find_faults(bundle=bundle, index=self._index)
        self._raise_faults()
        return bundle

    def _check_keys(self, table, number, fields, keys) -> None:
        for name, value in fields.items():
            key = keys.get(name)
            if key is None:
                self._add(
                    table,
                    number,
                    name,
                    found='a key that is not known',
                    fix=f'use one of {", ".join(keys)}',
                )
            elif not key.check(value):
                self._add(
                    table,
                    number,
                    name,
                    found=_shorten(value),
                    fix=f'give {key.allowed}',
                )
        for name, key in keys.items():
            if key.required and name not in fields:
                self._add(
                    table,
                    number,
                    name,
                    found='no such key',
                    fix=f'add it: {key.allowed}',
                )

    def _add(self, table, number, key, *, found, fix) -> None:
        self._faults.append(
            BundleFault(
                line=self._index.find(table=table, number=number, key=key),
                key=f'{table}.{key}' if table else key,
                found=found,
                fix=fix,
            )
        )

    def _raise_faults(self) -> None:
        if self._faults:
            self._faults.sort(key=lambda fault: fault.line)
            count = len(self._faults)
            raise ExceptionGroup(
                f'the bundle has {count} fault(s)', self._faults
            )


def _build(fields: dict) -> Bundle:
    tables = {
        table: tuple(
            spec_type(**_freeze(item)) for item in fields.get(table, [])
        )
        for table, (_, spec_type) in TABLES.items()
    }
    return Bundle(**_freeze({**fields, **tables}))


def _freeze(fields: dict) -> dict:
    return {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in fields.items()
    }


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f'{text[:57]}...'
