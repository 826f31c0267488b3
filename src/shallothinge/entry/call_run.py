"""Carries out what the state machine of a service call decides."""

from collections.abc import Callable
import logging
import secrets
from typing import Protocol

import attrs

from shallothinge import errors
from shallothinge.calls import messages
from shallothinge.calls import runner
from shallothinge.entry import chat_job
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders
from shallothinge.routing import filters

LOG = logging.getLogger(__name__)

CLAIM_TIMEOUT_MS = 60_000
RESOLVE_TIMEOUT_MS = 60_000
CALL_TOKENS = 1


@attrs.frozen(kw_only=True)
class CallJob:
    """A service call that was checked against the bundle."""

    request_id: str
    workspace: str
    service: str
    repeatable: bool
    method: str
    path: str
    body: bytes
    body_hash: str
    idempotency_key: str
    ends_ms: int


class CallSink(Protocol):
    """The caller's end of a call; gets exactly one of these calls."""

    def answered(self, answer: messages.StoredAnswer) -> None:
        """Take the service's answer."""

    def failed(self, error: errors.ServingError) -> None:
        """Take an error."""


class Asker(Protocol):
    """Sends requests to control; see ``leases.client.ControlClient``."""

    def send_request(self, message: object, *, timeout_ms: int):
        """Return a Deferred of the answer."""


@attrs.frozen(kw_only=True)
class CallEnvironment:
    """What all calls of an entry share."""

    env: chat_job.Environment
    control: Asker
    incarnation: str
    is_closing: Callable[[], bool]

    @property
    def holder(self) -> holders.LeaseHolder:
        """Return the entry's lease."""
        return self.env.holder


