"""Finds out whether the zones of servers that crashed were lost with them."""

import math

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import moments

# Data of neighbours tells for so long that a zone was not lost; its servers
# may start again later.
ZONE_WATCH_MS = 3000


class ZoneWatch:
    """Crashes whose zones may still be shown to be alive.

    :param places: where servers run, as they are listed.
    """

    def __init__(self, *, places: moments.ServerPlaces):
        self._places = places
        self._watched: dict[ServerKey, crash_table.Crash] = {}
        # What was listed in a zone when servers last crashed there.
        self._listed: dict[str, tuple[float, frozenset[ServerKey]]] = {}

    @property
    def is_watching(self) -> bool:
        """Return whether data of servers may tell something."""
        return bool(self._watched)

    def watch(
        self, key: ServerKey, crash: crash_table.Crash, *, at_ms: int
    ) -> None:
        """Note where a server crashed and which others may show its zone."""
        place = self._places.find_place(key[0])
        if place is None:
            return
        listed_ms, neighbours = self._listed.get(
            place.zone, (-math.inf, frozenset())
        )
        # As the moment began: what starts again after it is no neighbour.
        if at_ms > listed_ms + moments.SAME_MOMENT_MS:
            neighbours = self._places.list_zone(place.zone)
            self._listed[place.zone] = (at_ms, neighbours)
        crash.place = place
        crash.neighbours = neighbours
        self._watched[key] = crash

    def record_alive(self, key: ServerKey, now_ms: int) -> list[ServerKey]:
        """Record data from a server that has not crashed.

        :returns: crashes of neighbours, whose zone was thus not lost.
        """
        found = []
        for crashed, crash in list(self._watched.items()):
            if not crash.closes or now_ms > crash.last_ms + ZONE_WATCH_MS:
                del self._watched[crashed]
            elif (
                key in crash.neighbours
                and now_ms >= crash.last_ms + crash_table.IN_FLIGHT_MS
            ):
                found.append(crashed)
                self.record_live_zone(crashed, crash)
        return found

    def record_live_zone(
        self, key: ServerKey, crash: crash_table.Crash
    ) -> None:
        """Record that the zone of a server that crashed was not lost."""
        self._watched.pop(key, None)
        crash.has_live_zone = True
