"""Opposite orders about one zone, of which some wait in frozen hosts.

The zone has no servers: what is in force is told by the control hosts' lines
on orders that were carried out.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime

import attrs

from shallothinge import clock
from shallothinge.platform import names
from testing.soak import wire

ZONE = 'zone-9'
# As callers do, another host is asked after a second without an answer.
ANSWER_TIMEOUT_S = 1.0
AGAIN_S = 0.1
NEXT_S = 0.3
LINES = {True: 'zone ordered out', False: 'zone ordered back'}


@attrs.define(kw_only=True)
class Order:
    """An order, when it was first sent and acknowledged, in Unix ms."""

    is_out: bool
    sent_ms: int
    acknowledged_ms: int | None = None


@attrs.frozen(kw_only=True)
class Executed:
    """A line about an order that was carried out."""

    is_out: bool
    at_ms: int
    state_version: int


class ZoneOrders:
    """Takes a zone out and back again, one order after the other.

    :param addresses: of the control hosts that there are, which may change.
    """

    def __init__(self, *, addresses: list[str]):
        self._addresses = addresses
        self._turn = 0
        self.orders: list[Order] = []

    async def order_while(self, is_wanted: Callable[[], bool]) -> None:
        """Give opposite orders, each until it is acknowledged."""
        is_out = True
        while is_wanted():
            order = Order(is_out=is_out, sent_ms=clock.WallClock().now_ms())
            self.orders.append(order)
            while is_wanted() and not await self._give(order):
                await asyncio.sleep(AGAIN_S)
            is_out = not is_out
            await asyncio.sleep(NEXT_S)

    async def _give(self, order: Order) -> bool:
        self._turn += 1
        address = self._addresses[self._turn % len(self._addresses)]
        try:
            answer = await asyncio.wait_for(
                wire.exchange(
                    address=address,
                    method='POST' if order.is_out else 'DELETE',
                    target=names.EVACUATION + ZONE,
                    body=b'',
                ),
                ANSWER_TIMEOUT_S,
            )
        except (OSError, asyncio.TimeoutError, wire.BrokenAnswer):
            return False
        if answer.status != 200:
            return False
        order.acknowledged_ms = clock.WallClock().now_ms()
        return True


def read_lines(lines: Iterable[dict], *, is_out: bool) -> list[Executed]:
    """Return what control hosts have logged about orders."""
    return [
        Executed(
            is_out=is_out,
            at_ms=int(
                datetime.datetime.fromisoformat(line['time']).timestamp()
                * clock.MS_PER_SECOND
            ),
            state_version=line['state_version'],
        )
        for line in lines
    ]


def check(*, orders: list[Order], executed: list[Executed]) -> list[str]:
    """Return the acknowledged orders that a later opposite one undid.

    Later is what has a higher state version; it counts until the next order
    was sent.
    """
    found = []
    ends_ms = [one.sent_ms for one in orders[1:]]
    for order, end_ms in zip(orders, ends_ms, strict=False):
        if order.acknowledged_ms is None:
            continue
        version = max(
            (
                one.state_version
                for one in executed
                if one.is_out is order.is_out
                and order.sent_ms <= one.at_ms <= order.acknowledged_ms
            ),
            default=None,
        )
        undone = [
            one
            for one in executed
            if version is not None
            and one.is_out is not order.is_out
            and one.state_version > version
            and order.sent_ms <= one.at_ms < end_ms
        ]
        found += [
            f'{LINES[one.is_out]} at {one.at_ms}, state version '
            f'{one.state_version}, though the opposite was acknowledged at '
            f'{order.acknowledged_ms}, state version {version}'
            for one in undone
        ]
    return found
