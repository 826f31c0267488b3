"""Replicated state of durable long requests.

A job is run by one entry at a time. If the entry's lease ends, or the
attempt failed in a way that may pass, the job waits again. Attempts that
were refused and did not run are not counted: a job waits for as long as it
has to. Jobs are model requests: to run one again does no harm but cost.
"""

import enum
import hashlib

import attrs

from shallothinge.calls.messages import StoredAnswer
from shallothinge.errors import ANSWERS
from shallothinge.errors import ErrorKind
from shallothinge.errors import WorkState
from shallothinge.jobs import messages
from shallothinge.leases.messages import Holder

MAX_ATTEMPTS = 10
MAX_STORED_BYTES = 64 * 1024 * 1024
FINAL_KINDS = (
    ErrorKind.BAD_REQUEST,
    ErrorKind.FORBIDDEN,
    ErrorKind.NOT_FOUND,
    ErrorKind.PROMPT_TOO_LONG,
)


class JobStatus(enum.Enum):
    """Where a job stands."""

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'


@attrs.frozen(kw_only=True)
class JobRecord:
    """One job; its body is dropped at its end."""

    job_id: str
    workspace: str
    body_hash: str
    status: JobStatus
    changed_ms: int
    body: bytes = b''
    attempts: int = 0
    claim_id: str = ''
    claim_index: int = 0
    answer: StoredAnswer | None = None
    kind: ErrorKind | None = None

    @property
    def stored_bytes(self) -> int:
        """Return the size of what callers made control store."""
        answer = b'' if self.answer is None else self.answer.body
        return len(self.body) + len(answer)


