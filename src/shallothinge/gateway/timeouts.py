"""Timeouts after which a silent backend server may be replaced."""

from shallothinge.gateway import policy
from shallothinge.routes import model as routes

# The first event of a stream is overdue after OVERDUE_FACTOR times the
# expected time plus OVERDUE_OBJECTIVE_FACTOR times the latency objective, but
# not before OVERDUE_MIN_MS. Then another server is likely to be faster.
OVERDUE_FACTOR = 3.0
OVERDUE_OBJECTIVE_FACTOR = 2.0
OVERDUE_MIN_MS = 1000.0
# A stream is stalled after STALL_MIN_MS plus STALL_PAUSE_FACTOR times its
# longest allowed pause. Callers leave after eight times that pause or after
# two seconds, whichever is longer.
STALL_PAUSE_FACTOR = 2.5
STALL_MIN_MS = 500.0


def first_event_timeout_ms(
    *, route: routes.Route, expected_ms: float
) -> float:
    """Return when the first event of a stream is overdue, after it was sent.

    :param expected_ms: expected time until the first event.
    """
    return max(
        OVERDUE_MIN_MS,
        OVERDUE_FACTOR * expected_ms
        + OVERDUE_OBJECTIVE_FACTOR * route.objective_ms,
    )


def stall_timeout_ms(route: routes.Route) -> float:
    """Return when a stream is stalled, after its last event."""
    return STALL_MIN_MS + STALL_PAUSE_FACTOR * route.pause_objective_ms


def explained_ms(
    *, route: routes.Route, read_ends_in_ms: float | None
) -> float:
    """Return for how much longer a read explains a server's silence.

    The next event may come one allowed pause after the end of the read.

    :param read_ends_in_ms: expected time until the server has read the long
        prompts that it is known to have, None if there are none.
    :returns: milliseconds, 0 or less if the silence is not explained.
    """
    if read_ends_in_ms is None:
        return 0.0
    return read_ends_in_ms + route.pause_objective_ms


def latest_takeover_ms(
    *, route: routes.Route, limit_ms: int, is_begun: bool
) -> int:
    """Return when another server has to take over, whatever is known.

    Its first event is due one latency objective later, and the caller must
    not have left by then.

    :param limit_ms: time from the request's arrival to its deadline.
    :param is_begun: whether the caller has a part of the answer.
    :returns: milliseconds since the last event, or else since the request's
        arrival.
    """
    if is_begun:
        patience_ms = policy.pause_patience_ms(route)
    else:
        patience_ms = policy.patience_ms(route=route, limit_ms=limit_ms)
    return patience_ms - route.objective_ms
