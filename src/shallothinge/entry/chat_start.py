"""Checks a chat completion and starts it within its allowance."""

import attrs

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge import guard as guards
from shallothinge.bundles import model
from shallothinge.entry import chat_job
from shallothinge.entry import chats
from shallothinge.entry import requests
from shallothinge.entry import spend
from shallothinge.entry import workspaces
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders
from shallothinge.settings.model import AdmissionSettings


@attrs.frozen(kw_only=True)
class ChatServices:
    """What starting a chat completion needs."""

    reactor: object
    clock: clocks.Clock
    holder: holders.LeaseHolder
    chats: chats.ChatService
    spending: spend.Spending
    admission: AdmissionSettings


def build_job(
    *,
    request_id: str,
    workspace: model.WorkspaceSpec,
    terms: requests.Terms,
    parsed: requests.ChatRequest,
    services: ChatServices,
) -> chat_job.ChatJob:
    """Return a chat completion that was checked against the bundle.

    :raises ServingError: if the workspace may not ask for it.
    """
    spec = workspaces.allowed_model(
        name=parsed.model,
        adapter=parsed.adapter,
        workspace=workspace,
        bundle=services.holder.config.bundle,
    )
    tokens = parsed.prompt_tokens + parsed.max_tokens
    if tokens > spec.context_tokens:
        raise errors.ServingError(
            kind=ErrorKind.PROMPT_TOO_LONG,
            detail=(
                f'prompt and answer have {tokens} tokens; '
                f'allowed are {spec.context_tokens}'
            ),
        )
    return chat_job.ChatJob(
        request_id=request_id,
        workspace=workspace,
        spec=spec,
        request=parsed,
        request_class=terms.request_class,
        ends_ms=services.clock.now_ms() + terms.deadline_ms,
        is_long=tokens > services.admission.long_prompt_tokens,
    )


class ChatStart:
    """Starts a chat completion once its tokens are set aside."""

    def __init__(self, *, job, sink, services: ChatServices):
        self._job = job
        self._sink = sink
        self._services = services
        self._run = None
        self._over = False
        self._guard = guards.RequestGuard(
            fields={'request_id': job.request_id},
            fail=self._on_fault,
            abort=self._stop_timer,
        )
        remaining_ms = job.ends_ms - services.clock.now_ms()
        self._timer = services.reactor.callLater(
            max(0, remaining_ms) / 1000, self._deadline_passed
        )

    @guards.guarded
    def begin(self) -> None:
        """Set the request's tokens aside, then start it."""
        self._services.spending.reserve(
            request_id=self._job.request_id,
            workspace=self._job.workspace,
            tokens=self._job.tokens,
            then=self.reserved,
        )

    @guards.guarded
    def reserved(self, refusal: ErrorKind | None) -> None:
        """Go on with the request, or refuse it."""
        if self._over:
            self._give_tokens_back()
        elif refusal is not None:
            self._refuse(refusal)
        else:
            self._run = self._services.chats.submit(
                job=self._job, sink=self._sink
            )
            self._stop_timer()

    def _refuse(self, kind: ErrorKind) -> None:
        self._over = True
        self._stop_timer()
        self._sink.failed(errors.ServingError(kind=kind))

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def _on_fault(self) -> None:
        """Refuse the request after an exception; it was not started."""
        if self._over or self._run is not None:
            return
        run = self._services.chats.runs.get(self._job.request_id)
        kind = ErrorKind.INTERNAL_NOT_RUN
        if run is None:
            self._refuse(kind)
            self._give_tokens_back()
        else:
            self._run = run
            self._stop_timer()
            run.refuse(
                kind, retry_after_ms=errors.ANSWERS[kind].retry_after_ms
            )

    def _give_tokens_back(self) -> None:
        self._services.spending.settle_unused(
            request_id=self._job.request_id,
            workspace=self._job.workspace.name,
        )

    @guards.guarded
    def _deadline_passed(self) -> None:
        self._refuse(ErrorKind.EXPIRED_NOT_RUN)

    @guards.guarded
    def caller_left(self) -> None:
        """Cancel the request."""
        self._over = True
        if self._run is not None:
            self._run.caller_left()
