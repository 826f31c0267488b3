"""Reserves memory on several backend servers, all or nothing.

Parts are reserved one at a time in ascending order of server ids. Whoever
waits for a part therefore holds only parts of lower servers, so that two
prompts can not wait for each other in a circle. Waiting is bounded; after
it everything is released.
"""

from collections.abc import Iterable

import attrs

from shallothinge import clock as clocks
from shallothinge.errors import ErrorKind

USABLE_PERCENT = 90
PERCENT = 100
MIN_PART_TOKENS = 1024
ASK_AGAIN_MS = 100
ANSWER_MS = 3000


@attrs.frozen(kw_only=True)
class Room:
    """Memory that a backend server may give to a prompt.

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
    """Ask an agent for a part."""

    part: Part


@attrs.frozen(kw_only=True)
class Release:
    """Tell an agent that a part is not wanted, whether it is held or not."""

    part: Part


@attrs.frozen(kw_only=True)
class Ready:
    """Every part is held."""

    parts: tuple[Part, ...]


@attrs.frozen(kw_only=True)
class GiveUp:
    """Nothing is held any more."""

    kind: ErrorKind


Action = Reserve | Release | Ready | GiveUp


def usable(free_tokens: int) -> int:
    """Return how much of a server's memory one request may fill."""
    return free_tokens * USABLE_PERCENT // PERCENT


def choose_parts(
    *, rooms: Iterable[Room], tokens: int, plan_id: str
) -> tuple[Part, ...]:
    """Return the fewest parts that hold a prompt, by ascending server id.

    :param tokens: tokens of prompt and answer.
    :param plan_id: makes the ids of the reservations unique.
    :returns: empty if there is not enough room.
    """
    left_tokens = tokens
    shares = []
    for room in sorted(rooms, key=lambda each: -each.free_tokens):
        room_tokens = usable(room.free_tokens)
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
    :param patience_ms: for how long to wait at a server that has no room,
        while holding the parts before it.
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
            raise ValueError('parts must ascend by server id')
        self._clock = clock
        self._parts = parts
        self._patience_ms = patience_ms
        self._next = 0
        self._asked_ms = None
        self._waiting_from_ms = None
        self._ask_at_ms = None
        self._touched = []
        self._over = False
        self._ready = False

    @property
    def is_ready(self) -> bool:
        """Return whether every part is held."""
        return self._ready and not self._over

    @property
    def is_over(self) -> bool:
        """Return whether everything has been released."""
        return self._over

    def start(self) -> list[Action]:
        """Ask for the first part."""
        return self._ask()

    def reserved(self, reservation_id: str) -> list[Action]:
        """Take an agent's confirmation and go on."""
        if not self._awaits(reservation_id):
            return []
        self._next += 1
        self._asked_ms = None
        self._waiting_from_ms = None
        if self._next < len(self._parts):
            return self._ask()
        self._ready = True
        return [Ready(parts=self._parts)]

    def refused(self, reservation_id: str, kind: ErrorKind) -> list[Action]:
        """Take an agent's refusal: wait there, or release everything."""
        if not self._awaits(reservation_id):
            return []
        now_ms = self._clock.now_ms()
        self._asked_ms = None
        if self._waiting_from_ms is None:
            self._waiting_from_ms = now_ms
        waited_ms = now_ms - self._waiting_from_ms
        may_wait = kind in (ErrorKind.MEMORY_FULL, ErrorKind.COLD_LIMIT)
        if may_wait and waited_ms < self._patience_ms:
            self._ask_at_ms = now_ms + ASK_AGAIN_MS
            return []
        return self.give_up(kind)

    def server_lost(self, server_id: str) -> list[Action]:
        """Release everything if a part is on a server that is gone."""
        if any(part.server_id == server_id for part in self._touched):
            return self.give_up(ErrorKind.BACKEND_FAILED)
        return []

    def tick(self) -> list[Action]:
        """Ask again when it is time; give up on an agent that is silent."""
        if self._over or self._ready:
            return []
        now_ms = self._clock.now_ms()
        if self._ask_at_ms is not None and now_ms >= self._ask_at_ms:
            return self._ask()
        if self._asked_ms is not None:
            if now_ms - self._asked_ms >= ANSWER_MS:
                return self.give_up(ErrorKind.NO_BACKEND_SERVER)
        return []

    def give_up(self, kind: ErrorKind) -> list[Action]:
        """Release every part that was ever asked for.

        A part whose answer is not known is released too.
        """
        if self._over:
            return []
        return [*self.release(), GiveUp(kind=kind)]

    def release(self) -> list[Action]:
        """Release everything; the prompt has ended."""
        if self._over:
            return []
        self._over = True
        return [Release(part=part) for part in reversed(self._touched)]

    def _awaits(self, reservation_id: str) -> bool:
        if self._over or self._ready or self._asked_ms is None:
            return False
        return self._parts[self._next].reservation_id == reservation_id

    def _ask(self) -> list[Action]:
        part = self._parts[self._next]
        if part not in self._touched:
            self._touched.append(part)
        self._asked_ms = self._clock.now_ms()
        self._ask_at_ms = None
        return [Reserve(part=part)]
