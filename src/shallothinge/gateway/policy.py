"""Rules for waiting, retries and errors of forwarded requests."""

import enum

import attrs

from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.gateway import absence
from shallothinge.quarantine import state as quarantines
from shallothinge.routes import model as routes

# In a full service every server refuses, so a request that more servers than
# this have refused fails.
MAX_REFUSALS = 3

# After a restart of all control hosts, or the loss of their leader, gateways
# hold leases again within a second, and servers are listed half a second
# later.
RESTART_RECOVERY_MS = 2000
# A request waits for this recovery for at most this fraction of its caller's
# time limit. The rest is needed to serve it, or for the caller to try another
# gateway.
RECOVERY_WAIT_DIVISOR = 5

# By the protocol, callers abandon a stream, also before its first event, after
# the longest of these: the minimum, a multiple of the route's objective for
# the first event, and a multiple of its objective for pauses.
MIN_ABANDON_MS = 2000
ABANDON_OBJECTIVES = 4
ABANDON_PAUSES = 8

# A crash of a stream that has been written for this long says little: it may
# have been at the server when another request crashed it.
SETTLED_WRITING_MS = 250
# A caller that retries reaches another gateway, which usually can serve it.
STOPPING_RETRY_AFTER_MS = 100

# Polling interval of a request that waits for a lease, a server or capacity.
# Slots become free as streams end, some tens a second over a fleet.
POLL_INTERVAL_MS = 20
# Polling interval of a stream whose server has fallen silent. Callers leave
# silent streams after two seconds or more.
TAKEOVER_POLL_INTERVAL_MS = 100
# Placing a long prompt evaluates many sets of servers, so some polls are
# skipped: it is tried again after at most this many poll intervals.
MAX_POLLS_SKIPPED = 5


class FailureCause(enum.Enum):
    """Why an attempt ended without an answer for the caller."""

    NOT_SENT = 'not_sent'
    REFUSED_UNRUN = 'refused_unrun'
    SERVER_ERROR = 'server_error'
    BROKEN = 'broken'
    NO_MEMORY = 'no_memory'


class NoRetry(enum.Enum):
    """Why a request is not sent to another server."""

    DEADLINE = 'deadline'
    ATTEMPTS = 'attempts'
    REFUSALS = 'refusals'
    MAY_HAVE_RUN = 'may_have_run'
    BUDGET = 'budget'
    QUARANTINED = 'quarantined'
    RUNNING = 'running'


@attrs.frozen(kw_only=True)
class Progress:
    """Outcome of a request's attempts so far.

    ``sent`` counts the backend servers that may have run it, ``refused``
    those that stated that they did not run it.
    """

    sent: int = 0
    refused: int = 0
    may_have_run: bool = False

    def after_failure(
        self, *, was_sent: bool, may_have_run: bool
    ) -> 'Progress':
        """Return the progress after an attempt has failed."""
        return Progress(
            sent=self.sent + may_have_run,
            refused=self.refused + (was_sent and not may_have_run),
            may_have_run=self.may_have_run or may_have_run,
        )

    def after_runs(self, count: int) -> 'Progress':
        """Return the progress if some more servers may have run it."""
        return attrs.evolve(
            self,
            sent=self.sent + count,
            may_have_run=self.may_have_run or count > 0,
        )


def recovery_wait_ms(*, patience_ms: int, missing_ms: int) -> int:
    """Return how long a request may wait for the lease or the servers.

    Most callers retry only once, and after a restart of all control hosts
    they have already done so. If the lease or the servers have been missing
    for longer than a restart takes, another gateway may have them, and no
    request waits.

    :param patience_ms: how long the caller waits for an answer.
    :param missing_ms: for how long the lease or the servers had been missing
        when the request arrived.
    :returns: milliseconds, or 0 if the request is not to wait.
    """
    if missing_ms >= RESTART_RECOVERY_MS:
        return 0
    return min(
        RESTART_RECOVERY_MS - missing_ms, patience_ms // RECOVERY_WAIT_DIVISOR
    )


