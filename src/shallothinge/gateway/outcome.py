"""How an attempt to have a request answered failed."""

import attrs

from shallothinge.gateway import model
from shallothinge.gateway.policy import FailureCause


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
