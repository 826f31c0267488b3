"""Messages about calls to plain services.

``CallService`` and its answers pass between entry and agent; the claim
messages between entry and control.
"""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class CallService:
    """Entry to agent: run one call.

    ``claim_index`` is the log index of the claim, 0 for a call that may be
    repeated. ``deadline_ms`` is the remaining time.
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
    """Agent to entry: the call was sent and its outcome is not known."""

    request_id: str
    attempt: int
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """The answer of a call that ran, kept for repeats of its key."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class ClaimCall:
    """Entry to control: claim the right to run a call once.

    ``body_hash`` is the hex SHA-256 of method, path and body. ``claim_id``
    is new for each claim message and the same when it is resent.
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
    """Control to entry: this entry alone may run the call, once."""

    claim_id: str
    claim_index: int


@attrs.frozen(kw_only=True)
class ClaimRefused:
    """Control to entry: the call is not to be run by this claim.

    ``kind`` tells why; ``answer`` is present if the call ran before.
    """

    claim_id: str
    kind: ErrorKind
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class ClaimReplayed:
    """Control to entry: the call ran before; this was its answer."""

    claim_id: str
    answer: StoredAnswer


@attrs.frozen(kw_only=True)
class ResolveClaim:
    """Entry to control: how the claimed call ended.

    Exactly one of: ``answer`` present; ``not_run`` true, when the call
    never left or the last hop confirmed it; neither, outcome unknown.
    ``claim_index`` is 0 if the claim's answer never arrived; with
    ``not_run`` that gives the claim up, also if it arrives later.
    """

    claim_id: str
    claim_index: int
    answer: StoredAnswer | None = None
    not_run: bool = False

    @property
    def request_id(self) -> str:
        """Return the id that pairs it with its answer only."""
        return f'resolve:{self.claim_id}'


@attrs.frozen(kw_only=True)
class ClaimResolved:
    """Control to entry: the resolution is committed."""

    claim_id: str

    @property
    def request_id(self) -> str:
        """Return the id of the request that it answers."""
        return f'resolve:{self.claim_id}'


@attrs.frozen(kw_only=True)
class ResolveUnknownCall:
    """Operator to control: how a call of unknown outcome ended.

    ``answer`` is what repeats of the key get from now on; without one the
    call did not run, and the key may be used again.
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
