"""Commands of the replicated log, and their codec.

The leader stores its wall-clock time with each command, so that applying a
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
    """Record that the leader refused an operator's order.

    ``fingerprint`` is the hash of the order. It prevents the reuse of the
    order's id for another order.
    """

    fingerprint: str
    answer: operators.OrderAnswered


@attrs.frozen(kw_only=True)
class Prune:
    """Remove the records of calls and jobs that ended before a time.

    ``before_ms`` is the time for calls, ``jobs_before_ms`` that for jobs.
    """

    before_ms: int
    jobs_before_ms: int = 0


@attrs.frozen(kw_only=True)
class Done:
    """Answer to a command that returns no result."""


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
