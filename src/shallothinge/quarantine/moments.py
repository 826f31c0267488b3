"""Counts crashes, of which several at one moment may have one cause.

A zone or a rack takes its servers at one moment, whatever they ran, and no
others. A request takes those that ran it, in whatever zones they are, and
their neighbours go on. So crashes at one moment count apart only as far as a
common cause outside of the prompts does not explain them.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Protocol

import attrs

from shallothinge.membership.model import ServerKey

# Servers that crash within this time may have one cause.
SAME_MOMENT_MS = 100


@attrs.frozen(kw_only=True)
class Place:
    """Where a server runs; ``host`` is '' if it is not known."""

    zone: str
    host: str = ''


class ServerPlaces(Protocol):
    """Where the listed servers run."""

    def find_place(self, server_id: str) -> Place | None:
        """Return where a server runs, None if it is not listed."""

    def list_zone(self, zone: str) -> frozenset[ServerKey]:
        """Return the incarnations that are listed in a zone."""

    def find_services(self, server_id: str) -> frozenset[str]:
        """Return the services of a server, none if it is not listed."""

    def list_serving(self, services: frozenset[str]) -> frozenset[ServerKey]:
        """Return the incarnations that are listed for any of some services."""


class UnknownPlaces:
    """Places of which none is known, so that a moment counts once."""

    def find_place(self, server_id: str) -> Place | None:
        """Return that it is not known."""
        return None

    def list_zone(self, zone: str) -> frozenset[ServerKey]:
        """Return no incarnations."""
        return frozenset()

    def find_services(self, server_id: str) -> frozenset[str]:
        """Return no services."""
        return frozenset()

    def list_serving(self, services: frozenset[str]) -> frozenset[ServerKey]:
        """Return no incarnations."""
        return frozenset()


@attrs.frozen(kw_only=True)
class Sighting:
    """A crash as evidence against a part.

    ``cause`` is the same for crashes that may have one cause at the servers'
    side if they were at one moment, ``seer`` for those that only one gateway
    saw, which may have lost its connections.
    """

    at_ms: int
    cause: str = ''
    seer: str = ''


def group_moments(times_ms: Iterable[int]) -> Iterator[list[int]]:
    """Yield the times that are at one moment, in order."""
    moment: list[int] = []
    for at_ms in sorted(times_ms):
        if moment and at_ms > moment[0] + SAME_MOMENT_MS:
            yield moment
            moment = []
        moment.append(at_ms)
    if moment:
        yield moment


def count_crashes(sightings: Iterable[Sighting]) -> int:
    """Return how many crashes are apart from each other."""
    found = list(sightings)
    count = 0
    for moment in group_moments({one.at_ms for one in found}):
        there = [one for one in found if one.at_ms in moment]
        count += min(
            len({one.cause for one in there}), len({one.seer for one in there})
        )
    return count