def patience_ms(*, route: routes.Route, limit_ms: int) -> int:
    """Return how long a caller waits for the first event or the answer.

    :param limit_ms: time from the request's arrival to its deadline.
    """
    if route.kind is not routes.RequestKind.STREAMING:
        return limit_ms
    abandon_ms = max(
        MIN_ABANDON_MS,
        ABANDON_OBJECTIVES * route.objective_ms,
        ABANDON_PAUSES * route.pause_objective_ms,
    )
    return min(limit_ms, abandon_ms)


def may_wait_to_resume(
    *,
    route: routes.Route,
    limit_ms: int,
    waited_ms: int,
    pause_ms: int | None,
) -> bool:
    """Return whether a stream that broke off may wait for another server.

    The lease and the servers are waited for as by other requests. The end of
    a pause is known, so it is waited for if the caller has not left by then.

    :param limit_ms: time from the request's arrival to its deadline.
    :param waited_ms: time since the stream broke off.
    :param pause_ms: time until the first pause of another server ends, None
        unless all of them pause.
    """
    if waited_ms < recovery_wait_ms(patience_ms=limit_ms, missing_ms=0):
        return True
    if pause_ms is None:
        return False
    return waited_ms + pause_ms < patience_ms(route=route, limit_ms=limit_ms)


def pause_patience_ms(route: routes.Route) -> int:
    """Return how long a caller waits for the next event of a stream."""
    return max(MIN_ABANDON_MS, ABANDON_PAUSES * route.pause_objective_ms)


def can_still_answer(
    *, route: routes.Route, waited_ms: int, service_ms: float, limit_ms: int
) -> bool:
    """Return whether a request waiting for capacity can be answered in time.

    :param waited_ms: time since the request arrived.
    :param service_ms: minimum time until its first event or its answer.
    :param limit_ms: time from the request's arrival to its deadline.
    """
    return waited_ms + service_ms < patience_ms(route=route, limit_ms=limit_ms)


