"""Reads a settings file into the classes of ``settings.model``."""

import pathlib
import tomllib

import cattrs

from shallothinge.settings import check
from shallothinge.settings import faults
from shallothinge.settings import lines
from shallothinge.settings import model
from shallothinge.settings import shape

ROLE_TYPES = {
    'control': model.ControlSettings,
    'entry': model.EntrySettings,
    'agent': model.AgentSettings,
    'gateway': model.GatewaySettings,
}
ROLE_TABLES = (
    ('log', 'control'),
    ('http', 'entry'),
    ('backend', 'agent'),
    ('callers', 'gateway'),
)


def read(
    *,
    path: pathlib.Path,
    file_type: type,
    folder: pathlib.Path | None = None,
):
    """Return the settings that a file holds.

    :param file_type: the class of the whole file.
    :param folder: folder of relative paths in it, its own if not given.
    :raises ExceptionGroup: of ``SettingsFault``, with every fault found.
    """
    text, tables = _parse(path)
    found = faults.Collector(path=path, lines=lines.index_lines(text))
    shape.check_table(table=tables, table_type=file_type, key='', found=found)
    found.raise_all()
    settings = cattrs.Converter().structure(tables, file_type)
    check.check(settings=settings, folder=folder or path.parent, found=found)
    found.raise_all()
    return settings


def detect_type(path: pathlib.Path) -> type:
    """Return the class of a role's file by the tables that it has.

    :raises ExceptionGroup: of ``SettingsFault``, if no role has them.
    """
    text, tables = _parse(path)
    for table, role in ROLE_TABLES:
        if table in tables:
            return ROLE_TYPES[role]
    found = faults.Collector(path=path, lines=lines.index_lines(text))
    found.add(
        key='(file)',
        found=f'the tables {", ".join(tables) or "none"}',
        allowed='log (control), http (entry), backend (agent) or '
        'callers (gateway)',
    )
    found.raise_all()


def _parse(path: pathlib.Path) -> tuple[str, dict]:
    found = faults.Collector(path=path, lines={})
    try:
        text = path.read_text(encoding='utf-8')
        return text, tomllib.loads(text)
    except OSError as error:
        found.add(key='(file)', found=error.strerror, allowed='a file')
    except ValueError as error:
        found.add(key='(file)', found=str(error), allowed='valid TOML')
    found.raise_all()
