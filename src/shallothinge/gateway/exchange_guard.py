"""Guards the steps of a request at the gateway."""

from collections.abc import Callable
import functools

from shallothinge import guard as guards
from shallothinge.http1 import exchange as exchanges


def guard(
    exchange: exchanges.Exchange, *, fail: Callable[[], None]
) -> guards.RequestGuard:
    """Return the guard of an exchange.

    :param fail: see ``guard.RequestGuard``; without an answer the exchange
        is aborted.
    """
    return guards.RequestGuard(
        fields={'target': exchange.head.target},
        fail=fail,
        abort=functools.partial(_abort, exchange),
    )


def _abort(exchange: exchanges.Exchange) -> None:
    if not exchange.is_ended:
        exchange.abort()