def reads_poll_delay_ms(start_in_ms: float) -> int:
    """Return the delay until the next poll for servers that finish reading.

    This is less than the expected time, which is uncertain; a better set of
    servers may also become available earlier.

    :param start_in_ms: expected time until the request can start.
    """
    return min(
        POLL_INTERVAL_MS * MAX_POLLS_SKIPPED,
        max(POLL_INTERVAL_MS, int(start_in_ms) // 2),
    )


def takeover_poll_delay_ms(route: routes.Route) -> int:
    """Return the delay until the next poll for a second server."""
    if route.kind is routes.RequestKind.STREAMING:
        return TAKEOVER_POLL_INTERVAL_MS
    return POLL_INTERVAL_MS


def permit_poll_delay_ms(free_in_ms: int) -> int:
    """Return the delay until the next poll for a permit.

    Gateways take turns that last a few milliseconds, so the one that begins
    next is polled for at its beginning.

    :param free_in_ms: time until the turn of this request, 0 if another one
        of this gateway comes before.
    """
    return min(POLL_INTERVAL_MS, free_in_ms or POLL_INTERVAL_MS)


def no_retry_reason(
    *, route: routes.Route, progress: Progress, remaining_ms: int
) -> NoRetry | None:
    """Return why the request may not be sent to another server.

    A request that may have run is repeated only if its route allows it to
    run more than once. The retry budget is not considered.

    :param remaining_ms: time left until the deadline.
    :returns: None if the request may be sent to another server.
    """
    if remaining_ms <= 0:
        return NoRetry.DEADLINE
    if progress.sent >= route.attempts:
        return NoRetry.ATTEMPTS
    if progress.refused > MAX_REFUSALS:
        return NoRetry.REFUSALS
    if progress.may_have_run and not route.is_repeatable:
        return NoRetry.MAY_HAVE_RUN
    return None


def final_error(
    *,
    route: routes.Route,
    progress: Progress,
    cause: FailureCause,
    pause_ms: int | None = None,
) -> errors.ServingError:
    """Return the error for a request that is not tried any more.

    It states that the request did not run only if this is certain.

    :param pause_ms: time until the first server accepts requests again, if
        all servers have requested a pause.
    """
    if not progress.may_have_run:
        return errors.ServingError(
            kind=ErrorKind.OVERLOADED,
            detail=cause.value,
            retry_after_ms=pause_ms,
        )
    return unknown_outcome_error(route, detail=cause.value)


def full_error(free_in_ms: int, *, detail: str) -> errors.ServingError:
    """Return the error for a request that never ran for want of capacity.

    :param free_in_ms: time until there is likely to be some.
    :param detail: what it would have had to wait for.
    """
    return errors.ServingError(
        kind=ErrorKind.OVERLOADED, detail=detail, retry_after_ms=free_in_ms
    )


def deadline_error(progress: Progress) -> errors.ServingError:
    """Return the error for a request whose deadline has passed."""
    if progress.may_have_run:
        return errors.ServingError(kind=ErrorKind.DEADLINE_EXCEEDED)
    return errors.ServingError(kind=ErrorKind.DEADLINE_UNREACHABLE)


def min_delay_at_stop_ms(
    *, route: routes.Route, is_duration_known: bool, remaining_ms: int
) -> float:
    """Return the least delay to expect of an answer before a planned stop.

    A request that is refused is served by another gateway. One that is cut
    off and may not be repeated is lost, so it is sent only if its time limit
    comes before the stop, or its answer well before.

    :param is_duration_known: whether it is known how long the answer takes
        on an idle fleet.
    :param remaining_ms: time left until the deadline.
    """
    if is_duration_known:
        return 0.0 if route.is_repeatable else route.objective_ms
    return route.objective_ms if route.is_repeatable else remaining_ms


def stop_error(
    *, route: routes.Route, progress: Progress
) -> errors.ServingError:
    """Return the error for a request that a planned stop ends."""
    if progress.may_have_run:
        return unknown_outcome_error(route, detail='stopping')
    return unsent_stop_error()


def unsent_stop_error() -> errors.ServingError:
    """Return the error for a request that is not sent before the stop."""
    return errors.ServingError(
        kind=ErrorKind.STOPPING, retry_after_ms=STOPPING_RETRY_AFTER_MS
    )


def unknown_outcome_error(
    route: routes.Route, *, detail: str, retry_after_ms: int = 0
) -> errors.ServingError:
    """Return the error for a request that may have run.

    :param retry_after_ms: when a server would have the caller come back, 0
        if it does not say; only told where the request may run once more.
    """
    if route.is_repeatable:
        return errors.ServingError(
            kind=ErrorKind.BACKEND_FAILED,
            detail=detail,
            retry_after_ms=retry_after_ms or None,
        )
    return errors.ServingError(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail)


def quarantine_error(
    *,
    route: routes.Route,
    progress: Progress,
    admission: quarantines.Admission,
) -> errors.ServingError:
    """Return the error for a request that is quarantined or has such parts.

    The detail names the part or the request's fingerprint.
    """
    detail = f'{admission.part_id} is quarantined'
    if progress.may_have_run:
        return unknown_outcome_error(route, detail=detail)
    return errors.ServingError(
        kind=ErrorKind.QUARANTINED,
        detail=detail,
        retry_after_ms=admission.refused_ms or None,
    )


def unplaced_error(
    *,
    progress: Progress,
    kind: ErrorKind,
    missing: absence.Absence,
    is_list_settled: bool,
) -> errors.ServingError:
    """Return the error for a request that no server can be sent.

    :param kind: the error of a request that surely did not run.
    :param missing: what keeps requests from the servers.
    :param is_list_settled: whether the leader has heard of all servers.
    """
    is_for_servers = kind is not ErrorKind.NO_LEASE
    if progress.may_have_run:
        kind = ErrorKind.BACKEND_FAILED
    elif is_for_servers and missing.first_pause_ms:
        kind = ErrorKind.OVERLOADED
    if not is_for_servers:
        return errors.ServingError(kind=kind)
    return errors.ServingError(
        kind=kind,
        detail=missing.detail,
        retry_after_ms=missing.return_in_ms(is_list_settled=is_list_settled),
    )


def fault_error(progress: Progress) -> errors.ServingError:
    """Return the error for a request of which a step raised an exception."""
    if progress.may_have_run:
        return errors.ServingError(kind=ErrorKind.INTERNAL)
    return errors.ServingError(kind=ErrorKind.INTERNAL_NOT_RUN)
