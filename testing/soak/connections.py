"""Connections of callers, which a caller may keep and use again."""

import asyncio
import enum
import random
import time

import h11

from shallothinge import clock
from testing.soak import wire

# Requests on kept connections, and those whose bytes are sent in pieces.
KEPT_SHARE = 0.5
PIECES_SHARE = 0.25
MOST_PIECES = 4
PIECE_PAUSE_S = (0.005, 0.06)
# Callers use connections again that were idle for up to four fifths of the
# idle timeout, which is 15 s.
MOST_IDLE_S = 12.0


class Ending(enum.Enum):
    """How an exchange ended for its caller."""

    ANSWERED = 'answered'
    # The connection ended before the last byte of the request was sent.
    NOT_SENT = 'not sent'
    CLOSED = 'closed before the answer'
    RESET = 'reset before the answer'
    CUT = 'cut in the answer'
    UNREADABLE = 'unreadable answer'
    TIMED_OUT = 'given up by the caller'


class Connection:
    """A connection to a gateway.

    :ivar sent_ms: when the last byte of the newest request was sent, in Unix
        milliseconds; None before that.
    :ivar ending: how the newest exchange ended.
    """

    def __init__(self, *, reader, writer):
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self._has_answer = False
        self._is_at_end = False
        self._used_s = time.monotonic()
        self.is_reused = False
        self.sent_ms: int | None = None
        self.ending = Ending.NOT_SENT

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Connect to an address.

        :raises OSError: if there is no connection.
        """
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader=reader, writer=writer)

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent on it."""
        return (
            self.ending is Ending.ANSWERED
            and self._http.our_state is h11.IDLE
            and self._reader.exception() is None
            and not self._reader.at_eof()
            and time.monotonic() - self._used_s < MOST_IDLE_S
        )

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def ask(
        self, *, target, fields, body: bytes, pauses_s: list[float]
    ) -> wire.Answer | None:
        """Send a request; return the answer if it is whole.

        :param pauses_s: pauses between the pieces in which it is sent.
        """
        self.is_reused = self.ending is Ending.ANSWERED
        self.ending, self.sent_ms = Ending.TIMED_OUT, None
        self._has_answer = False
        head = [('host', wire.HOST), ('content-length', str(len(body)))]
        data = wire.request_bytes(
            self._http, 'POST', target, [*head, *fields], body
        )
        try:
            await self._send(data, pauses_s)
        except OSError:
            # An answer may have come before.
            pass
        try:
            answer = await wire.read_answer(self._http, self._read)
        except (OSError, wire.BrokenAnswer) as error:
            self.ending = self._ending_of(error)
            return None
        self.ending = Ending.ANSWERED
        self._used_s = time.monotonic()
        if self._http.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._http.start_next_cycle()
        return answer

    async def _send(self, data: bytes, pauses_s: list[float]) -> None:
        size = -(-len(data) // (len(pauses_s) + 1))
        for index in range(0, len(data), size):
            if index:
                await asyncio.sleep(pauses_s[index // size - 1])
            self._writer.write(data[index : index + size])
            await self._writer.drain()
        self.sent_ms = clock.WallClock().now_ms()

    async def _read(self) -> bytes:
        data = await self._reader.read(wire.MAX_BYTES)
        self._has_answer |= bool(data)
        self._is_at_end |= not data
        return data

    def _ending_of(self, error: Exception) -> Ending:
        if isinstance(error, wire.BrokenAnswer) and not self._is_at_end:
            return Ending.UNREADABLE
        if self._has_answer:
            return Ending.CUT
        if self.sent_ms is None:
            return Ending.NOT_SENT
        return Ending.RESET if isinstance(error, OSError) else Ending.CLOSED


class Pool:
    """The connections that callers keep, by gateway."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._idle: dict[str, list[Connection]] = {}

    async def take(self, gateway: str, address: str) -> Connection:
        """Return a kept connection or a new one.

        :raises OSError: if there is no connection.
        """
        idle = self._idle.get(gateway, [])
        for one in idle:
            if not one.is_usable:
                one.close()
        idle[:] = [one for one in idle if one.is_usable]
        if idle and self._rng.random() < KEPT_SHARE:
            return idle.pop(self._rng.randrange(len(idle)))
        return await Connection.open(address)

    def give_back(self, gateway: str, connection: Connection) -> None:
        """Keep a connection that can be used again, at times."""
        if connection.is_usable and self._rng.random() < KEPT_SHARE:
            self._idle.setdefault(gateway, []).append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all that are idle."""
        for idle in self._idle.values():
            for one in idle:
                one.close()
        self._idle.clear()

    def draw_pauses(self) -> list[float]:
        """Return the pauses between the pieces of a request."""
        if self._rng.random() >= PIECES_SHARE:
            return []
        count = self._rng.randrange(1, MOST_PIECES)
        return [self._rng.uniform(*PIECE_PAUSE_S) for _ in range(count)]
