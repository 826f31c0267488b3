"""Reads the platform's configuration into the product's route table."""

import zlib

from shallothinge.http1 import messages
from shallothinge.platform import fields as checks
from shallothinge.routes import model

# Documents repeat the same few names hundreds of times.
COMPRESSION_LEVEL = 6
# Longer than a path prefix that a request can have.
MAX_TEXT_CHARACTERS = 16_384
# Gateways of a former release let any key pass if a configuration lists no
# tenant. They can't read a document that begins so, and refuse requests.
CLOSED_MARK = b'\0'


class InvalidConfiguration(ValueError):
    """A configuration that must not be put in force; the text says why."""


def pack(content: bytes, *, is_closed: bool = False) -> bytes:
    """Return the document that is stored for a configuration's JSON.

    :param is_closed: whether nobody holds a key, though keys are needed.
    """
    document = zlib.compress(content, COMPRESSION_LEVEL)
    return CLOSED_MARK + document if is_closed else document


def unpack(document: bytes) -> bytes:
    """Return the JSON of a stored document.

    :raises zlib.error: if it is damaged.
    """
    return zlib.decompress(document.removeprefix(CLOSED_MARK))


def read_document(document: bytes) -> model.RouteTable:
    """Return the route table of a stored document.

    :raises InvalidConfiguration: as ``read`` does.
    """
    try:
        content = unpack(document)
    except zlib.error as error:
        raise InvalidConfiguration(f'damaged: {error}') from error
    return read(content)


def read(content: bytes) -> model.RouteTable:
    """Return the route table of a configuration's JSON.

    :raises InvalidConfiguration: if it can't be read in full or contradicts
        itself.
    """
    try:
        table = _read_table(checks.parse(content))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise InvalidConfiguration(f'malformed: {error!r:.200}') from error
    _check(table)
    return table


def _read_table(fields: dict) -> model.RouteTable:
    limits = fields.get('limits')
    if limits is None:
        limits = {}
    usual = messages.Limits()
    return model.RouteTable(
        version=_whole(fields['version']),
        routes=tuple(_read_route(one) for one in _entries(fields['routes'])),
        services=tuple(
            _read_service(one) for one in _entries(fields['services'])
        ),
        # With an empty list nobody holds a key.
        needs_keys='tenants' in fields,
        workspaces=tuple(
            _read_workspace(one) for one in _entries(fields.get('tenants', []))
        ),
        limits=messages.Limits(
            header_bytes=_number(
                limits.get('header-bytes'), usual.header_bytes
            ),
            body_bytes=_number(limits.get('body-bytes'), usual.body_bytes),
            header_timeout_ms=_number(
                limits.get('header-timeout-ms'), usual.header_timeout_ms
            ),
            idle_timeout_ms=_number(
                limits.get('idle-timeout-ms'), usual.idle_timeout_ms
            ),
        ),
    )


def _read_route(fields: dict) -> model.Route:
    timeout_ms = _whole(fields['timeout-ms'])
    return model.Route(
        name=_read_name(fields),
        host=_text(fields['host']),
        path_prefix=_text(fields['path-prefix']),
        kind=model.RequestKind(fields['kind']),
        timeout_ms=timeout_ms,
        split=_read_split(fields),
        objective_ms=(
            _number(fields.get('target-latency-ms'), 0) or timeout_ms
        ),
        pause_objective_ms=_number(fields.get('target-gap-ms'), 0) or 1000,
        priority=_number(fields.get('priority'), 1),
        attempts=_number(fields.get('attempts'), 1),
        is_anonymous=_flag(fields.get('allow-anonymous', False)),
        is_resumable=_flag(fields.get('resume-streams', False)),
    )


def _read_name(fields: dict) -> str:
    """Return a route's name, which only the log shows, or ''."""
    name = fields.get('name')
    return '' if name in (None, '') else _text(name)


def _read_split(fields: dict) -> tuple[model.Split, ...]:
    if 'traffic-split' not in fields:
        return (model.Split(service=_text(fields['service']), weight=1),)
    return tuple(
        model.Split(
            service=_text(one['service']), weight=_number(one['weight'])
        )
        for one in _entries(fields['traffic-split'])
    )


def _read_service(fields: dict) -> model.Service:
    return model.Service(
        name=_text(fields['name']),
        cold_requests_per_s=_number(fields.get('cold-per-s'), 0.0),
        engine=_read_engine(fields['engine']) if 'engine' in fields else None,
    )


def _read_engine(fields: dict) -> model.EngineCost:
    read_per_s = _number(fields['read_per_s'])
    if not read_per_s:
        raise ValueError('an engine reads no tokens')
    return model.EngineCost(
        slots=_number(fields['slots']),
        memory_tokens=_number(fields['kv-cache-tokens']),
        step_ms=_number(fields['step_ms']),
        read_tokens_per_ms=read_per_s / 1000,
        pair_ms_per_million=_number(fields['pairs_per_m']),
        chunk_tokens=_number(fields['chunk']),
        steps_per_pass=_number(fields['stride']),
    )


def _read_workspace(fields: dict) -> model.Workspace:
    priority = fields.get('priority')
    return model.Workspace(
        name=_text(fields['name']),
        api_keys=tuple(_text(key) for key in _entries(fields['api-keys'])),
        priority=_number(priority) if priority is not None else None,
    )


def _number(value: object, default: float | None = None) -> int | float:
    """Return a finite number; ``default`` if the value is null or missing."""
    if value is None and default is not None:
        return default
    return checks.number(value, name='a field')


def _whole(value: object) -> int:
    return checks.whole(value, name='a field')


def _text(value: object) -> str:
    return checks.text(value, name='a field', most=MAX_TEXT_CHARACTERS)


def _flag(value: object) -> bool:
    return checks.flag(value, name='a field')


def _entries(value: object) -> list:
    return checks.entries(value, name='a field')


def _check(table: model.RouteTable) -> None:
    names = {service.name for service in table.services}
    places = set()
    for route in table.routes:
        if route.timeout_ms <= 0:
            raise InvalidConfiguration(f'{route.name}: no timeout')
        for split in route.split:
            if split.service not in names:
                raise InvalidConfiguration(
                    f'{route.name}: unknown service {split.service}'
                )
        if sum(split.weight for split in route.split) <= 0:
            raise InvalidConfiguration(f'{route.name}: weights add up to 0')
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            raise InvalidConfiguration(
                f'{route.name}: another route has host {place[0]} and '
                f'prefix {place[1]}'
            )
        places.add(place)
    _check_keys(table)


def _check_keys(table: model.RouteTable) -> None:
    holder_by_key = {}
    for workspace in table.workspaces:
        for api_key in workspace.api_keys:
            holder = holder_by_key.setdefault(api_key, workspace.name)
            if holder != workspace.name:
                raise InvalidConfiguration(
                    f'{holder} and {workspace.name} share an API key'
                )
