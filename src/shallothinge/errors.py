"""The closed list of error kinds and the answer that each one gets.

``ANSWERS`` is the only place that maps a kind to an HTTP status, to a
``Retry-After`` time and to the statement whether the work was run.
"""

import enum

import attrs


class WorkState(enum.Enum):
    """What an error says about the work that was asked for."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    PARTLY_DELIVERED = 'partly_delivered'


class ErrorKind(enum.Enum):
    """Every kind of error that a caller, operator or process can see."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    SLOW_CALLER = 'slow_caller'
    VERSION_CONFLICT = 'version_conflict'
    CALL_IN_PROGRESS = 'call_in_progress'
    BODY_TOO_LARGE = 'body_too_large'
    PROMPT_TOO_LONG = 'prompt_too_long'
    KEY_REQUIRED = 'key_required'
    KEY_REUSED = 'key_reused'
    ALLOWANCE_EXHAUSTED = 'allowance_exhausted'
    OVERLOADED = 'overloaded'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    EXPIRED_NOT_RUN = 'expired_not_run'
    NO_LEASE = 'no_lease'
    NO_BACKEND_SERVER = 'no_backend_server'
    ZONE_OUT = 'zone_out'
    BACKEND_OUT = 'backend_out'
    COLD_LIMIT = 'cold_limit'
    MEMORY_FULL = 'memory_full'
    QUARANTINED = 'quarantined'
    STALE_FENCE = 'stale_fence'
    STOPPING = 'stopping'
    BACKEND_FAILED = 'backend_failed'
    STREAM_BROKEN = 'stream_broken'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'cancelled'
    NOT_LEADER = 'not_leader'
    INTERNAL = 'internal'
    INTERNAL_NOT_RUN = 'internal_not_run'


@attrs.frozen(kw_only=True)
class ErrorAnswer:
    """How an error kind is answered.

    ``retry_after_ms`` is the time after which a caller may come back, or 0
    if repeating the same request is of no use.
    """

    http_status: int
    work_state: WorkState
    retry_after_ms: int
    meaning: str


def _not_run(http_status, retry_after_ms, meaning) -> ErrorAnswer:
    return ErrorAnswer(
        http_status=http_status,
        work_state=WorkState.NOT_RUN,
        retry_after_ms=retry_after_ms,
        meaning=meaning,
    )


def _may_have_run(http_status, retry_after_ms, meaning) -> ErrorAnswer:
    return ErrorAnswer(
        http_status=http_status,
        work_state=WorkState.MAY_HAVE_RUN,
        retry_after_ms=retry_after_ms,
        meaning=meaning,
    )


