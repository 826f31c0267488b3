"""Exchange of what waits at each gateway, and of the slots in use."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import itertools
import logging
import types
from typing import Protocol

import attrs

from shallothinge import clock as clocks
from shallothinge.scheduling import messages
from shallothinge.scheduling import order as orders
from shallothinge.scheduling import report_reader

LOG = logging.getLogger(__name__)

# Three reports in a row are lost before a peer's entries expire.
DEMAND_TTL_MS = 300
REPEAT_INTERVAL_MS = 100
MIN_REPORT_INTERVAL_MS = 20
# Sums of fewer slots are rounding errors.
MIN_SLOTS = 1e-6
# The placements of a silent peer still count for the late turns.
PEER_RETENTION_MS = 60_000


@attrs.define(kw_only=True)
class _Peer:
    """What a peer has last reported."""

    sequence: int = -1
    received_ms: int = 0
    entries: dict[int, tuple[str, orders.Entry]] = attrs.field(factory=dict)
    in_use: dict[tuple[str, str], float] = attrs.field(factory=dict)
    waiting: frozenset[tuple[str, str]] = frozenset()
    granted: dict[str, tuple[int, int]] = attrs.field(factory=dict)


class PeerDemand:
    """What the other gateways have reported.

    The callbacks are also called during look-ups, so they must defer what
    they cause.

    :ivar on_change: called when the entries of peers have changed.
    :ivar on_granted: called with a service, the number of waiting requests
        that a peer has placed since its last report, and how many of them had
        a late turn.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._peers: dict[str, _Peer] = {}
        self._orders: dict[str, orders.WaitingOrder] = {}
        # Over all peers, kept up to date as they are read far more often.
        self._in_use: dict[tuple[str, str], float] = {}
        self._waiting: dict[str, collections.Counter[str]] = {}
        self._next_expiry_ms: int | None = None
        self.on_change: Callable[[], None] | None = None
        self.on_granted: Callable[[str, int, int], None] | None = None

    def apply_report(
        self, message: messages.DemandReported, *, peer_id: str
    ) -> None:
        """Replace what is known of a peer; ignore older reports.

        Malformed entries are logged and skipped.

        :param peer_id: identifies one run of the peer's process.
        """
        reader = report_reader.ReportReader(
            message, peer_id=peer_id, now_ms=self._clock.now_ms()
        )
        if reader.sequence is not None:
            peer = self._peers.setdefault(peer_id, _Peer())
            if reader.sequence > peer.sequence:
                peer.sequence = reader.sequence
                self._replace(peer, reader)
        if reader.skipped_count:
            LOG.warning(
                'report of waiting requests has malformed entries',
                extra={
                    'peer_id': peer_id,
                    'skipped_count': reader.skipped_count,
                    'example': reader.skipped_example,
                },
            )

    def _replace(
        self, peer: _Peer, reader: report_reader.ReportReader
    ) -> None:
        now_ms = self._clock.now_ms()
        known, peer.entries = peer.entries, {}
        peer.received_ms = now_ms
        for service, entry in reader.waiting():
            peer.entries[entry.number] = (service, entry)
            known_service, known_entry = known.get(entry.number, ('', None))
            if known_service == service and entry.number >= 0:
                _keep_earliest(entry, known_entry)
                if entry.fields == known_entry.fields:
                    peer.entries[entry.number] = known.pop(entry.number)
        self._remove_entries(known)
        for service, entry in peer.entries.values():
            order = self._orders.setdefault(service, orders.WaitingOrder())
            if entry not in order:
                order.add(entry, now_ms=now_ms)
                order.set_above(report_reader.ABOVE, True)
        self._set_workspaces(peer, *reader.workspaces())
        self._count_granted(peer, reader.granted())
        expiry_ms = now_ms + DEMAND_TTL_MS + 1
        if self._next_expiry_ms is None or self._next_expiry_ms > expiry_ms:
            self._next_expiry_ms = expiry_ms
        if known or peer.entries:
            self._notify()

    def _count_granted(
        self, peer: _Peer, granted: dict[str, tuple[int, int]]
    ) -> None:
        known_counts = peer.granted
        merged = {**granted, **known_counts, **granted}
        peer.granted = dict(
            itertools.islice(merged.items(), messages.MAX_SERVICES)
        )
        for service, counts in granted.items():
            known = known_counts.get(service)
            if known is None or self.on_granted is None:
                continue
            count = counts[0] - known[0]
            if count > 0:
                turn_count = max(0, min(count, counts[1] - known[1]))
                self.on_granted(service, count, turn_count)

    def remove_expired(self) -> None:
        """Remove what peers that are silent have reported."""
        now_ms = self._clock.now_ms()
        if self._next_expiry_ms is None or now_ms < self._next_expiry_ms:
            return
        has_changed = False
        self._next_expiry_ms = None
        for peer_id, peer in list(self._peers.items()):
            age_ms = now_ms - peer.received_ms
            ttl_ms = DEMAND_TTL_MS
            if age_ms > DEMAND_TTL_MS:
                has_changed = has_changed or bool(peer.entries)
                self._remove_entries(peer.entries)
                peer.entries = {}
                self._set_workspaces(peer, {}, frozenset())
                ttl_ms = PEER_RETENTION_MS
            if age_ms > PEER_RETENTION_MS:
                del self._peers[peer_id]
                continue
            expiry_ms = peer.received_ms + ttl_ms + 1
            if self._next_expiry_ms is None:
                self._next_expiry_ms = expiry_ms
            self._next_expiry_ms = min(self._next_expiry_ms, expiry_ms)
        if has_changed:
            self._notify()

    def order(self, service: str) -> orders.WaitingOrder | None:
        """Return what waits for a service at the peers, None if nothing."""
        self.remove_expired()
        order = self._orders.get(service)
        if order is not None:
            order.advance(self._clock.now_ms())
        return order

    def has_demand(self, service: str | None = None) -> bool:
        """Return whether requests wait at a peer, for any service if None."""
        self.remove_expired()
        if service is None:
            return bool(self._orders)
        return service in self._orders

    def in_use(self) -> Mapping[tuple[str, str], float]:
        """Return the slots that the peers use, by service and workspace."""
        self.remove_expired()
        return types.MappingProxyType(self._in_use)

    def waiting_workspaces(self, service: str) -> Collection[str]:
        """Return the workspaces of which requests wait at the peers."""
        self.remove_expired()
        return self._waiting.get(service, {}).keys()

    def _set_workspaces(
        self,
        peer: _Peer,
        in_use: dict[tuple[str, str], float],
        waiting: frozenset[tuple[str, str]],
    ) -> None:
        """Replace the workspaces of a peer, also in the sums of all."""
        for key in peer.in_use.keys() | in_use.keys():
            change = in_use.get(key, 0.0) - peer.in_use.get(key, 0.0)
            slots = self._in_use.get(key, 0.0) + change
            self._in_use[key] = slots
            if slots < MIN_SLOTS:
                del self._in_use[key]
        for service, workspace in waiting - peer.waiting:
            counts = self._waiting.setdefault(service, collections.Counter())
            counts[workspace] += 1
        for service, workspace in peer.waiting - waiting:
            counts = self._waiting[service]
            counts[workspace] -= 1
            if not counts[workspace]:
                del counts[workspace]
            if not counts:
                del self._waiting[service]
        peer.in_use, peer.waiting = in_use, waiting

    def _remove_entries(
        self, entries: Mapping[int, tuple[str, orders.Entry]]
    ) -> None:
        for service, entry in entries.values():
            order = self._orders[service]
            order.remove(entry.gateway_id, entry.number)
            if not order:
                del self._orders[service]

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()


