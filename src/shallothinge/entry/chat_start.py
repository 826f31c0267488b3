"""Checks a chat completion and starts it within its allowance."""

import attrs

from shallothinge import clock as clocks
from shallothinge import errors
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
        remaining_ms = job.ends_ms - services.clock.now_ms()
        self._timer = services.reactor.callLater(
            max(0, remaining_ms) / 1000, self._deadline_passed
        )

    def begin(self) -> None:
        """Set the request's tokens aside, then start it."""
        self._services.spending.reserve(
            request_id=self._job.request_id,
            workspace=self._job.workspace,
            tokens=self._job.tokens,
            then=self.reserved,
        )

    def reserved(self, refusal: ErrorKind | None) -> None:
        """Go on with the request, or refuse it."""
        if self._timer.active():
            self._timer.cancel()
        if self._over:
            self._give_tokens_back()
        elif refusal is not None:
            self._sink.failed(errors.ServingError(kind=refusal))
        else:
            self._run = self._services.chats.submit(
                job=self._job, sink=self._sink
            )

    def _give_tokens_back(self) -> None:
        self._services.spending.settle_unused(
            request_id=self._job.request_id,
            workspace=self._job.workspace.name,
        )

    def _deadline_passed(self) -> None:
        self._over = True
        error = errors.ServingError(kind=ErrorKind.EXPIRED_NOT_RUN)
        self._sink.failed(error)

    def caller_left(self) -> None:
        """Cancel the request."""
        self._over = True
        if self._run is not None:
            self._run.caller_left()
