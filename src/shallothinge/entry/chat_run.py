"""One chat completion from admission to its one final answer."""

import logging
from typing import Protocol

from shallothinge import errors
from shallothinge import guard as guards
from shallothinge.entry import chat_job
from shallothinge.entry import outcomes
from shallothinge.entry import selection
from shallothinge.entry import span as spans
from shallothinge.errors import ErrorKind
from shallothinge.routing import retries
from shallothinge.streams import assembly
from shallothinge.streams import messages

LOG = logging.getLogger(__name__)

ACCEPT_MS = 1500
STALL_MS = 2000
FINAL_REFUSALS = (ErrorKind.BAD_REQUEST, ErrorKind.PROMPT_TOO_LONG)
FINAL_FAILURES = (*FINAL_REFUSALS, ErrorKind.DEADLINE_EXCEEDED)


class Sink(Protocol):
    """The caller's end of one request; gets exactly one final call."""

    def tokens(self, tokens: tuple[str, ...]) -> None:
        """Take the next tokens of the answer."""

    def complete(self, finished: messages.StreamFinished) -> None:
        """End the answer, whole."""

    def failed(self, error: errors.ServingError) -> None:
        """End the request with an error."""


class Owner(Protocol):
    """What a run asks of the queue that started it."""

    def wait_again(self, run: 'ChatRun', *, delay_ms: int) -> None:
        """Let the run wait for another start."""

    def ended(self, run: 'ChatRun') -> None:
        """Forget the run, which has given its final answer."""


