"""Loopback relays that delay, cut, silence or reset what they carry."""

import asyncio
import enum
import socket
import struct

MAX_BYTES = 65_536
DELAY_S = 0.4
RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What a relay does with its connections."""

    PASS = 'pass'
    DELAY = 'delay'
    # Bytes of the server never arrive; those of the caller do. A connection
    # that has lost some never carries later ones, as TCP leaves no gap.
    ONE_WAY = 'one_way'
    # Nothing passes on any connection, and none is closed.
    SILENT = 'silent'


class Relay:
    """Carries connections from one address to another."""

    def __init__(self, *, listen: str, target: str):
        self._listen = listen
        self.target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._carrying: set[asyncio.Task] = set()
        self._may_pass = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.set_mode(Mode.PASS)

    async def start(self) -> None:
        """Begin to listen."""
        host, _, port = self._listen.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    def close(self) -> None:
        """Stop to listen and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in self._carrying:
            task.cancel()

    async def wait_closed(self) -> None:
        """Wait until nothing is carried any more, after ``close``."""
        while self._carrying:
            await asyncio.wait(self._carrying)

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to all connections, open ones too."""
        self.mode = mode
        if mode is Mode.SILENT:
            self._may_pass.clear()
        else:
            self._may_pass.set()

    def reset_all(self) -> None:
        """Reset the open connections."""
        for writer in list(self._writers):
            raw = writer.get_extra_info('socket')
            # One side of a connection may have been closed already.
            if raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    def _accept(self, reader, writer) -> None:
        # Of tasks that asyncio starts itself, each one that is cancelled
        # is reported as an error.
        task = asyncio.create_task(self._carry(reader, writer))
        self._carrying.add(task)
        task.add_done_callback(self._carrying.discard)

    async def _carry(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, onward[1]}
        try:
            await asyncio.gather(
                self._pump(reader, onward[1], is_answer=False),
                self._pump(onward[0], writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, onward[1]}
            writer.close()
            onward[1].close()

    async def _pump(self, reader, writer, *, is_answer: bool) -> None:
        has_lost = False
        try:
            while data := await reader.read(MAX_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                has_lost |= self.mode is Mode.ONE_WAY and is_answer
                if has_lost:
                    continue
                await self._may_pass.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
