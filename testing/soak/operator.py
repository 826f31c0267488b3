"""The operator of a soak: sends configurations and reads them back."""

import asyncio
from collections.abc import Callable
import json
import random
import time

import attrs

from shallothinge import clock
from shallothinge.platform import names
from shallothinge.platform.tests import samples
from testing.soak import callers
from testing.soak import tables
from testing.soak import wire

ANSWER_TIMEOUT_S = 3.0
AGAIN_S = 0.2
CHANGE_EVERY_S = 0.7
# Of the changes, those that another one follows at once.
AT_ONCE_SHARE = 0.25
READ_EVERY_S = 0.3
# Of the changes, those before which one comes that can't be read.
ODD_SHARE = 0.2
# From the acknowledgement of a version to the first read that may show no
# older one.
PROPAGATION_MS = 2000
# The operator writes a few times a second; it looks this often for whether
# what it waits for has come.
POLL_S, NEXT_S = 0.005, 2.0
# For an order, and then for all reads, once nothing is disturbed any more.
END_TIMEOUT_S = 15.0


@attrs.define(kw_only=True)
class Change:
    """A table that was sent, and when, in Unix milliseconds.

    ``acknowledged_ms`` is None if there was no clear answer.
    """

    table: tables.Table
    sent_ms: int
    acknowledged_ms: int | None = None


