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
# By the end of the hold it asked for, the answer to an order tells nothing.
ORDER_MS = HOLD_MS
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


# Told why an order was not carried out, '' if it was.
Done = Callable[[str], None]
# What speaks against a server: bytes that are no answer to an order.
GARBLED = (client.FailureKind.MALFORMED, client.FailureKind.ENDLESS)


class _Order:
    """Tells whether an order was carried out.

    :param garbled: called before ``done`` if the answer is none.
    """

    def __init__(self, *, done: Done, garbled: Callable[[], None]):
        self._done = done
        self._garbled = garbled
        self._status = 0

    def on_head(self, head: messages.ResponseHead) -> None:
        """Note the status."""
        self._status = head.status

    def on_data(self, data: bytes) -> None:
        """Pass over the body."""

    def on_end(self) -> None:
        """Tell the outcome."""
        self._done('' if self._status == 200 else f'status {self._status}')

    def on_failure(self, failure: client.Failure) -> None:
        """The order may have been carried out; it counts as not."""
        if failure.kind in GARBLED:
            self._garbled()
        self._done(f'{failure.kind.value}: {failure.detail}')


class Reservation:
    """Reserves at all servers or at none, and releases in the end.

    A server whose answer is lost may hold the memory all the same, so it is
    released there too.
    """

    def __init__(
        self,
        *,
        parts: shared.Parts,
        request_id: str,
        shares: tuple[choice.Share, ...],
    ):
        self._parts = parts
        self._request_id = request_id
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
                lambda why_not, ticket=ticket: self._answered(ticket, why_not),
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

    def _answered(self, ticket: Ticket, why_not: str) -> None:
        if self._is_over:
            return
        if why_not:
            LOG.info(
                'memory was not reserved',
                extra={
                    **self._identity(ticket),
                    'tokens': ticket.tokens,
                    'detail': why_not,
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
            self._hold(
                ticket,
                lambda why_not, ticket=ticket: self._renewed(ticket, why_not),
            )

    def _renewed(self, ticket: Ticket, why_not: str) -> None:
        """Note a renewal that failed; the next one may do."""
        if why_not and not self._is_over:
            LOG.info(
                'memory was not renewed',
                extra={**self._identity(ticket), 'detail': why_not},
            )

    def _hold(self, ticket: Ticket, done: Done) -> None:
        """Order that a ticket's memory is held from now on."""
        order = self._parts.dialect.write_reserve(
            ticket=ticket, hold_ms=HOLD_MS
        )
        self._order(ticket, order, done)

    def _release(self, ticket: Ticket, attempts_left: int) -> None:
        def released(why_not: str) -> None:
            if not why_not:
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
                        **self._identity(ticket),
                        'hold_ms': HOLD_MS,
                        'detail': why_not,
                    },
                )

        order = self._parts.dialect.write_release(ticket=ticket)
        self._order(ticket, order, released)

    def _identity(self, ticket: Ticket) -> dict[str, str]:
        return {
            'request_id': self._request_id,
            'server_id': ticket.server_id,
            'ticket_id': ticket.ticket_id,
        }

    def _order(self, ticket: Ticket, order, done: Done) -> None:
        head, body = order
        self._parts.caller.call(
            address=ticket.address,
            head=head,
            body=body,
            listener=_Order(
                done=done,
                garbled=lambda: self._parts.servers.failed(ticket.server_id),
            ),
            within_ms=ORDER_MS,
        )
