"""Work under way at each backend server, of this gateway and its peers."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from shallothinge import clock as clocks
from shallothinge.placement import messages

# Reports are repeated each second; one that is missing three times is of a
# gateway that stopped or can't be heard.
REPORT_KEPT_MS = 3500
# A read that should be over by now is thought to take this much longer.
OVERDUE_READ_MS = 20.0
# That a share has been read shows only when its whole prompt is, which may
# wait for another server. After this time beyond the expected one it is more
# likely that this server has read its share.
UNCONFIRMED_READ_MS = 300.0
# For how long each complete report tells that a server leaves: a peer that
# hears nothing for longer has other sources by then.
LEAVING_TOLD_MS = 10_000
PERCENT = 100


@attrs.define(kw_only=True)
class Work:
    """One request at one backend server.

    ``started_ms`` and ``due_ms`` are instants of the own clock.

    :ivar is_writing: whether its first event has arrived.
    :ivar is_helping: whether the server only reads a part for another.
    :ivar is_divided: whether others read parts of the same prompt.
    :ivar memory_tokens: what it holds in the server's memory.
    :ivar left_ms: how much of the read is thought to be left.
    :ivar overdue_ms: for how long nothing of it is thought to be left.
    """

    server_id: str
    read_ms: float
    started_ms: int
    due_ms: int = 0
    pause_ms: int = 0
    weight: float = 1.0
    memory_tokens: int = 0
    is_writing: bool = False
    is_helping: bool = False
    is_divided: bool = False
    left_ms: float = attrs.field(init=False)
    overdue_ms: float = attrs.field(init=False, default=0.0)

    def __attrs_post_init__(self):
        self.left_ms = self.read_ms


@attrs.frozen(kw_only=True)
class PendingRead:
    """A read that a server has to do.

    ``ends_in_ms`` is when it is expected to end, ``due_in_ms`` when the
    first event that waits for it is late.
    """

    ends_in_ms: float
    due_in_ms: float
    weight: float


@attrs.frozen(kw_only=True)
class Writer:
    """A stream that a server writes."""

    pause_ms: int
    weight: float


@attrs.frozen(kw_only=True)
class ServerLoad:
    """Work at one backend server.

    ``active`` counts requests in its slots, ``helping`` the parts that it
    reads for others. ``backlog_ms`` is how long all reads take still,
    ``memory_tokens`` what all of it holds in memory.
    """

    active: int = 0
    helping: int = 0
    backlog_ms: float = 0.0
    memory_tokens: int = 0
    reads: tuple[PendingRead, ...] = ()
    writers: tuple[Writer, ...] = ()


class ServerQueue:
    """What one server has under way, followed from event to event.

    It reads shares of divided prompts first, the newest of them, and then
    whole prompts in the order of their arrival. Streams that it writes don't
    keep it from reading, but their events wait for the end of a pass.
    """

    def __init__(self, *, now_ms: int):
        self._at_ms = now_ms
        self._works: list[Work] = []

    def start(self, work: Work, now_ms: int) -> None:
        """Add a work."""
        self._advance(now_ms)
        self._works.append(work)

    def first_event(self, work: Work, now_ms: int) -> None:
        """Note that a work's prompt has been read."""
        self._advance(now_ms)
        work.is_writing = True

    def end(self, work: Work, now_ms: int) -> None:
        """Remove a work."""
        self._advance(now_ms)
        self._works = [one for one in self._works if one is not work]

    def is_empty(self) -> bool:
        """Return whether nothing is under way."""
        return not self._works

    def load(self, now_ms: int) -> ServerLoad:
        """Return the load."""
        self._advance(now_ms)
        ends_in_ms = 0.0
        reads = []
        for work in self._to_read():
            is_read = (
                work.is_divided and work.overdue_ms >= UNCONFIRMED_READ_MS
            )
            if is_read:
                continue
            left_ms = max(work.left_ms, OVERDUE_READ_MS)
            ends_in_ms += left_ms
            reads.append(
                PendingRead(
                    ends_in_ms=ends_in_ms,
                    due_in_ms=work.due_ms - now_ms,
                    weight=work.weight,
                )
            )
        helping = sum(work.is_helping for work in self._works)
        return ServerLoad(
            active=len(self._works) - helping,
            helping=helping,
            backlog_ms=ends_in_ms,
            memory_tokens=sum(work.memory_tokens for work in self._works),
            reads=tuple(reads),
            writers=tuple(
                Writer(pause_ms=work.pause_ms, weight=work.weight)
                for work in self._works
                if work.is_writing and work.pause_ms and not work.is_helping
            ),
        )

    def _to_read(self) -> list[Work]:
        """Return what is to be read, in the order in which it is."""
        reading = [work for work in self._works if not work.is_writing]
        shares = [work for work in reading if work.is_divided]
        shares.sort(key=lambda work: work.started_ms, reverse=True)
        return shares + [work for work in reading if not work.is_divided]

    def _advance(self, now_ms: int) -> None:
        """Let the server read until now."""
        spare_ms = float(now_ms - self._at_ms)
        self._at_ms = now_ms
        for work in self._to_read():
            spent_ms = min(work.left_ms, spare_ms)
            work.left_ms -= spent_ms
            spare_ms -= spent_ms
            if not work.left_ms:
                work.overdue_ms += spare_ms


