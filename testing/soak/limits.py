"""Limits that stand-in backend servers name, and whether they were kept."""

import collections
import pathlib
import random

import attrs

from shallothinge import clock
from shallothinge.server_limits.tests import bounds
from testing.soak import checks
from testing.soak import notices

# When after its first request a server names a limit, and for how long.
FIRST_S = (0.2, 1.0)
STRETCH_S = (15.0, 30.0)
RATES_PER_S = (0.2, 0.4, 1)
# A file with this name ends all limits.
OVER_NAME = 'limits-are-over'
# Gateways that were told this long before are bound.
TOLD_BEFORE_MS = 500


class Schedule:
    """What one life of a server names and when.

    Every other server does, so that no service has limited servers only.

    :param folder: where the file is written that ends all limits.
    """

    def __init__(self, *, name: str, folder: pathlib.Path):
        self._over = folder / OVER_NAME
        rng = random.Random(f'limit {name}')
        # Times are in s after the first request.
        self._steps: list[tuple[float, float | None]] = []
        self._started_ms: int | None = None
        if int(name.rpartition('-')[2]) % 2:
            first_s = rng.uniform(*FIRST_S)
            end_s = first_s + rng.uniform(*STRETCH_S)
            self._steps = [
                (first_s, rng.choice(RATES_PER_S)),
                (rng.uniform(first_s, end_s), rng.choice(RATES_PER_S)),
                (end_s, None),
            ]

    def per_s(self, now_ms: int) -> float | None:
        """Return the limit that is named, None if there is none."""
        if self._over.exists():
            return None
        if self._started_ms is None:
            self._started_ms = now_ms
        after_s = (now_ms - self._started_ms) / clock.MS_PER_SECOND
        named = None
        for from_s, per_s in self._steps:
            if from_s <= after_s:
                named = per_s
        return named


@attrs.frozen(kw_only=True)
class Named:
    """An answer that named a limit, and when it was written."""

    server_id: str
    request_id: str
    at_ms: int
    per_s: float


def check(
    *,
    asked: list[checks.Asked],
    named: list[Named],
    arrivals: list[notices.Arrival],
    disturbances: list[tuple[str, int]],
    cuts: list[notices.Cut],
) -> list[str]:
    """Return what is not allowed, in words.

    The requests are counted as the server saw them, over all gateways that
    were told. A gateway that was disturbed shortly before is excused, and a
    server whose connections were held up.
    """
    gateway_by_id = {one.request_id: one.gateway for one in asked}
    named_by_server = collections.defaultdict(list)
    for one in named:
        named_by_server[one.server_id].append(one)
    found = []
    for server_id, statements in named_by_server.items():
        told_ms = {}
        for one in statements:
            gateway = gateway_by_id.get(one.request_id)
            told_ms.setdefault(gateway, one.at_ms)
        counted_ms = sorted(
            arrival.at_ms
            for arrival in arrivals
            if arrival.server_id == server_id
            and _is_bound(
                arrival, gateway_by_id.get(arrival.request_id), told_ms
            )
            and not _is_excused(
                arrival, gateway_by_id[arrival.request_id], disturbances
            )
            and not _is_held_up(arrival, cuts)
        )
        found += _check_windows(server_id, counted_ms, statements)
    return found


def _is_bound(arrival, gateway, told_ms) -> bool:
    since_ms = told_ms.get(gateway)
    return (
        gateway is not None
        and since_ms is not None
        and since_ms <= arrival.at_ms - TOLD_BEFORE_MS
    )


def _is_excused(arrival, gateway, disturbances) -> bool:
    return any(
        name == gateway
        and arrival.at_ms - bounds.BINDING_AFTER_MS <= at_ms <= arrival.at_ms
        for name, at_ms in disturbances
    )


def _is_held_up(arrival, cuts) -> bool:
    name = arrival.server_id.rpartition('-')[0]
    return any(
        cut.name == name
        and cut.from_ms <= arrival.at_ms <= cut.until_ms + notices.RELEASED_MS
        for cut in cuts
    )


def _check_windows(server_id, counted_ms, statements) -> list[str]:
    """Return what exceeds the largest limit that was named around a window."""
    binding_ms = statements[0].at_ms + bounds.BINDING_AFTER_MS
    last_ms = statements[-1].at_ms
    found = []
    for start_ms in counted_ms:
        end_ms = start_ms + bounds.WINDOW_MS
        if start_ms < binding_ms or end_ms > last_ms:
            continue
        most_per_s = _most_named(
            statements, start_ms - bounds.BINDING_AFTER_MS, end_ms
        )
        allowed = bounds.allowed(most_per_s)
        count = sum(start_ms <= at_ms < end_ms for at_ms in counted_ms)
        if count > allowed:
            found.append(
                f'{server_id}: {count} requests in {bounds.WINDOW_MS} ms from '
                f'{start_ms}, allowed {allowed:g} at {most_per_s:g} a second'
            )
    return found[:1]


def _most_named(statements, from_ms, until_ms) -> float:
    """Return the largest limit that was named or held in a time."""
    held = [one for one in statements if one.at_ms <= from_ms][-1:]
    named = [one for one in statements if from_ms < one.at_ms <= until_ms]
    return max(one.per_s for one in held + named)
