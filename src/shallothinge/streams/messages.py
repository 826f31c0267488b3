"""Messages between an entry and an agent about streams.

A stream is identified by ``request_id`` and ``attempt``; offsets count
generated tokens from the start of the request, including those that
earlier attempts delivered.
"""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of an agent's engine, as the agent knows it.

    ``running`` and ``waiting`` count streams. ``held_tokens`` counts prompt
    and answer tokens held, ``limit_tokens`` is the limit of the agent's
    admission gate, and ``prefill_backlog_tokens`` counts the tokens whose
    prefill is still to be done.
    """

    server_id: str
    running: int = 0
    waiting: int = 0
    held_tokens: int = 0
    limit_tokens: int = 0
    prefill_backlog_tokens: int = 0
    cold: bool = False


@attrs.frozen(kw_only=True)
class SpanPart:
    """One backend server's part of a prompt that spans several servers.

    ``url`` is the engine's address, as in ``BackendServer.engine_url``.
    """

    server_id: str
    reservation_id: str
    tokens: int
    url: str = ''


@attrs.frozen(kw_only=True)
class StartStream:
    """Entry to agent: run a prompt and stream the answer.

    ``prompt`` is the whole prompt; ``delivered`` holds the answer's tokens
    already delivered to the caller; generation continues after them.
    ``deadline_ms`` is the remaining time. ``state_version`` is the version
    of the serving configuration that the entry used.
    """

    request_id: str
    attempt: int
    entry_id: str
    workspace: str
    model: str
    adapter: str = ''
    model_version: str = ''
    prompt: str = ''
    prompt_tokens: int = 0
    delivered: tuple[str, ...] = ()
    max_tokens: int = 256
    priority: int = 0
    deadline_ms: int = 30_000
    state_version: int = 0
    span: tuple[SpanPart, ...] = ()


@attrs.frozen(kw_only=True)
class StreamAccepted:
    """Agent to entry: the admission gate accepted the stream."""

    request_id: str
    attempt: int
    load: LoadReport


@attrs.frozen(kw_only=True)
class StreamRefused:
    """Agent to entry: the stream was not run."""

    request_id: str
    attempt: int
    kind: ErrorKind
    retry_after_ms: int
    load: LoadReport


@attrs.frozen(kw_only=True)
class StreamFrame:
    """Agent to entry: tokens of a stream, starting at ``offset``."""

    request_id: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class FrameBatch:
    """Agent to entry: the frames of several streams in one message."""

    frames: tuple[StreamFrame, ...]


@attrs.frozen(kw_only=True)
class StreamFinished:
    """Agent to entry: the answer is complete and ends at ``offset``."""

    request_id: str
    attempt: int
    offset: int
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    load: LoadReport


@attrs.frozen(kw_only=True)
class StreamFailed:
    """Agent to entry: the stream failed at ``offset``, incomplete."""

    request_id: str
    attempt: int
    offset: int
    kind: ErrorKind
    load: LoadReport


@attrs.frozen(kw_only=True)
class ResumeStream:
    """Entry to agent: resend the stream, starting at ``next_offset``."""

    request_id: str
    attempt: int
    entry_id: str
    next_offset: int


@attrs.frozen(kw_only=True)
class CancelStream:
    """Entry to agent: cancel the stream and release its memory."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class StreamsOwned:
    """Entry to agent: the streams that the entry still needs.

    Sent at regular intervals. The agent cancels this entry's streams that
    are missing from the list, and all of them if the list stops arriving.
    """

    entry_id: str
    request_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AgentStatus:
    """Agent to entry: load, and cache changes since the last status.

    ``sequence`` increases by one with each status. After a gap the entry
    requests a full listing with ``CacheListingRequested``.
    """

    load: LoadReport
    sequence: int = 0
    stopping: bool = False
    cached_added: tuple[str, ...] = ()
    cached_removed: tuple[str, ...] = ()
    full_listing: bool = False


@attrs.frozen(kw_only=True)
class CacheListingRequested:
    """Entry to agent: send a status with the full cache listing."""

    entry_id: str


MESSAGES = (
    StartStream,
    StreamAccepted,
    StreamRefused,
    StreamFrame,
    FrameBatch,
    StreamFinished,
    StreamFailed,
    ResumeStream,
    CancelStream,
    StreamsOwned,
    AgentStatus,
    CacheListingRequested,
)
