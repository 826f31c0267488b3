"""Messages between an entry and control about durable long requests."""

import attrs

from shallothinge.calls.messages import StoredAnswer
from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class SubmitJob:
    """Entry to control: store a request of a caller.

    ``request_id`` is the job's id. ``body`` is the caller's JSON.
    """

    request_id: str
    workspace: str
    body: bytes


@attrs.frozen(kw_only=True)
class JobAccepted:
    """Control to entry: the job is stored and will be run."""

    request_id: str


@attrs.frozen(kw_only=True)
class JobRefused:
    """Control to entry: the job is not stored."""

    request_id: str
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class ClaimJob:
    """Entry to control: hand over a job to run."""

    request_id: str
    entry_id: str
    entry_incarnation: str


@attrs.frozen(kw_only=True)
class JobClaimed:
    """Control to entry: the job to run; ``job_id`` is '' if none waits."""

    request_id: str
    job_id: str = ''
    claim_index: int = 0
    workspace: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class FinishJob:
    """Entry to control: how a claimed job ended.

    ``answer`` is present, or ``kind`` tells what failed.
    """

    request_id: str
    job_id: str
    claim_index: int
    answer: StoredAnswer | None = None
    kind: ErrorKind | None = None


@attrs.frozen(kw_only=True)
class JobFinished:
    """Control to entry: the end of the claim is stored."""

    request_id: str


@attrs.frozen(kw_only=True)
class FetchJob:
    """Entry to control: where a workspace's job stands."""

    request_id: str
    job_id: str
    workspace: str


@attrs.frozen(kw_only=True)
class JobFetched:
    """Control to entry: the job's status and its answer or error.

    ``status`` is one of ``JobStatus``, or '' for a job that is not known.
    """

    request_id: str
    status: str = ''
    answer: StoredAnswer | None = None
    kind: ErrorKind | None = None


COMMANDS = (
    SubmitJob,
    JobAccepted,
    JobRefused,
    ClaimJob,
    JobClaimed,
    FinishJob,
    JobFinished,
)
MESSAGES = (*COMMANDS, FetchJob, JobFetched)
