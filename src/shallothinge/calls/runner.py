"""Runs one call to a plain service, at most once unless repeatable.

A call that may not be repeated is claimed in the replicated log before it
is sent, and its outcome is recorded there before the caller is answered,
unless the outcome is unknown or the deadline passes first. The state
machine takes events and returns the actions to perform; it does no input
or output itself.
"""

import enum

import attrs

from shallothinge.calls import messages
from shallothinge.errors import ErrorKind

MAX_REFUSALS = 4


@attrs.frozen(kw_only=True)
class Claim:
    """Request the claim from control, and resend until it answers."""


@attrs.frozen(kw_only=True)
class Send:
    """Send the call to another backend server.

    If there is none, report ``not_sent``.
    """

    attempt: int
    claim_index: int


@attrs.frozen(kw_only=True)
class Resolve:
    """Report the outcome to control, and resend until it is committed."""

    claim_index: int
    answer: messages.StoredAnswer | None = None
    not_run: bool = False


@attrs.frozen(kw_only=True)
class Answer:
    """Send the service's answer to the caller."""

    answer: messages.StoredAnswer


@attrs.frozen(kw_only=True)
class Fail:
    """Send an error to the caller."""

    kind: ErrorKind


Action = Claim | Send | Resolve | Answer | Fail


class Phase(enum.Enum):
    """Progress of a call."""

    NEW = 'new'
    CLAIMING = 'claiming'
    SENT = 'sent'
    RECORDING = 'recording'
    DONE = 'done'


class CallRunner:
    """State machine of one call.

    :param repeatable: whether the call may run more than once.
    :param may_retry: called before a repeatable call is sent again after a
        failure; returns whether it may be.
    """

    def __init__(self, *, repeatable: bool, may_retry=lambda: True):
        self._repeatable = repeatable
        self._may_retry = may_retry
        self._claim_index = 0
        self._refusals = 0
        self._pending_reply: Action | None = None
        self._answered = False
        self._ran = False
        self.attempt = 0
        self.phase = Phase.NEW

    @property
    def answered(self) -> bool:
        """Return whether the caller was answered or has disconnected."""
        return self._answered

    def start(self) -> list[Action]:
        """Send a repeatable call; request the claim for any other."""
        if self._repeatable:
            return self._send()
        self.phase = Phase.CLAIMING
        return [Claim()]

    def claim_answered(self, message: object) -> list[Action]:
        """Handle control's answer to the claim."""
        if self.phase is not Phase.CLAIMING:
            return []
        if isinstance(message, messages.ClaimGranted):
            self._claim_index = message.claim_index
            if self._answered:
                return self._record_not_run()
            return self._send()
        self.phase = Phase.DONE
        if message.answer is not None:
            return self._reply(Answer(answer=message.answer))
        return self._reply(Fail(kind=message.kind))

    def not_sent(self, kind: ErrorKind) -> list[Action]:
        """Handle that the call was not sent and no server can take it.

        :param kind: reason that the caller gets.
        """
        if self.phase is not Phase.SENT:
            return []
        return self._end_not_run(kind)

    def refused(self, *, attempt: int, kind: ErrorKind) -> list[Action]:
        """Handle the last hop's confirmation that the call did not run."""
        if self.phase is not Phase.SENT or attempt != self.attempt:
            return []
        self._refusals += 1
        if self._answered or self._refusals >= MAX_REFUSALS:
            return self._end_not_run(kind)
        return self._send()

    def succeeded(
        self, *, attempt: int, answer: messages.StoredAnswer
    ) -> list[Action]:
        """Handle the service's answer."""
        if self.phase is not Phase.SENT or attempt != self.attempt:
            return []
        self._ran = True
        if self._repeatable:
            self.phase = Phase.DONE
            return self._reply(Answer(answer=answer))
        self.phase = Phase.RECORDING
        self._pending_reply = Answer(answer=answer)
        return [Resolve(claim_index=self._claim_index, answer=answer)]

    def broke(self, *, attempt: int) -> list[Action]:
        """Handle a failure after which it is unknown whether the call ran."""
        if self.phase is not Phase.SENT or attempt != self.attempt:
            return []
        self._ran = True
        if self._repeatable:
            return self._retry()
        self.phase = Phase.RECORDING
        resolve = Resolve(claim_index=self._claim_index)
        return [resolve, *self._reply(Fail(kind=ErrorKind.OUTCOME_UNKNOWN))]

    def resolved(self) -> list[Action]:
        """Handle the commit of the outcome."""
        if self.phase is not Phase.RECORDING:
            return []
        self.phase = Phase.DONE
        if self._pending_reply is None:
            return []
        return self._reply(self._pending_reply)

    def deadline_passed(self) -> list[Action]:
        """Answer the caller at once; recording the outcome continues."""
        if self._answered:
            return []
        if self.phase is Phase.SENT and not self._repeatable:
            return self.broke(attempt=self.attempt)
        if self.phase is Phase.SENT:
            self.phase = Phase.DONE
            return self._reply(Fail(kind=ErrorKind.DEADLINE_EXCEEDED))
        if self._ran:
            return self._reply(Fail(kind=ErrorKind.DEADLINE_EXCEEDED))
        return self._reply(Fail(kind=ErrorKind.EXPIRED_NOT_RUN))

    def caller_left(self) -> None:
        """Handle the caller's disconnection; no answer is sent any more."""
        self._answered = True

    def _send(self) -> list[Action]:
        self.phase = Phase.SENT
        self.attempt += 1
        return [Send(attempt=self.attempt, claim_index=self._claim_index)]

    def _retry(self) -> list[Action]:
        if not self._answered and self._may_retry():
            return self._send()
        self.phase = Phase.DONE
        return self._reply(Fail(kind=ErrorKind.BACKEND_FAILED))

    def _end_not_run(self, kind: ErrorKind) -> list[Action]:
        if self._repeatable:
            self.phase = Phase.DONE
            known = ErrorKind.BACKEND_FAILED if self._ran else kind
            return self._reply(Fail(kind=known))
        self._pending_reply = Fail(kind=kind)
        return self._record_not_run()

    def _record_not_run(self) -> list[Action]:
        self.phase = Phase.RECORDING
        return [Resolve(claim_index=self._claim_index, not_run=True)]

    def _reply(self, action: Action) -> list[Action]:
        if self._answered:
            return []
        self._answered = True
        return [action]
