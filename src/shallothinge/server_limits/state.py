"""Shares the limits of backend servers among the gateways.

A server may name a rate of requests that it takes from all gateways together.
Each gateway reports its requests to the others within milliseconds, and all
keep the same schedule for the server: each request moves the instant of the
next one by the interval of the limit (a generic cell rate algorithm). A
request that another gateway sends at the same moment is thus made up for by a
longer gap.

Where several gateways wait for that instant they take turns: each one's turn
begins some milliseconds after that of the gateway before it, and the one that
sent last comes last.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import logging
import math

import attrs

from shallothinge import clock as clocks
from shallothinge import entries
from shallothinge.membership.model import ServerKey
from shallothinge.server_limits import messages

LOG = logging.getLogger(__name__)

# A report reaches the other gateways within about this time.
TURN_MS = 15
# A server that names a lower limit, or 0, still gets a request now and then,
# as only its answers tell that the limit has ended.
MIN_PER_S = 0.2
# Requests by which the share of each gateway is estimated.
RECENT_REQUESTS = 16
# A list that misses a server may be wrong for most of a minute.
UNLISTED_RETENTION_MS = 60_000
# Gateways report their requests every second at least. Within twice this time
# none can have sent more than the limit permits for it, and one more.
REPORTED_MS = 2_000
# Bounds on what a peer may state; a greater number is a fault.
_MAX_PER_S = 1_000_000
_MAX_CHANGE_COUNT = 1_000_000_000
_MAX_REPORTED = 1_000_000
# Checks of the fields of ``messages.LimitsReported``.
_LIMITS_CHECKS = (
    entries.text,
    entries.text,
    entries.optional(entries.number(0, _MAX_PER_S)),
    entries.whole(1, _MAX_CHANGE_COUNT),
)
_REQUESTS_CHECKS = (
    entries.text,
    entries.text,
    entries.whole(1, _MAX_REPORTED),
)


@attrs.frozen(kw_only=True)
class Gateways:
    """The gateways that share a limit.

    ``heard_ids`` are those whose reports arrive, this one included.
    ``listed_count`` is how many there are.
    """

    heard_ids: tuple[str, ...]
    listed_count: int

    @property
    def share(self) -> float:
        """Return the part of a limit that these gateways may use up."""
        heard_count = len(self.heard_ids)
        return heard_count / max(heard_count, self.listed_count)


@attrs.define(kw_only=True)
class _Limit:
    """What one incarnation of a server has last said of its limit.

    ``per_s`` is None once it names none any more. ``change_count`` counts
    its changes over all gateways. ``since_ms`` is the instant at which this
    gateway learned that there is a limit, ``stated_ms`` the last one at which
    it learned that the limit holds. If all gateways are heard, the next
    request may be sent at ``next_ms``.
    """

    per_s: float | None
    change_count: int
    since_ms: int
    stated_ms: int
    next_ms: float
    unlisted_ms: int | None = None
    senders: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=RECENT_REQUESTS)
    )

    def turn_ms(self, own_id: str, gateways: Gateways) -> float:
        """Return the instant at which the turn of a gateway begins.

        The gateways that are not heard have their share of the time before.
        """
        unheard_ms = _interval_ms(self.per_s) * (1 / gateways.share - 1)
        rounds_ms = self._turns_before(own_id, gateways) * TURN_MS
        return self.next_ms + unheard_ms + rounds_ms

    def _turns_before(self, own_id: str, gateways: Gateways) -> int:
        """Return how many other gateways have their turns before."""
        ids = gateways.heard_ids
        last = -1
        if self.senders and self.senders[-1] in ids:
            last = ids.index(self.senders[-1])
        return (ids.index(own_id) - last - 1) % len(ids)


class ServerLimits:
    """The limits in force and the requests that they permit.

    :param own_id: id of this gateway, as its peers know it.
    :param find_gateways: returns the gateways that share the limits.
    :ivar on_change: called when there is something to report to the peers.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        own_id: str,
        find_gateways: Callable[[], Gateways],
    ):
        self._clock = clock
        self._own_id = own_id
        self._find_gateways = find_gateways
        self._limits: dict[ServerKey, _Limit] = {}
        self._changed: dict[ServerKey, None] = {}
        self._unreported: collections.Counter[ServerKey] = (
            collections.Counter()
        )
        self.granted_count = 0
        self.on_change: Callable[[], None] | None = None

    @property
    def count(self) -> int:
        """Return how many servers name a limit."""
        return sum(one.per_s is not None for one in self._limits.values())

    def limit_per_s(self, key: ServerKey) -> float | None:
        """Return the requests a second of a server, None if not limited."""
        known = self._limits.get(key)
        return None if known is None else known.per_s

    def since_ms(self, key: ServerKey) -> int | None:
        """Return when this gateway learned of a limit, None without one."""
        known = self._limits.get(key)
        if known is None or known.per_s is None:
            return None
        return known.since_ms

    def wait_ms(self, key: ServerKey) -> int:
        """Return the time until this gateway may send a request, 0 for now."""
        limit = self._limits.get(key)
        if limit is None or limit.per_s is None:
            return 0
        turn_ms = limit.turn_ms(self._own_id, self._find_gateways())
        return max(0, math.ceil(turn_ms - self._clock.now_ms()))

    def take(self, key: ServerKey) -> bool:
        """Take the permit for a request that is then sent.

        :returns: whether the limit permits it; always without a limit.
        """
        if self.wait_ms(key):
            return False
        if self.limit_per_s(key) is not None:
            self._count(key, self._own_id)
            self.granted_count += 1
            self._unreported[key] += 1
            self._notify()
        return True

    def own_interval_ms(self, keys: Iterable[ServerKey]) -> float:
        """Return the expected time between two permits of this gateway.

        The rates of the servers add up. Of those this gateway gets the part
        that it had of the recent requests to them.

        :param keys: servers that name limits.
        """
        gateways = self._find_gateways()
        rate_per_ms = 0.0
        own_count = total_count = 1
        for key in keys:
            limit = self._limits[key]
            rate_per_ms += gateways.share / _interval_ms(limit.per_s)
            own_count += limit.senders.count(self._own_id)
            total_count += len(limit.senders)
        return total_count / own_count / rate_per_ms

    def record_answer(
        self, key: ServerKey, *, per_s: float | None, sent_ms: int
    ) -> None:
        """Record what an answer says of its server's limit.

        Answers may overtake each other, so a limit is raised or ended only by
        the answer to a request that was sent after the limit was learned.

        :param per_s: requests a second, None if the answer names no limit.
        :param sent_ms: instant at which the request was sent.
        """
        known = self._limits.get(key)
        known_per_s = self.limit_per_s(key)
        if per_s is None and known_per_s is None:
            return
        if known_per_s is not None:
            if _is_looser(per_s, known_per_s) and sent_ms <= known.stated_ms:
                return
            known.stated_ms = self._clock.now_ms()
        if per_s != known_per_s:
            change_count = 1 if known is None else known.change_count + 1
            self._change(key, per_s, change_count, source='answer')
            self._changed[key] = None
            self._notify()

    def report(self, *, complete: bool) -> messages.LimitsReported | None:
        """Return what the peers do not know yet, None if there is nothing.

        :param complete: whether to repeat what a peer may have missed.
        """
        changed, self._changed = self._changed, {}
        requests = tuple(
            (*key, count) for key, count in self._unreported.items()
        )
        self._unreported.clear()
        return self._build(self._limits if complete else changed, requests)

    def repeat_as_complete_report(self) -> messages.LimitsReported | None:
        """Return a complete report for a peer that has received none yet."""
        return self._build(self._limits, ())

    def _build(
        self, keys: Iterable[ServerKey], requests: tuple[tuple, ...]
    ) -> messages.LimitsReported | None:
        limits = tuple(
            (*key, self._limits[key].per_s, self._limits[key].change_count)
            for key in keys
            if key in self._limits
        )
        if not limits and not requests:
            return None
        return messages.LimitsReported(limits=limits, requests=requests)

    def apply_report(
        self, report: messages.LimitsReported, *, peer_id: str
    ) -> None:
        """Adopt newer changes of limits, and count a peer's requests.

        Entries that are malformed are skipped.

        :param peer_id: id of the peer, as in ``Gateways``.
        """
        self._adopt(report)
        counts: collections.Counter[ServerKey] = collections.Counter()
        for server_id, incarnation, count in entries.well_formed(
            report.requests, checks=_REQUESTS_CHECKS, kind='requests'
        ):
            counts[server_id, incarnation] += count
        for key, count in counts.items():
            per_s = self.limit_per_s(key)
            if per_s is not None:
                permitted = 1 + int(REPORTED_MS / _interval_ms(per_s))
                for _ in range(min(count, permitted)):
                    self._count(key, peer_id)

    def _adopt(self, report: messages.LimitsReported) -> None:
        for server_id, incarnation, per_s, change_count in entries.well_formed(
            report.limits, checks=_LIMITS_CHECKS, kind='limits'
        ):
            key = (server_id, incarnation)
            known = self._limits.get(key)
            if known is not None and (
                change_count < known.change_count
                or (
                    change_count == known.change_count
                    and not _is_looser(known.per_s, per_s)
                )
            ):
                continue
            self._change(key, per_s, change_count, source='peer')

    def forget_unlisted(self, listed: set[ServerKey]) -> None:
        """Remove the limits of servers that have not been listed for long."""
        now_ms = self._clock.now_ms()
        for key, limit in list(self._limits.items()):
            if key in listed:
                limit.unlisted_ms = None
            elif limit.unlisted_ms is None:
                limit.unlisted_ms = now_ms
            elif limit.unlisted_ms < now_ms - UNLISTED_RETENTION_MS:
                del self._limits[key]

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def _count(self, key: ServerKey, gateway_id: str) -> None:
        """Move the instant of the next request by one interval.

        Turns delay a request by up to one round, which does not lower the
        rate.
        """
        limit = self._limits[key]
        round_ms = TURN_MS * len(self._find_gateways().heard_ids)
        limit.next_ms = _interval_ms(limit.per_s) + max(
            limit.next_ms, self._clock.now_ms() - round_ms
        )
        limit.senders.append(gateway_id)

    def _change(
        self,
        key: ServerKey,
        per_s: float | None,
        change_count: int,
        *,
        source: str,
    ) -> None:
        known = self._limits.get(key)
        known_per_s = self.limit_per_s(key)
        now_ms = self._clock.now_ms()
        LOG.info(
            'backend server changed its limit',
            extra={
                'server_id': key[0],
                'incarnation': key[1],
                'limit_per_s': per_s,
                'earlier_per_s': known_per_s,
                'source': source,
                'change_count': change_count,
            },
        )
        next_ms = float(now_ms)
        if per_s is not None:
            next_ms += _interval_ms(per_s)
            if known_per_s is not None:
                is_looser = _is_looser(per_s, known_per_s)
                next_ms = (min if is_looser else max)(known.next_ms, next_ms)
        changed = _Limit(
            per_s=per_s,
            change_count=change_count,
            since_ms=now_ms if known_per_s is None else known.since_ms,
            stated_ms=now_ms,
            next_ms=next_ms,
        )
        if known is not None:
            changed.senders = known.senders
        self._limits[key] = changed


def _interval_ms(per_s: float) -> float:
    """Return the time between two requests of all gateways."""
    return clocks.MS_PER_SECOND / max(per_s, MIN_PER_S)


def _is_looser(per_s: float | None, other_per_s: float | None) -> bool:
    """Return whether a limit permits more than another one."""
    if per_s is None:
        return other_per_s is not None
    return other_per_s is not None and per_s > other_per_s
