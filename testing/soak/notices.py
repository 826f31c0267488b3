"""Whether gateways kept to what backend servers said of themselves."""

import collections

import attrs

from testing.soak import checks

# A pause binds this long after it was asked for; that many may still come.
PAUSE_SLACK_MS = 500
MOST_IN_PAUSE = 2
# From the end of a cut to when a server has answered all that was held up.
RELEASED_MS = 500


@attrs.frozen(kw_only=True)
class Notice:
    """An answer that said something of the server itself.

    ``pause_ms`` is how long it wants nothing from that gateway, None if it
    said that it leaves. ``at_ms`` is when the answer was written.
    """

    server_id: str
    request_id: str
    at_ms: int
    pause_ms: int | None


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached a server, whether it ran or not."""

    server_id: str
    request_id: str
    at_ms: int


@attrs.frozen(kw_only=True)
class Cut:
    """Time for which connections to a backend server were disturbed."""

    name: str
    from_ms: int
    until_ms: int


def check(
    *,
    asked: list['checks.Asked'],
    notices: list[Notice],
    arrivals: list[Arrival],
    disturbances: list[tuple[str, int]],
    cuts: list[Cut],
) -> list[str]:
    """Return what is not allowed, in words.

    A gateway that was restarted or paused after it was told is excused, and
    one that an answer may not have reached, or that had answered by then.

    :param disturbances: name of a gateway, and when it was disturbed, in
        Unix milliseconds.
    """
    by_id = {one.request_id: one for one in asked}
    arrived = collections.defaultdict(list)
    for arrival in arrivals:
        one = by_id.get(arrival.request_id)
        if one is not None:
            arrived[arrival.server_id, one.gateway].append((arrival, one))
    found = []
    for notice in notices:
        told = by_id.get(notice.request_id)
        if told is None or _has_ended(notice, told):
            continue
        if _may_be_lost(notice, told, cuts):
            continue
        later = [
            (arrival, one)
            for arrival, one in arrived[notice.server_id, told.gateway]
            if not _is_excused(
                told.gateway, notice.at_ms, arrival.at_ms, disturbances
            )
        ]
        if notice.pause_ms is None:
            found += _check_leaving(notice, later)
        else:
            found += _check_pause(notice, later)
    return found


def _has_ended(notice: Notice, told: 'checks.Asked') -> bool:
    """Return whether a caller had its answer before a server spoke."""
    return told.status is not None and told.ended_ms < notice.at_ms


def _may_be_lost(notice: Notice, told: checks.Asked, cuts) -> bool:
    """Return whether a gateway may not have got an answer.

    A request that a relay held up reaches its server once the relay passes
    on again, and may be given up by then.
    """
    name = notice.server_id.rpartition('-')[0]
    return any(
        cut.name == name
        and told.sent_ms <= cut.until_ms
        and cut.from_ms <= notice.at_ms <= cut.until_ms + RELEASED_MS
        for cut in cuts
    )


def _is_excused(gateway, from_ms, until_ms, disturbances) -> bool:
    # A fault that is still going on when the answer comes counts, too.
    return any(
        name == gateway and from_ms - checks.DRAIN_MS <= at_ms <= until_ms
        for name, at_ms in disturbances
    )


def _check_leaving(notice: Notice, later) -> list[str]:
    return [
        f'{one.request_id}: sent {one.sent_ms - notice.at_ms} ms after '
        f'{notice.server_id} had told {one.gateway} that it leaves'
        for _, one in later
        if one.sent_ms > notice.at_ms + checks.DRAIN_MS
    ]


def _check_pause(notice: Notice, later) -> list[str]:
    begin_ms = notice.at_ms + PAUSE_SLACK_MS
    end_ms = notice.at_ms + notice.pause_ms
    count = sum(begin_ms < one.at_ms < end_ms for one, _ in later)
    if count <= MOST_IN_PAUSE:
        return []
    return [
        f'{count} requests reached {notice.server_id} in a pause of '
        f'{notice.pause_ms} ms that {notice.request_id} was told of'
    ]