@attrs.define(kw_only=True)
class Jobs:
    """Jobs by id, least recently changed first.

    ``queued`` holds the ids of those that wait, oldest first; ``running``
    who runs a job.
    """

    by_id: dict[str, JobRecord] = attrs.field(factory=dict)
    queued: dict[str, int] = attrs.field(factory=dict)
    running: dict[str, Holder] = attrs.field(factory=dict)
    stored_bytes: int = 0

    def submit(
        self, *, request: messages.SubmitJob, index: int, now_ms: int
    ) -> messages.JobAccepted | messages.JobRefused:
        """Store a job; the same one may be submitted again.

        :param index: log index of the request.
        """
        body_hash = hashlib.sha256(request.body).hexdigest()
        known = self.by_id.get(request.request_id)
        if known is not None:
            same = (known.workspace, known.body_hash)
            if same == (request.workspace, body_hash):
                return messages.JobAccepted(request_id=request.request_id)
            return _refuse(request, ErrorKind.KEY_REUSED)
        if self.stored_bytes + len(request.body) > MAX_STORED_BYTES:
            return _refuse(request, ErrorKind.OVERLOADED)
        self.queued[request.request_id] = index
        self._store(
            JobRecord(
                job_id=request.request_id,
                workspace=request.workspace,
                body_hash=body_hash,
                status=JobStatus.QUEUED,
                changed_ms=now_ms,
                body=request.body,
            )
        )
        return messages.JobAccepted(request_id=request.request_id)

    def claim(
        self, *, request: messages.ClaimJob, index: int, now_ms: int
    ) -> messages.JobClaimed:
        """Hand the oldest job that waits to an entry."""
        holder = Holder(
            holder_id=request.entry_id, incarnation=request.entry_incarnation
        )
        for job_id, runs in self.running.items():
            record = self.by_id[job_id]
            if runs == holder and record.claim_id == request.request_id:
                return _hand_over(request, record)
        if not self.queued:
            return messages.JobClaimed(request_id=request.request_id)
        job_id = next(iter(self.queued))
        del self.queued[job_id]
        self.running[job_id] = holder
        record = attrs.evolve(
            self.by_id[job_id],
            status=JobStatus.RUNNING,
            attempts=self.by_id[job_id].attempts + 1,
            claim_id=request.request_id,
            claim_index=index,
            changed_ms=now_ms,
        )
        self._store(record)
        return _hand_over(request, record)

    def finish(
        self, *, request: messages.FinishJob, index: int, now_ms: int
    ) -> messages.JobFinished:
        """Take the end of a claim into account; of old claims, nothing."""
        done = messages.JobFinished(request_id=request.request_id)
        record = self.by_id.get(request.job_id)
        if record is None or record.status is not JobStatus.RUNNING:
            return done
        if record.claim_index != request.claim_index:
            return done
        if request.answer is not None:
            self._end(record, now_ms, answer=request.answer)
        elif request.kind in FINAL_KINDS:
            self._end(record, now_ms, kind=request.kind)
        else:
            self._try_again(record, index, now_ms, kind=request.kind)
        return done

    def end_holders(
        self, *, holders: tuple[Holder, ...], index: int, now_ms: int
    ) -> None:
        """Let the jobs wait again whose entries' leases ran out."""
        for job_id, holder in list(self.running.items()):
            if holder in holders:
                self._try_again(
                    self.by_id[job_id],
                    index,
                    now_ms,
                    kind=ErrorKind.BACKEND_FAILED,
                )

    def fetch(self, *, request: messages.FetchJob) -> messages.JobFetched:
        """Return where a workspace's own job stands."""
        record = self.by_id.get(request.job_id)
        if record is None or record.workspace != request.workspace:
            return messages.JobFetched(request_id=request.request_id)
        return messages.JobFetched(
            request_id=request.request_id,
            status=record.status.value,
            answer=record.answer,
            kind=record.kind,
        )

    def has_claim(self, *, claim_id: str) -> bool:
        """Return whether a job runs under a claim."""
        return any(
            self.by_id[job_id].claim_id == claim_id for job_id in self.running
        )

    def has_idle_since(self, *, before_ms: int) -> bool:
        """Return whether ``prune`` would forget a job."""
        for record in self.by_id.values():
            if record.changed_ms >= before_ms:
                return False
            if _is_ended(record):
                return True
        return False

    def prune(self, *, before_ms: int) -> None:
        """Forget jobs that ended before a time."""
        for job_id, record in list(self.by_id.items()):
            if record.changed_ms >= before_ms:
                return
            if _is_ended(record):
                del self.by_id[job_id]
                self.stored_bytes -= record.stored_bytes

    def _try_again(self, record, index, now_ms, *, kind) -> None:
        attempts = record.attempts
        if ANSWERS[kind].work_state is WorkState.NOT_RUN:
            attempts -= 1
        if attempts >= MAX_ATTEMPTS:
            self._end(record, now_ms, kind=kind)
            return
        del self.running[record.job_id]
        self.queued[record.job_id] = index
        self._store(
            attrs.evolve(
                record,
                status=JobStatus.QUEUED,
                attempts=attempts,
                changed_ms=now_ms,
            )
        )

    def _end(self, record, now_ms, *, answer=None, kind=None) -> None:
        del self.running[record.job_id]
        status = JobStatus.FINISHED if kind is None else JobStatus.FAILED
        self._store(
            attrs.evolve(
                record,
                status=status,
                body=b'',
                answer=answer,
                kind=kind,
                changed_ms=now_ms,
            )
        )

    def _store(self, record: JobRecord) -> None:
        """Store a record as the most recently changed one."""
        old = self.by_id.pop(record.job_id, None)
        if old is not None:
            self.stored_bytes -= old.stored_bytes
        self.by_id[record.job_id] = record
        self.stored_bytes += record.stored_bytes


def _is_ended(record: JobRecord) -> bool:
    return record.status in (JobStatus.FINISHED, JobStatus.FAILED)


def _refuse(
    request: messages.SubmitJob, kind: ErrorKind
) -> messages.JobRefused:
    return messages.JobRefused(request_id=request.request_id, kind=kind)


def _hand_over(
    request: messages.ClaimJob, record: JobRecord
) -> messages.JobClaimed:
    return messages.JobClaimed(
        request_id=request.request_id,
        job_id=record.job_id,
        claim_index=record.claim_index,
        workspace=record.workspace,
        body=record.body,
    )
