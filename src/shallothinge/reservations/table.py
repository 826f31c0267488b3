"""Memory that an agent holds for parts of prompts.

A reservation ends when it is released, when its owner no longer names the
request, or when its owner has been silent for the expiry time.
"""

import attrs

from shallothinge import clock
from shallothinge.reservations import messages


@attrs.define(kw_only=True)
class Reservation:
    """One reservation; ``ends_ms`` moves with the owner's messages.

    ``confirmed`` means that the engine is known to hold it.
    """

    reservation_id: str
    request_id: str
    owner_id: str
    tokens: int
    expiry_ms: int
    ends_ms: int
    confirmed: bool = False


class ReservationTable:
    """The reservations of one agent, by id."""

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._held: dict[str, Reservation] = {}

    @property
    def tokens(self) -> int:
        """Return the tokens of all reservations."""
        return sum(held.tokens for held in self._held.values())

    def ids(self) -> frozenset[str]:
        """Return the ids of all reservations."""
        return frozenset(self._held)

    def all(self) -> tuple[Reservation, ...]:
        """Return all reservations."""
        return tuple(self._held.values())

    def get(self, reservation_id: str) -> Reservation | None:
        """Return a reservation, or None if it is not held."""
        return self._held.get(reservation_id)

    def hold(
        self, *, request: messages.ReserveMemory, owner_id: str
    ) -> Reservation:
        """Take a reservation in; a repeated one is returned as it is."""
        held = self._held.get(request.reservation_id)
        if held is not None:
            return held
        held = Reservation(
            reservation_id=request.reservation_id,
            request_id=request.request_id,
            owner_id=owner_id,
            tokens=request.tokens,
            expiry_ms=request.expiry_ms,
            ends_ms=self._clock.now_ms() + request.expiry_ms,
        )
        self._held[request.reservation_id] = held
        return held

    def release(self, *, reservation_id: str) -> bool:
        """Forget a reservation.

        :returns: whether it was held.
        """
        return self._held.pop(reservation_id, None) is not None

    def extend(self, *, owner_id: str, request_ids: frozenset[str]) -> None:
        """Move the end of the owner's reservations that it still wants.

        A reservation may be newer than the list, so one that is not named
        is left to its expiry.
        """
        now_ms = self._clock.now_ms()
        for held in self._held.values():
            if held.owner_id == owner_id and held.request_id in request_ids:
                held.ends_ms = now_ms + held.expiry_ms

    def of_owner(self, owner_id: str) -> tuple[str, ...]:
        """Return the ids of an owner's reservations."""
        return tuple(
            held.reservation_id
            for held in self._held.values()
            if held.owner_id == owner_id
        )

    def expired(self) -> tuple[str, ...]:
        """Return the ids of the reservations whose time has passed."""
        now_ms = self._clock.now_ms()
        return tuple(
            held.reservation_id
            for held in self._held.values()
            if now_ms >= held.ends_ms
        )

    def clear(self) -> None:
        """Forget all: the engine has restarted and holds nothing."""
        self._held.clear()
