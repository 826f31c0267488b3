"""Memory that an agent reserves for parts of prompts.

A reservation ends when it is released, or when its owner has not listed
its request for the expiry time, either because the owner no longer needs
it or because the owner is silent.
"""

import attrs

from shallothinge import clock
from shallothinge.reservations import messages

# Owners ask for seconds. A reservation whose owner is gone for good must end.
MAX_EXPIRY_MS = 60_000


@attrs.define(kw_only=True)
class Reservation:
    """One reservation.

    ``ends_ms`` is its expiry time, which the owner's messages extend.
    ``confirmed`` means that the engine has confirmed the reservation.
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
        """Return a reservation, or None if there is none with this id."""
        return self._held.get(reservation_id)

    def hold(
        self, *, request: messages.ReserveMemory, owner_id: str
    ) -> Reservation:
        """Add a reservation; a resent request returns the existing one."""
        held = self._held.get(request.reservation_id)
        if held is not None:
            return held
        expiry_ms = min(request.expiry_ms, MAX_EXPIRY_MS)
        held = Reservation(
            reservation_id=request.reservation_id,
            request_id=request.request_id,
            owner_id=owner_id,
            tokens=request.tokens,
            expiry_ms=expiry_ms,
            ends_ms=self._clock.now_ms() + expiry_ms,
        )
        self._held[request.reservation_id] = held
        return held

    def release(self, *, reservation_id: str) -> bool:
        """Remove a reservation.

        :returns: whether it existed.
        """
        return self._held.pop(reservation_id, None) is not None

    def extend(self, *, owner_id: str, request_ids: frozenset[str]) -> None:
        """Extend the owner's reservations for the listed requests.

        A reservation may be newer than the list, so one that is not listed
        is not removed but left to expire.
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
        """Return the ids of the reservations that have expired."""
        now_ms = self._clock.now_ms()
        return tuple(
            held.reservation_id
            for held in self._held.values()
            if now_ms >= held.ends_ms
        )

    def clear(self) -> None:
        """Remove all reservations: the engine restarted and lost them."""
        self._held.clear()
