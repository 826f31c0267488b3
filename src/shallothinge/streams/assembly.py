"""Assembles the answer of one request from the frames of its attempts.

An attempt is one generation on one backend server. Tokens of two
generations are never joined, except that a later attempt continues from
the prompt plus the tokens that the caller already has.
"""

import attrs

from shallothinge.errors import ErrorKind
from shallothinge.streams import messages


@attrs.frozen(kw_only=True)
class Deliver:
    """Hand these tokens to the caller."""

    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Resume:
    """Ask the current attempt's agent to send again from this offset."""

    next_offset: int


@attrs.frozen(kw_only=True)
class Complete:
    """The caller has the whole answer."""

    finished: messages.StreamFinished


@attrs.frozen(kw_only=True)
class AttemptEnded:
    """The current attempt ended without the answer's end."""

    kind: ErrorKind


Step = Deliver | Resume | Complete | AttemptEnded


class Assembly:
    """Tokens of one request, in order, from its current attempt only."""

    def __init__(self, *, request_id: str):
        self.request_id = request_id
        self.attempt = 0
        self.delivered: list[str] = []
        self._running = False
        self._resume_offset = None

    @property
    def next_offset(self) -> int:
        """Return the offset of the next token that the caller needs."""
        return len(self.delivered)

    @property
    def is_running(self) -> bool:
        """Return whether an attempt is under way."""
        return self._running

    def begin_attempt(self) -> int:
        """Start a new attempt; frames of older ones are dropped from now.

        :returns: the number of the attempt.
        """
        self.attempt += 1
        self._running = True
        self._resume_offset = None
        return self.attempt

    def end_attempt(self) -> None:
        """Drop everything that the current attempt may still send."""
        self._running = False

    def resume(self) -> Resume:
        """Return the step that asks for the next token again."""
        self._resume_offset = self.next_offset
        return Resume(next_offset=self.next_offset)

    def take(self, message: object) -> Step | None:
        """Take one message of the stream.

        :returns: the step that follows, or None if the message is a
            duplicate, belongs to another request or to an older attempt.
        """
        if not self._running or message.request_id != self.request_id:
            return None
        if message.attempt != self.attempt:
            return None
        if isinstance(message, messages.StreamFrame):
            return self._take_frame(message)
        if isinstance(message, messages.StreamFinished):
            return self._take_end(message)
        if isinstance(message, messages.StreamFailed):
            return self._end(message.kind)
        return None

    def _take_frame(self, frame: messages.StreamFrame) -> Step | None:
        if frame.offset > self.next_offset:
            return self._ask_once()
        known = self.next_offset - frame.offset
        repeated = tuple(self.delivered[frame.offset :])[: len(frame.tokens)]
        if frame.tokens[:known] != repeated:
            return self._end(ErrorKind.STREAM_BROKEN)
        fresh = frame.tokens[known:]
        if not fresh:
            return None
        self.delivered.extend(fresh)
        self._resume_offset = None
        return Deliver(tokens=fresh)

    def _take_end(self, finished: messages.StreamFinished) -> Step | None:
        if finished.offset > self.next_offset:
            return self._ask_once()
        if finished.offset < self.next_offset:
            return self._end(ErrorKind.STREAM_BROKEN)
        self._running = False
        return Complete(finished=finished)

    def _ask_once(self) -> Resume | None:
        if self._resume_offset == self.next_offset:
            return None
        return self.resume()

    def _end(self, kind: ErrorKind) -> AttemptEnded:
        self._running = False
        return AttemptEnded(kind=kind)
