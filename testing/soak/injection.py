"""What each fault of a plan does to processes and connections."""

import asyncio
import json
import signal
import time

from shallothinge import clock
from testing.soak import callers
from testing.soak import deployment
from testing.soak import ends
from testing.soak import faults
from testing.soak import notices
from testing.soak import relay

PLANNED_STOP_S = 9.0
RESET_AGAIN_S = 0.3
LEFT_POLL_S = 0.002
STOP_POLL_S = 0.05


class Injection:
    """Disturbs the processes of a deployment.

    :ivar cuts: when which connections to backend servers were disturbed.
    :ivar server_faults: all faults of backend servers, also on connections.
    """

    def __init__(
        self, *, running: deployment.Deployment, callers: callers.Callers
    ):
        self._running = running
        self._callers = callers
        self.cuts: list[notices.Cut] = []
        self.server_faults: list[ends.ServerFault] = []

    async def inject(self, fault: faults.Fault) -> None:
        """Let a fault come and go, from now on."""
        self._callers.disturb(fault.target)
        from_ms = clock.WallClock().now_ms()
        if fault.kind in RELAYED:
            await self._relay(fault)
        else:
            await ACTIONS[fault.kind](self, fault)
        self._callers.disturb(fault.target)
        if fault.target in self._running.relays:
            self.server_faults.append(
                ends.ServerFault(
                    name=fault.target,
                    from_ms=from_ms,
                    until_ms=clock.WallClock().now_ms(),
                    breaks=fault.kind in BREAKING,
                )
            )
        if fault.kind in RELAYED or fault.kind is faults.Kind.RESET:
            self.cuts.append(
                notices.Cut(
                    name=fault.target,
                    from_ms=from_ms,
                    until_ms=clock.WallClock().now_ms(),
                )
            )

    async def _relay(self, fault: faults.Fault) -> None:
        relayed = self._running.relays[fault.target]
        relayed.set_mode(RELAYED[fault.kind])
        await asyncio.sleep(fault.for_s)
        relayed.set_mode(relay.Mode.PASS)

    async def _reset(self, fault: faults.Fault) -> None:
        ends_s = time.monotonic() + fault.for_s
        while time.monotonic() < ends_s:
            self._running.relays[fault.target].reset_all()
            await asyncio.sleep(RESET_AGAIN_S)

    async def _kill(self, fault: faults.Fault) -> None:
        await self._running.kill(fault.target)
        await asyncio.sleep(fault.for_s)
        await self._running.start(fault.target)

    async def _kill_all_control(self, fault: faults.Fault) -> None:
        names = self._running.names('control')
        await asyncio.gather(*map(self._running.kill, names))
        await asyncio.sleep(fault.for_s)
        await asyncio.gather(*map(self._running.start, names))

    async def _freeze(self, fault: faults.Fault) -> None:
        self._running.signal(fault.target, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self._running.signal(fault.target, signal.SIGCONT)

    async def _stop(self, fault: faults.Fault) -> None:
        await self.end(fault.target)
        await self._running.start(fault.target)

    async def end(self, name: str) -> None:
        """Stop a process as planned; return when it has ended."""
        self._running.signal(name, signal.SIGTERM)
        ends_s = time.monotonic() + PLANNED_STOP_S
        while self._running.is_running(name):
            if time.monotonic() > ends_s:
                await self._running.kill(name)
            await asyncio.sleep(STOP_POLL_S)

    async def _leave(self, fault: faults.Fault) -> None:
        known = len(self.lines(fault.target, 'left'))
        is_leaving = fault.kind is faults.Kind.LEAVE
        self._running.signal(
            fault.target, signal.SIGTERM if is_leaving else signal.SIGUSR1
        )
        ends_s = time.monotonic() + fault.for_s
        while len(self.lines(fault.target, 'left')) == known:
            if time.monotonic() > ends_s:
                break
            await asyncio.sleep(LEFT_POLL_S)
        else:
            if fault.loses_leader:
                left = self.lines(fault.target, 'left')[-1]
                await self._lose_leader(left['leader'])
        await asyncio.sleep(max(0, ends_s - time.monotonic()))
        await self._running.kill(fault.target)
        await self._running.start(fault.target)

    async def _lose_leader(self, address: str) -> None:
        [name] = [
            name
            for name in self._running.names('control')
            if self._running.api_address_of(name) == address
        ]
        self._callers.disturb(name)
        await self._running.kill(name)
        await asyncio.sleep(faults.LEADER_AWAY_S)
        await self._running.start(name)

    def lines(self, name: str, what: str) -> list[dict]:
        """Return what a backend server has written of one sort so far."""
        path = self._running.record_of(name)
        # What follows the last end of a line is still being written.
        whole, _, _ = path.read_text(encoding='utf-8').rpartition('\n')
        lines = whole.splitlines()
        # This is asked for so often that reading each line is too much.
        found = [json.loads(line) for line in lines if f'"{what}"' in line]
        return [one for one in found if one.pop('what') == what]

    async def _reload(self, fault: faults.Fault) -> None:
        self._running.signal(fault.target, signal.SIGHUP)

    async def _wipe(self, fault: faults.Fault) -> None:
        await self._running.kill(fault.target)
        self._running.wipe(fault.target)
        await asyncio.sleep(fault.for_s)
        await self._running.start(fault.target)

    async def _fill_disk(self, fault: faults.Fault) -> None:
        """Restart with a disk that is nearly full, then with a free one."""
        await self._running.kill(fault.target)
        await self._running.start(fault.target, is_disk_full=True)
        await asyncio.sleep(fault.for_s)
        await self._running.kill(fault.target)
        await self._running.start(fault.target)


RELAYED = {
    faults.Kind.DELAY: relay.Mode.DELAY,
    faults.Kind.ONE_WAY: relay.Mode.ONE_WAY,
    faults.Kind.SILENT: relay.Mode.SILENT,
}
# These end connections; a relay that has lost bytes of one passes on its end.
BREAKING = (
    faults.Kind.KILL,
    faults.Kind.RESET,
    faults.Kind.ONE_WAY,
    faults.Kind.LEAVE,
    faults.Kind.VANISH,
)
ACTIONS = {
    faults.Kind.KILL: Injection._kill,
    faults.Kind.FREEZE: Injection._freeze,
    faults.Kind.STOP: Injection._stop,
    faults.Kind.RELOAD: Injection._reload,
    faults.Kind.WIPE: Injection._wipe,
    faults.Kind.DISK_FULL: Injection._fill_disk,
    faults.Kind.RESET: Injection._reset,
    faults.Kind.KILL_ALL_CONTROL: Injection._kill_all_control,
    faults.Kind.LEAVE: Injection._leave,
    faults.Kind.VANISH: Injection._leave,
}
