"""Finds what else than a part may explain crashes at one moment."""

import collections
import itertools

import attrs

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import moments
from shallothinge.quarantine import suspicion as suspicions


def tell_apart(
    part_id: str,
    found: dict[ServerKey, crash_table.Crash],
    sightings: dict[ServerKey, moments.Sighting],
    *,
    crashes: crash_table.CrashTable,
    explained_by: frozenset[str],
) -> dict[ServerKey, moments.Sighting]:
    """Return the sightings of a part with the causes that may explain them.

    Where a neighbour went on and no server of the zone crashed without the
    part, the zone was not lost. A rack, which may have been, takes its servers
    whatever they ran. If all crashes of the moment have the part, one lost
    zone does not explain those in others. A gateway that loses its connections
    sees as many closes as it has requests.

    :param found: the crashes that have the part.
    :param crashes: all crashes.
    :param explained_by: parts that are known to crash servers.
    """
    apart = dict(sightings)
    for moment in moments.group_moments(
        {one.at_ms for one in sightings.values()}
    ):
        there = {
            key: crash
            for key, crash in found.items()
            if sightings[key].at_ms in moment
        }
        if len(there) == 1:
            continue
        other_places = {
            one.place
            for one in _unexplained(
                crashes.list_near(moment), explained_by | {part_id}
            )
        }
        lost_zones = {one.zone for one in other_places if one is not None}
        live_zones = {
            one.place.zone
            for one in there.values()
            if one.has_live_zone and one.place is not None
        }
        for key, crash in there.items():
            cause = ''
            if crash.place is None or None in other_places:
                # What cannot be located may have the cause of all others.
                pass
            elif crash.place.zone in live_zones - lost_zones:
                host = crash.place.host
                cause = f'host {host}' if host else f'server {key[0]}'
            elif not other_places:
                cause = f'zone {crash.place.zone}'
            apart[key] = attrs.evolve(
                apart[key], cause=cause, seer=_only_seer(key, crash)
            )
    return apart


def _only_seer(key: ServerKey, crash: crash_table.Crash) -> str:
    """Return the gateway that alone saw a crash, or what no other one has."""
    seers = crash.seers
    return min(seers) if len(seers) == 1 else f'several of {key}'


def _unexplained(
    near: list[crash_table.Crash], explained_by: frozenset[str]
) -> list[crash_table.Crash]:
    """Return the crashes of a moment for which no request is known.

    That is neither some parts nor a request that enough others have.
    """
    others = [one for one in near if not one.has_any(explained_by)]
    counts = collections.Counter(
        itertools.chain.from_iterable(one.request_ids for one in others)
    )
    return [
        one
        for one in others
        if all(
            counts[request_id] < suspicions.CRASHES_TO_BLAME
            for request_id in one.request_ids
        )
    ]
