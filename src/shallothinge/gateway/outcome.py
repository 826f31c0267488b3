"""How an attempt to have a request answered failed."""

import attrs

from shallothinge.gateway import model
from shallothinge.gateway.policy import FailureCause
from shallothinge.http1 import client


@attrs.frozen(kw_only=True)
class Outcome:
    """How an attempt failed.

    ``is_disconnect`` is whether the server closed the connection before the
    answer was complete. ``answer`` is the head of the server's refusal to run
    the request or of its own error response, if that is complete and signed.
    ``body`` is the body of the error response. ``fault_address`` or
    ``fault_id`` names the helper that caused the failure, if one did.
    """

    cause: FailureCause
    may_have_run: bool
    was_sent: bool
    is_disconnect: bool = False
    detail: str = ''
    fault_address: str = ''
    fault_id: str = ''
    answer: model.AnswerHead | None = None
    body: bytes = attrs.field(default=b'', repr=False)


def of_no_memory(server_id: str) -> Outcome:
    """Return the outcome if a helper has no memory; nothing was sent."""
    return Outcome(
        cause=FailureCause.NO_MEMORY,
        may_have_run=False,
        was_sent=False,
        detail=f'no memory at {server_id}',
        fault_id=server_id,
    )


def of_server_error(answer: model.AnswerHead, body: bytes) -> Outcome:
    """Return the outcome of a server's complete error response."""
    return Outcome(
        cause=FailureCause.SERVER_ERROR,
        may_have_run=True,
        was_sent=True,
        detail=f'status {answer.status}',
        answer=answer if answer.is_signed else None,
        body=body,
    )


def of_refusal(answer: model.AnswerHead) -> Outcome:
    """Return the outcome if a server states that nothing has run."""
    detail = f'status {answer.status}'
    if answer.fault_address:
        detail += f' for {answer.fault_address}'
    return Outcome(
        cause=FailureCause.REFUSED_UNRUN,
        may_have_run=False,
        was_sent=True,
        detail=detail,
        fault_address=answer.fault_address,
        answer=answer,
    )


def of_failure(failure: client.Failure) -> Outcome:
    """Return the outcome of a connection that failed before the end."""
    return Outcome(
        cause=(
            FailureCause.BROKEN if failure.was_sent else FailureCause.NOT_SENT
        ),
        may_have_run=failure.was_sent,
        was_sent=failure.was_sent,
        is_disconnect=failure.was_sent
        and failure.kind is client.FailureKind.BROKEN,
        detail=f'{failure.kind.value}: {failure.detail}',
    )
