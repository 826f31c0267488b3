"""Messages between an entry and an agent about reserved memory."""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class ReserveMemory:
    """Entry to agent: hold memory for a part of a prompt.

    The reservation ends by itself ``expiry_ms`` after the agent received
    it or its last ``StreamsOwned`` that lists ``request_id``.
    """

    reservation_id: str
    request_id: str
    entry_id: str
    tokens: int
    expiry_ms: int
    state_version: int = 0


@attrs.frozen(kw_only=True)
class MemoryReserved:
    """Agent to entry: the memory is held."""

    reservation_id: str


@attrs.frozen(kw_only=True)
class ReservationRefused:
    """Agent to entry: nothing is held."""

    reservation_id: str
    kind: ErrorKind
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class ReleaseMemory:
    """Entry to agent: end the reservation, if it is held."""

    reservation_id: str


MESSAGES = (
    ReserveMemory,
    MemoryReserved,
    ReservationRefused,
    ReleaseMemory,
)
