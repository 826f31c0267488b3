"""How many crashes a part of prompts would be at by chance.

Servers that crash for another reason end whatever they run. A part is then at
a crash with the probability that its share of the servers' time gives, and at
most of many crashes only if it has to do with them.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import moments

# Crashes that are less likely by chance speak against a part.
LEAST_PROBABILITY = 2e-4


@attrs.frozen(kw_only=True, eq=False)
class Run:
    """A request that is in progress at a server since some time."""

    part_ids: tuple[str, ...]
    started_ms: int


@attrs.frozen(kw_only=True)
class Assessment:
    """How likely a part is at its crashes by chance.

    It was at ``crashes`` out of ``of``, each without its first one, and in
    progress for a ``share`` of the servers' time.
    """

    part_id: str
    crashes: int
    of: int
    share: float

    @property
    def probability(self) -> float:
        """Return how likely so many crashes, or more, are by chance."""
        return probability_of(self.crashes, of=self.of, share=self.share)

    @property
    def is_unlikely(self) -> bool:
        """Return whether the crashes speak against the part."""
        return self.probability <= LEAST_PROBABILITY


def probability_of(crashes: int, *, of: int, share: float) -> float:
    """Return how likely a part is at so many crashes, or more, by chance.

    :param of: how many crashes there were.
    :param share: part of the servers' time with the part, 0 to 1.
    """
    if crashes <= of * share:
        return 1.0
    return sum(
        math.comb(of, number) * share**number * (1 - share) ** (of - number)
        for number in range(crashes, of + 1)
    )


class ServerTime:
    """Time of servers with the parts of crashes, since the first crash each.

    Only parts of crashes that are known, and that run again, take room.

    :param places: which servers are listed for which services.
    :param crashes: the known crashes.
    """

    def __init__(
        self,
        *,
        places: moments.ServerPlaces,
        crashes: crash_table.CrashTable,
    ):
        self._places = places
        self._crashes = crashes
        # Of requests of this gateway that have ended, of its others until the
        # last crash, and of its peers'.
        self._ended_ms: dict[str, int] = {}
        self._live_ms: dict[str, int] = {}
        self._peers_ms: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        """Return for how many parts a time is known."""
        return len(self._known_ids)

    def note_crash(
        self, key: ServerKey, *, at_ms: int, running: Iterable[Run]
    ) -> None:
        """Note how many servers were up until a crash, and what runs.

        :param key: an incarnation whose crash is known.
        :param running: requests of this gateway that are in progress.
        """
        crash = self._crashes.find(key)
        crash.services = self._places.find_services(key[0])
        crash.servers_up = 1 + sum(
            self._crashes.find(one) is None
            for one in self._places.list_serving(crash.services)
        )
        self._live_ms.clear()
        for run in running:
            self._count(self._live_ms, run, at_ms)

    def note_end(self, run: Run, now_ms: int) -> None:
        """Count the time of a request that ends at its server."""
        self._count(self._ended_ms, run, now_ms)

    def _count(self, used_ms: dict[str, int], run: Run, now_ms: int) -> None:
        for part_id in run.part_ids:
            first_ms = self._crashes.first_ms(part_id)
            if first_ms is not None:
                since_ms = max(run.started_ms, first_ms)
                if now_ms > since_ms:
                    used_ms[part_id] = (
                        used_ms.get(part_id, 0) + now_ms - since_ms
                    )

    def forget(self, part_ids: Iterable[str]) -> None:
        """Drop the time of parts, as they were answered."""
        for part_id in part_ids:
            for known in (self._ended_ms, self._live_ms, self._peers_ms):
                known.pop(part_id, None)

    def keep_if(self, is_kept: Callable[[str], bool]) -> None:
        """Drop the time of other parts than some."""
        self.forget([one for one in self._known_ids if not is_kept(one)])

    def assess(self, part_id: str, crashes: int) -> Assessment:
        """Return how likely a part is at some crashes by chance.

        The first of them says nothing: the time is counted from it on.

        :param part_id: a part of known crashes.
        """
        _, first = next(self._crashes.with_part(part_id))
        since_ms = first.time_of(part_id)
        found = [
            one
            for one in self._crashes.list_since(since_ms)
            if one.shares_service(first)
        ]
        share = 1.0
        if found:
            servers_ms = (max(one.first_ms for one in found) - since_ms) * (
                sum(one.servers_up for one in found) / len(found)
            )
            peers_ms = self._peers_ms.get(part_id, {})
            used_ms = self._own_ms(part_id) + sum(peers_ms.values())
            share = min(1.0, used_ms / servers_ms)
        return Assessment(
            part_id=part_id,
            crashes=crashes - 1,
            of=max(crashes - 1, len(found)),
            share=share,
        )

    def to_report(
        self, is_wanted: Callable[[str], bool]
    ) -> tuple[tuple[str, int], ...]:
        """Return parts with the time of this gateway's requests, in ms."""
        return tuple(
            (part_id, self._own_ms(part_id))
            for part_id in {**self._ended_ms, **self._live_ms}
            if is_wanted(part_id)
        )

    def apply_report(self, part_id: str, used_ms: int, peer: str) -> None:
        """Note the time of a peer's requests with a part of a known crash."""
        if self._crashes.count_with(part_id):
            self._peers_ms.setdefault(part_id, {})[peer] = used_ms

    @property
    def _known_ids(self) -> set[str]:
        return {*self._ended_ms, *self._live_ms, *self._peers_ms}

    def _own_ms(self, part_id: str) -> int:
        return self._ended_ms.get(part_id, 0) + self._live_ms.get(part_id, 0)
