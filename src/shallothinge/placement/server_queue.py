"""Model of the work at one backend server."""

import attrs

# Estimated remaining time of a read that should have ended by now.
OVERDUE_READ_MS = 20.0
# The end of a share's read is only observed when the whole prompt has been
# read, which may depend on another server. Once a share is overdue by this
# time, it is more likely that this server has read it.
UNCONFIRMED_READ_MS = 300.0


@attrs.define(kw_only=True)
class Work:
    """One request, or a part of its prompt, at one backend server.

    ``started_ms`` and ``due_ms`` are times on this process's clock.

    :ivar read_ms: how long the server reads its part of the prompt.
    :ivar pause_ms: longest allowed pause between events, 0 if there are none.
    :ivar weight: weight of a late answer.
    :ivar is_writing: whether the first event has arrived.
    :ivar is_helping: whether the server only reads a part of a prompt whose
        answer another server generates.
    :ivar is_divided: whether other servers read parts of the same prompt.
    :ivar memory_tokens: tokens that the request holds in the server's memory.
    :ivar remaining_ms: estimated remaining duration of the read.
    :ivar overdue_ms: how long the read has been overdue by this estimate.
    :ivar assigned_ms: total duration of the reads that the server had been
        assigned when the work was added, its own included.
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
    remaining_ms: float = attrs.field(init=False)
    overdue_ms: float = attrs.field(init=False, default=0.0)
    assigned_ms: float = attrs.field(init=False, default=0.0)

    def __attrs_post_init__(self):
        self.remaining_ms = self.read_ms


@attrs.frozen(kw_only=True)
class PendingRead:
    """A read that a server has not finished.

    ``ends_in_ms`` is the expected time until its end, ``due_in_ms`` the time
    until the first event that depends on it is late.
    """

    ends_in_ms: float
    due_in_ms: float
    weight: float


@attrs.frozen(kw_only=True)
class Writer:
    """A stream that a server generates.

    ``pause_ms`` is the longest allowed pause between its events.
    """

    pause_ms: int
    weight: float


@attrs.frozen(kw_only=True)
class ServerLoad:
    """Estimated load of one backend server.

    ``active`` is the number of requests in its slots, ``helping`` that of
    the parts that it reads for other servers. ``backlog_ms`` is the
    remaining duration of all pending reads, ``memory_tokens`` the memory that
    all work holds, ``unconfirmed_tokens`` the memory that work of silent
    gateways may hold in addition.
    """

    active: int = 0
    helping: int = 0
    backlog_ms: float = 0.0
    memory_tokens: int = 0
    unconfirmed_tokens: int = 0
    reads: tuple[PendingRead, ...] = ()
    writers: tuple[Writer, ...] = ()


class ServerQueue:
    """Model of the work at one server, updated at each event.

    The server reads the shares of divided prompts first, starting with the
    newest, and then whole prompts in the order of arrival. Generating streams
    does not stop it from reading, but events are sent only at the end of a
    pass.
    """

    def __init__(self, *, now_ms: int):
        self._updated_ms = now_ms
        self._works: list[Work] = []
        self._assigned_ms = 0.0

    def start(self, work: Work, now_ms: int) -> None:
        """Add a work."""
        self._advance(now_ms)
        self._works.append(work)
        self._assigned_ms += work.read_ms
        work.assigned_ms = self._assigned_ms

    def first_event(self, work: Work, now_ms: int) -> None:
        """Record that the prompt of a work has been read."""
        self._advance(now_ms)
        work.is_writing = True

    def end(self, work: Work, now_ms: int) -> None:
        """Remove a work."""
        self._advance(now_ms)
        self._works = [one for one in self._works if one is not work]

    def assigned_since_ms(self, work: Work) -> float:
        """Return the total duration of the reads added after a work."""
        return self._assigned_ms - work.assigned_ms

    def is_reading(self, now_ms: int) -> bool:
        """Return whether the server is likely still to read a prompt."""
        self._advance(now_ms)
        return bool(self._unread_works())

    def is_empty(self) -> bool:
        """Return whether no work is in progress."""
        return not self._works

    def load(self, now_ms: int) -> ServerLoad:
        """Return the estimated load at a time."""
        self._advance(now_ms)
        ends_in_ms = 0.0
        reads = []
        for work in self._unread_works():
            remaining_ms = max(work.remaining_ms, OVERDUE_READ_MS)
            ends_in_ms += remaining_ms
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

    def read_end_in_ms(
        self, now_ms: int, *, min_read_ms: float
    ) -> float | None:
        """Return when the long reads end, see ``FleetLoad``."""
        self._advance(now_ms)
        ends_in_ms = 0.0
        found = []
        for work in self._unread_works():
            ends_in_ms += work.remaining_ms
            if work.read_ms >= min_read_ms:
                is_overdue = not work.remaining_ms
                found.append(-work.overdue_ms if is_overdue else ends_in_ms)
        return max(found, default=None)

    def _unread_works(self) -> list[Work]:
        """Return the pending works that the server is likely still to read."""
        return [
            work
            for work in self._pending_works()
            if not work.is_divided or work.overdue_ms < UNCONFIRMED_READ_MS
        ]

    def _pending_works(self) -> list[Work]:
        """Return the works still to be read, in the order of reading."""
        reading = [work for work in self._works if not work.is_writing]
        shares = [work for work in reading if work.is_divided]
        shares.sort(key=lambda work: work.started_ms, reverse=True)
        return shares + [work for work in reading if not work.is_divided]

    def _advance(self, now_ms: int) -> None:
        """Advance the model of the reads to the current time."""
        available_ms = float(now_ms - self._updated_ms)
        self._updated_ms = now_ms
        for work in self._pending_works():
            spent_ms = min(work.remaining_ms, available_ms)
            work.remaining_ms -= spent_ms
            available_ms -= spent_ms
            if not work.remaining_ms:
                work.overdue_ms += available_ms
