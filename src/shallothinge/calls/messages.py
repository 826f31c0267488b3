"""Messages about calls to plain services.

``CallService`` and its answers pass between entry and agent. The claim
messages pass between entry and control.
"""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class CallService:
    """Entry to agent: run one call.

    ``claim_index`` is the log index of the claim, or 0 for a call that may
    be repeated. ``deadline_ms`` is the time left until the deadline.
    """

    request_id: str
    attempt: int
    entry_id: str
    workspace: str
    service: str
    method: str
    path: str
    body: bytes = b''
    idempotency_key: str = ''
    claim_index: int = 0
    deadline_ms: int = 30_000
    state_version: int = 0


@attrs.frozen(kw_only=True)
class CallAnswered:
    """Agent to entry: the service's answer."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class CallRefused:
    """Agent to entry: the call was not sent to the service."""

    request_id: str
    attempt: int
    kind: ErrorKind
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class CallFailed:
    """Agent to entry: the call was sent and its outcome is unknown."""

    request_id: str
    attempt: int
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """The answer to a call that ran, kept for repeated uses of its key."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class ClaimCall:
    """Entry to control: claim the right to run a call once.

    ``body_hash`` is the hex SHA-256 of method, path and body. Each claim
    has a new ``claim_id``; a resent claim keeps its id.
    """

    claim_id: str
    workspace: str
    service: str
    idempotency_key: str
    body_hash: str
    entry_id: str
    entry_incarnation: str


@attrs.frozen(kw_only=True)
class ClaimGranted:
    """Control to entry: only this entry may run the call, and only once."""

    claim_id: str
    claim_index: int


@attrs.frozen(kw_only=True)
class ClaimRefused:
    """Control to entry: the call must not be run under this claim.

    ``kind`` is the reason; ``answer`` is present if the call ran before.
    """

    claim_id: str
    kind: ErrorKind
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class ClaimReplayed:
    """Control to entry: the call already ran and got this answer."""

    claim_id: str
    answer: StoredAnswer


@attrs.frozen(kw_only=True)
class ResolveClaim:
    """Entry to control: the outcome of a claimed call.

    If the call was answered, ``answer`` is present. If it was never sent,
    or the last hop confirmed that it did not run, ``not_run`` is true. If
    the outcome is unknown, neither is set. They are never both set.
    ``claim_index`` is 0 if the answer to the claim never arrived; together
    with ``not_run`` this withdraws the claim, even if the claim message
    arrives later.
    """

    claim_id: str
    claim_index: int
    answer: StoredAnswer | None = None
    not_run: bool = False

    @property
    def request_id(self) -> str:
        """Return the id that matches this request with its answer."""
        return f'resolve:{self.claim_id}'


@attrs.frozen(kw_only=True)
class ClaimResolved:
    """Control to entry: the resolution is committed."""

    claim_id: str

    @property
    def request_id(self) -> str:
        """Return the id of the request that this message answers."""
        return f'resolve:{self.claim_id}'


@attrs.frozen(kw_only=True)
class ResolveUnknownCall:
    """Operator to control: the outcome of a call that was unknown.

    ``answer`` is returned to repeated uses of the key from now on. Without
    an answer the call did not run and the key may be used again.
    """

    order_id: str
    operator: str
    workspace: str
    service: str
    idempotency_key: str
    answer: StoredAnswer | None = None


MESSAGES = (
    CallService,
    CallAnswered,
    CallRefused,
    CallFailed,
    ClaimCall,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ResolveClaim,
    ClaimResolved,
    ResolveUnknownCall,
)
