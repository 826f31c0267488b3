"""The operator of a soak: sends configurations and reads them back."""

import asyncio
import itertools
import json
import time

from shallothinge import clock
from shallothinge.platform import names
from shallothinge.platform.tests import samples
from testing.soak import callers
from testing.soak import wire

ANSWER_TIMEOUT_S = 3.0
AGAIN_S = 0.2
CHANGE_EVERY_S = 0.7
READ_TIMEOUT_S = 15.0


class Operator:
    """Changes the configuration all the time.

    :ivar acknowledged: the highest version with a clear answer.
    :ivar revoked: when the loss of each key was acknowledged, Unix ms.
    :ivar faults: what the operator saw that is not allowed.
    """

    def __init__(self, *, addresses: list[str]):
        self._addresses = itertools.cycle(addresses)
        self._sent: dict[int, bytes] = {}
        self.acknowledged = 0
        self.revoked: dict[str, int] = {}
        self.faults: list[str] = []

    async def put(self, version: int, *, api_keys: list[str]) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(_configuration(version, api_keys)).encode()
        self._sent[version] = body
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
        self.acknowledged = version
        if callers.REVOKED_KEY not in api_keys:
            now_ms = clock.WallClock().now_ms()
            self.revoked.setdefault(callers.REVOKED_KEY, now_ms)

    async def change_until(self, ends_s: float) -> None:
        """Change the configuration until an instant; soon revoke a key."""
        api_keys = [callers.KEPT_KEY]
        version = self.acknowledged
        while time.monotonic() < ends_s:
            version += 3
            await self.put(version, api_keys=api_keys)
            await asyncio.sleep(CHANGE_EVERY_S)

    async def read_back(self) -> None:
        """Check that the newest version is still there, unchanged."""
        ends_s = time.monotonic() + READ_TIMEOUT_S
        while time.monotonic() < ends_s:
            answer = await self._exchange('GET', b'')
            if answer is not None and answer.status == 200:
                self._compare(json.loads(answer.body))
                return
            await asyncio.sleep(AGAIN_S)
        self.faults.append('the configuration can not be read back')

    def _compare(self, found: dict) -> None:
        version = found['version']
        if version < self.acknowledged:
            self.faults.append(
                f'version {version} is read back, '
                f'{self.acknowledged} was acknowledged'
            )
        elif found != json.loads(self._sent[version]):
            self.faults.append(f'version {version} is not what was sent')

    async def _exchange(self, method: str, body: bytes) -> wire.Answer | None:
        try:
            return await asyncio.wait_for(
                wire.exchange(
                    address=next(self._addresses),
                    method=method,
                    target=names.CONFIGURATION,
                    body=body,
                ),
                ANSWER_TIMEOUT_S,
            )
        except (OSError, asyncio.TimeoutError, wire.BrokenAnswer):
            return None


def _configuration(version: int, api_keys: list[str]) -> dict:
    stream = _route(wire.STREAMS, 'stream', 'streaming')
    return samples.with_keys(
        api_keys,
        version=version,
        routes=[
            samples.resumable(stream, pause_ms=250),
            _route(wire.CALLS, 'book', 'unsafe'),
            _route(wire.CALLS, 'look', 'safe'),
        ],
        services=[
            {'name': wire.STREAMS, 'engine': samples.ENGINE},
            {'name': wire.CALLS},
        ],
    )


def _route(service: str, path: str, kind: str) -> dict:
    return samples.route(
        name=f'{service}-{path}',
        host=wire.HOST,
        prefix=f'/{service}/{path}/',
        kind=kind,
        service=service,
        timeout_ms=6000,
        objective_ms=300,
        attempts=3,
    )
