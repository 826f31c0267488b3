"""A stand-in backend server of the platform, as a process of its own.

It announces itself to control hosts, runs requests in slots and writes each
run to a file, so that what it ran is known even after it was killed.
"""

import argparse
import asyncio
import json
import pathlib

import h11

from shallothinge import clock
from shallothinge.platform import names
from shallothinge.platform.tests import samples
from testing.soak import wire

HEARTBEAT_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
EVENT_S = 0.02
# Long enough that a fault mostly finds some calls under way.
CALL_S = 0.3
SLOTS = 8
MAX_BYTES = 65_536


class Backend:
    """Serves requests and announces itself."""

    def __init__(self, *, arguments: argparse.Namespace):
        self._arguments = arguments
        self._born_ms = clock.WallClock().now_ms()
        self._server_id = f'{arguments.name}-{self._born_ms}'
        self._running = 0
        self._sequence = 0
        self._record = arguments.record.open('a', encoding='utf-8')

    async def run(self) -> None:
        """Serve until the process is killed."""
        host, _, port = self._arguments.listen.rpartition(':')
        await asyncio.start_server(self._serve, host, int(port))
        while True:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _announce(self) -> None:
        self._sequence += 1
        body = json.dumps(
            samples.heartbeat(
                cold_ms=0,
                service=self._arguments.service,
                address=self._arguments.address,
                zone='zone-1',
                slots=SLOTS,
                sequence=self._sequence,
                born=self._born_ms,
            )
        ).encode()
        for control in self._arguments.control:
            try:
                answer = await asyncio.wait_for(
                    wire.exchange(
                        address=control,
                        method='PUT',
                        target=names.SERVERS + self._server_id,
                        body=body,
                    ),
                    ANNOUNCE_TIMEOUT_S,
                )
            except (OSError, asyncio.TimeoutError, wire.BrokenAnswer):
                continue
            if answer.status == 200:
                return

    async def _serve(self, reader, writer) -> None:
        try:
            await self._answer(reader, writer)
        except (OSError, h11.RemoteProtocolError, wire.BrokenAnswer):
            # The gateway went away; its request is dropped.
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer) -> None:
        connection = h11.Connection(h11.SERVER)
        request = await wire.read_request(connection, reader)
        refusal = self._refusal(request)
        if refusal:
            fields = self._fields(request) + [(names.UNRUN, '1')]
            await wire.respond(connection, writer, refusal, fields, b'')
            return
        self._running += 1
        try:
            await self._run(connection, writer, request)
        finally:
            self._running -= 1

    def _refusal(self, request: wire.Request) -> int:
        if request.fields.get(names.EXPECTED_SERVER) != self._server_id:
            return 421
        return 503 if self._running >= SLOTS else 0

    def _fields(self, request: wire.Request) -> list[tuple[str, str]]:
        request_id = request.fields.get(names.REQUEST_ID, '')
        return [
            (names.REQUEST_ID, request_id),
            (names.SIGNATURE, wire.signature_of(request_id)),
        ]

    async def _run(self, connection, writer, request: wire.Request) -> None:
        self._note(request)
        fields = self._fields(request)
        if self._arguments.service != wire.STREAMS:
            await asyncio.sleep(CALL_S)
            body = wire.body_of(request.target)
            await wire.respond(connection, writer, 200, fields, body)
            return
        fields.append(('content-type', 'text/event-stream'))
        writer.write(wire.head_of(connection, 200, fields))
        first = int(request.fields.get(names.LAST_EVENT_ID) or 0) + 1
        for number in range(first, wire.event_count(request.target) + 1):
            await asyncio.sleep(EVENT_S)
            event = wire.event_of(request.target, number)
            writer.write(connection.send(h11.Data(data=event)))
            await writer.drain()
        writer.write(connection.send(h11.EndOfMessage()))
        await writer.drain()

    def _note(self, request: wire.Request) -> None:
        line = {
            'request_id': request.fields.get(names.REQUEST_ID, ''),
            'target': request.target,
            'workspace': request.fields.get(names.WORKSPACE, ''),
            'at_ms': clock.WallClock().now_ms(),
        }
        self._record.write(json.dumps(line) + '\n')
        self._record.flush()


def main() -> None:
    """Run a backend server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--listen', required=True, metavar='IP:PORT')
    parser.add_argument('--address', required=True, metavar='IP:PORT')
    parser.add_argument('--control', nargs='+', required=True)
    parser.add_argument('--record', type=pathlib.Path, required=True)
    asyncio.run(Backend(arguments=parser.parse_args()).run())


if __name__ == '__main__':
    main()