class Operator:
    """Changes the configuration all the time and reads it.

    :param addresses: of the control hosts that there are, which may change.
    :param rng: for what is changed.
    :param odd_rng: for what is sent and can't be read.
    :ivar acknowledged: the highest version with a clear answer.
    :ivar acknowledged_s: when that was, on the monotonic clock.
    :ivar read_s: when the newest read that was answered had been sent.
    :ivar revoked: when the loss of each key was acknowledged, Unix ms.
    :ivar faults: what the operator saw that is not allowed.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        rng: random.Random | None = None,
        odd_rng: random.Random | None = None,
    ):
        self._addresses = addresses
        self._rng = rng or random.Random(0)
        self._odd_rng = odd_rng or random.Random(0)
        self._changes: dict[int, Change] = {}
        self._turn = 0
        self._sent: dict[int, bytes] = {}
        # Versions and when they were acknowledged, on the monotonic clock.
        self._acknowledged: list[tuple[int, float]] = []
        self.acknowledged_s = 0.0
        self.read_s = 0.0
        self.revoked: dict[str, int] = {}
        self.faults: list[str] = []

    @property
    def acknowledged(self) -> int:
        """Return the highest version with a clear answer."""
        return self._acknowledged[-1][0] if self._acknowledged else 0

    async def put(
        self,
        version: int,
        *,
        api_keys: list[str],
        table: tables.Table | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Send a configuration until it is acknowledged."""
        table = table or tables.Table()
        body = json.dumps(table.configuration(version, api_keys)).encode()
        self._sent[version] = body
        change = Change(table=table, sent_ms=clock.WallClock().now_ms())
        self._changes[version] = change
        while True:
            answer = await self._exchange('PUT', body)
            if answer is not None and answer.status == 200:
                break
            if answer is not None and answer.status < 500:
                self.faults.append(
                    f'version {version} was refused: {answer.status}'
                )
                return
            await asyncio.sleep(AGAIN_S)
            if not is_wanted():
                return
        self.acknowledged_s = time.monotonic()
        self._acknowledged.append((version, self.acknowledged_s))
        change.acknowledged_ms = clock.WallClock().now_ms()
        if callers.REVOKED_KEY not in api_keys:
            self.revoked.setdefault(
                callers.REVOKED_KEY, change.acknowledged_ms
            )

    def least_timeout_ms(
        self, target: str, *, from_ms: int, until_ms: int
    ) -> int:
        """Return the least time limit of a route that may be in force.

        That of a version may be from when it is sent until a higher one has
        been acknowledged and has reached all gateways.
        """
        path, overtaken_ms, found = tables.path_of(target), until_ms, []
        for _, change in sorted(self._changes.items(), reverse=True):
            if change.sent_ms <= until_ms and overtaken_ms >= from_ms:
                found.append(change.table.timeouts_ms[path])
            if change.acknowledged_ms is not None:
                overtaken_ms = min(
                    overtaken_ms, change.acknowledged_ms + PROPAGATION_MS
                )
        return min(found, default=tables.USUAL_TIMEOUT_MS)

    async def change_while(self, is_wanted: Callable[[], bool]) -> None:
        """Change the configuration again and again; soon revoke a key.

        Time limits, weights, routes and services change with each version.
        """
        api_keys = [callers.KEPT_KEY]
        version = self.acknowledged
        while is_wanted():
            version += 3
            if self._odd_rng.random() < ODD_SHARE:
                await self._put_odd(version - 1)
            await self.put(
                version,
                api_keys=api_keys,
                table=tables.draw(self._rng),
                is_wanted=is_wanted,
            )
            if self._rng.random() >= AT_ONCE_SHARE:
                await asyncio.sleep(CHANGE_EVERY_S)

    async def _put_odd(self, version: int) -> None:
        """Send once what can't be read; no host may acknowledge it."""
        fields = tables.Table().configuration(version, [callers.KEPT_KEY])
        path, value = self._odd_rng.choice(samples.ODD_CHANGES)
        at = fields
        for key in path[:-1]:
            at = at[key]
        at[path[-1]] = value
        # A host that takes it all the same reads it back, too.
        self._sent[version] = json.dumps(fields).encode()
        answer = await self._exchange('PUT', self._sent[version])
        if answer is not None and answer.status == 200:
            self.faults.append(
                f'{value!r} was acknowledged at {path} of a configuration'
            )

    async def read_while(self, is_wanted: Callable[[], bool]) -> None:
        """Read the configuration again and again."""
        while is_wanted():
            await self._read(self._next_address())
            await asyncio.sleep(READ_EVERY_S)

    async def wait_for_acknowledgement(self) -> None:
        """Return just after an order was acknowledged, or after a while."""
        version, ends_s = self.acknowledged, time.monotonic() + NEXT_S
        while self.acknowledged == version and time.monotonic() < ends_s:
            await asyncio.sleep(POLL_S)

    async def end(self) -> None:
        """Check that an order is taken, and that all hosts know of it."""
        version, ends_s = max(self._sent) + 1, time.monotonic() + END_TIMEOUT_S
        await self.put(
            version,
            api_keys=[callers.KEPT_KEY],
            is_wanted=lambda: time.monotonic() < ends_s,
        )
        if self.acknowledged < version:
            self.faults.append('no order is acknowledged at the end')
        await self._read_back()

    async def _read_back(self) -> None:
        """Check that each control host knows the newest version."""
        ends_s = time.monotonic() + END_TIMEOUT_S
        for address in list(self._addresses):
            while not await self._read(address, least=self.acknowledged):
                if time.monotonic() > ends_s:
                    self.faults.append(
                        f'the configuration can not be read back at {address}'
                    )
                    break
                await asyncio.sleep(AGAIN_S)

    async def _read(self, address: str, *, least: int | None = None) -> bool:
        """Read at a control host; return whether it answered well.

        :param least: the version that has to be known at least; None for
            the newest one that was acknowledged a while ago.
        """
        sent_s = time.monotonic()
        if least is None:
            old_s = sent_s - PROPAGATION_MS / 1000
            known = [one for one, at_s in self._acknowledged if at_s < old_s]
            least = known[-1] if known else 0
        answer = await self._exchange('GET', b'', address)
        if answer is None or answer.status != 200:
            return False
        self._compare(json.loads(answer.body), least, address)
        self.read_s = max(self.read_s, sent_s)
        return True

    def _compare(self, found: dict, least: int, address: str) -> None:
        version = found['version']
        if version < least:
            self.faults.append(
                f'version {version} is read back at {address}, '
                f'{least} was acknowledged'
            )
        elif found != json.loads(self._sent[version]):
            self.faults.append(f'version {version} is not what was sent')

    def _next_address(self) -> str:
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]

    async def _exchange(
        self, method: str, body: bytes, address: str | None = None
    ) -> wire.Answer | None:
        try:
            return await asyncio.wait_for(
                wire.exchange(
                    address=address or self._next_address(),
                    method=method,
                    target=names.CONFIGURATION,
                    body=body,
                ),
                ANSWER_TIMEOUT_S,
            )
        except (OSError, asyncio.TimeoutError, wire.BrokenAnswer):
            return None
