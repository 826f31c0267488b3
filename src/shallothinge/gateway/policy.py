"""What follows when an attempt at a backend server has failed."""

import enum

import attrs

from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.routes import model as routes

# A full service refuses everywhere: after some servers the caller is told.
MAX_REFUSALS = 3

# After a restart of all control hosts, or the loss of their leader, gateways
# have leases again within a second, and servers are listed half a second on.
RETURN_MS = 2000
# What a request may wait for that, as a share of the caller's patience: some
# of it must be left to serve the request, or for the caller to go elsewhere.
RETURN_WAIT_DIVISOR = 5

# Callers leave a stream, also before its first event, after the longest of
# these, says the protocol.
LEAVE_LEAST_MS = 2000
LEAVE_OBJECTIVES = 4
LEAVE_PAUSES = 8

# How often a request that waits for a lease, a server or room looks again.
# Servers' slots free up at the pace of streams, some tens a second over
# a fleet.
LOOK_AGAIN_MS = 20
# A choice for a long prompt looks at many sets of servers; at most this many
# turns pass until the next one.
MOST_LOOKS_SKIPPED = 5


class Cause(enum.Enum):
    """How an attempt ended without an answer for the caller."""

    NOT_SENT = 'not_sent'
    REFUSED_UNRUN = 'refused_unrun'
    SERVER_ERROR = 'server_error'
    BROKEN = 'broken'
    STALLED = 'stalled'
    NO_MEMORY = 'no_memory'


@attrs.frozen(kw_only=True)
class Progress:
    """How far a request has come.

    ``sent`` counts the backend servers that may have run it, ``refused``
    those that state that they did not.
    """

    sent: int = 0
    refused: int = 0
    may_have_run: bool = False


def return_wait_ms(*, patience_ms: int, missing_ms: int) -> int:
    """Return how long a request may wait for what a restart has taken.

    Most callers come back only once, and after a restart of all they have
    done so by now. Where the lease or the servers have been missing for
    longer than a restart takes, another gateway may have them: then no
    request waits.

    :param patience_ms: how long the caller waits for an answer.
    :param missing_ms: for how long the lease or the servers were missing
        when the request came.
    """
    if missing_ms >= RETURN_MS:
        return 0
    return min(RETURN_MS - missing_ms, patience_ms // RETURN_WAIT_DIVISOR)


def patience_ms(*, route: routes.Route, limit_ms: int) -> int:
    """Return how long a caller waits for its first event or its answer.

    :param limit_ms: when the request's deadline is, from its arrival.
    """
    if route.kind is not routes.RequestKind.STREAMING:
        return limit_ms
    leaves_ms = max(
        LEAVE_LEAST_MS,
        LEAVE_OBJECTIVES * route.objective_ms,
        LEAVE_PAUSES * route.pause_objective_ms,
    )
    return min(limit_ms, leaves_ms)


def can_still_answer(
    *, route: routes.Route, waited_ms: int, service_ms: float, limit_ms: int
) -> bool:
    """Return whether a request that waits for room may yet be answered.

    :param waited_ms: time since the request came.
    :param service_ms: the least time that its first event or answer takes.
    :param limit_ms: when its deadline is, from its arrival.
    """
    return waited_ms + service_ms < patience_ms(route=route, limit_ms=limit_ms)


def wait_for_reads_ms(start_in_ms: float) -> int:
    """Return when to look again for servers that have read all.

    The expected time is uncertain, and a better set may come up before.
    """
    return min(
        LOOK_AGAIN_MS * MOST_LOOKS_SKIPPED,
        max(LOOK_AGAIN_MS, int(start_in_ms) // 2),
    )


def may_repeat(
    *, route: routes.Route, progress: Progress, remaining_ms: int
) -> bool:
    """Return whether the request may be sent to another server.

    What may have run is sent again only if it may run more than once.
    """
    if remaining_ms <= 0 or progress.sent >= route.attempts:
        return False
    if progress.refused > MAX_REFUSALS:
        return False
    return route.is_repeatable or not progress.may_have_run


def final_error(
    *,
    route: routes.Route,
    progress: Progress,
    cause: Cause,
    pause_ms: int | None = None,
) -> errors.ServingError:
    """Return the error for a request that is given up.

    Only one that certainly did not run is refused as not run.

    :param pause_ms: when the first server takes requests again, if all want
        a pause.
    """
    if not progress.may_have_run:
        return errors.ServingError(
            kind=ErrorKind.OVERLOADED,
            detail=cause.value,
            retry_after_ms=pause_ms,
        )
    if route.is_repeatable:
        kind = ErrorKind.BACKEND_FAILED
    else:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return errors.ServingError(kind=kind, detail=cause.value)


def deadline_error(progress: Progress) -> errors.ServingError:
    """Return the error for a request whose time is over."""
    if progress.may_have_run:
        return errors.ServingError(kind=ErrorKind.DEADLINE_EXCEEDED)
    return errors.ServingError(kind=ErrorKind.DEADLINE_UNREACHABLE)
