"""How many crashes a part of prompts would be at by chance.

Servers that crash for another reason end whatever they run. A part is then at
a crash with the probability that its share of the servers' time gives, and at
most of many crashes only if it has to do with them.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Protocol

import attrs

from shallothinge.membership.model import ServerKey

# Crashes that are less likely by chance speak against a part.
LEAST_PROBABILITY = 2e-4
# Limit on the crashes that are remembered, the newest.
MAX_CRASHES = 256


class ServerGroups(Protocol):
    """Which servers are listed for which services."""

    def find_services(self, server_id: str) -> frozenset[str]:
        """Return the services of a server, none if it is not listed."""

    def list_serving(self, services: frozenset[str]) -> frozenset[ServerKey]:
        """Return the incarnations that are listed for any of some services."""


@attrs.frozen(kw_only=True)
class Run:
    """A request that is in progress at a server since some time."""

    part_ids: tuple[str, ...]
    started_ms: int


@attrs.frozen(kw_only=True)
class _Crash:
    """A crash; ``up`` is how many servers of its services were up until then.

    ``services`` are none if they are not known.
    """

    services: frozenset[str]
    at_ms: int
    up: int


@attrs.define(kw_only=True)
class _Track:
    """For how long servers have run a part since the first crash with it.

    ``services`` are those of the server that crashed. ``ended_ms`` is the
    time of requests of this gateway that have ended, ``live_ms`` that of its
    other requests until the last crash, ``peers_ms`` that of its peers'.
    """

    services: frozenset[str]
    since_ms: int
    ended_ms: int = 0
    live_ms: int = 0
    peers_ms: dict[str, int] = attrs.field(factory=dict)

    @property
    def own_ms(self) -> int:
        """Return the time of requests of this gateway."""
        return self.ended_ms + self.live_ms


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


class ChanceTable:
    """Time of servers with each part, since the first crash with it.

    :param groups: which servers are listed for which services.
    """

    def __init__(self, *, groups: ServerGroups):
        self._groups = groups
        self._tracks: dict[str, _Track] = {}
        self._crashes: dict[ServerKey, _Crash] = {}

    def __len__(self) -> int:
        """Return how many parts are tracked."""
        return len(self._tracks)

    def note_crash(
        self,
        key: ServerKey,
        *,
        at_ms: int,
        is_down: Callable[[ServerKey], bool],
        running: Iterable[Run],
    ) -> None:
        """Count a crash, and the time of what runs.

        :param is_down: whether an incarnation is known to have crashed.
        :param running: requests of this gateway that are in progress.
        """
        services = self._groups.find_services(key[0])
        up = sum(
            one != key and not is_down(one)
            for one in self._groups.list_serving(services)
        )
        self._crashes[key] = _Crash(services=services, at_ms=at_ms, up=up + 1)
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        for track in self._tracks.values():
            track.live_ms = 0
        for run in running:
            for part_id in run.part_ids:
                track = self._tracks.get(part_id)
                if track is not None:
                    track.live_ms += _overlap_ms(track, run, at_ms)

    def remove_crash(self, key: ServerKey) -> None:
        """Drop a crash that was refuted."""
        self._crashes.pop(key, None)

    def note_end(self, run: Run, now_ms: int) -> None:
        """Count the time of a request that ends at its server."""
        for part_id in run.part_ids:
            track = self._tracks.get(part_id)
            if track is not None:
                track.ended_ms += _overlap_ms(track, run, now_ms)

    def start(self, part_ids: Iterable[str], key: ServerKey) -> None:
        """Track parts from a crash on, unless they are tracked already."""
        crash = self._crashes.get(key)
        if crash is None:
            return
        for part_id in part_ids:
            if part_id not in self._tracks:
                self._tracks[part_id] = _Track(
                    services=crash.services, since_ms=crash.at_ms
                )

    def forget(self, part_ids: Iterable[str]) -> None:
        """Stop tracking parts, as they were answered."""
        for part_id in part_ids:
            self._tracks.pop(part_id, None)

    def keep_if(self, is_kept: Callable[[str], bool]) -> None:
        """Stop tracking other parts than some."""
        self.forget([one for one in self._tracks if not is_kept(one)])

    def is_unlikely(self, part_id: str, crashes: int) -> bool:
        """Return whether a part is at too many crashes for chance.

        The first of them says nothing: each part is tracked from one on.
        """
        track = self._tracks.get(part_id)
        if track is None:
            return False
        found = [
            one
            for one in self._crashes.values()
            if one.at_ms > track.since_ms
            and (
                one.services == track.services
                or not one.services.isdisjoint(track.services)
            )
        ]
        if not found:
            return False
        servers_ms = (found[-1].at_ms - track.since_ms) * (
            sum(one.up for one in found) / len(found)
        )
        used_ms = track.own_ms + sum(track.peers_ms.values())
        return (
            probability_of(
                crashes - 1,
                of=max(crashes - 1, len(found)),
                share=min(1.0, used_ms / servers_ms),
            )
            <= LEAST_PROBABILITY
        )

    def to_report(
        self, is_wanted: Callable[[str], bool]
    ) -> tuple[tuple[str, int], ...]:
        """Return parts with the time of this gateway's requests, in ms."""
        return tuple(
            (part_id, track.own_ms)
            for part_id, track in self._tracks.items()
            if track.own_ms and is_wanted(part_id)
        )

    def apply_report(self, part_id: str, used_ms: int, peer: str) -> None:
        """Note the time of a peer's requests."""
        track = self._tracks.get(part_id)
        if track is not None:
            track.peers_ms[peer] = used_ms


def _overlap_ms(track: _Track, run: Run, now_ms: int) -> int:
    return max(0, now_ms - max(run.started_ms, track.since_ms))
