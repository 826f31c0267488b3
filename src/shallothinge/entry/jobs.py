"""Durable long requests: taken, run in the background, fetched by id."""

import hashlib
import json
import logging
import secrets

import attrs

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.admission import classes
from shallothinge.bundles import model
from shallothinge.calls.messages import StoredAnswer
from shallothinge.clock import MS_PER_SECOND
from shallothinge.entry import answers
from shallothinge.entry import chat_job
from shallothinge.entry import chat_start
from shallothinge.entry import requests
from shallothinge.entry import sinks
from shallothinge.errors import ErrorKind
from shallothinge.jobs import messages
from shallothinge.streams import messages as streams

LOG = logging.getLogger(__name__)

ASK_TIMEOUT_MS = 10_000
KEEP_ASKING_MS = 60_000
MAX_RUNNING = 4
MIN_WAIT_MS = 1000
ACCEPTED = 202
JOB_ID_DIGITS = 32
JSON_TEXT = 'application/json'


class JobService:
    """Takes jobs for callers, and runs those that control hands over.

    A job that ran is finished by its claim's number, so that an entry
    whose lease lapsed meanwhile can't overwrite what another one did.
    """

    def __init__(
        self,
        *,
        services: chat_start.ChatServices,
        wall_clock: clocks.Clock,
        control,
        entry_id: str,
        incarnation: str,
    ):
        self._services = services
        self._wall_clock = wall_clock
        self._control = control
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._claiming = False
        self._wait_until_ms = 0
        self._running: dict[str, messages.JobClaimed] = {}
        self.is_closed = False

    @property
    def is_busy(self) -> bool:
        """Return whether a job is run or its end is not stored yet."""
        return bool(self._running)

    def submit(
        self,
        *,
        job: chat_job.ChatJob,
        body: bytes,
        idempotency_key: str,
        response: sinks.Response,
    ) -> None:
        """Store a caller's request and answer with its id."""
        job_id = job.request_id
        if idempotency_key:
            job_id = _derive_id(job.workspace.name, idempotency_key)
        request = messages.SubmitJob(
            request_id=job_id, workspace=job.workspace.name, body=body
        )
        asked = self._control.send_request(request, timeout_ms=ASK_TIMEOUT_MS)
        asked.addCallback(self._submitted, response)
        asked.addErrback(_fail, response)

    def _submitted(self, answer, response: sinks.Response) -> None:
        if isinstance(answer, messages.JobRefused):
            raise errors.ServingError(kind=answer.kind)
        fields = {'id': answer.request_id, 'status': 'queued'}
        response.end_whole(
            status=ACCEPTED,
            content_type=sinks.JSON,
            body=json.dumps(fields).encode(),
        )

    def fetch(
        self, *, job_id: str, workspace: str, response: sinks.Response
    ) -> None:
        """Answer with a job's status, and its answer once it has ended."""
        request = messages.FetchJob(
            request_id=response.request_id, job_id=job_id, workspace=workspace
        )
        asked = self._control.send_request(request, timeout_ms=ASK_TIMEOUT_MS)
        asked.addCallback(self._fetched, job_id, response)
        asked.addErrback(_fail, response)

    def _fetched(self, fetched, job_id, response: sinks.Response) -> None:
        if not fetched.status:
            raise errors.ServingError(
                kind=ErrorKind.NOT_FOUND, detail=f'no job {job_id[:64]}'
            )
        fields = {'id': job_id, 'status': fetched.status}
        if fetched.answer is not None:
            fields['answer'] = json.loads(fetched.answer.body)
        if fetched.kind is not None:
            error = errors.ServingError(kind=fetched.kind)
            fields.update(answers.error_fields(error=error, request_id=job_id))
        response.end_whole(
            status=200,
            content_type=sinks.JSON,
            body=json.dumps(fields).encode(),
        )

    def claim_next(self) -> None:
        """Ask for a job, if this entry can run another one."""
        if self._claiming or len(self._running) >= MAX_RUNNING:
            return
        if self._services.chats.is_stopping:
            return
        if not self._services.holder.is_valid():
            return
        if self._services.clock.now_ms() < self._wait_until_ms:
            return
        self._claiming = True
        self._ask_claim(
            messages.ClaimJob(
                request_id=secrets.token_hex(16),
                entry_id=self._entry_id,
                entry_incarnation=self._incarnation,
            )
        )

    def _ask_claim(self, request: messages.ClaimJob) -> None:
        """Ask until answered: a claim may be granted unheard."""
        asked = self._control.send_request(request, timeout_ms=KEEP_ASKING_MS)
        asked.addCallbacks(
            self._claimed, lambda _: self._ask_claim_again(request)
        )
        asked.addErrback(_log_failure)

    def _ask_claim_again(self, request: messages.ClaimJob) -> None:
        if not self.is_closed:
            self._ask_claim(request)

    def _claimed(self, claimed: messages.JobClaimed) -> None:
        self._claiming = False
        if not claimed.job_id:
            return
        self._running[claimed.request_id] = claimed
        try:
            self._run(claimed)
        except errors.ServingError as error:
            self.failed(claimed, error)
        self.claim_next()

    def _run(self, claimed: messages.JobClaimed) -> None:
        job = chat_start.build_job(
            request_id=claimed.request_id,
            workspace=self._workspace_of(claimed),
            terms=requests.Terms(
                deadline_ms=self._services.admission.max_deadline_ms,
                request_class=classes.RequestClass.BATCH,
            ),
            parsed=requests.parse_chat(claimed.body),
            services=self._services,
        )
        sink = JobSink(
            claimed=claimed,
            model=job.model_key,
            created_s=self._wall_clock.now_ms() // MS_PER_SECOND,
            owner=self,
        )
        start = chat_start.ChatStart(
            job=job, sink=sink, services=self._services
        )
        start.begin()

    def _workspace_of(
        self, claimed: messages.JobClaimed
    ) -> model.WorkspaceSpec:
        bundle = self._services.holder.config.bundle
        for spec in () if bundle is None else bundle.workspaces:
            if spec.name == claimed.workspace:
                return spec
        raise errors.ServingError(kind=ErrorKind.FORBIDDEN)

    def finished(self, claimed: messages.JobClaimed, body: bytes) -> None:
        """Store a job's whole answer."""
        answer = StoredAnswer(status=200, content_type=JSON_TEXT, body=body)
        self._finish(claimed, answer=answer)

    def failed(
        self, claimed: messages.JobClaimed, error: errors.ServingError
    ) -> None:
        """Give a job back, or end it if it can not succeed."""
        wait_ms = max(MIN_WAIT_MS, error.retry_after_ms)
        self._wait_until_ms = self._services.clock.now_ms() + wait_ms
        self._finish(claimed, kind=error.kind)

    def _finish(self, claimed: messages.JobClaimed, **end) -> None:
        request = messages.FinishJob(
            request_id=f'finish:{claimed.request_id}',
            job_id=claimed.job_id,
            claim_index=claimed.claim_index,
            **end,
        )
        self._ask_finish(claimed, request)

    def _ask_finish(self, claimed, request: messages.FinishJob) -> None:
        asked = self._control.send_request(request, timeout_ms=KEEP_ASKING_MS)
        asked.addCallbacks(
            lambda _: self._running.pop(claimed.request_id, None),
            lambda _: self._ask_finish_again(claimed, request),
        )
        asked.addErrback(_log_failure)

    def _ask_finish_again(self, claimed, request) -> None:
        if not self.is_closed:
            self._ask_finish(claimed, request)

    def describe(self) -> list[str]:
        """Return the ids of the jobs that run here, for dumps."""
        return [claimed.job_id for claimed in self._running.values()]


