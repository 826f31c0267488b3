"""Tells an answer that ends with its connection from one that is cut.

A server that closes a connection with a part of the request unread resets it,
and what it has sent so far may look like a whole answer. The kernel may
report the same end of the bytes for both, and the reset may arrive a moment
after the end.
"""

from collections.abc import Callable

from shallothinge import clock as clocks
from shallothinge.http1 import closing

# A server that has read the request is given this time to acknowledge it.
DELIVERY_TIMEOUT_MS = 2000
POLL_INTERVAL_MS = 5
# A reset for an unread body arrives this long after the end at most, unless
# the server waits before it closes its socket.
RESET_GRACE_MS = 20

RESET = 'the connection was reset'
UNREAD = 'the connection ended before the request was read'


class CloseCheck:
    """Waits until the end of the bytes tells whether an answer is whole.

    :param sent_bytes: bytes of the request, with its head.
    :param has_body: whether a part of the request may be left unread.
    :param on_result: called with why the answer was cut, '' if it is whole.
    """

    def __init__(
        self,
        *,
        transport,
        reactor,
        sent_bytes: int,
        has_body: bool,
        on_result: Callable[[str], None],
    ):
        self._transport = transport
        self._reactor = reactor
        self._sent_bytes = sent_bytes
        self._has_body = has_body
        self._on_result = on_result
        self._waited_ms = 0
        self._is_in_grace = False
        self._timer = None

    def start(self) -> None:
        """Look at the connection, now and as long as it is not certain."""
        self._timer = None
        handle = self._transport.getHandle()
        acked_bytes = closing.acked_bytes(handle)
        is_read = acked_bytes is None or acked_bytes >= self._sent_bytes
        if closing.is_closed(handle):
            self._on_result(RESET)
        elif not is_read and self._waited_ms >= DELIVERY_TIMEOUT_MS:
            self._on_result(UNREAD)
        elif not is_read:
            self._waited_ms += POLL_INTERVAL_MS
            self._look_again(POLL_INTERVAL_MS)
        elif self._has_body and not self._is_in_grace:
            self._is_in_grace = True
            self._look_again(RESET_GRACE_MS)
        else:
            self._on_result('')

    def stop(self) -> None:
        """Look no more, as the exchange is over."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _look_again(self, after_ms: int) -> None:
        self._timer = self._reactor.callLater(
            after_ms / clocks.MS_PER_SECOND, self.start
        )
