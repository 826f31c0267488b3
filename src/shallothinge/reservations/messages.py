"""Messages between an entry and an agent about memory reservations."""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class ReserveMemory:
    """Entry to agent: reserve memory for a part of a prompt.

    The reservation expires ``expiry_ms`` after the agent received it, or
    after the last ``StreamsOwned`` message that lists ``request_id``.
    """

    reservation_id: str
    request_id: str
    entry_id: str
    tokens: int
    expiry_ms: int
    state_version: int = 0


@attrs.frozen(kw_only=True)
class MemoryReserved:
    """Agent to entry: the memory is reserved."""

    reservation_id: str


@attrs.frozen(kw_only=True)
class ReservationRefused:
    """Agent to entry: no memory is reserved."""

    reservation_id: str
    kind: ErrorKind
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class ReleaseMemory:
    """Entry to agent: release the reservation, if it exists."""

    reservation_id: str


MESSAGES = (
    ReserveMemory,
    MemoryReserved,
    ReservationRefused,
    ReleaseMemory,
)
