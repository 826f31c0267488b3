"""What follows when an attempt at a backend server has failed."""

import enum

import attrs

from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.routes import model as routes

# A full service refuses everywhere: after some servers the caller is told.
MAX_REFUSALS = 3


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
    *, route: routes.Route, progress: Progress, cause: Cause
) -> errors.ServingError:
    """Return the error for a request that is given up.

    Only one that certainly did not run is refused as not run.
    """
    if not progress.may_have_run:
        return errors.ServingError(
            kind=ErrorKind.OVERLOADED, detail=cause.value
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