@attrs.define(kw_only=True)
class _PeerWork:
    """The work of a peer, as far as it has reported it."""

    sequence: int = 0
    is_complete: bool = False
    heard_ms: int = 0
    works: dict[int, Work] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _Unreported:
    """What has changed since the last report."""

    started: set[int] = attrs.field(factory=set)
    writing: set[int] = attrs.field(factory=set)
    ended: set[int] = attrs.field(factory=set)
    failed: set[str] = attrs.field(factory=set)
    leaving: set[tuple[str, str]] = attrs.field(factory=set)


class FleetLoad:
    """Adds up the own work and what the peers report.

    :ivar on_change: called with whether other gateways should know at once
        when the own work has changed.
    :ivar on_failed: called with the id of a server that failed a peer.
    :ivar on_leaving: called with id and incarnation of a server that has
        told a peer that it leaves.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._own: dict[int, Work] = {}
        self._peers: dict[str, _PeerWork] = {}
        self._queues: dict[str, ServerQueue] = {}
        self._next_id = 0
        self._sequence = 0
        self._unreported = _Unreported()
        self.on_change: Callable[[bool], None] | None = None
        self.on_failed: Callable[[str], None] | None = None
        self.on_leaving: Callable[[tuple[str, str]], object] | None = None
        self._left_ms: dict[tuple[str, str], int] = {}

    def start(self, work: Work) -> int:
        """Note that a request was sent.

        :returns: an id for ``first_event`` and ``end``.
        """
        self._next_id += 1
        self._own[self._next_id] = work
        self._add(work)
        self._unreported.started.add(self._next_id)
        self._changed(is_urgent=True)
        return self._next_id

    def first_event(self, work_id: int) -> None:
        """Note that a backend server has read the prompt."""
        work = self._own.get(work_id)
        if work is not None and not work.is_writing:
            self._mark_writing(work)
            self._unreported.writing.add(work_id)
            self._changed(is_urgent=False)

    def end(self, work_id: int) -> None:
        """Note that a request has ended at its backend server."""
        work = self._own.pop(work_id, None)
        if work is not None:
            self._remove(work)
            if work_id in self._unreported.started:
                self._unreported.started.discard(work_id)
            else:
                self._unreported.ended.add(work_id)
            self._unreported.writing.discard(work_id)
            self._changed(is_urgent=False)

    def server_failed(self, server_id: str) -> None:
        """Note that a backend server failed, to tell the peers."""
        self._unreported.failed.add(server_id)
        self._changed(is_urgent=True)

    def server_leaves(self, key: tuple[str, str]) -> None:
        """Note that a backend server leaves, to tell the peers.

        :param key: its id and incarnation.
        """
        self._left_ms[key] = self._clock.now_ms()
        self._unreported.leaving.add(key)
        self._changed(is_urgent=True)

    def _changed(self, *, is_urgent: bool) -> None:
        if self.on_change is not None:
            self.on_change(is_urgent)

    def report_again(self) -> messages.LoadReported:
        """Return all of the work under the last report's number.

        For a peer that has heard no report yet: the next one follows on it,
        as it does for the peers that heard the last.
        """
        self._sequence = max(1, self._sequence)
        return self._complete_report(failed=())

    def report(self, *, complete: bool) -> messages.LoadReported:
        """Return the next report for the peers."""
        self._sequence += 1
        changes, self._unreported = self._unreported, _Unreported()
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
            started=self._pack_own(self._own),
            failed=failed,
            leaving=tuple(self._left_ms),
        )

    def _pack_own(self, work_ids: Iterable[int]) -> tuple[tuple, ...]:
        now_ms = self._clock.now_ms()
        return tuple(
            _pack(work_id, self._own[work_id], now_ms) for work_id in work_ids
        )

    def heard(self, *, peer: str, report: messages.LoadReported) -> None:
        """Take a peer's report; one that came late is ignored.

        :param peer: id of one start of the peer's process.
        """
        known = self._peers.setdefault(peer, _PeerWork())
        if report.sequence <= known.sequence:
            return
        now_ms = self._clock.now_ms()
        if report.complete:
            known.is_complete = True
            listed = {fields[0] for fields in report.started}
            for work_id in set(known.works) - listed:
                self._remove(known.works.pop(work_id))
        elif report.sequence != known.sequence + 1:
            known.is_complete = False
        known.sequence = report.sequence
        known.heard_ms = now_ms
        for fields in report.started:
            work_id, work = _unpack(fields, now_ms)
            if work_id not in known.works:
                known.works[work_id] = work
                self._add(work)
            elif work.is_writing:
                self._mark_writing(known.works[work_id])
        for work_id in report.writing:
            if work_id in known.works:
                self._mark_writing(known.works[work_id])
        for work_id in report.ended:
            if work_id in known.works:
                self._remove(known.works.pop(work_id))
        if self.on_leaving is not None:
            for key in report.leaving:
                self.on_leaving(tuple(key))
        if self.on_failed is not None:
            for server_id in report.failed:
                self.on_failed(server_id)

    def forget_silent(self) -> None:
        """Drop what is old: reports of silent peers, servers that left."""
        now_ms = self._clock.now_ms()
        for key, since_ms in list(self._left_ms.items()):
            if since_ms < now_ms - LEAVING_TOLD_MS:
                del self._left_ms[key]
        oldest_ms = now_ms - REPORT_KEPT_MS
        for peer, known in list(self._peers.items()):
            if known.heard_ms < oldest_ms:
                del self._peers[peer]
                for work in known.works.values():
                    self._remove(work)

    @property
    def peer_count(self) -> int:
        """Return how many peers' reports are held without a gap."""
        return sum(known.is_complete for known in self._peers.values())

    @property
    def oldest_report_ms(self) -> int:
        """Return the age of the oldest report that is held."""
        heard = [known.heard_ms for known in self._peers.values()]
        return self._clock.now_ms() - min(heard) if heard else 0

    def own_active(self) -> collections.Counter[str]:
        """Return how many own requests each backend server has."""
        return collections.Counter(
            work.server_id
            for work in self._own.values()
            if not work.is_helping
        )

    def loads(self) -> dict[str, ServerLoad]:
        """Return the load of each backend server that has any."""
        now_ms = self._clock.now_ms()
        return {
            server_id: queue.load(now_ms)
            for server_id, queue in self._queues.items()
        }

    def _add(self, work: Work) -> None:
        now_ms = self._clock.now_ms()
        queue = self._queues.get(work.server_id)
        if queue is None:
            queue = ServerQueue(now_ms=min(now_ms, work.started_ms))
            self._queues[work.server_id] = queue
        queue.start(work, now_ms)

    def _mark_writing(self, work: Work) -> None:
        queue = self._queues[work.server_id]
        queue.first_event(work, self._clock.now_ms())

    def _remove(self, work: Work) -> None:
        queue = self._queues[work.server_id]
        queue.end(work, self._clock.now_ms())
        if queue.is_empty():
            del self._queues[work.server_id]


def _pack(work_id: int, work: Work, now_ms: int) -> tuple:
    """Return a work as a report carries it, with relative times."""
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


def _unpack(fields: tuple, now_ms: int) -> tuple[int, Work]:
    """Return the id and the work that a report carries."""
    named = dict(zip(messages.WORK_FIELDS, fields, strict=True))
    return named['work_id'], Work(
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
