"""Admits work to the backend server, whichever entry it comes from.

Entries route on load reports that are late, and many of them at once; only
this process sees all the work that one backend server has been given.
"""

import attrs

from shallothinge.agent import coldlimit
from shallothinge.errors import ErrorKind

SHORT_TOKENS = 8000
SHORT_RESERVE_PERCENT = 10
LONG_PERCENT = 25
LONG_SHARE_PERCENT = 60


@attrs.frozen(kw_only=True)
class Work:
    """Work to admit: ``tokens`` of prompt and answer to be held."""

    tokens: int


@attrs.frozen(kw_only=True)
class Admitted:
    """The work may begin and counts until it is released."""


@attrs.frozen(kw_only=True)
class Refused:
    """The work may not begin now."""

    kind: ErrorKind


class Gate:
    """Work under way at one backend server, within its limits.

    A part of the limit is kept for short work, and long prompts together
    get a bounded share, so that short work does not wait for long prompts.

    :param memory_tokens: the backend server's memory, in tokens; 0 for a
        plain service, whose work has no tokens.
    """

    def __init__(self, *, limit: coldlimit.ColdLimit, memory_tokens: int):
        self._limit = limit
        self._memory_tokens = memory_tokens
        self._work: dict[object, Work] = {}
        self._reserved_tokens = 0
        self._held_tokens = 0
        self._long_tokens = 0

    @property
    def streams(self) -> int:
        """Return how many pieces of work are under way."""
        return len(self._work)

    @property
    def held_tokens(self) -> int:
        """Return the tokens of work under way and of reservations."""
        return self._held_tokens + self._reserved_tokens

    @property
    def limit_tokens(self) -> int:
        """Return the present limit, in tokens."""
        return self._limit.tokens

    def admit(
        self, *, key: object, work: Work, careful: bool = False
    ) -> Admitted | Refused:
        """Decide on work; what is admitted counts until released.

        :param careful: whether the engine may have turned cold just now,
            so that only what a cold one carries is admitted.
        """
        refusal = self._refusal(work)
        cold_tokens = self._limit.cold_tokens
        if careful and self.held_tokens + work.tokens > cold_tokens:
            refusal = ErrorKind.COLD_LIMIT
        if refusal is not None:
            return Refused(kind=refusal)
        self.hold(key=key, work=work)
        return Admitted()

    def hold(self, *, key: object, work: Work) -> None:
        """Count work that the backend server has, allowed or not."""
        self._work[key] = work
        self._held_tokens += work.tokens
        if self._is_long(work.tokens):
            self._long_tokens += work.tokens

    def release(self, *, key: object) -> Work:
        """Take work off the count.

        :returns: the work, or empty work if it was not counted.
        """
        work = self._work.pop(key, None)
        if work is None:
            return Work(tokens=0)
        self._held_tokens -= work.tokens
        if self._is_long(work.tokens):
            self._long_tokens -= work.tokens
        return work

    def may_reserve(self, *, tokens: int) -> Admitted | Refused:
        """Decide whether memory may be reserved; it is not counted yet."""
        if self.held_tokens + tokens <= self._limit.tokens:
            return Admitted()
        if tokens > self._limit.tokens and not self._limit.is_full:
            return Refused(kind=ErrorKind.COLD_LIMIT)
        return Refused(kind=ErrorKind.MEMORY_FULL)

    def set_reserved(self, *, tokens: int) -> None:
        """Set the tokens that reservations hold altogether."""
        self._reserved_tokens = tokens

    def _refusal(self, work: Work) -> ErrorKind | None:
        if not self._stream_fits(work):
            return self._kind(full=ErrorKind.OVERLOADED)
        if not self._tokens_fit(work):
            return self._kind(full=ErrorKind.MEMORY_FULL)
        if self._is_long(work.tokens) and not self._long_fits(work):
            return ErrorKind.OVERLOADED
        return None

    def _kind(self, *, full: ErrorKind) -> ErrorKind:
        return full if self._limit.is_full else ErrorKind.COLD_LIMIT

    def _stream_fits(self, work: Work) -> bool:
        streams = self._limit.streams
        if not self._is_short(work) and streams > 1:
            streams -= max(1, streams * SHORT_RESERVE_PERCENT // 100)
        return len(self._work) < streams

    def _tokens_fit(self, work: Work) -> bool:
        limit = self._limit.tokens
        beside_reserve = limit * (100 - SHORT_RESERVE_PERCENT) // 100
        fits_beside = work.tokens <= beside_reserve
        if not self._is_short(work) and fits_beside:
            limit = beside_reserve
        return self.held_tokens + work.tokens <= limit

    def _long_fits(self, work: Work) -> bool:
        if self._long_tokens == 0:
            return True
        share = self._memory_tokens * LONG_SHARE_PERCENT // 100
        return self._long_tokens + work.tokens <= share

    def _is_short(self, work: Work) -> bool:
        return work.tokens <= min(SHORT_TOKENS, self._limit.tokens // 2)

    def _is_long(self, tokens: int) -> bool:
        return tokens > self._memory_tokens * LONG_PERCENT // 100 > 0