class ChatRun:
    """Sends one request to backend servers until it ends.

    :param owner: told when the run must wait or has ended.
    :param sink: the caller's end.
    """

    def __init__(
        self,
        *,
        job: chat_job.ChatJob,
        env: chat_job.Environment,
        owner: Owner,
        sink: Sink,
    ):
        self.job = job
        self.ended = False
        self._is_answered = False
        self._guard = guards.RequestGuard(
            fields={'request_id': job.request_id},
            fail=self._on_fault,
            abort=self._answer_fault,
        )
        self.server_id = ''
        self.assembly = assembly.Assembly(request_id=job.request_id)
        self.may_have_run = False
        self.usage = chat_job.RunUsage()
        self.error_kind: ErrorKind | None = None
        self.first_token_ms: int | None = None
        self._begun_ms = env.clock.now_ms()
        self._env = env
        self._owner = owner
        self._sink = sink
        self._selection = selection.Selection(job=job, env=env)
        self._span: spans.Span | None = None
        self._span_count = 0
        self._failures = 0
        self._accepted = False
        self._heard_ms = 0
        self._is_doubted = False

    @property
    def remaining_ms(self) -> int:
        """Return the time left until the deadline."""
        return self.job.ends_ms - self._env.clock.now_ms()

    @guards.guarded
    def start(self) -> None:
        """Send the request to a backend server, now that its turn came."""
        if self.ended:
            return
        if not self._env.holder.is_valid():
            self._lack_lease()
            return
        candidates = self._selection.candidates()
        if not candidates:
            self._wait(ErrorKind.NO_BACKEND_SERVER)
        elif self._selection.needs_span:
            self._reserve_span()
        else:
            self._send(self._selection.best(candidates))

    def _lack_lease(self) -> None:
        """Refuse what did not run; what may have run waits."""
        if self.may_have_run:
            self._wait(ErrorKind.NO_LEASE)
        else:
            self._fail(ErrorKind.NO_LEASE)

    def _reserve_span(self) -> None:
        self._span_count += 1
        plan_id = f'{self.job.request_id}.{self._span_count}'
        parts = self._selection.parts(plan_id=plan_id)
        if not parts:
            self._wait(ErrorKind.MEMORY_FULL)
            return
        self._span = spans.Span(
            env=self._env,
            owner=self,
            parts=parts,
            plan_id=plan_id,
            failures=self._failures,
        )
        self._span.start()

    @guards.guarded
    def take_reservation(self, message: object) -> None:
        """Take an agent's answer to a reservation of this run."""
        if self._span is not None:
            self._span.take(message)

    def span_ready(self) -> None:
        """Start the stream, now that every part is held."""
        self._send(self._span.first_server_id)

    def span_failed(self, kind: ErrorKind) -> None:
        """Try again later; nothing is held."""
        self._span = None
        if self.assembly.is_running:
            self.may_have_run = True
            self._attempt_failed(ErrorKind.BACKEND_FAILED)
        else:
            self._wait(kind)

    def _release_span(self) -> None:
        span, self._span = self._span, None
        if span is not None:
            span.release()

    def _send(self, server_id: str) -> None:
        attempt = self.assembly.begin_attempt()
        message = self._start_message(attempt)
        self.server_id = server_id
        self._accepted = False
        self._is_doubted = False
        self._heard_ms = self._env.clock.now_ms()
        self._env.fleet.begin(
            server_id=server_id,
            request_id=self.job.request_id,
            tokens=0 if self._span else self.job.tokens,
            priority=self.job.priority,
        )
        if not self._env.fleet.send(server_id=server_id, message=message):
            self._leave_server(succeeded=None)
            self._selection.refused(server_id)
            self._try_next(ErrorKind.NO_BACKEND_SERVER)

    def _start_message(self, attempt: int) -> messages.StartStream:
        job = self.job
        return messages.StartStream(
            request_id=job.request_id,
            attempt=attempt,
            entry_id=self._env.entry_id,
            workspace=job.workspace.name,
            model=job.spec.name,
            model_version=job.spec.version,
            adapter=job.request.adapter,
            prompt=job.request.prompt,
            prompt_tokens=job.request.prompt_tokens,
            delivered=tuple(self.assembly.delivered),
            max_tokens=job.request.max_tokens,
            priority=job.priority,
            deadline_ms=max(1, self.remaining_ms),
            state_version=self._env.holder.config.state_version,
            span=self._span.stream_parts if self._span else (),
        )

    @guards.guarded
    def take(self, server_id: str, message: object) -> None:
        """Take a message of the agent that runs the request."""
        if self.ended or server_id != self.server_id:
            return
        if message.attempt != self.assembly.attempt:
            return
        self._heard_ms = self._env.clock.now_ms()
        self._is_doubted = False
        if isinstance(message, messages.StreamAccepted):
            self._note_accepted()
        elif isinstance(message, messages.StreamRefused):
            self._take_refusal(message)
        else:
            self._note_accepted()
            self._follow(self.assembly.take(message))

    def _note_accepted(self) -> None:
        self._accepted = True
        self.may_have_run = True
        self._selection.forget_refusals()

    def _take_refusal(self, refusal: messages.StreamRefused) -> None:
        """Go to another server, since this one ran nothing."""
        if not self.assembly.is_running or self._accepted:
            return
        self.assembly.end_attempt()
        server_id = self.server_id
        self._leave_server(succeeded=None)
        if refusal.kind in FINAL_REFUSALS:
            self._fail(refusal.kind)
            return
        self._selection.refused(server_id)
        self._try_next(refusal.kind)

    def _try_next(self, kind: ErrorKind) -> None:
        self.assembly.end_attempt()
        if self._selection.may_ask_another:
            self.start()
        else:
            self._wait(kind)

    def _wait(self, kind: ErrorKind) -> None:
        """Wait for another start, unless the deadline comes first."""
        self._failures += 1
        self._selection.forget_refusals()
        delay_ms = retries.delay_ms(failures=self._failures, rng=self._env.rng)
        if not retries.starts_before_deadline(
            delay_ms=delay_ms, remaining_ms=self.remaining_ms
        ):
            self._fail(kind)
            return
        self._owner.wait_again(self, delay_ms=delay_ms)

    def _follow(self, step: assembly.Step | None) -> None:
        if isinstance(step, assembly.Deliver):
            self._note_first_token()
            self._env.fleet.prefilled(
                server_id=self.server_id, request_id=self.job.request_id
            )
            self._sink.tokens(step.tokens)
        elif isinstance(step, assembly.Resume):
            self._send_resume(step)
        elif isinstance(step, assembly.Complete):
            self._complete(step.finished)
        elif isinstance(step, assembly.AttemptEnded):
            self._attempt_failed(step.kind)

    def _note_first_token(self) -> None:
        if self.first_token_ms is None:
            now_ms = self._env.clock.now_ms()
            self.first_token_ms = now_ms - self._begun_ms

    def _complete(self, finished: messages.StreamFinished) -> None:
        self._leave_server(succeeded=True)
        self.usage = chat_job.RunUsage(
            prompt_tokens=finished.prompt_tokens,
            cached_tokens=finished.cached_tokens,
            generated_tokens=finished.offset,
        )
        self._sink.complete(finished)
        self._is_answered = True
        self._end()

    def _attempt_failed(self, kind: ErrorKind) -> None:
        """Continue elsewhere from the prompt and the delivered tokens."""
        self.assembly.end_attempt()
        self._selection.failed(self.server_id)
        self._leave_server(succeeded=False)
        if kind in FINAL_FAILURES:
            self._fail(kind)
        elif not self._env.budget.take():
            self._fail(kind)
        else:
            LOG.info(
                'attempt failed; continuing on another backend server',
                extra=self._log_fields(kind),
            )
            self._wait(kind)

    def _log_fields(self, kind: ErrorKind) -> dict:
        return {
            'request_id': self.job.request_id,
            'workspace': self.job.workspace.name,
            'kind': kind.value,
        }

    def _leave_server(self, *, succeeded: bool | None) -> None:
        self._env.fleet.end(
            server_id=self.server_id,
            request_id=self.job.request_id,
            succeeded=succeeded,
        )
        self.server_id = ''
        self._release_span()

    def _send_resume(self, step: assembly.Resume) -> None:
        message = messages.ResumeStream(
            request_id=self.job.request_id,
            attempt=self.assembly.attempt,
            entry_id=self._env.entry_id,
            next_offset=step.next_offset,
        )
        self._env.fleet.send(server_id=self.server_id, message=message)

    @guards.guarded
    def connection_reset(self) -> None:
        """Ask again for what the replaced connection may have lost."""
        if self.assembly.is_running:
            self._send_resume(self.assembly.resume())

    @guards.guarded
    def watch(self) -> None:
        """Notice an agent that is gone and frames that were lost."""
        if self._span is not None:
            self._span.watch()
        if self.ended or not self.assembly.is_running:
            return
        if self._env.fleet.is_lost(server_id=self.server_id):
            self._doubt_agent()
            return
        silent_ms = self._env.clock.now_ms() - self._heard_ms
        limit_ms = STALL_MS if self._accepted else ACCEPT_MS
        if silent_ms >= limit_ms:
            self._heard_ms = self._env.clock.now_ms()
            self._send_resume(self.assembly.resume())

    def _doubt_agent(self) -> None:
        """Give a silent agent up only if another server can go on."""
        self.may_have_run = True
        self._selection.forget_refusals()
        obstacle = self._takeover_obstacle()
        if not obstacle:
            self._attempt_failed(ErrorKind.BACKEND_FAILED)
        elif not self._is_doubted:
            self._is_doubted = True
            LOG.info(
                'agent is silent; its attempt is kept',
                extra={
                    'request_id': self.job.request_id,
                    'server_id': self.server_id,
                    'no_takeover': obstacle,
                },
            )

    def _takeover_obstacle(self) -> str:
        """Return what keeps other servers from going on, '' if nothing."""
        if not self._env.holder.is_valid():
            return 'lease'
        if not self._env.budget.has_credit:
            return 'budget'
        return '' if self._selection.candidates() else 'servers'

    @guards.guarded
    def deadline_passed(self) -> None:
        """Answer at once and release what the request holds."""
        if self.ended:
            return
        if self._is_unknown_to_servers():
            self._fail(ErrorKind.EXPIRED_NOT_RUN)
        else:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)

    def _is_unknown_to_servers(self) -> bool:
        return not self.may_have_run and not self.assembly.is_running

    @guards.guarded
    def caller_left(self) -> None:
        """Release everything; there is nobody to answer."""
        if not self.ended:
            self._fail(ErrorKind.CANCELLED)

    def describe(self) -> dict:
        """Return the state of the run, for dumps."""
        return {
            'request_id': self.job.request_id,
            'workspace': self.job.workspace.name,
            'model': self.job.model_key,
            'class': self.job.request_class.value,
            'tokens': self.job.tokens,
            'remaining_ms': self.remaining_ms,
            'server_id': self.server_id,
            'attempt': self.assembly.attempt,
            'next_offset': self.assembly.next_offset,
        }

    @guards.guarded
    def refuse(self, kind: ErrorKind, *, retry_after_ms: int) -> None:
        """Answer that the request was not taken."""
        self._end_failed(
            errors.ServingError(kind=kind, retry_after_ms=retry_after_ms)
        )

    def _fail(self, kind: ErrorKind) -> None:
        has_part = self.job.request.stream and self.assembly.delivered
        kind = outcomes.true_kind(
            kind,
            may_have_run=not self._is_unknown_to_servers(),
            has_part=bool(has_part),
        )
        self._cancel_stream()
        self._estimate_usage()
        self._end_failed(errors.ServingError(kind=kind))

    def _end_failed(self, error: errors.ServingError) -> None:
        self.error_kind = error.kind
        self._sink.failed(error)
        self._is_answered = True
        self._end()

    def _on_fault(self) -> None:
        """End the request after an exception in one of its steps."""
        if not self._is_answered:
            kind = ErrorKind.INTERNAL
            if self._is_unknown_to_servers():
                kind = ErrorKind.INTERNAL_NOT_RUN
            self._fail(kind)

    def _answer_fault(self) -> None:
        """Answer and end the request if it could not be failed."""
        if not self._is_answered:
            self._is_answered = True
            self._sink.failed(errors.ServingError(kind=ErrorKind.INTERNAL))
        if not self.ended:
            self._end()
            self._leave_server(succeeded=None)

    def _estimate_usage(self) -> None:
        """Count what a cut answer has used, since no engine reports it."""
        if self.may_have_run:
            self.usage = chat_job.RunUsage(
                prompt_tokens=self.job.request.prompt_tokens,
                generated_tokens=len(self.assembly.delivered),
            )

    def _cancel_stream(self) -> None:
        if not self.server_id:
            return
        message = messages.CancelStream(
            request_id=self.job.request_id, attempt=self.assembly.attempt
        )
        self._env.fleet.send(server_id=self.server_id, message=message)
        self._leave_server(succeeded=None)

    def _end(self) -> None:
        self.ended = True
        self._release_span()
        self.assembly.end_attempt()
        self._owner.ended(self)
