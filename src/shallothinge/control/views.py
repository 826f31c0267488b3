"""Views of the control state as JSON text, for operators."""

import enum
import json

import attrs
from cattrs.preconf import json as cattrs_json

from shallothinge.control import leadership
from shallothinge.control import state
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages

_CONVERTER = cattrs_json.make_converter()


def to_json(value: object) -> str:
    """Return a value made of attrs classes as JSON text."""
    return json.dumps(
        _CONVERTER.unstructure(value), default=_plain, sort_keys=True
    )


def _plain(value: object) -> object:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, enum.Enum):
        return value.value
    if attrs.has(type(value)):
        return _CONVERTER.unstructure(value)
    return str(value)


@attrs.frozen(kw_only=True)
class StatusView:
    """What is in force, and who holds leases."""

    state_version: int
    bundle_version: int
    bundle_hash: str
    zones_out: tuple[str, ...]
    servers_out: tuple[str, ...]
    holders: tuple[str, ...]
    servers: int
    is_settled: bool


def answer_query(
    *,
    request: messages.QueryRequested,
    data: state.StateData,
    current: leadership.Leadership,
) -> messages.QueryAnswered:
    """Answer one of the named views."""
    build = _VIEWS.get(request.view)
    if build is None:
        return messages.QueryAnswered(
            request_id=request.request_id, kind=ErrorKind.NOT_FOUND
        )
    return messages.QueryAnswered(
        request_id=request.request_id,
        json_text=to_json(build(data, current)),
    )


def dump(
    *,
    data: state.StateData,
    current: leadership.Leadership | None,
    replica: object,
) -> str:
    """Return the whole state of a control host."""
    fields = {'replica': replica, 'state': data}
    if current is not None:
        fields['leases'] = _holder_names(current)
        fields['members'] = current.members.servers()
        fields['epoch'] = current.epoch
    return to_json(fields)


def _holder_names(current: leadership.Leadership) -> tuple[str, ...]:
    return tuple(
        f'{holder.holder_id}/{holder.incarnation}'
        for holder in current.leases.holders()
    )


def _status(data, current) -> StatusView:
    record = data.bundles.in_force
    return StatusView(
        state_version=data.config.state_version,
        bundle_version=0 if record is None else record.version,
        bundle_hash=data.bundles.in_force_hash,
        zones_out=data.outages.zones,
        servers_out=data.outages.servers,
        holders=_holder_names(current),
        servers=len(current.members.servers()),
        is_settled=current.leases.is_settled,
    )


def _bundles(data, current):
    return tuple(data.bundles.by_hash.values())


def _members(data, current):
    return current.members.servers()


_VIEWS = {'status': _status, 'bundles': _bundles, 'members': _members}
