"""How a stand-in backend server frames its streams and breaks them off."""

import random

import attrs
import h11

from testing.soak import wire

UNFRAMED_SHARE = 0.3
TRUNCATED_SHARE = 0.02
# An unframed stream always goes on with the start of its next event, so that
# the loss of its server shows.
NEXT_EVENT_BYTES = 3


@attrs.frozen(kw_only=True)
class Framing:
    """The framing of one stream.

    ``kept_fraction`` is the part of the events that is sent, up to a torn one,
    or None for all of them.
    """

    is_chunked: bool
    kept_fraction: float | None

    @property
    def is_truncated(self) -> bool:
        """Return whether the stream ends inside an event."""
        return self.kept_fraction is not None

    def head(self, connection: h11.Connection, fields) -> bytes:
        """Return the bytes of the head."""
        if self.is_chunked:
            return wire.head_of(connection, 200, fields)
        lines = (f'{name}: {value}\r\n' for name, value in fields)
        return f'HTTP/1.1 200 OK\r\n{"".join(lines)}\r\n'.encode()

    def pieces(
        self, connection: h11.Connection, events: list[bytes]
    ) -> list[bytes]:
        """Return the bytes to send one after the other."""
        if self.is_truncated:
            kept = int(self.kept_fraction * len(events))
            events = [*events[:kept], events[kept][:-1]]
        if self.is_chunked:
            return [connection.send(h11.Data(data=one)) for one in events]
        stream = b''.join(events)
        ends, end = [0], 0
        for event in events:
            end += len(event)
            ends.append(min(len(stream), end + NEXT_EVENT_BYTES))
        return [
            stream[start:stop]
            for start, stop in zip(ends, ends[1:], strict=False)
        ]

    def end(self, connection: h11.Connection) -> bytes:
        """Return the bytes behind the last event."""
        return connection.send(h11.EndOfMessage()) if self.is_chunked else b''


def draw(rng: random.Random) -> Framing:
    """Draw the framing of a stream."""
    is_truncated = rng.random() < TRUNCATED_SHARE
    return Framing(
        is_chunked=rng.random() >= UNFRAMED_SHARE,
        kept_fraction=rng.random() if is_truncated else None,
    )
