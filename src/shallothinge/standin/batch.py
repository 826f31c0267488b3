"""Continuous batching: who decodes, who is prefilled, who waits."""

import enum

import attrs

from shallothinge import clock
from shallothinge.standin import answers
from shallothinge.standin import memory
from shallothinge.standin import model

FINISHED_KEPT_MS = 30_000


class StreamState(enum.Enum):
    """Where a stream stands."""

    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHED = 'finished'


@attrs.define(kw_only=True, eq=False)
class Stream:
    """One completion in the batch or waiting for it."""

    request: model.CompletionRequest
    answer: answers.Answer
    arrival: int
    prompt_tokens: int
    hashes: tuple[str, ...]
    prefill_left_tokens: int
    state: StreamState = StreamState.WAITING
    cached_tokens: int = 0
    generated: list[str] = attrs.Factory(list)
    finish_reason: str = ''
    finished_ms: int = 0

    @property
    def request_id(self) -> str:
        """Return the caller's id of the stream."""
        return self.request.request_id

    @property
    def owner(self) -> str:
        """Return the name under which the stream holds memory."""
        return f'stream:{self.request.request_id}'

    @property
    def first_offset(self) -> int:
        """Return the offset of the first token generated here."""
        return len(self.request.delivered)

    @property
    def offset(self) -> int:
        """Return the offset after the last token generated."""
        return self.first_offset + len(self.generated)

    @property
    def total_tokens(self) -> int:
        """Return the tokens that prompt and whole answer need."""
        return self.prompt_tokens + self.request.max_tokens

    @property
    def rank(self) -> tuple[int, int]:
        """Return the order of service, lowest first."""
        return (self.request.priority, self.arrival)


@attrs.define(kw_only=True)
class Counters:
    """What happened since the process started, for checks."""

    streams_started: int = 0
    streams_finished: int = 0
    streams_cancelled: int = 0
    streams_failed: int = 0
    refused: int = 0
    max_running: int = 0
    max_running_cold: int = 0
    peak_cold_tokens: int = 0
    peak_held_tokens: int = 0
    falls: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    duplicate_request_ids: int = 0


class Batch:
    """The streams of an engine, and the work that each step gives them.

    :param engine_memory: where streams hold their tokens.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        options: model.EngineOptions,
        engine_memory: memory.Memory,
        counters: Counters,
    ):
        self._clock = clock
        self._options = options
        self._memory = engine_memory
        self._counters = counters
        self.fail_after_tokens = None
        self.streams: dict[str, Stream] = {}

    @property
    def idle(self) -> bool:
        """Return whether a step would find nothing to do."""
        return not self.open_streams()

    @property
    def backlog_tokens(self) -> int:
        """Return the tokens that are still to be prefilled."""
        return sum(
            max(0, stream.prefill_left_tokens)
            for stream in self.streams.values()
        )

    def open_streams(self) -> list[Stream]:
        """Return the streams that wait or run."""
        return [
            stream
            for stream in self.streams.values()
            if stream.state is not StreamState.FINISHED
        ]

    def count(self, state: StreamState) -> int:
        """Return how many streams are in a state."""
        return sum(1 for s in self.streams.values() if s.state is state)

    def add(self, stream: Stream) -> None:
        """Take a stream into the queue, and into the batch if it fits."""
        self.streams[stream.request_id] = stream
        self.admit()

    def remove(self, request_id: str) -> Stream | None:
        """Forget a stream and release its memory."""
        stream = self.streams.pop(request_id, None)
        if stream is not None:
            self._memory.release(stream.owner)
            self.admit()
        return stream

    def fail(self, stream: Stream) -> None:
        """End a stream without an end of its answer."""
        self._counters.streams_failed += 1
        self.streams.pop(stream.request_id, None)
        self._memory.release(stream.owner)

    def _running(self) -> list[Stream]:
        running = [
            stream
            for stream in self.streams.values()
            if stream.state is StreamState.RUNNING
        ]
        return sorted(running, key=lambda stream: stream.rank)

    def admit(self) -> None:
        """Move waiting streams into the batch while they fit."""
        running = self.count(StreamState.RUNNING)
        waiting = [
            stream
            for stream in self.streams.values()
            if stream.state is StreamState.WAITING
        ]
        for stream in sorted(waiting, key=lambda stream: stream.rank):
            if running >= self._options.max_running:
                return
            if not self._hold(stream):
                return
            stream.state = StreamState.RUNNING
            running += 1

    def _hold(self, stream: Stream) -> bool:
        if stream.request.parts:
            return True
        cached = self._memory.hold(
            stream.owner,
            total_tokens=stream.total_tokens,
            hashes=stream.hashes,
        )
        if cached is None:
            return False
        stream.cached_tokens = cached
        stream.prefill_left_tokens -= cached
        return True

    def decode(self) -> int:
        """Generate one token for each stream that is past its prefill.

        :returns: how many tokens were generated.
        """
        ready = [s for s in self._running() if s.prefill_left_tokens <= 0]
        for stream in ready:
            self._generate(stream)
        return len(ready)

    def _generate(self, stream: Stream) -> None:
        if stream.offset >= stream.request.max_tokens:
            self._finish(stream, reason='length')
            return
        stream.generated.append(stream.answer.token(stream.offset))
        self._counters.generated_tokens += 1
        if self.fail_after_tokens is not None:
            if len(stream.generated) >= self.fail_after_tokens:
                self.fail_after_tokens = None
                self.fail(stream)
                return
        if stream.offset >= stream.request.max_tokens:
            self._finish(stream, reason='length')
        elif stream.offset == self._options.answer_tokens:
            self._finish(stream, reason='stop')

    def _finish(self, stream: Stream, *, reason: str) -> None:
        stream.state = StreamState.FINISHED
        stream.finish_reason = reason
        stream.finished_ms = self._clock.now_ms()
        self._memory.release(stream.owner)
        self._counters.streams_finished += 1
        self._counters.prompt_tokens += stream.prompt_tokens
        self._counters.cached_tokens += stream.cached_tokens

    def prefill(self, budget_tokens: int) -> int:
        """Prefill in order of rank, as far as the budget reaches.

        :returns: the tokens that were prefilled.
        """
        left = budget_tokens
        for stream in self._running():
            if left <= 0:
                break
            if stream.prefill_left_tokens <= 0:
                continue
            done = min(left, stream.prefill_left_tokens)
            stream.prefill_left_tokens -= done
            left -= done
            if stream.prefill_left_tokens == 0 and not stream.request.parts:
                self._memory.store(stream.owner, hashes=stream.hashes)
        return max(0, budget_tokens) - max(0, left)

    def forget_finished(self) -> None:
        """Drop streams that finished some time ago."""
        oldest_ms = self._clock.now_ms() - FINISHED_KEPT_MS
        for stream in list(self.streams.values()):
            finished = stream.state is StreamState.FINISHED
            if finished and stream.finished_ms <= oldest_ms:
                del self.streams[stream.request_id]
