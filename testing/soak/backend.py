"""A stand-in backend server of the platform, as a process of its own.

It announces itself to control hosts, runs requests in slots and writes each
run to a file, so that what it ran is known even after it was killed.

At SIGTERM it reports that it is leaving, at SIGUSR1 it says at once that it
is gone; from then on its answers say so, too. Once that is acknowledged it
serves on for some seconds, as real ones may, and notes the requests that
still reach it too late. Now and then it refuses a request and asks for a
pause, or answers one that it runs with bytes that never end, or with a stream
that ends inside an event. It resets the connections of some requests that it
runs, once each, and goes on. Others it runs and answers with a status that
promises that they have not run, which it does not state. Some streams have no
framing and end with their connection. For some time it may name a limit of
requests a second. What it says of itself is noted, with all requests that
arrive. A datagram tells it to fall silent for a while, which is no fault.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import time

import h11

from shallothinge import clock
from shallothinge.http1.tests import endless
from shallothinge.platform import names
from shallothinge.platform.tests import samples
from testing.soak import checks
from testing.soak import failures
from testing.soak import framing as framings
from testing.soak import limits
from testing.soak import resets
from testing.soak import silences
from testing.soak import wire

HEARTBEAT_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
EVENT_S = 0.02
# Long enough that a fault mostly finds some calls under way.
CALL_S = 0.3
SLOTS = 8
MAX_BYTES = 65_536
LEAVE_AGAIN_S = 0.2
# Some servers stay for many seconds after their leaving was acknowledged.
LINGER_S = 6.0
# Without an acknowledgement a server goes all the same.
UNANSWERED_S = 6.0
# Of the requests that arrive, some are refused with a pause asked for.
PAUSE_SHARE = 0.02
PAUSE_S = (1.5, 5.0)
# Of those that run, some get bytes without end, until the gateway closes.
ENDLESS_SHARE = 0.02
ENDLESS_PIECE_BYTES = 65_536
# One that vanishes says so in its answers for so long before control hears.
TOLD_FIRST_S = 3.5
LEAVE_SIGNALS = (signal.SIGTERM, signal.SIGUSR1)


class Backend:
    """Serves requests and announces itself."""

    def __init__(self, *, arguments: argparse.Namespace):
        self._arguments = arguments
        self._born_ms = clock.WallClock().now_ms()
        # For the records, which tell the starts of a server apart.
        self._start_id = f'{arguments.name}-{self._born_ms}'
        # Some servers start again under the id that they had.
        keeps_id = random.Random(f'id {arguments.name}').random() < 0.5
        self._server_id = arguments.name if keeps_id else self._start_id
        self._running = 0
        self._sequence = 0
        self._record = arguments.record.open('a', encoding='utf-8')
        self._state = names.READY
        self._is_leaving = False
        self._rng = random.Random(arguments.name)
        self._endless_rng = random.Random(f'endless {arguments.name}')
        self._framing_rng = random.Random(f'framing {arguments.name}')
        self._limits = limits.Schedule(
            name=arguments.name, folder=arguments.record.parent
        )
        self._resets = resets.Resets(name=arguments.name)
        self._failures = failures.Failures(name=arguments.name)
        self._left_ms: int | None = None
        self._silence = Silence()

    async def run(self) -> None:
        """Serve until the process is killed."""
        host, _, port = self._arguments.listen.rpartition(':')
        await asyncio.start_server(self._serve, host, int(port))
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._silence, local_addr=(host, int(port))
        )
        leaving = asyncio.get_running_loop().create_future()
        for number in LEAVE_SIGNALS:
            asyncio.get_running_loop().add_signal_handler(
                number, _resolve, leaving, number
            )
        announcing = asyncio.create_task(self._announce_always())
        number = await leaving
        self._is_leaving = True
        if number is signal.SIGTERM:
            self._state = names.DRAINING
            await self._leave(self._announce)
        else:
            await asyncio.sleep(TOLD_FIRST_S)
            announcing.cancel()
            await self._leave(self._withdraw)
        announcing.cancel()
        await self._withdraw()
        self._write('gone', at_ms=clock.WallClock().now_ms())

    async def _announce_always(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _leave(self, tell) -> None:
        """Tell control until it acknowledges; then serve on for a while."""
        waiting = asyncio.create_task(asyncio.sleep(UNANSWERED_S))
        while not waiting.done():
            leader = await tell()
            if leader is not None:
                self._left_ms = clock.WallClock().now_ms()
                self._write('left', at_ms=self._left_ms, leader=leader)
                await asyncio.sleep(LINGER_S)
                break
            await asyncio.sleep(LEAVE_AGAIN_S)
        waiting.cancel()

    async def _withdraw(self) -> str | None:
        return await self._tell('DELETE', b'')

    async def _announce(self) -> str | None:
        self._sequence += 1
        body = json.dumps(
            samples.heartbeat(
                cold_ms=0,
                service=self._arguments.service,
                address=self._arguments.address,
                zone='zone-1',
                slots=SLOTS,
                state=self._state,
                sequence=self._sequence,
                born=self._born_ms,
            )
        ).encode()
        return await self._tell('PUT', body)

    async def _tell(self, method: str, body: bytes) -> str | None:
        """Return the leader that acknowledges, or None."""
        for control in self._arguments.control:
            try:
                answer = await asyncio.wait_for(
                    wire.exchange(
                        address=control,
                        method=method,
                        target=names.SERVERS + self._server_id,
                        body=body,
                    ),
                    ANNOUNCE_TIMEOUT_S,
                )
            except (OSError, asyncio.TimeoutError, wire.BrokenAnswer):
                continue
            if answer.status == 200:
                return json.loads(answer.body).get(names.LEADER_ADDRESS, '')
        return None

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
        if refusal != 421:
            self._note_if_late(request)
            self._note_event('arrival', request)
        if refusal:
            fields = self._fields(request) + [(names.UNRUN, '1')]
            await wire.respond(connection, writer, refusal, fields, b'')
            return
        if self._rng.random() < PAUSE_SHARE:
            await self._ask_for_pause(connection, writer, request)
            return
        self._running += 1
        try:
            await self._run(connection, writer, request)
        finally:
            self._running -= 1

    async def _ask_for_pause(self, connection, writer, request) -> None:
        pause_s = round(self._rng.uniform(*PAUSE_S), 2)
        fields = self._fields(request) + [
            (names.UNRUN, '1'),
            (names.RETRY_AFTER_S, f'{pause_s:g}'),
        ]
        await wire.respond(connection, writer, 503, fields, b'')
        self._note_notice(request, pause_ms=int(pause_s * 1000))

    def _refusal(self, request: wire.Request) -> int:
        if request.fields.get(names.EXPECTED_SERVER) != self._server_id:
            return 421
        return 503 if self._running >= SLOTS else 0

    def _fields(self, request: wire.Request) -> list[tuple[str, str]]:
        request_id = request.fields.get(names.REQUEST_ID, '')
        fields = [
            (names.REQUEST_ID, request_id),
            (names.SIGNATURE, wire.signature_of(request_id)),
        ]
        if self._is_leaving:
            fields.append((names.LEAVING, '1'))
        now_ms = clock.WallClock().now_ms()
        per_s = self._limits.per_s(now_ms)
        if per_s is not None:
            fields.append((names.LIMIT_PER_S, f'{per_s:g}'))
            self._write(
                'limit', request_id=request_id, at_ms=now_ms, per_s=per_s
            )
        return fields

    async def _run(self, connection, writer, request: wire.Request) -> None:
        self._note(request)
        fields = self._fields(request)
        if self._endless_rng.random() < ENDLESS_SHARE:
            self._note_event('broken', request)
            await self._send_without_end(writer, fields)
        reset_s = self._resets.draw_delay_s(request.target)
        if reset_s is not None:
            await asyncio.sleep(reset_s)
            self._note_event('broken', request)
            resets.reset(writer)
            return
        status = self._failures.draw_status(request.target)
        if status is not None:
            await asyncio.sleep(EVENT_S)
            await wire.respond(connection, writer, status, fields, b'failed')
            self._note_if_told(request, fields)
            return
        # A route may send its requests to servers of either service.
        if not request.target.startswith(f'/{wire.STREAMS}/'):
            await asyncio.sleep(CALL_S)
            await self._silence.wait(is_begun=False)
            body = wire.body_of(request.target)
            await wire.respond(connection, writer, 200, fields, body)
            self._note_if_told(request, fields)
            return
        fields.append(('content-type', 'text/event-stream'))
        framing = framings.draw(self._framing_rng)
        if framing.is_truncated:
            self._note_event('broken', request)
        writer.write(framing.head(connection, fields))
        first = int(request.fields.get(names.LAST_EVENT_ID) or 0) + 1
        events = [
            wire.event_of(request.target, number)
            for number in range(first, wire.event_count(request.target) + 1)
        ]
        for index, piece in enumerate(framing.pieces(connection, events)):
            await asyncio.sleep(EVENT_S)
            await self._silence.wait(is_begun=index > 0)
            writer.write(piece)
            await writer.drain()
            if index == 0:
                self._note_event('begun', request)
        writer.write(framing.end(connection))
        await writer.drain()
        if not framing.is_truncated:
            self._note_if_told(request, fields)

    async def _send_without_end(self, writer, fields) -> None:
        """Send until the connection is closed, which raises OSError."""
        lines = (f'{name}: {value}' for name, value in fields)
        shapes = endless.shapes(*lines)
        _, first, again = self._endless_rng.choice(shapes)
        writer.write(first)
        while True:
            writer.write(again * (ENDLESS_PIECE_BYTES // len(again) + 1))
            await writer.drain()

    def _note_if_told(self, request: wire.Request, fields) -> None:
        """Note that an answer which is out said that this server leaves."""
        if (names.LEAVING, '1') in fields:
            self._note_notice(request, pause_ms=None)

    def _note_notice(self, request, *, pause_ms: int | None) -> None:
        self._write(
            'notice',
            request_id=request.fields.get(names.REQUEST_ID, ''),
            at_ms=clock.WallClock().now_ms(),
            pause_ms=pause_ms,
        )

    def _note_event(self, what: str, request: wire.Request) -> None:
        self._write(
            what,
            request_id=request.fields.get(names.REQUEST_ID, ''),
            at_ms=clock.WallClock().now_ms(),
        )

    def _note_if_late(self, request: wire.Request) -> None:
        if self._left_ms is None:
            return
        after_ms = clock.WallClock().now_ms() - self._left_ms
        if after_ms > checks.DRAIN_MS:
            request_id = request.fields.get(names.REQUEST_ID, '')
            self._write('late', request_id=request_id, after_ms=after_ms)

    def _note(self, request: wire.Request) -> None:
        self._write(
            'run',
            request_id=request.fields.get(names.REQUEST_ID, ''),
            target=request.target,
            workspace=request.fields.get(names.WORKSPACE, ''),
            at_ms=clock.WallClock().now_ms(),
        )

    def _write(self, what: str, **fields) -> None:
        line = {'what': what, 'server_id': self._start_id, **fields}
        self._record.write(json.dumps(line) + '\n')
        self._record.flush()


class Silence(asyncio.DatagramProtocol):
    """Until when which answers pause."""

    def __init__(self):
        self._until_s = dict.fromkeys(silences.Scope, 0.0)
        self._one_s = 0.0

    def datagram_received(self, data: bytes, addr) -> None:
        """Pause from now on, as told."""
        scope, for_s = silences.read_order(data)
        if scope is silences.Scope.ONE:
            self._one_s = for_s
        else:
            self._until_s[scope] = time.monotonic() + for_s

    async def wait(self, *, is_begun: bool) -> None:
        """Return once an answer may go on."""
        one_s, self._one_s = self._one_s, 0.0
        await asyncio.sleep(one_s)
        scopes = [silences.Scope.ALL]
        if not is_begun:
            scopes.append(silences.Scope.UNBEGUN)
        while True:
            left_s = max(map(self._until_s.get, scopes)) - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.sleep(left_s)


def _resolve(leaving: asyncio.Future, number: signal.Signals) -> None:
    if not leaving.done():
        leaving.set_result(number)


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
