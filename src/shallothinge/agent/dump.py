"""The state of an agent as its dump shows it."""

import json

import attrs

from shallothinge.agent import reconcile
from shallothinge.leases import holder as holders
from shallothinge.membership.model import BackendServer
from shallothinge.reservations import table as reservations
from shallothinge.streams import messages
from shallothinge.streams import owned


@attrs.frozen(kw_only=True)
class AgentState:
    """An agent's state, for dumps."""

    process_id: str
    incarnation: str
    lease: holders.HolderState
    announced: BackendServer
    stopping: bool
    load: messages.LoadReport
    limit_streams: int
    pace_ms_per_token: float | None
    engine_incarnation: str
    engine_serving: bool
    streams: tuple[owned.OwnedStream, ...]
    reservations: tuple[reservations.Reservation, ...]
    releases: tuple[reconcile.Holding, ...]
    cached_blocks: int


def to_json(state: AgentState) -> str:
    """Return a state as JSON text."""
    return json.dumps(attrs.asdict(state), default=str)