class CallRun:
    """One call from its start until its outcome is recorded.

    :param on_done: called when nothing is left to do for the call.
    """

    def __init__(
        self, *, job: CallJob, shared: CallEnvironment, sink, on_done
    ):
        self.job = job
        self.server_id = ''
        self._shared = shared
        self._sink = sink
        self._on_done = on_done
        self._claim_id = secrets.token_hex(16)
        self._tried = set()
        self._done = False
        self._lapses = shared.holder.lapses
        self._runner = runner.CallRunner(
            repeatable=job.repeatable, may_retry=shared.env.budget.take
        )

    @property
    def remaining_ms(self) -> int:
        """Return the time left until the deadline."""
        return self.job.ends_ms - self._shared.env.clock.now_ms()

    def start(self) -> None:
        """Begin."""
        self._perform(self._runner.start())

    def take(self, server_id: str, message: object) -> None:
        """Take the answer of the agent that the call was sent to."""
        if server_id != self.server_id:
            return
        if message.attempt != self._runner.attempt:
            return
        self._leave_server(
            succeeded=_health_shown_by(message),
        )
        if isinstance(message, messages.CallAnswered):
            answer = messages.StoredAnswer(
                status=message.status,
                content_type=message.content_type,
                body=message.body,
            )
            steps = self._runner.succeeded(
                attempt=message.attempt, answer=answer
            )
        elif isinstance(message, messages.CallRefused):
            steps = self._runner.refused(
                attempt=message.attempt, kind=message.kind
            )
        else:
            steps = self._runner.broke(attempt=message.attempt)
        self._perform(steps)

    def broke(self) -> None:
        """Note that the answer can no longer come."""
        self._leave_server(succeeded=False)
        self._perform(self._runner.broke(attempt=self._runner.attempt))

    def watch(self) -> None:
        """Notice an agent that is gone."""
        if not self.server_id:
            return
        if self._shared.env.fleet.is_lost(server_id=self.server_id):
            self.broke()

    def deadline_passed(self) -> None:
        """Answer at once."""
        self._leave_server(succeeded=None)
        self._perform(self._runner.deadline_passed())

    def caller_left(self) -> None:
        """Go on without a caller; the outcome is still recorded."""
        self._runner.caller_left()

    def _perform(self, actions: list[runner.Action]) -> None:
        for action in actions:
            if isinstance(action, runner.Claim):
                self._ask_claim()
            elif isinstance(action, runner.Send):
                self._send(action)
            elif isinstance(action, runner.Resolve):
                self._resolve(action)
            elif isinstance(action, runner.Answer):
                self._sink.answered(action.answer)
            elif isinstance(action, runner.Fail):
                self._sink.failed(errors.ServingError(kind=action.kind))
        if self._runner.phase is runner.Phase.DONE and not self._done:
            self._done = True
            self._on_done(self)

    def _ask_claim(self) -> None:
        job = self.job
        claim = messages.ClaimCall(
            claim_id=self._claim_id,
            workspace=job.workspace,
            service=job.service,
            idempotency_key=job.idempotency_key,
            body_hash=job.body_hash,
            entry_id=self._shared.env.entry_id,
            entry_incarnation=self._shared.incarnation,
        )
        asked = self._shared.control.send_request(
            claim, timeout_ms=CLAIM_TIMEOUT_MS
        )
        asked.addCallbacks(self._take_claim, lambda _: self._claim_again())
        asked.addErrback(self._log_failure)

    def _take_claim(self, answer: object) -> None:
        if isinstance(answer, messages.ClaimReplayed):
            answer = messages.ClaimRefused(
                claim_id=answer.claim_id,
                kind=ErrorKind.KEY_REUSED,
                answer=answer.answer,
            )
        self._perform(self._runner.claim_answered(answer))

    def _claim_again(self) -> None:
        """Ask on: a claim that was granted late must be given back."""
        if not self._shared.is_closing():
            self._ask_claim()

    def _send(self, action: runner.Send) -> None:
        server_id = self._choose()
        if not self._may_act():
            self._perform(self._runner.not_sent(ErrorKind.NO_LEASE))
            return
        if not server_id:
            kind = ErrorKind.NO_BACKEND_SERVER
            self._perform(self._runner.not_sent(kind))
            return
        self._tried.add(server_id)
        self.server_id = server_id
        fleet = self._shared.env.fleet
        fleet.begin(
            server_id=server_id,
            request_id=self.job.request_id,
            tokens=CALL_TOKENS,
        )
        if not fleet.send(server_id=server_id, message=self._call(action)):
            self._leave_server(succeeded=None)
            steps = self._runner.refused(
                attempt=action.attempt, kind=ErrorKind.NO_BACKEND_SERVER
            )
            self._perform(steps)

    def _may_act(self) -> bool:
        """Return whether the lease has been valid since the claim.

        After a lapse control may have ended the claim, and an operator may
        have freed its key.
        """
        holder = self._shared.holder
        lapsed = holder.lapses != self._lapses
        return holder.is_valid() and (self.job.repeatable or not lapsed)

    def _choose(self) -> str:
        need = filters.Requirements(service=self.job.service)
        found = self._shared.env.fleet.candidates(need=need)
        fresh = [name for name in found if name not in self._tried]
        if not fresh:
            return ''
        chosen = self._shared.env.policy.choose(
            candidates=tuple(found[name] for name in fresh),
            tokens=CALL_TOKENS,
        )
        return chosen.server_id

    def _call(self, action: runner.Send) -> messages.CallService:
        job = self.job
        return messages.CallService(
            request_id=job.request_id,
            attempt=action.attempt,
            entry_id=self._shared.env.entry_id,
            workspace=job.workspace,
            service=job.service,
            method=job.method,
            path=job.path,
            body=job.body,
            idempotency_key=job.idempotency_key,
            claim_index=action.claim_index,
            deadline_ms=max(1, self.remaining_ms),
            state_version=self._shared.holder.config.state_version,
        )

    def _leave_server(self, *, succeeded: bool | None) -> None:
        if self.server_id:
            self._shared.env.fleet.end(
                server_id=self.server_id,
                request_id=self.job.request_id,
                succeeded=succeeded,
            )
            self.server_id = ''

    def _resolve(self, action: runner.Resolve) -> None:
        message = messages.ResolveClaim(
            claim_id=self._claim_id,
            claim_index=action.claim_index,
            answer=action.answer,
            not_run=action.not_run,
        )
        asked = self._shared.control.send_request(
            message, timeout_ms=RESOLVE_TIMEOUT_MS
        )
        asked.addCallbacks(
            lambda _: self._perform(self._runner.resolved()),
            lambda _: self._resolve_again(action),
        )
        asked.addErrback(self._log_failure)

    def _resolve_again(self, action: runner.Resolve) -> None:
        if not self._shared.is_closing():
            self._resolve(action)

    def _log_failure(self, failure) -> None:
        LOG.error(
            'a service call met an unexpected fault',
            exc_info=(
                failure.type,
                failure.value,
                failure.getTracebackObject(),
            ),
            extra={'request_id': self.job.request_id},
        )

    def describe(self) -> dict:
        """Return the state of the call, for dumps."""
        return {
            'request_id': self.job.request_id,
            'workspace': self.job.workspace,
            'service': self.job.service,
            'phase': self._runner.phase.value,
            'server_id': self.server_id,
            'attempt': self._runner.attempt,
            'remaining_ms': self.remaining_ms,
        }


def _health_shown_by(message: object) -> bool | None:
    """Return what an agent's answer says about its backend server."""
    if isinstance(message, messages.CallRefused):
        return None
    return isinstance(message, messages.CallAnswered)
