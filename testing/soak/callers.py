"""Callers that ask all the time, whatever happens to the gateways.

Some keep their connections, and some send a request in pieces.
"""

import asyncio
from collections.abc import Callable
import random
import secrets
import time

from shallothinge import clock
from shallothinge import holdups
from shallothinge.platform import names
from testing.soak import checks
from testing.soak import connections
from testing.soak import deployment
from testing.soak import failures
from testing.soak import resets
from testing.soak import wire

PAUSE_S = 0.08
KINDS = (
    # service, kind of route, deadline_ms, share of the requests
    (wire.STREAMS, 'stream', 6000, 0.4),
    (wire.CALLS, 'book', 1500, 0.3),
    (wire.CALLS, 'look', 1500, 0.3),
)
KEPT_KEY, REVOKED_KEY = 'kept-key', 'revoked-key'
REVOKED_SHARE = 0.15
# A caller waits a little longer than it says, to see the final answer.
PATIENCE_S = 4.0


class Callers:
    """Sends requests to all gateways and keeps what came back.

    :param rng: for what is asked of which gateway.
    :param connection_rng: for how it is sent.
    :param failure_rng: for which requests all servers fail.
    """

    def __init__(
        self,
        *,
        running: deployment.Deployment,
        rng: random.Random,
        connection_rng: random.Random,
        failure_rng: random.Random,
    ):
        self._running = running
        self._rng = rng
        self._failure_rng = failure_rng
        self._pool = connections.Pool(rng=connection_rng)
        self.asked: list[checks.Asked] = []
        self.disturbed_s: dict[str, float] = {}
        self.disturbances: list[tuple[str, int]] = []
        self.are_faults_over = False
        # When the newest request that was served had been sent, monotonic.
        self.served_s = 0.0
        # The longest time for which this process itself was held up, and
        # what its main thread spent meanwhile.
        self.held_up = {'late_ms': 0}
        # From when until when, of those that are long.
        self.hold_ups: list[tuple[int, int]] = []

    async def ask_while(self, is_wanted: Callable[[], bool]) -> None:
        """Send requests for as long as that is wanted."""
        tasks = []
        while is_wanted():
            tasks.append(asyncio.create_task(self._ask()))
            due_s = time.monotonic() + self._rng.uniform(0, 2 * PAUSE_S)
            spent = holdups.read_spent()
            await asyncio.sleep(due_s - time.monotonic())
            late_ms = int((time.monotonic() - due_s) * 1000)
            if late_ms > checks.NEAR_MS:
                now_ms = clock.WallClock().now_ms()
                self.hold_ups.append((now_ms - late_ms, now_ms))
            if late_ms > self.held_up['late_ms']:
                spent = holdups.read_spent().fields_since(spent)
                self.held_up = {'late_ms': late_ms, **spent}
        await asyncio.gather(*tasks)
        self._pool.close()

    async def ask_again_while(self, is_wanted: Callable[[], bool]) -> None:
        """Send requests that are reset, each to all gateways and again."""
        while is_wanted():
            token = resets.PREFIX + secrets.token_hex(4)
            tasks = []
            for _ in range(resets.TIMES):
                tasks += [
                    asyncio.create_task(self._ask_marked(name, token))
                    for name in sorted(self._running.caller_addresses)
                ]
                await asyncio.sleep(resets.AGAIN_S)
            await asyncio.gather(*tasks)
            await asyncio.sleep(resets.GAP_S)

    async def _ask_marked(self, name: str, token: str) -> None:
        service, kind, deadline_ms, _ = KINDS[0]
        await self._attempt(
            name=name,
            path=f'{service}/{kind}',
            api_key=KEPT_KEY,
            deadline_ms=deadline_ms,
            is_after_faults=False,
            is_new=True,
            token=token,
        )

    def disturb(self, name: str) -> None:
        """Note that a gateway is being disturbed now."""
        self.disturbed_s[name] = time.monotonic()
        self.disturbances.append((name, clock.WallClock().now_ms()))

    async def _ask(self) -> None:
        weights = [kind[3] for kind in KINDS]
        service, kind, deadline_ms, _ = self._rng.choices(KINDS, weights)[0]
        name = self._rng.choice(sorted(self._running.caller_addresses))
        is_revoked = self._rng.random() < REVOKED_SHARE
        api_key = REVOKED_KEY if is_revoked else KEPT_KEY
        is_last = self.are_faults_over and not is_revoked
        token = ''
        if (
            not self.are_faults_over
            and self._failure_rng.random() < failures.SHARE
        ):
            token = failures.PREFIX + secrets.token_hex(8)
        one = await self._attempt(
            name=name,
            path=f'{service}/{kind}',
            api_key=api_key,
            deadline_ms=deadline_ms,
            is_after_faults=is_last,
            token=token,
        )
        if one.is_reused and _may_ask_again(one):
            await self._attempt(
                name=name,
                path=f'{service}/{kind}',
                api_key=api_key,
                deadline_ms=deadline_ms,
                is_after_faults=is_last,
                is_new=True,
            )

    async def _attempt(
        self,
        *,
        name: str,
        path: str,
        api_key: str,
        deadline_ms: int,
        is_after_faults: bool,
        is_new: bool = False,
        token: str = '',
    ) -> checks.Asked:
        """Send a request under an id of its own; keep what came back.

        :param is_new: whether to open a connection for it.
        :param token: what requests that are the same but for their ids share.
        """
        request_id = secrets.token_hex(8)
        target = f'/{path}/{token or request_id}'
        began_s = time.monotonic()
        sent_ms = clock.WallClock().now_ms()
        try:
            connection = await self._connect(name, deadline_ms, is_new=is_new)
        except OSError:
            answer, seen = None, {'ending': connections.Ending.NOT_SENT}
        else:
            # The time that it took to connect is the caller's, too.
            left_s = began_s + deadline_ms / 1000 - time.monotonic()
            answer = await self._exchange(
                connection, target, request_id, api_key, deadline_ms, left_s
            )
            self._pool.give_back(name, connection)
            seen = {
                'ending': connection.ending,
                'whole_ms': connection.sent_ms,
                'is_reused': connection.is_reused,
            }
        if answer is not None and answer.status == 200:
            self.served_s = max(self.served_s, began_s)
        disturbed_s = self.disturbed_s.get(name, 0.0)
        one = checks.Asked(
            request_id=request_id,
            gateway=name,
            target=target,
            is_repeatable=not path.endswith('/book'),
            api_key=api_key,
            sent_ms=sent_ms,
            deadline_ms=deadline_ms,
            took_ms=int((time.monotonic() - began_s) * 1000),
            status=None if answer is None else answer.status,
            is_signed=answer is not None
            and answer.fields.get(names.SIGNATURE)
            == wire.signature_of(request_id),
            body=b'' if answer is None else answer.body,
            was_disturbed=disturbed_s > began_s
            or self._running.parts[name].is_frozen,
            is_after_faults=is_after_faults,
            **seen,
        )
        self.asked.append(one)
        return one

    async def _connect(
        self, name: str, deadline_ms: int, *, is_new: bool
    ) -> connections.Connection:
        address = self._running.caller_addresses[name]
        if is_new:
            connect = connections.Connection.open(address)
        else:
            connect = self._pool.take(name, address)
        return await asyncio.wait_for(connect, deadline_ms / 1000 + PATIENCE_S)

    async def _exchange(
        self, connection, target, request_id, api_key, deadline_ms, left_s
    ) -> wire.Answer | None:
        fields = [
            (names.REQUEST_ID, request_id),
            (names.API_KEY, api_key),
            (names.DEADLINE_MS, str(deadline_ms)),
        ]
        if target.startswith(f'/{wire.STREAMS}/'):
            fields.append((names.TOKEN_COUNTS, '1000,400'))
        try:
            return await asyncio.wait_for(
                connection.ask(
                    target=target,
                    fields=fields,
                    body=target.rpartition('/')[2].encode(),
                    pauses_s=self._pool.draw_pauses(),
                ),
                max(0.0, left_s) + PATIENCE_S,
            )
        except asyncio.TimeoutError:
            return None


def _may_ask_again(one: checks.Asked) -> bool:
    """Return whether a caller may repeat what a kept connection lost.

    A reset tells that bytes were left unread; after a mere end, what may run
    once only is not sent again.
    """
    if one.ending is connections.Ending.RESET:
        return True
    return one.is_repeatable and one.ending is connections.Ending.CLOSED
