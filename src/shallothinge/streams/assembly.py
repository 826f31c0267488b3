"""Assembles the answer to one request from the frames of its attempts.

An attempt is one generation on one backend server. Tokens of different
generations are never mixed; a later attempt continues from the prompt plus
the tokens already delivered to the caller.
"""

import attrs

from shallothinge.errors import ErrorKind
from shallothinge.streams import messages


@attrs.frozen(kw_only=True)
class Deliver:
    """Deliver these tokens to the caller."""

    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Resume:
    """Ask the agent of the current attempt to resend from this offset."""

    next_offset: int


@attrs.frozen(kw_only=True)
class Complete:
    """The answer is complete and fully delivered to the caller."""

    finished: messages.StreamFinished


@attrs.frozen(kw_only=True)
class AttemptEnded:
    """The current attempt failed before the answer was complete."""

    kind: ErrorKind


Step = Deliver | Resume | Complete | AttemptEnded


class Assembly:
    """Tokens of one request, in order.

    Accepts messages of the current attempt only.
    """

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
        """Return whether an attempt is in progress."""
        return self._running

    def begin_attempt(self) -> int:
        """Start a new attempt; later messages of older ones are ignored.

        :returns: the number of the attempt.
        """
        self.attempt += 1
        self._running = True
        self._resume_offset = None
        return self.attempt

    def end_attempt(self) -> None:
        """End the current attempt and ignore its later messages."""
        self._running = False

    def resume(self) -> Resume:
        """Return the step that asks to resend from the next offset."""
        self._resume_offset = self.next_offset
        return Resume(next_offset=self.next_offset)

    def take(self, message: object) -> Step | None:
        """Process one message of the stream.

        :returns: the step to carry out, or None if there is nothing to do:
            the message is a duplicate, it belongs to another request or
            attempt, no attempt is running, or the missing tokens have
            already been requested.
        """
        if not self._running or message.request_id != self.request_id:
            return None
        if message.attempt != self.attempt:
            return None
        if isinstance(message, messages.StreamFrame):
            return self._process_frame(message)
        if isinstance(message, messages.StreamFinished):
            return self._process_finished(message)
        if isinstance(message, messages.StreamFailed):
            return self._end(message.kind)
        return None

    def _process_frame(self, frame: messages.StreamFrame) -> Step | None:
        if frame.offset > self.next_offset:
            return self._resume_once()
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

    def _process_finished(
        self, finished: messages.StreamFinished
    ) -> Step | None:
        if finished.offset > self.next_offset:
            return self._resume_once()
        if finished.offset < self.next_offset:
            return self._end(ErrorKind.STREAM_BROKEN)
        self._running = False
        return Complete(finished=finished)

    def _resume_once(self) -> Resume | None:
        if self._resume_offset == self.next_offset:
            return None
        return self.resume()

    def _end(self, kind: ErrorKind) -> AttemptEnded:
        self._running = False
        return AttemptEnded(kind=kind)