ANSWERS = {
    ErrorKind.BAD_REQUEST: _not_run(
        400, 0, 'The request is malformed; the message names the field.'
    ),
    ErrorKind.UNAUTHENTICATED: _not_run(
        401, 0, 'The workspace key is missing or unknown.'
    ),
    ErrorKind.FORBIDDEN: _not_run(
        403, 0, 'The workspace may not use this model or service.'
    ),
    ErrorKind.NOT_FOUND: _not_run(
        404, 0, 'No such path, model, service or request.'
    ),
    ErrorKind.SLOW_CALLER: _not_run(
        408, 1000, 'The caller did not send the request in time.'
    ),
    ErrorKind.VERSION_CONFLICT: _not_run(
        409, 0, 'Another order changed the version that this one names.'
    ),
    ErrorKind.CALL_IN_PROGRESS: _may_have_run(
        409, 2000, 'A call with this idempotency key is still running.'
    ),
    ErrorKind.BODY_TOO_LARGE: _not_run(
        413, 0, 'The body exceeds the size limit.'
    ),
    ErrorKind.PROMPT_TOO_LONG: _not_run(
        413, 0, 'The prompt exceeds what the fleet can hold.'
    ),
    ErrorKind.KEY_REQUIRED: _not_run(
        400, 0, 'This call needs an Idempotency-Key header.'
    ),
    ErrorKind.KEY_REUSED: _not_run(
        422, 0, 'The idempotency key was used with another body.'
    ),
    ErrorKind.ALLOWANCE_EXHAUSTED: _not_run(
        429, 60_000, 'The workspace has used up its token allowance.'
    ),
    ErrorKind.OVERLOADED: _not_run(
        503, 2000, 'The queue for this class of request is full.'
    ),
    ErrorKind.DEADLINE_UNREACHABLE: _not_run(
        503, 5000, 'The request can not be finished within its deadline.'
    ),
    ErrorKind.DEADLINE_EXCEEDED: _may_have_run(
        504, 5000, 'The deadline passed before the request finished.'
    ),
    ErrorKind.EXPIRED_NOT_RUN: _not_run(
        504, 5000, 'The deadline passed while the request was queued.'
    ),
    ErrorKind.NO_LEASE: _not_run(
        503, 2000, 'This process has no valid lease from the control group.'
    ),
    ErrorKind.NO_BACKEND_SERVER: _not_run(
        503, 2000, 'No backend server can take the request now.'
    ),
    ErrorKind.ZONE_OUT: _not_run(
        503, 1000, 'The availability zone is out of service.'
    ),
    ErrorKind.BACKEND_OUT: _not_run(
        503, 1000, 'The backend server is out of service.'
    ),
    ErrorKind.COLD_LIMIT: _not_run(
        503, 1000, 'The backend server is cold and at its limit.'
    ),
    ErrorKind.MEMORY_FULL: _not_run(
        503, 2000, 'The engine has no memory for the request now.'
    ),
    ErrorKind.QUARANTINED: _not_run(
        503,
        600_000,
        'The request or a part of its prompt has crashed several servers.',
    ),
    ErrorKind.STALE_FENCE: _not_run(
        409, 0, 'The order carries an old fencing number.'
    ),
    ErrorKind.STOPPING: _not_run(
        503, 1000, 'The process is stopping and takes no new work.'
    ),
    ErrorKind.BACKEND_FAILED: _may_have_run(
        502, 2000, 'The backend server failed while running the request.'
    ),
    ErrorKind.STREAM_BROKEN: ErrorAnswer(
        http_status=502,
        work_state=WorkState.PARTLY_DELIVERED,
        retry_after_ms=2000,
        meaning='The answer broke off and could not be continued.',
    ),
    ErrorKind.OUTCOME_UNKNOWN: _may_have_run(
        502, 0, 'It is not known whether the call ran; it is not repeated.'
    ),
    ErrorKind.CANCELLED: _may_have_run(
        499, 0, 'The caller went away and the request was cancelled.'
    ),
    ErrorKind.NOT_LEADER: _not_run(
        503, 500, 'This control host does not lead; ask the named one.'
    ),
    ErrorKind.INTERNAL: _may_have_run(
        500, 2000, 'An unexpected fault; the log names it.'
    ),
    ErrorKind.INTERNAL_NOT_RUN: _not_run(
        503, 1000, 'An unexpected fault before the work began.'
    ),
}


def is_false_promise(kind: ErrorKind, *, may_have_run: bool) -> bool:
    """Return whether a kind states that work has not run that may have."""
    return may_have_run and ANSWERS[kind].work_state is WorkState.NOT_RUN


class ServingError(Exception):
    """An error that is answered by its kind.

    :param kind: the kind, which fixes the answer.
    :param detail: what was found and what would mend it.
    :param retry_after_ms: when to come back, if better known than the
        kind's usual time.
    """

    def __init__(
        self,
        *,
        kind: ErrorKind,
        detail: str = '',
        retry_after_ms: int | None = None,
    ):
        super().__init__(f'{kind.value}: {detail}' if detail else kind.value)
        self.kind = kind
        self.detail = detail
        self._retry_after_ms = retry_after_ms

    @property
    def answer(self) -> ErrorAnswer:
        """Return the table's answer for the kind."""
        return ANSWERS[self.kind]

    @property
    def retry_after_ms(self) -> int:
        """Return when the caller may come back, in milliseconds."""
        if self._retry_after_ms is None:
            return self.answer.retry_after_ms
        return self._retry_after_ms
