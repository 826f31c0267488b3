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


@attrs.frozen(kw_only=True, eq=False)
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


class FirstCrashes(Protocol):
    """The first known crash with each part."""

    def find_first(self, part_id: str) -> tuple[ServerKey, int] | None:
        """Return which incarnation crashed when, None if none is known."""


class ChanceTable:
    """Time of servers with the parts of crashes, since the first crash each.

    Only parts of crashes that are known, and that run again, take room.

    :param groups: which servers are listed for which services.
    :param first_crashes: tells since when the time of a part counts.
    """

    def __init__(self, *, groups: ServerGroups, first_crashes: FirstCrashes):
        self._groups = groups
        self._first_crashes = first_crashes
        self._crashes: dict[ServerKey, _Crash] = {}
        # Of requests of this gateway that have ended, of its others until the
        # last crash, and of its peers'.
        self._ended_ms: dict[str, int] = {}
        self._live_ms: dict[str, int] = {}
        self._peers_ms: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        """Return for how many parts a time is known."""
        return len(self._known_ids)

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
        self._live_ms.clear()
        for run in running:
            self._count(self._live_ms, run, at_ms)

    def remove_crash(self, key: ServerKey) -> None:
        """Drop a crash that was refuted."""
        self._crashes.pop(key, None)

    def note_end(self, run: Run, now_ms: int) -> None:
        """Count the time of a request that ends at its server."""
        self._count(self._ended_ms, run, now_ms)

    def _count(self, used_ms: dict[str, int], run: Run, now_ms: int) -> None:
        for part_id in run.part_ids:
            first = self._first_crashes.find_first(part_id)
            if first is not None:
                since_ms = max(run.started_ms, first[1])
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

    def is_unlikely(self, part_id: str, crashes: int) -> bool:
        """Return whether a part is at too many crashes for chance.

        The first of them says nothing: the time is counted from it on.
        """
        first = self._first_crashes.find_first(part_id)
        if first is None or first[0] not in self._crashes:
            return False
        key, since_ms = first
        services = self._crashes[key].services
        found = [
            one
            for one in self._crashes.values()
            if one.at_ms > since_ms
            and (
                one.services == services
                or not one.services.isdisjoint(services)
            )
        ]
        if not found:
            return False
        servers_ms = (found[-1].at_ms - since_ms) * (
            sum(one.up for one in found) / len(found)
        )
        peers_ms = self._peers_ms.get(part_id, {})
        used_ms = self._own_ms(part_id) + sum(peers_ms.values())
        probability = probability_of(
            crashes - 1,
            of=max(crashes - 1, len(found)),
            share=min(1.0, used_ms / servers_ms),
        )
        return probability <= LEAST_PROBABILITY

    def to_report(
        self, is_wanted: Callable[[str], bool]
    ) -> tuple[tuple[str, int], ...]:
        """Return parts with the time of this gateway's requests, in ms."""
        return tuple(
            (part_id, self._own_ms(part_id))
            for part_id in self._ended_ms.keys() | self._live_ms.keys()
            if is_wanted(part_id)
        )

    def apply_report(self, part_id: str, used_ms: int, peer: str) -> None:
        """Note the time of a peer's requests with a part of a known crash."""
        if self._first_crashes.find_first(part_id) is not None:
            self._peers_ms.setdefault(part_id, {})[peer] = used_ms

    @property
    def _known_ids(self) -> set[str]:
        return {*self._ended_ms, *self._live_ms, *self._peers_ms}

    def _own_ms(self, part_id: str) -> int:
        return self._ended_ms.get(part_id, 0) + self._live_ms.get(part_id, 0)
