"""Commands of the replicated log, and their codec.

The leader stamps each command with its wall clock, so that applying a
command reads no clock and has the same result on every control host.
"""

import attrs

from shallothinge import wire
from shallothinge.allowances import messages as allowances
from shallothinge.bundles import messages as bundles
from shallothinge.calls import messages as calls
from shallothinge.jobs import messages as jobs
from shallothinge.leases import messages as leases
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.routes import messages as routes


@attrs.frozen(kw_only=True)
class Stamped:
    """An encoded command with the leader's time in Unix milliseconds."""

    now_ms: int
    command: bytes


@attrs.frozen(kw_only=True)
class RefuseOrder:
    """Record that the leader's checks refused an operator's order.

    ``fingerprint`` is the hash of the order, so that its id can't be used
    for another order later.
    """

    fingerprint: str
    answer: operators.OrderAnswered


@attrs.frozen(kw_only=True)
class Prune:
    """Forget calls and jobs that ended before a time.

    ``jobs_before_ms`` is the time for jobs.
    """

    before_ms: int
    jobs_before_ms: int = 0


@attrs.frozen(kw_only=True)
class Done:
    """Answer to a command that has nothing to tell."""


def build_codec() -> wire.Codec:
    """Return the codec of commands and their answers."""
    return wire.Codec(
        message_types=(
            Stamped,
            RefuseOrder,
            Prune,
            Done,
            *bundles.COMMANDS,
            *leases.COMMANDS,
            *membership.COMMANDS,
            *allowances.MESSAGES,
            *jobs.COMMANDS,
            *calls.MESSAGES,
            *operators.MESSAGES,
            *routes.COMMANDS,
        )
    )
