"""Work in progress at each backend server, by this gateway and its peers."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from shallothinge import clock as clocks
from shallothinge import entries
from shallothinge.placement import messages
from shallothinge.placement import server_queue

# Gateways send a complete report every second. If three in a row are missing,
# the gateway has stopped or is unreachable, and its report expires.
REPORT_TTL_MS = 3500
# The requests of a gateway that is cut off from this one go on, unlike those
# of one that has ended. Once its report has expired, their memory counts as
# possibly in use for this long, in which most answers end.
UNCONFIRMED_TTL_MS = 10_000
# How long complete reports list a server as leaving. A peer that receives no
# report for longer learns it from other sources by then.
LEAVING_TTL_MS = 10_000
PERCENT = 100
# Ends of requests that are known of each server, at least its slots.
MAX_ENDS = 32
# Longer than any wait for a turn to take a slot.
LONG_FREE_MS = 60_000
# No request lasts longer than a day or has more tokens. Work that a peer
# states with more is a fault, and would keep requests from its server.
MAX_WORK_MS = 86_400_000
MAX_WORK_TOKENS = 1_000_000_000
MAX_WEIGHT_PERCENT = 1_000_000
MAX_WORK_ID = 2**62
# Check of each field in ``messages.WORK_FIELDS``.
_WORK_CHECKS = (
    entries.whole(0, MAX_WORK_ID),
    entries.text,
    entries.number(0, MAX_WORK_MS),
    entries.number(0, MAX_WORK_MS),
    entries.number(-MAX_WORK_MS, MAX_WORK_MS),
    entries.number(0, MAX_WORK_MS),
    entries.number(0, MAX_WEIGHT_PERCENT),
    entries.whole(0, MAX_WORK_TOKENS),
    entries.flag,
    entries.flag,
    entries.flag,
)


@attrs.define(kw_only=True)
class _PeerWork:
    """The work that a peer has reported.

    ``is_complete`` is set while no report is missing.
    """

    sequence: int = 0
    is_complete: bool = False
    received_ms: int = 0
    works: dict[int, server_queue.Work] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class _UnconfirmedMemory:
    """Tokens by server that work of a silent peer held at last."""

    expires_ms: int
    tokens: collections.Counter[str]


@attrs.define(kw_only=True)
class _UnreportedChanges:
    """Changes since the last report."""

    started: set[int] = attrs.field(factory=set)
    writing: set[int] = attrs.field(factory=set)
    ended: set[int] = attrs.field(factory=set)
    failed: set[str] = attrs.field(factory=set)
    leaving: set[tuple[str, str]] = attrs.field(factory=set)


class FleetLoad:
    """Combines this gateway's own work with the work that peers report.

    :ivar on_change: called when the own work has changed, with whether the
        change is urgent, that is, peers should be informed at once.
    :ivar on_failed: called with the id of a server that a peer reports as
        failed.
    :ivar on_room: called when work at a server has ended, so that a slot may
        be free.
    :ivar on_leaving: called with id and incarnation of a server that a peer
        reports as leaving.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._own_works: dict[int, server_queue.Work] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._unconfirmed: dict[str, _UnconfirmedMemory] = {}
        self._queues: dict[str, server_queue.ServerQueue] = {}
        self._ends_ms: dict[str, collections.deque[int]] = {}
        self._changed_ms: dict[str, int] = {}
        self._own_start_ms: dict[str, int] = {}
        # Servers at which own requests have ended, which no peer knows yet.
        self._unreported_ends: set[str] = set()
        self._next_id = 0
        self._sequence = 0
        self._unreported = _UnreportedChanges()
        self.on_change: Callable[[bool], None] | None = None
        self.on_failed: Callable[[str], None] | None = None
        self.on_leaving: Callable[[tuple[str, str]], object] | None = None
        self.on_room: Callable[[], None] | None = None
        self._leaving_since_ms: dict[tuple[str, str], int] = {}

    def start(self, work: server_queue.Work) -> int:
        """Record that a request was sent.

        :returns: an id to pass to ``first_event`` and ``end``.
        """
        self._next_id += 1
        self._own_works[self._next_id] = work
        self._add(work)
        if not work.is_helping:
            self._own_start_ms[work.server_id] = self._clock.now_ms()
        self._unreported.started.add(self._next_id)
        self._notify_change(is_urgent=True)
        return self._next_id

    def first_event(self, work_id: int) -> None:
        """Record that a backend server has read the prompt."""
        work = self._own_works.get(work_id)
        if work is not None and not work.is_writing:
            self._mark_writing(work)
            self._unreported.writing.add(work_id)
            self._notify_change(is_urgent=False)

    def end(self, work_id: int) -> None:
        """Record that a request has ended at its backend server."""
        work = self._own_works.pop(work_id, None)
        if work is not None:
            self._remove(work)
            if not work.is_helping:
                self._unreported_ends.add(work.server_id)
            if work_id in self._unreported.started:
                self._unreported.started.discard(work_id)
            else:
                self._unreported.ended.add(work_id)
            self._unreported.writing.discard(work_id)
            self._notify_change(is_urgent=False)

    def server_failed(self, server_id: str) -> None:
        """Record, for the next report, that a backend server failed."""
        self._unreported.failed.add(server_id)
        self._notify_change(is_urgent=True)

    def server_leaves(self, key: tuple[str, str]) -> None:
        """Record, for the next reports, that a backend server is leaving.

        :param key: its id and incarnation.
        """
        self._leaving_since_ms[key] = self._clock.now_ms()
        self._unreported.leaving.add(key)
        self._notify_change(is_urgent=True)

    def _notify_change(self, *, is_urgent: bool) -> None:
        if self.on_change is not None:
            self.on_change(is_urgent)

    def repeat_as_complete_report(self) -> messages.LoadReported:
        """Return a complete report with the sequence number of the last one.

        It is for a peer that has received no report yet. The next report
        continues the sequence for this peer as for those that received the
        last one.
        """
        self._sequence = max(1, self._sequence)
        return self._complete_report(failed=())

    def report(self, *, complete: bool) -> messages.LoadReported:
        """Return the next report for the peers."""
        self._sequence += 1
        self._unreported_ends.clear()
        changes, self._unreported = self._unreported, _UnreportedChanges()
        if complete:
            return self._complete_report(failed=tuple(changes.failed))
        return messages.LoadReported(
            sequence=self._sequence,
            started=self._pack_own(changes.started),
            writing=tuple(changes.writing),
            ended=tuple(changes.ended),
            failed=tuple(changes.failed),
            leaving=tuple(changes.leaving),
        )

    def _complete_report(
        self, *, failed: tuple[str, ...]
    ) -> messages.LoadReported:
        return messages.LoadReported(
            sequence=self._sequence,
            complete=True,
            started=self._pack_own(self._own_works),
            failed=failed,
            leaving=tuple(self._leaving_since_ms),
        )

    def _pack_own(self, work_ids: Iterable[int]) -> tuple[tuple, ...]:
        now_ms = self._clock.now_ms()
        return tuple(
            _pack(work_id, self._own_works[work_id], now_ms)
            for work_id in work_ids
        )

    def apply_report(
        self, *, peer: str, report: messages.LoadReported
    ) -> None:
        """Apply a peer's report; ignore it if it is repeated or out of date.

        Works that are malformed are skipped. They count as missing until a
        complete report has none.

        :param peer: identifies one run of the peer's process.
        """
        peer_work = self._peers.setdefault(peer, _PeerWork())
        if report.sequence <= peer_work.sequence:
            return
        now_ms = self._clock.now_ms()
        started = entries.well_formed(
            report.started, checks=_WORK_CHECKS, kind='works'
        )
        if report.complete:
            peer_work.is_complete = True
            listed_ids = {fields[0] for fields in started}
            for work_id in set(peer_work.works) - listed_ids:
                self._remove(peer_work.works.pop(work_id))
        elif report.sequence != peer_work.sequence + 1:
            peer_work.is_complete = False
        if len(started) < len(report.started):
            peer_work.is_complete = False
        peer_work.sequence = report.sequence
        peer_work.received_ms = now_ms
        if report.complete:
            self._unconfirmed.pop(peer, None)
        for fields in started:
            work_id, work = _unpack(fields, now_ms)
            if work_id not in peer_work.works:
                peer_work.works[work_id] = work
                self._add(work)
            elif work.is_writing:
                self._mark_writing(peer_work.works[work_id])
        for work_id in report.writing:
            if work_id in peer_work.works:
                self._mark_writing(peer_work.works[work_id])
        for work_id in report.ended:
            if work_id in peer_work.works:
                self._remove(peer_work.works.pop(work_id))
        if self.on_leaving is not None:
            for key in report.leaving:
                self.on_leaving(tuple(key))
        if self.on_failed is not None:
            for server_id in report.failed:
                self.on_failed(server_id)

    def remove_expired(self) -> None:
        """Remove expired state: work of silent peers, servers that left."""
        now_ms = self._clock.now_ms()
        for key, since_ms in list(self._leaving_since_ms.items()):
            if since_ms < now_ms - LEAVING_TTL_MS:
                del self._leaving_since_ms[key]
        self._ends_ms = {
            server_id: ends_ms
            for server_id, ends_ms in self._ends_ms.items()
            if ends_ms[-1] > now_ms - LONG_FREE_MS
        }
        for times_ms in (self._changed_ms, self._own_start_ms):
            for server_id, at_ms in list(times_ms.items()):
                if at_ms <= now_ms - LONG_FREE_MS:
                    del times_ms[server_id]
        for peer, memory in list(self._unconfirmed.items()):
            if memory.expires_ms < now_ms:
                del self._unconfirmed[peer]
        oldest_ms = now_ms - REPORT_TTL_MS
        for peer, peer_work in list(self._peers.items()):
            if peer_work.received_ms < oldest_ms:
                del self._peers[peer]
                tokens = collections.Counter()
                for work in peer_work.works.values():
                    self._remove(work)
                    tokens[work.server_id] += work.memory_tokens
                self._unconfirmed[peer] = _UnconfirmedMemory(
                    expires_ms=now_ms + UNCONFIRMED_TTL_MS, tokens=+tokens
                )

    @property
    def peer_count(self) -> int:
        """Return the number of peers of which no report is missing."""
        return sum(peer_work.is_complete for peer_work in self._peers.values())

    def known_peers(self) -> list[str]:
        """Return the peers that may place requests.

        Those that have been silent for some seconds are included.
        """
        return [*self._peers, *(self._unconfirmed.keys() - self._peers.keys())]

    def heard_peers(self, *, within_ms: int) -> list[str]:
        """Return the peers whose newest report is at most this old."""
        oldest_ms = self._clock.now_ms() - within_ms
        return [
            peer
            for peer, peer_work in self._peers.items()
            if peer_work.received_ms >= oldest_ms
        ]

    @property
    def oldest_report_ms(self) -> int:
        """Return the age of the least recently updated peer's last report.

        :returns: age in ms, 0 without peers.
        """
        received_ms = [
            peer_work.received_ms for peer_work in self._peers.values()
        ]
        return self._clock.now_ms() - min(received_ms) if received_ms else 0

    def own_active(self) -> collections.Counter[str]:
        """Return the number of own requests at each backend server."""
        return collections.Counter(
            work.server_id
            for work in self._own_works.values()
            if not work.is_helping
        )

    def has_unreported_end(self, server_id: str) -> bool:
        """Return whether only this gateway knows of a free slot."""
        return server_id in self._unreported_ends

    def unchanged_ms(self, server_id: str) -> int:
        """Return for how long no request is known to have begun or ended.

        :returns: milliseconds, ``LONG_FREE_MS`` at most.
        """
        return self._age_ms(self._changed_ms.get(server_id))

    def own_start_ms(self, server_id: str) -> int:
        """Return the time since the last own request began at a server.

        :returns: milliseconds, ``LONG_FREE_MS`` at most.
        """
        return self._age_ms(self._own_start_ms.get(server_id))

    def _age_ms(self, at_ms: int | None) -> int:
        if at_ms is None:
            return LONG_FREE_MS
        return min(LONG_FREE_MS, self._clock.now_ms() - at_ms)

    def free_ms(self, server_id: str, *, free_slots: int) -> int:
        """Return for how long a server has had a free slot.

        :param free_slots: number of its free slots, 1 or more.
        :returns: milliseconds, ``LONG_FREE_MS`` at most.
        """
        ends_ms = self._ends_ms.get(server_id, ())
        if len(ends_ms) < free_slots:
            return LONG_FREE_MS
        return self._age_ms(ends_ms[-free_slots])

    def loads(self) -> dict[str, server_queue.ServerLoad]:
        """Return the load of each backend server that has any."""
        now_ms = self._clock.now_ms()
        loads = {
            server_id: queue.load(now_ms)
            for server_id, queue in self._queues.items()
        }
        for memory in self._unconfirmed.values():
            for server_id, tokens in memory.tokens.items():
                load = loads.get(server_id, server_queue.ServerLoad())
                loads[server_id] = attrs.evolve(
                    load, unconfirmed_tokens=load.unconfirmed_tokens + tokens
                )
        return loads

    def read_end_in_ms(
        self, server_id: str, *, min_read_ms: float
    ) -> float | None:
        """Return the estimated time until a server's long reads have ended.

        :param min_read_ms: duration from which a read is long.
        :returns: milliseconds, negative for how long the end is overdue; None
            without a long read.
        """
        queue = self._queues.get(server_id)
        if queue is None:
            return None
        return queue.read_end_in_ms(
            self._clock.now_ms(), min_read_ms=min_read_ms
        )

    def assigned_since_ms(self, work_id: int) -> float:
        """Return how long a server reads what it got after an own request.

        :returns: milliseconds, 0 for an unknown id.
        """
        work = self._own_works.get(work_id)
        if work is None:
            return 0.0
        return self._queues[work.server_id].assigned_since_ms(work)

    def idle_mark_ms(self, work_id: int) -> float | None:
        """Return a value that is the same while a server reads no prompt.

        :param work_id: id of an own request at the server.
        :returns: total duration of the reads assigned after the request; None
            while the server reads a prompt, and for an unknown id.
        """
        work = self._own_works.get(work_id)
        if work is None:
            return None
        queue = self._queues[work.server_id]
        if queue.is_reading(self._clock.now_ms()):
            return None
        return queue.assigned_since_ms(work)

    def _add(self, work: server_queue.Work) -> None:
        now_ms = self._clock.now_ms()
        queue = self._queues.get(work.server_id)
        if queue is None:
            queue = server_queue.ServerQueue(
                now_ms=min(now_ms, work.started_ms)
            )
            self._queues[work.server_id] = queue
        queue.start(work, now_ms)
        if not work.is_helping:
            self._changed_ms[work.server_id] = now_ms
            self._unreported_ends.discard(work.server_id)

    def _mark_writing(self, work: server_queue.Work) -> None:
        queue = self._queues[work.server_id]
        queue.first_event(work, self._clock.now_ms())

    def _remove(self, work: server_queue.Work) -> None:
        queue = self._queues[work.server_id]
        queue.end(work, self._clock.now_ms())
        if queue.is_empty():
            del self._queues[work.server_id]
        if work.is_helping:
            return
        ends_ms = self._ends_ms.setdefault(
            work.server_id, collections.deque(maxlen=MAX_ENDS)
        )
        ends_ms.append(self._clock.now_ms())
        self._changed_ms[work.server_id] = self._clock.now_ms()
        if self.on_room is not None:
            self.on_room()


def _pack(work_id: int, work: server_queue.Work, now_ms: int) -> tuple:
    """Return the tuple for a work in a report, with relative times."""
    return (
        work_id,
        work.server_id,
        round(work.read_ms),
        now_ms - work.started_ms,
        work.due_ms - now_ms,
        work.pause_ms,
        round(work.weight * PERCENT),
        work.memory_tokens,
        int(work.is_helping),
        int(work.is_divided),
        int(work.is_writing),
    )


def _unpack(fields: tuple, now_ms: int) -> tuple[int, server_queue.Work]:
    """Return the id and the work from a tuple of a report."""
    named = dict(zip(messages.WORK_FIELDS, fields, strict=True))
    return named['work_id'], server_queue.Work(
        server_id=named['server_id'],
        read_ms=named['read_ms'],
        started_ms=now_ms - named['age_ms'],
        due_ms=now_ms + named['due_ms'],
        pause_ms=named['pause_ms'],
        weight=named['weight_percent'] / PERCENT,
        memory_tokens=named['memory_tokens'],
        is_helping=bool(named['is_helping']),
        is_divided=bool(named['is_divided']),
        is_writing=bool(named['is_writing']),
    )
