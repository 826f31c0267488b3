"""Views of the control state as JSON text, for operators."""

import datetime
import enum
import json

import attrs
from cattrs.preconf import json as cattrs_json

from shallothinge.allowances.messages import UsageRecord
from shallothinge.control import leadership
from shallothinge.control import state
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages

_CONVERTER = cattrs_json.make_converter()


def to_json(value: object) -> str:
    """Return a value made of attrs classes as JSON text."""
    return json.dumps(
        _CONVERTER.unstructure(value), default=_to_json_value, sort_keys=True
    )


def _to_json_value(value: object) -> object:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, enum.Enum):
        return value.value
    if attrs.has(type(value)):
        return _CONVERTER.unstructure(value)
    return str(value)


@attrs.frozen(kw_only=True)
class StatusView:
    """The configuration in force and the lease holders."""

    state_version: int
    bundle_version: int
    bundle_hash: str
    zones_out: tuple[str, ...]
    servers_out: tuple[str, ...]
    holders: tuple[str, ...]
    servers: int
    is_settled: bool


@attrs.frozen(kw_only=True)
class SpendingView:
    """A workspace's tokens this month; an allowance of 0 means no limit."""

    workspace: str
    allowance_tokens: int
    spent_tokens: int
    held_tokens: int


@attrs.frozen(kw_only=True)
class UsageView:
    """The ledger's rows, with today's date (UTC) by the leader's clock."""

    month: str
    today: str
    rows: tuple[UsageRecord, ...]
    workspaces: tuple[SpendingView, ...]


def answer_query(
    *,
    request: messages.QueryRequested,
    data: state.StateData,
    current: leadership.Leadership,
) -> messages.QueryAnswered:
    """Answer a query with the view that it names."""
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
    """Return the whole state of a control host as JSON text.

    :param current: the soft state of a leader; None on other hosts.
    """
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


def _usage(data, current) -> UsageView:
    today = datetime.datetime.fromtimestamp(
        data.now_ms // state.MS_PER_SECOND, datetime.UTC
    )
    bundle = data.config.bundle
    specs = () if bundle is None else bundle.workspaces
    return UsageView(
        month=data.allowances.month,
        today=today.date().isoformat(),
        rows=data.ledger.rows(),
        workspaces=tuple(_spending(data, spec) for spec in specs),
    )


def _spending(data, spec) -> SpendingView:
    spend = data.allowances.by_workspace.get(spec.name)
    return SpendingView(
        workspace=spec.name,
        allowance_tokens=spec.allowance_tokens_per_month,
        spent_tokens=0 if spend is None else spend.spent_tokens,
        held_tokens=0 if spend is None else spend.held_tokens,
    )


def _unknown_calls(data, current):
    return data.claims.unknown()


_VIEWS = {
    'status': _status,
    'bundles': _bundles,
    'members': _members,
    'usage': _usage,
    'unknown_calls': _unknown_calls,
}
