"""Memory of helpers, reserved for one prompt that no engine could hold."""

from collections.abc import Callable
import logging
import secrets

import attrs

from shallothinge import clock as clocks
from shallothinge.gateway import parts as shared
from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.placement import choice

LOG = logging.getLogger(__name__)

TICKET_BYTES = 6
# If this process ends, the memory must be free within the four seconds that
# the users' rules allow; one renewal may be lost.
HOLD_MS = 3000
RENEW_MS = 1000
# A release that got lost is sent again; in the end the hold runs out.
RELEASE_ATTEMPTS = 3
RELEASE_AGAIN_MS = 200


@attrs.frozen(kw_only=True)
class Ticket:
    """A reservation at one server."""

    ticket_id: str
    server_id: str
    address: str
    tokens: int


class _Order:
    """Tells whether an order was carried out."""

    def __init__(self, *, done: Callable[[bool], None]):
        self._done = done
        self._status = 0

    def on_head(self, head: messages.ResponseHead) -> None:
        """Note the status."""
        self._status = head.status

    def on_data(self, data: bytes) -> None:
        """Pass over the body."""

    def on_end(self) -> None:
        """Tell the outcome."""
        self._done(self._status == 200)

    def on_failure(self, failure: client.Failure) -> None:
        """The order may have been carried out; it counts as not."""
        self._done(False)


class Reservation:
    """Reserves at all servers or at none, and releases in the end.

    A server whose answer is lost may hold the memory all the same, so it is
    released there too.
    """

    def __init__(
        self, *, parts: shared.Parts, shares: tuple[choice.Share, ...]
    ):
        self._parts = parts
        self._is_over = False
        self._renewing = None
        self._on_held: Callable[[], None] | None = None
        self._on_refused: Callable[[str], None] | None = None
        self._missing: set[str] = set()
        self.tickets = tuple(
            Ticket(
                ticket_id=secrets.token_hex(TICKET_BYTES),
                server_id=share.server_id,
                address=parts.servers.find(share.server_id).address,
                tokens=share.tokens,
            )
            for share in shares
        )

    def ticket_at(self, server_id: str) -> str:
        """Return the id of the ticket at a server, or ''."""
        for ticket in self.tickets:
            if ticket.server_id == server_id:
                return ticket.ticket_id
        return ''

    def reserve(
        self,
        *,
        on_held: Callable[[], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Reserve all.

        :param on_held: called once all are held.
        :param on_refused: called with the id of the first server that
            refused; what was reserved by then is released.
        """
        self._on_held, self._on_refused = on_held, on_refused
        self._missing = {ticket.ticket_id for ticket in self.tickets}
        for ticket in self.tickets:
            self._hold(
                ticket,
                lambda is_done, ticket=ticket: self._answered(ticket, is_done),
            )

    def release(self) -> None:
        """Give the memory back."""
        if self._is_over:
            return
        self._is_over = True
        if self._renewing is not None and self._renewing.active():
            self._renewing.cancel()
        for ticket in self.tickets:
            self._release(ticket, RELEASE_ATTEMPTS)

    def _answered(self, ticket: Ticket, is_done: bool) -> None:
        if self._is_over:
            return
        if not is_done:
            LOG.info(
                'memory was not reserved',
                extra={
                    'server_id': ticket.server_id,
                    'tokens': ticket.tokens,
                    'ticket_id': ticket.ticket_id,
                },
            )
            self.release()
            self._on_refused(ticket.server_id)
            return
        self._missing.discard(ticket.ticket_id)
        if not self._missing:
            self._renew_later()
            self._on_held()

    def _renew_later(self) -> None:
        self._renewing = self._parts.reactor.callLater(
            RENEW_MS / clocks.MS_PER_SECOND, self._renew
        )

    def _renew(self) -> None:
        """Extend the holds; a request whose memory ends is cut anyway."""
        self._renew_later()
        for ticket in self.tickets:
            self._hold(ticket, lambda is_done: None)

    def _hold(self, ticket: Ticket, done: Callable[[bool], None]) -> None:
        """Order that a ticket's memory is held from now on."""
        order = self._parts.dialect.write_reserve(
            ticket=ticket, hold_ms=HOLD_MS
        )
        self._order(ticket, order, done)

    def _release(self, ticket: Ticket, attempts_left: int) -> None:
        def released(is_done: bool) -> None:
            if is_done:
                return
            if attempts_left > 1:
                self._parts.reactor.callLater(
                    RELEASE_AGAIN_MS / clocks.MS_PER_SECOND,
                    self._release,
                    ticket,
                    attempts_left - 1,
                )
            else:
                LOG.warning(
                    'memory was not released; its hold runs out',
                    extra={
                        'server_id': ticket.server_id,
                        'ticket_id': ticket.ticket_id,
                        'hold_ms': HOLD_MS,
                    },
                )

        order = self._parts.dialect.write_release(ticket=ticket)
        self._order(ticket, order, released)

    def _order(self, ticket: Ticket, order, done) -> None:
        head, body = order
        self._parts.caller.call(
            address=ticket.address,
            head=head,
            body=body,
            listener=_Order(done=done),
        )
