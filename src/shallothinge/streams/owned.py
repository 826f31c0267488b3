"""Table of the streams that an agent runs, and the entries that own them.

Each entry regularly sends the list of the streams that it still needs.
Tokens of a finished stream are kept until its owner no longer lists it, so
that a broken connection loses no tokens.
"""

import collections
import enum

import attrs

from shallothinge import clock
from shallothinge.streams import messages

OWNER_SILENCE_MS = 5000
FINISHED_KEEP_MS = 30_000
MAX_REMOVED_KEYS = 20_000
MAX_PREVIOUS_ROUTES = 64


class Hearing(enum.Enum):
    """State of the connection that a message arrived on."""

    CURRENT = 'current'
    NEW = 'new'
    SUPERSEDED = 'superseded'


class Start(enum.Enum):
    """Outcome of a request to start a stream."""

    NEW = 'new'
    REPEATED = 'repeated'
    REUSED = 'reused'


class Extent(enum.Enum):
    """Position of received tokens relative to those already held."""

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
        """Return the engine's id of the stream."""
        return f'{self.request_id}.{self.attempt}'


@attrs.frozen(kw_only=True)
class Sender:
    """An entry process, identified on one connection."""

    process_id: str
    incarnation: str
    route: bytes


@attrs.define(kw_only=True)
class OwnedStream:
    """One stream, its tokens and how much of it has been sent."""

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
        """Return the offset of the next token to be generated."""
        return self.first_offset + len(self.tokens)


@attrs.define(kw_only=True)
class _Owner:
    incarnation: str
    route: bytes
    heard_ms: int
    previous_routes: collections.deque


@attrs.frozen(kw_only=True)
class Heard:
    """State of a sender, and the streams orphaned by its restart."""

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
        self._removed_keys = collections.OrderedDict()

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
        """Return the route of an owner's current connection, if any."""
        owner = self._owners.get(owner_id)
        return owner.route if owner is not None else None

    def routes(self) -> tuple[bytes, ...]:
        """Return the routes of all known entries."""
        return tuple(owner.route for owner in self._owners.values())

    def hear(self, sender: Sender) -> Heard:
        """Record that a message arrived from a sender.

        A new connection supersedes the owner's older ones, and a new
        incarnation orphans the streams of the previous one. Late messages
        on a superseded connection are reported as ``SUPERSEDED``.
        """
        owner = self._owners.get(sender.process_id)
        now_ms = self._clock.now_ms()
        if owner is None:
            self._owners[sender.process_id] = _Owner(
                incarnation=sender.incarnation,
                route=sender.route,
                heard_ms=now_ms,
                previous_routes=collections.deque(maxlen=MAX_PREVIOUS_ROUTES),
            )
            return Heard(hearing=Hearing.NEW)
        if owner.route == sender.route:
            owner.heard_ms = now_ms
            return Heard(hearing=Hearing.CURRENT)
        if sender.route in owner.previous_routes:
            return Heard(hearing=Hearing.SUPERSEDED)
        owner.previous_routes.append(owner.route)
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
        """Add a stream, unless its id was used before.

        :param waited_ms: longest time that the request may have waited before
            it was read, in milliseconds; it counts towards the deadline.
        """
        held = self._streams.get(key)
        if held is not None and held.owner_id == owner_id:
            return Start.REPEATED
        if held is not None or key in self._removed_keys:
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
        """Append generated tokens, skipping those already held."""
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
        """Record the final message of a stream.

        :returns: False if the stream is not held or has already ended.
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
        """Mark a stream to be resent from an offset.

        :returns: False if the owner has no such stream, or the offset is
            outside the range of the tokens held.
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
        """Remove a stream, but remember its id so that it is not reused."""
        if self._streams.pop(key, None) is None:
            return
        if self._by_request.get(key.request_id) == key:
            del self._by_request[key.request_id]
        self._removed_keys[key] = True
        while len(self._removed_keys) > MAX_REMOVED_KEYS:
            self._removed_keys.popitem(last=False)

    def unwanted(
        self, *, owner_id: str, request_ids: frozenset[str]
    ) -> tuple[StreamKey, ...]:
        """Return the owner's streams that are missing from its list."""
        return tuple(
            key
            for key in self._keys_of(owner_id)
            if key.request_id not in request_ids
        )

    def expired(self) -> tuple[StreamKey, ...]:
        """Return the streams to remove.

        These are streams whose owner is silent or unknown, and streams that
        ended longer than ``FINISHED_KEEP_MS`` ago. Silent owners without
        streams are removed from the table.
        """
        now_ms = self._clock.now_ms()
        expired_keys = []
        for stream in self._streams.values():
            owner = self._owners.get(stream.owner_id)
            silent = owner is None or self._is_silent(owner, now_ms)
            kept_ms = now_ms - stream.ended_ms
            if silent:
                expired_keys.append(stream.key)
            elif stream.ending is not None and kept_ms > FINISHED_KEEP_MS:
                expired_keys.append(stream.key)
        self._remove_silent_owners(now_ms)
        return tuple(expired_keys)

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

    def _remove_silent_owners(self, now_ms: int) -> None:
        owning = {stream.owner_id for stream in self._streams.values()}
        for owner_id, owner in list(self._owners.items()):
            if owner_id not in owning and self._is_silent(owner, now_ms):
                del self._owners[owner_id]


def model_of(request: messages.StartStream) -> str:
    """Return ``name@version`` of the model that a request asks for."""
    if not request.model_version:
        return request.model
    return f'{request.model}@{request.model_version}'
