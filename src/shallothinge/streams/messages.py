"""Messages between an entry and an agent about one stream.

A stream is identified by ``request_id`` and ``attempt``; offsets count
generated tokens from the start of the request, including those that
earlier attempts delivered.
"""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class LoadReport:
    """What an agent knows about the load of its engine.

    ``running`` and ``waiting`` count streams; token fields count tokens of
    prompt and answer held, of the gate's limit and of prefill still to do.
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
    """One backend server's share of a prompt that spans several.

    ``url`` is the engine's address, as ``BackendServer.engine_url`` has it.
    """

    server_id: str
    reservation_id: str
    tokens: int
    url: str = ''


@attrs.frozen(kw_only=True)
class StartStream:
    """Entry to agent: run a prompt and stream the answer.

    ``prompt`` is the whole prompt; ``delivered`` holds the answer's tokens
    that the caller already has, so that generation continues after them.
    ``deadline_ms`` is the remaining time. ``state_version`` is the version
    of the serving configuration that the entry acted on.
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
    """Agent to entry: the gate let the stream through."""

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
    """Agent to entry: the tokens from ``offset`` on."""

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
    """Agent to entry: the answer ends at ``offset``, whole."""

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
    """Agent to entry: the stream ended at ``offset`` without its end."""

    request_id: str
    attempt: int
    offset: int
    kind: ErrorKind
    load: LoadReport


@attrs.frozen(kw_only=True)
class ResumeStream:
    """Entry to agent: send the stream again from ``next_offset`` on."""

    request_id: str
    attempt: int
    entry_id: str
    next_offset: int


@attrs.frozen(kw_only=True)
class CancelStream:
    """Entry to agent: end the stream and release its memory."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class StreamsOwned:
    """Entry to agent: the streams that the entry still wants.

    Sent regularly; the agent cancels streams of this entry that are
    missing from the list, and all of them when the list stops coming.
    """

    entry_id: str
    request_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AgentStatus:
    """Agent to entry: load and the cache blocks added since the last.

    ``sequence`` grows by one with each status; after a gap the entry asks
    for a fresh listing with ``CacheListingRequested``.
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