def _keep_earliest(entry: orders.Entry, known: orders.Entry) -> None:
    """Set the times of an entry to the earliest that reports gave.

    Its times are relative to the time of sending, so the time that a report
    takes makes them seem later. With the report that took the least, most
    gateways agree on the order.
    """
    entry.start_by_ms = min(entry.start_by_ms, known.start_by_ms)
    entry.abandon_ms = min(entry.abandon_ms, known.abandon_ms)


class ReportedQueue(Protocol):
    """The queue of which a reporter tells the peers."""

    def summary(self) -> tuple[tuple, ...]:
        """Return the first waiting requests of each service."""

    def granted_counts(self) -> tuple[tuple, ...]:
        """Return the placed requests and late turns of each service."""

    def waiting_workspaces(self) -> set[tuple[str, str]]:
        """Return by service the workspaces of which requests wait here."""

    def has_demand(self, service: str | None = None) -> bool:
        """Return whether requests wait, here or at a peer."""


class DemandReporter:
    """Decides when to report what waits at this gateway, and builds reports.

    ``on_change`` of the queue is to be connected to ``record_change``. The
    time of the next report may also change with the reports of peers, as the
    slots in use are reported while requests wait there.

    :param in_use: returns the slots in use by this gateway's requests, by
        service and workspace.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        queue: ReportedQueue,
        in_use: Callable[[], Mapping[tuple[str, str], float]],
    ):
        self._clock = clock
        self._queue = queue
        self._in_use = in_use
        self._sequence = 0
        self._last_ms: int | None = None
        self._has_changed = False
        self._is_last_empty = True

    def record_change(self) -> None:
        """Record that the next report differs from the last one."""
        self._has_changed = True

    def next_report_in_ms(self) -> int | None:
        """Return the time until ``report`` has something to report.

        :returns: milliseconds, None if nothing is to be reported.
        """
        if self._has_changed:
            interval_ms = MIN_REPORT_INTERVAL_MS
        elif not self._is_last_empty or self._in_use_of_demand():
            interval_ms = REPEAT_INTERVAL_MS
        else:
            return None
        if self._last_ms is None:
            return 0
        return max(0, self._last_ms + interval_ms - self._clock.now_ms())

    def report(self, *, complete: bool) -> messages.DemandReported | None:
        """Return what waits and the slots in use, None if nothing is due.

        After the last waiting request has left, one empty report follows, so
        that the peers do not yield to it until its entry expires.

        :param complete: whether to report also if no report is due.
        """
        if not complete and self.next_report_in_ms() != 0:
            return None
        report = self._build(self._sequence + 1)
        is_empty = not report.waiting and not report.in_use
        self._has_changed = False
        if is_empty and self._is_last_empty:
            return None
        self._sequence += 1
        self._last_ms = self._clock.now_ms()
        self._is_last_empty = is_empty
        return report

    def repeat_as_complete_report(self) -> messages.DemandReported | None:
        """Return a report for a peer that has received none yet."""
        report = self._build(self._sequence)
        return report if report.waiting or report.in_use else None

    def _build(self, sequence: int) -> messages.DemandReported:
        return messages.DemandReported(
            sequence=sequence,
            waiting=self._queue.summary(),
            in_use=self._in_use_of_demand(),
            granted=self._queue.granted_counts(),
        )

    def _in_use_of_demand(self) -> tuple[tuple, ...]:
        """Return the workspaces of services for which requests wait.

        Those that wait are first, then those that use most.
        """
        if not self._queue.has_demand():
            return ()
        waiting = self._queue.waiting_workspaces()
        slots = dict.fromkeys(waiting, 0.0)
        for key, used in self._in_use().items():
            if used > 0 and (key in waiting or self._queue.has_demand(key[0])):
                slots[key] = used
        found = sorted(
            (key not in waiting, -used, key) for key, used in slots.items()
        )
        return tuple(
            (*key, -negative, not is_last)
            for is_last, negative, key in found[: messages.MAX_WORKSPACES]
        )
