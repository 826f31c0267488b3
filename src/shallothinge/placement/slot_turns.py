"""Turns of the gateways to take the free slots of a server.

Gateways learn of each other's requests some milliseconds late. Several of
them may see the same free slot, and if more than one takes it, the other
requests wait at the server until a stream ends. Each server therefore has an
order of the gateways by rendezvous hashing. Where requests wait, a gateway
takes a slot only once those before it have had their turns. A slot that they
do not use is left to all, so none stays free for long.
"""

from collections.abc import Iterable

from shallothinge.routing import subset

# A report reaches the other gateways within about this time, also if their
# processes are busy.
TURN_MS = 10
# Upper bound of the wait for a turn. In a large fleet of gateways, the last of
# the order have their turns together.
MAX_WAIT_MS = 60


class SlotTurns:
    """The position of this gateway in the order of each server.

    :param own_id: id of this gateway, as it is listed.
    """

    def __init__(self, *, own_id: str):
        self._own_id = own_id
        self._gateway_ids: frozenset[str] = frozenset()
        self._positions: dict[str, int] = {}

    def update(
        self, *, gateway_ids: Iterable[str], server_ids: Iterable[str]
    ) -> None:
        """Follow the lists of gateways and servers."""
        changed = frozenset((*gateway_ids, self._own_id))
        if changed != self._gateway_ids:
            self._gateway_ids = changed
            self._positions = {}
        self._positions = {
            server_id: (
                self._positions[server_id]
                if server_id in self._positions
                else self._compute(server_id)
            )
            for server_id in server_ids
        }

    def is_first(self, server_id: str) -> bool:
        """Return whether this gateway comes first at a server."""
        return self._positions.get(server_id) == 0

    def wait_ms(
        self,
        server_id: str,
        *,
        free_slots: int,
        unchanged_ms: int,
        own_start_ms: int,
    ) -> int:
        """Return the time until this gateway may take a slot of a server.

        The first gateways of the order, as many as there are free slots, may
        take one each at once. Each takes a second one only when it knows what
        the others have taken.

        :param unchanged_ms: time since a request of the server has begun or
            ended, as far as it is known.
        :param own_start_ms: time since this gateway has begun one.
        """
        if len(self._gateway_ids) < 2:
            return 0
        later_count = self._positions.get(server_id, 0) - free_slots + 1
        turn_ms = min(MAX_WAIT_MS, max(0, later_count) * TURN_MS)
        return max(0, turn_ms - unchanged_ms, TURN_MS - own_start_ms)

    def _compute(self, server_id: str) -> int:
        """Return how many gateways come before this one."""
        own_hash = self._hash(self._own_id, server_id)
        return sum(
            self._hash(gateway_id, server_id) > own_hash
            for gateway_id in self._gateway_ids
        )

    @staticmethod
    def _hash(gateway_id: str, server_id: str) -> bytes:
        return subset.rendezvous_hash(entry_id=gateway_id, server_id=server_id)
