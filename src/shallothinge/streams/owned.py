"""Streams that an agent runs, each with the entry that owns it.

An entry names the streams that it still wants at regular intervals. Tokens
are kept until the owner no longer names a finished stream, so that a
broken connection loses none of them.
"""

import collections
import enum

import attrs

from shallothinge import clock
from shallothinge.streams import messages

OWNER_SILENCE_MS = 5000
FINISHED_KEEP_MS = 30_000
PAST_STREAMS = 20_000
PAST_ROUTES = 64


class Hearing(enum.Enum):
    """What a message's sender is to this table."""

    CURRENT = 'current'
    NEW = 'new'
    SUPERSEDED = 'superseded'


class Start(enum.Enum):
    """What a request to start a stream is to this table."""

    NEW = 'new'
    REPEATED = 'repeated'
    REUSED = 'reused'


class Extent(enum.Enum):
    """Where tokens fall in a stream."""

    NEXT = 'next'
    KNOWN = 'known'
    GAP = 'gap'
    UNKNOWN_STREAM = 'unknown_stream'


@attrs.frozen(kw_only=True)
class StreamKey:
    """Identity of one attempt at a request."""

    request_id: str
    attempt: int

    @property
    def engine_id(self) -> str:
        """Return the id under which the engine knows the stream."""
        return f'{self.request_id}.{self.attempt}'


@attrs.frozen(kw_only=True)
class Sender:
    """An entry as one connection shows it."""

    process_id: str
    incarnation: str
    route: bytes


@attrs.define(kw_only=True)
class OwnedStream:
    """One stream and what its owner has not confirmed yet."""

    key: StreamKey
    owner_id: str
    workspace: str
    model: str
    first_offset: int
    deadline_ms: int
    tokens: list[str] = attrs.field(factory=list)
    sent_offset: int = 0
    ending: messages.StreamFinished | messages.StreamFailed | None = None
    ending_sent: bool = False
    ended_ms: int = 0

    @property
    def next_offset(self) -> int:
        """Return the offset of the next token to come."""
        return self.first_offset + len(self.tokens)


@attrs.define(kw_only=True)
class _Owner:
    incarnation: str
    route: bytes
    heard_ms: int
    past: collections.deque


@attrs.frozen(kw_only=True)
class Heard:
    """A sender's standing, and the streams that lost their owner by it."""

    hearing: Hearing
    restarted: bool = False
    orphans: tuple[StreamKey, ...] = ()


