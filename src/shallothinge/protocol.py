"""The set of all messages between the project's own processes."""

from shallothinge import wire
from shallothinge.allowances import messages as allowances
from shallothinge.calls import messages as calls
from shallothinge.consensus import messages as consensus
from shallothinge.jobs import messages as jobs
from shallothinge.leases import messages as leases
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.placement import messages as placement
from shallothinge.quarantine import messages as quarantine
from shallothinge.reservations import messages as reservations
from shallothinge.routes import messages as routes
from shallothinge.scheduling import messages as scheduling
from shallothinge.server_limits import messages as server_limits
from shallothinge.streams import messages as streams
from shallothinge.transport import messages as transport


def build_codec() -> wire.Codec:
    """Return a codec for every message of the project."""
    return wire.Codec(
        message_types=(
            *transport.MESSAGES,
            *leases.MESSAGES,
            *streams.MESSAGES,
            *reservations.MESSAGES,
            *calls.MESSAGES,
            *allowances.MESSAGES,
            *jobs.MESSAGES,
            *operators.MESSAGES,
            *routes.MESSAGES,
            *membership.MESSAGES,
            *placement.MESSAGES,
            *quarantine.MESSAGES,
            *server_limits.MESSAGES,
            *scheduling.MESSAGES,
            *consensus.MESSAGES,
        )
    )