@attrs.define(kw_only=True)
class JobSink:
    """Collects a job's answer."""

    claimed: messages.JobClaimed
    model: str
    created_s: int
    owner: JobService
    parts: list[str] = attrs.field(factory=list)

    def tokens(self, tokens: tuple[str, ...]) -> None:
        """Keep the next tokens."""
        self.parts.extend(tokens)

    def complete(self, finished: streams.StreamFinished) -> None:
        """Store the whole answer."""
        body = answers.whole(
            request_id=self.claimed.job_id,
            model=self.model,
            created_s=self.created_s,
            text=''.join(self.parts),
            finished=finished,
        )
        self.owner.finished(self.claimed, body)

    def failed(self, error: errors.ServingError) -> None:
        """Report the error."""
        self.owner.failed(self.claimed, error)


def _derive_id(workspace: str, idempotency_key: str) -> str:
    """Return the same job id for the same key of a workspace."""
    text = json.dumps([workspace, idempotency_key])
    return hashlib.sha256(text.encode()).hexdigest()[:JOB_ID_DIGITS]


def _fail(failure, response: sinks.Response) -> None:
    if failure.check(errors.ServingError):
        response.fail(failure.value)
        return
    _log_failure(failure)
    response.fail(errors.ServingError(kind=ErrorKind.INTERNAL))


def _log_failure(failure) -> None:
    LOG.error(
        'a durable request met an unexpected fault',
        exc_info=(failure.type, failure.value, failure.getTracebackObject()),
    )