class StreamTable:
    """The streams of one agent, by request and attempt."""

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._streams: dict[StreamKey, OwnedStream] = {}
        self._by_request: dict[str, StreamKey] = {}
        self._owners: dict[str, _Owner] = {}
        self._past = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of streams held."""
        return len(self._streams)

    def get(self, key: StreamKey) -> OwnedStream | None:
        """Return a stream, or None if it is not held."""
        return self._streams.get(key)

    def all(self) -> tuple[OwnedStream, ...]:
        """Return all streams held."""
        return tuple(self._streams.values())

    def engine_ids(self) -> frozenset[str]:
        """Return the engine's ids of the streams that have not ended."""
        return frozenset(
            stream.key.engine_id
            for stream in self._streams.values()
            if stream.ending is None
        )

    def is_owner(self, *, key: StreamKey, owner_id: str) -> bool:
        """Return whether a stream is held and belongs to an owner."""
        stream = self._streams.get(key)
        return stream is not None and stream.owner_id == owner_id

    def route_of(self, owner_id: str) -> bytes | None:
        """Return the connection to send to an owner on, if any."""
        owner = self._owners.get(owner_id)
        return owner.route if owner is not None else None

    def routes(self) -> tuple[bytes, ...]:
        """Return the current connections of all entries heard lately."""
        return tuple(owner.route for owner in self._owners.values())

    def hear(self, sender: Sender) -> Heard:
        """Take note of a sender.

        A new connection supersedes the owner's older ones, and a new
        incarnation orphans the streams of the older one. Late messages of
        a superseded connection do not count as current.
        """
        owner = self._owners.get(sender.process_id)
        now_ms = self._clock.now_ms()
        if owner is None:
            self._owners[sender.process_id] = _Owner(
                incarnation=sender.incarnation,
                route=sender.route,
                heard_ms=now_ms,
                past=collections.deque(maxlen=PAST_ROUTES),
            )
            return Heard(hearing=Hearing.NEW)
        if owner.route == sender.route:
            owner.heard_ms = now_ms
            return Heard(hearing=Hearing.CURRENT)
        if sender.route in owner.past:
            return Heard(hearing=Hearing.SUPERSEDED)
        owner.past.append(owner.route)
        owner.route = sender.route
        owner.heard_ms = now_ms
        if owner.incarnation == sender.incarnation:
            return Heard(hearing=Hearing.NEW)
        owner.incarnation = sender.incarnation
        return Heard(
            hearing=Hearing.NEW,
            restarted=True,
            orphans=self._keys_of(sender.process_id),
        )

    def start(
        self,
        *,
        key: StreamKey,
        owner_id: str,
        request: messages.StartStream,
        waited_ms: int = 0,
    ) -> Start:
        """Take a stream in, unless its id was used before.

        :param waited_ms: how long the request may have waited unread.
        """
        held = self._streams.get(key)
        if held is not None and held.owner_id == owner_id:
            return Start.REPEATED
        if held is not None or key in self._past:
            return Start.REUSED
        older = self._by_request.get(key.request_id)
        if older is not None and not self._replaces(key, older, owner_id):
            return Start.REUSED
        offset = len(request.delivered)
        self._by_request[key.request_id] = key
        self._streams[key] = OwnedStream(
            key=key,
            owner_id=owner_id,
            workspace=request.workspace,
            model=model_of(request),
            first_offset=offset,
            sent_offset=offset,
            deadline_ms=(
                self._clock.now_ms() + request.deadline_ms - waited_ms
            ),
        )
        return Start.NEW

    def older_attempt(self, key: StreamKey) -> StreamKey | None:
        """Return the attempt that a new one would replace, if any."""
        older = self._by_request.get(key.request_id)
        return older if older != key else None

    def extend(
        self, *, key: StreamKey, offset: int, tokens: tuple[str, ...]
    ) -> Extent:
        """Add generated tokens; those already held are dropped."""
        stream = self._streams.get(key)
        if stream is None or stream.ending is not None:
            return Extent.UNKNOWN_STREAM
        known = stream.next_offset - offset
        if known < 0:
            return Extent.GAP
        fresh = tokens[known:]
        if not fresh:
            return Extent.KNOWN
        stream.tokens.extend(fresh)
        return Extent.NEXT

    def end(
        self,
        *,
        key: StreamKey,
        ending: messages.StreamFinished | messages.StreamFailed,
    ) -> bool:
        """Set a stream's ending.

        :returns: False if the stream is not held or has ended before.
        """
        stream = self._streams.get(key)
        if stream is None or stream.ending is not None:
            return False
        stream.ending = ending
        stream.ended_ms = self._clock.now_ms()
        return True

    def resume(
        self, *, key: StreamKey, owner_id: str, next_offset: int
    ) -> bool:
        """Send a stream again from an offset on.

        :returns: False if the stream can not be continued from there.
        """
        stream = self._streams.get(key)
        if stream is None or stream.owner_id != owner_id:
            return False
        if not stream.first_offset <= next_offset <= stream.next_offset:
            return False
        stream.sent_offset = next_offset
        stream.ending_sent = False
        return True

    def remove(self, key: StreamKey) -> None:
        """Forget a stream but for its id."""
        if self._streams.pop(key, None) is None:
            return
        if self._by_request.get(key.request_id) == key:
            del self._by_request[key.request_id]
        self._past[key] = True
        while len(self._past) > PAST_STREAMS:
            self._past.popitem(last=False)

    def unwanted(
        self, *, owner_id: str, request_ids: frozenset[str]
    ) -> tuple[StreamKey, ...]:
        """Return the owner's streams that its list does not name."""
        return tuple(
            key
            for key in self._keys_of(owner_id)
            if key.request_id not in request_ids
        )

    def expired(self) -> tuple[StreamKey, ...]:
        """Return the streams whose owner or whose use has gone.

        Owners that are silent and own nothing are forgotten.
        """
        now_ms = self._clock.now_ms()
        gone = []
        for stream in self._streams.values():
            owner = self._owners.get(stream.owner_id)
            silent = owner is None or self._is_silent(owner, now_ms)
            kept_ms = now_ms - stream.ended_ms
            if silent:
                gone.append(stream.key)
            elif stream.ending is not None and kept_ms > FINISHED_KEEP_MS:
                gone.append(stream.key)
        self._forget_owners(now_ms)
        return tuple(gone)

    def overdue(self) -> tuple[StreamKey, ...]:
        """Return the running streams whose deadline has passed."""
        now_ms = self._clock.now_ms()
        return tuple(
            stream.key
            for stream in self._streams.values()
            if stream.ending is None and now_ms >= stream.deadline_ms
        )

    def _keys_of(self, owner_id: str) -> tuple[StreamKey, ...]:
        return tuple(
            stream.key
            for stream in self._streams.values()
            if stream.owner_id == owner_id
        )

    def _replaces(
        self, key: StreamKey, older: StreamKey, owner_id: str
    ) -> bool:
        same_owner = self._streams[older].owner_id == owner_id
        return same_owner and key.attempt > older.attempt

    def _is_silent(self, owner: _Owner, now_ms: int) -> bool:
        return now_ms - owner.heard_ms > OWNER_SILENCE_MS

    def _forget_owners(self, now_ms: int) -> None:
        owning = {stream.owner_id for stream in self._streams.values()}
        for owner_id, owner in list(self._owners.items()):
            if owner_id not in owning and self._is_silent(owner, now_ms):
                del self._owners[owner_id]


def model_of(request: messages.StartStream) -> str:
    """Return ``name@version`` of the model that a request asks for."""
    if not request.model_version:
        return request.model
    return f'{request.model}@{request.model_version}'
