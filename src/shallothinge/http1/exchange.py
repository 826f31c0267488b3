"""One request to the HTTP/1.1 server and the answer to it."""

from collections.abc import Callable
import enum
import logging
from typing import Protocol

from shallothinge.http1 import flow
from shallothinge.http1 import messages

LOG = logging.getLogger(__name__)


class Connection(Protocol):
    """The connection of the caller, which carries the answer."""

    def register_flow(self, source: flow.Flow) -> None:
        """Let the transport pace the answer."""

    def send_head(self, *, status: int, headers: messages.Headers) -> None:
        """Send the head of the answer."""

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""

    def end_exchange(self) -> None:
        """End the answer."""

    def reset(self) -> None:
        """Reset the connection."""


class EarlyEnd(enum.Enum):
    """Why a request ended before its owner had completed the answer."""

    CALLER_GONE = 'caller_gone'
    STOP_LIMIT = 'cut_stop_limit'
    INVALID_ANSWER = 'cut_invalid_answer'


class Exchange:
    """One request and the answer to it.

    :ivar received_ms: when the kernel received the last bytes of the request.
        The process may have read them later, because it was blocked or
        answered an earlier request of the connection.
    :ivar on_disconnect: called without arguments if the connection ends
        before the answer is complete; ``early_end`` says why.
    :ivar flow: pauses the source of the answer while the caller does not
        read.
    """

    def __init__(
        self,
        *,
        connection: Connection,
        head: messages.RequestHead,
        body: bytes,
        received_ms: int,
    ):
        self._connection = connection
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.on_disconnect: Callable[[], None] | None = None
        self.early_end = EarlyEnd.CALLER_GONE
        self.flow = flow.Flow()
        self.is_begun = False
        self.is_ended = False

    def tell_owner(self) -> None:
        """Call ``on_disconnect``; log an exception, as others wait."""
        if self.on_disconnect is None:
            return
        try:
            self.on_disconnect()
        except Exception:
            LOG.exception(
                'the end of a connection raised an exception',
                extra={'target': self.head.target},
            )

    def respond(
        self, *, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a complete answer."""
        fields = (*headers, ('content-length', str(len(body))))
        self.begin(status=status, headers=fields)
        self.write(body)
        self.finish()

    def begin(self, *, status: int, headers: messages.Headers) -> None:
        """Send the head of an answer whose body follows."""
        if not self.is_ended:
            self.is_begun = True
            self._connection.register_flow(self.flow)
            self._connection.send_head(status=status, headers=headers)

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if data and not self.is_ended:
            self._connection.send_data(data)

    def finish(self) -> None:
        """End the answer as complete."""
        if not self.is_ended:
            self.is_ended = True
            self._connection.end_exchange()

    def abort(self) -> None:
        """Reset the connection, so that the answer does not look complete."""
        if not self.is_ended:
            self.is_ended = True
            self._connection.reset()
