"""Sends the tokens of all streams to their owners, in few messages."""

from shallothinge.streams import messages
from shallothinge.streams import owned
from shallothinge.transport import endpoint as endpoints

FLUSH_MS = 4
BLOCKED_RETRY_MS = 100
BATCH_FRAMES = 64


class FrameSender:
    """Gathers what is to be sent for a few milliseconds, then sends it.

    What can not be sent stays in the table and is tried again, or sent
    when the owner resumes the stream on a new connection.
    """

    def __init__(
        self,
        *,
        reactor,
        table: owned.StreamTable,
        endpoint: endpoints.Endpoint,
    ):
        self._reactor = reactor
        self._table = table
        self._endpoint = endpoint
        self._waiting: dict[owned.StreamKey, None] = {}
        self._timer = None

    def mark(self, key: owned.StreamKey) -> None:
        """Note that a stream has something to send."""
        self._waiting[key] = None
        self._schedule(FLUSH_MS)

    def close(self) -> None:
        """Send nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._waiting.clear()

    def _schedule(self, delay_ms: int) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(delay_ms / 1000, self._flush)

    def _flush(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, {}
        for route, streams in self._by_route(waiting).items():
            for start in range(0, len(streams), BATCH_FRAMES):
                self._send(route, streams[start : start + BATCH_FRAMES])
        if self._waiting:
            self._schedule(BLOCKED_RETRY_MS)

    def _by_route(self, keys) -> dict[bytes, list[owned.OwnedStream]]:
        streams_by_route = {}
        for key in keys:
            stream = self._table.get(key)
            if stream is None:
                continue
            route = self._table.route_of(stream.owner_id)
            if route is not None:
                streams_by_route.setdefault(route, []).append(stream)
        return streams_by_route

    def _send(self, route: bytes, streams: list[owned.OwnedStream]) -> None:
        frames = tuple(
            frame_of(stream)
            for stream in streams
            if stream.sent_offset < stream.next_offset
        )
        if frames and not self._send_frames(route, frames):
            self._waiting.update(dict.fromkeys(s.key for s in streams))
            return
        for stream in streams:
            stream.sent_offset = stream.next_offset
            self._send_ending(route, stream)

    def _send_frames(self, route: bytes, frames) -> bool:
        message = frames[0]
        if len(frames) > 1:
            message = messages.FrameBatch(frames=frames)
        return self._endpoint.send(route=route, message=message)

    def _send_ending(self, route: bytes, stream: owned.OwnedStream) -> None:
        if stream.ending is None or stream.ending_sent:
            return
        stream.ending_sent = self._endpoint.send(
            route=route, message=stream.ending
        )
        if not stream.ending_sent:
            self._waiting[stream.key] = None


def frame_of(stream: owned.OwnedStream) -> messages.StreamFrame:
    """Return the frame that holds all tokens not sent yet."""
    start = stream.sent_offset - stream.first_offset
    return messages.StreamFrame(
        request_id=stream.key.request_id,
        attempt=stream.key.attempt,
        offset=stream.sent_offset,
        tokens=tuple(stream.tokens[start:]),
    )
