"""Reserves memory on several backend servers, all or nothing.

Parts are reserved one at a time in ascending order of server ids. A plan
that waits for a part therefore holds only parts on servers with lower ids,
so two prompts can not deadlock. The wait is bounded; when it times out,
all parts are released.
"""

from collections.abc import Iterable

import attrs

from shallothinge import clock as clocks
from shallothinge.errors import ErrorKind

USABLE_PERCENT = 90
PERCENT = 100
MIN_PART_TOKENS = 1024
RETRY_INTERVAL_MS = 100
ANSWER_TIMEOUT_MS = 3000


@attrs.frozen(kw_only=True)
class Room:
    """Memory that is available to a prompt on a backend server.

    ``free_tokens`` is an estimate; ``url`` is the engine's address.
    """

    server_id: str
    url: str
    free_tokens: int


@attrs.frozen(kw_only=True)
class Part:
    """One backend server's share of a prompt."""

    server_id: str
    url: str
    reservation_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Reserve:
    """Request a part from an agent."""

    part: Part


@attrs.frozen(kw_only=True)
class Release:
    """Tell an agent to release a part, whether it is reserved or not."""

    part: Part


@attrs.frozen(kw_only=True)
class Ready:
    """Every part is reserved."""

    parts: tuple[Part, ...]


@attrs.frozen(kw_only=True)
class Failed:
    """The plan has failed; its parts are released before this action."""

    kind: ErrorKind


Action = Reserve | Release | Ready | Failed


def usable_tokens(free_tokens: int) -> int:
    """Return how many of a server's free tokens one request may use."""
    return free_tokens * USABLE_PERCENT // PERCENT


def choose_parts(
    *, rooms: Iterable[Room], tokens: int, plan_id: str
) -> tuple[Part, ...]:
    """Return the fewest parts that fit a prompt, by ascending server id.

    :param tokens: tokens of prompt and answer.
    :param plan_id: prefix that makes the reservation ids unique.
    :returns: empty if there is not enough memory.
    """
    left_tokens = tokens
    shares = []
    for room in sorted(rooms, key=lambda each: -each.free_tokens):
        room_tokens = usable_tokens(room.free_tokens)
        if left_tokens <= 0 or room_tokens < MIN_PART_TOKENS:
            break
        shares.append((room, min(room_tokens, left_tokens)))
        left_tokens -= room_tokens
    if left_tokens > 0:
        return ()
    shares.sort(key=lambda share: share[0].server_id)
    return tuple(
        Part(
            server_id=room.server_id,
            url=room.url,
            reservation_id=f'{plan_id}.{number}',
            tokens=share_tokens,
        )
        for number, (room, share_tokens) in enumerate(shares)
    )


class ReservationPlan:
    """State machine that reserves the parts of one prompt.

    :param parts: in ascending order of server ids.
    :param patience_ms: how long to wait for memory on a server that has too
        little, while the parts before it stay reserved.
    :raises ValueError: if the server ids do not ascend strictly.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        parts: tuple[Part, ...],
        patience_ms: int,
    ):
        order = [part.server_id for part in parts]
        if order != sorted(set(order)):
            raise ValueError(
                'parts must be in strictly ascending order of server ids'
            )
        self._clock = clock
        self._parts = parts
        self._patience_ms = patience_ms
        self._next_part = 0
        self._request_sent_ms = None
        self._wait_started_ms = None
        self._retry_at_ms = None
        self._requested = []
        self._over = False
        self._ready = False

    @property
    def is_ready(self) -> bool:
        """Return whether every part is reserved."""
        return self._ready and not self._over

    @property
    def is_over(self) -> bool:
        """Return whether the plan has ended and its parts were released."""
        return self._over

    def start(self) -> list[Action]:
        """Request the first part."""
        return self._request_part()

    def reserved(self, reservation_id: str) -> list[Action]:
        """Handle an agent's confirmation; request the next part, if any."""
        if not self._awaits(reservation_id):
            return []
        self._next_part += 1
        self._request_sent_ms = None
        self._wait_started_ms = None
        if self._next_part < len(self._parts):
            return self._request_part()
        self._ready = True
        return [Ready(parts=self._parts)]

    def refused(self, reservation_id: str, kind: ErrorKind) -> list[Action]:
        """Handle an agent's refusal: retry later or release all parts."""
        if not self._awaits(reservation_id):
            return []
        now_ms = self._clock.now_ms()
        self._request_sent_ms = None
        if self._wait_started_ms is None:
            self._wait_started_ms = now_ms
        waited_ms = now_ms - self._wait_started_ms
        may_wait = kind in (ErrorKind.MEMORY_FULL, ErrorKind.COLD_LIMIT)
        if may_wait and waited_ms < self._patience_ms:
            self._retry_at_ms = now_ms + RETRY_INTERVAL_MS
            return []
        return self.fail(kind)

    def server_lost(self, server_id: str) -> list[Action]:
        """Release all parts if one was requested from a lost server."""
        if any(part.server_id == server_id for part in self._requested):
            return self.fail(ErrorKind.BACKEND_FAILED)
        return []

    def tick(self) -> list[Action]:
        """Retry a refused part when due; fail if an agent does not answer."""
        if self._over or self._ready:
            return []
        now_ms = self._clock.now_ms()
        if self._retry_at_ms is not None and now_ms >= self._retry_at_ms:
            return self._request_part()
        if self._request_sent_ms is not None:
            if now_ms - self._request_sent_ms >= ANSWER_TIMEOUT_MS:
                return self.fail(ErrorKind.NO_BACKEND_SERVER)
        return []

    def fail(self, kind: ErrorKind) -> list[Action]:
        """Fail the plan and release every part that was requested.

        This includes a part whose answer has not arrived.
        """
        if self._over:
            return []
        return [*self.release(), Failed(kind=kind)]

    def release(self) -> list[Action]:
        """Release every requested part because the prompt has ended."""
        if self._over:
            return []
        self._over = True
        return [Release(part=part) for part in reversed(self._requested)]

    def _awaits(self, reservation_id: str) -> bool:
        if self._over or self._ready or self._request_sent_ms is None:
            return False
        return self._parts[self._next_part].reservation_id == reservation_id

    def _request_part(self) -> list[Action]:
        part = self._parts[self._next_part]
        if part not in self._requested:
            self._requested.append(part)
        self._request_sent_ms = self._clock.now_ms()
        self._retry_at_ms = None
        return [Reserve(part=part)]
