"""Timeouts after which a silent backend server may be replaced."""

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
