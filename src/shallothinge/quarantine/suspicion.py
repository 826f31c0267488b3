"""How strongly crashes speak against one part of prompts, or one request."""

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import chance as chances
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments

# Crashes, apart in time, without a complete answer since the first of them.
# Parts that had complete answers before are less likely to be the cause.
CRASHES_TO_BLAME = 3
CRASHES_TO_BLAME_PROVEN = 6
# Crashes at one moment suffice only after this time, in which resets are
# refuted and sound requests answered.
SAME_MOMENT_WAIT_MS = 1500


@attrs.frozen(kw_only=True)
class Suspicion:
    """How strongly the crashes speak against a part.

    ``crashes`` counts the crashes that are apart from each other, since the
    last complete answer with the part. ``sightings`` are all, by server.
    ``chance`` is how likely it is at them by chance, if late crashes count.
    """

    part_id: str
    crashes: int
    is_proven: bool
    position: int
    sightings: dict[ServerKey, moments.Sighting]
    chance: chances.Assessment | None = None

    @property
    def server_ids(self) -> tuple[str, ...]:
        """Return the servers that crashed."""
        by_time = sorted(
            self.sightings, key=lambda key: self.sightings[key].at_ms
        )
        return tuple(server_id for server_id, _ in by_time)

    @property
    def causes(self) -> tuple[str, ...]:
        """Return what may explain crashes of one moment, by time of crash.

        '' stands for a cause that all crashes of a moment may have.
        """
        by_time = sorted(self.sightings.values(), key=lambda one: one.at_ms)
        return tuple(one.cause for one in by_time)

    @property
    def is_of_request(self) -> bool:
        """Return whether it is the suspicion against one request."""
        return fingerprints.is_fingerprint(self.part_id)

    @property
    def is_enough(self) -> bool:
        """Return whether the part is to be quarantined."""
        return self.crashes >= self.needed

    @property
    def needed(self) -> int:
        """Return how many crashes are enough."""
        if self.is_proven and not self.is_of_request:
            return CRASHES_TO_BLAME_PROVEN
        return CRASHES_TO_BLAME

    def is_enough_before(self, time_ms: int) -> bool:
        """Return whether the crashes up to a time are enough."""
        early = (
            one for one in self.sightings.values() if one.at_ms <= time_ms
        )
        return moments.count_crashes(early) >= self.needed

    def is_settled(self, now_ms: int) -> bool:
        """Return whether nothing is likely to clear the part any more.

        Crashes at one moment say less than crashes in series: the connections
        may have been reset, or the part may be answered elsewhere.
        """
        in_series = (
            moments.Sighting(at_ms=one.at_ms)
            for one in self.sightings.values()
        )
        return moments.count_crashes(
            in_series
        ) >= self.needed or self.is_enough_before(now_ms - SAME_MOMENT_WAIT_MS)

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Return the order of suspects; later parts are the more specific."""
        return len(self.server_ids), not self.is_proven, self.position
