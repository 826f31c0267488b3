"""Memory reserved at helpers for a prompt that no single engine can hold."""

from collections.abc import Callable
import logging
import secrets

import attrs

from shallothinge import clock as clocks
from shallothinge.gateway import dependencies
from shallothinge.http1 import client
from shallothinge.http1 import messages
from shallothinge.placement import choice

LOG = logging.getLogger(__name__)

TICKET_BYTES = 6
# If this process dies, the memory must be free again within the 4 s that the
# users' requirements allow. The hold outlasts the loss of one renewal.
HOLD_MS = 3000
RENEW_MS = 1000
# Once the requested hold has expired, the response to its order is useless.
ORDER_TIMEOUT_MS = HOLD_MS
# A failed release is retried; after the last attempt, the hold expires.
RELEASE_ATTEMPTS = 3
RELEASE_AGAIN_MS = 200


@attrs.frozen(kw_only=True)
class Ticket:
    """The reservation of memory at one server."""

    ticket_id: str
    server_id: str
    address: str
    tokens: int


# Called with the reason why an order was not executed, or '' on success.
DoneCallback = Callable[[str], None]
# Failures that count against the server: its bytes are no valid response.
INVALID_RESPONSE_KINDS = (
    client.FailureKind.MALFORMED,
    client.FailureKind.ENDLESS,
)


class _OrderListener:
    """Reports whether a server executed an order.

    :param done: called once with the outcome.
    :param on_invalid_response: called before ``done`` if the bytes received
        are no valid response.
    """

    def __init__(
        self, *, done: DoneCallback, on_invalid_response: Callable[[], None]
    ):
        self._done = done
        self._on_invalid_response = on_invalid_response
        self._status = 0

    def on_head(self, head: messages.ResponseHead) -> None:
        """Keep the status."""
        self._status = head.status

    def on_data(self, data: bytes) -> None:
        """Ignore the body."""

    def on_end(self, end: client.AnswerEnd) -> None:
        """Report success for status 200, else the status."""
        self._done('' if self._status == 200 else f'status {self._status}')

    def on_failure(self, failure: client.Failure) -> None:
        """Report a failure, although the order may have been executed."""
        if failure.kind in INVALID_RESPONSE_KINDS:
            self._on_invalid_response()
        self._done(f'{failure.kind.value}: {failure.detail}')


class Reservation:
    """Reserves memory at all helpers or at none, renews and releases it.

    A server whose response is lost may hold the memory nevertheless, so the
    release is sent to that server too.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        request_id: str,
        shares: tuple[choice.MemoryShare, ...],
    ):
        self._parts = parts
        self._request_id = request_id
        self._is_over = False
        self._timer = None
        self._on_held: Callable[[], None] | None = None
        self._on_refused: Callable[[str], None] | None = None
        self._pending_ids: set[str] = set()
        servers = {
            share.server_id: parts.servers.find(share.server_id)
            for share in shares
        }
        self._unlisted_ids = [
            server_id for server_id, server in servers.items() if not server
        ]
        self.tickets = tuple(
            Ticket(
                ticket_id=secrets.token_hex(TICKET_BYTES),
                server_id=share.server_id,
                address=servers[share.server_id].address,
                tokens=share.tokens,
            )
            for share in shares
            if servers[share.server_id] is not None
        )

    def ticket_at(self, server_id: str) -> str:
        """Return the id of the ticket at a server, '' if there is none."""
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
        """Reserve memory at all servers.

        :param on_held: called once the memory is held at all of them.
        :param on_refused: called with the id of the first server that
            refused or is not listed any more; memory reserved until then
            is released.
        """
        self._on_held, self._on_refused = on_held, on_refused
        if self._unlisted_ids:
            # Callers expect that no callback comes before this returns.
            self._timer = self._parts.reactor.callLater(
                0, self._refuse_unlisted
            )
            return
        self._pending_ids = {ticket.ticket_id for ticket in self.tickets}
        for ticket in self.tickets:
            self._send_hold(
                ticket,
                lambda error_detail, ticket=ticket: self._on_reserve_done(
                    ticket, error_detail
                ),
            )

    def release(self) -> None:
        """Release the memory at all servers and stop renewing it."""
        if self._is_over:
            return
        self._is_over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for ticket in self.tickets:
            self._send_release(ticket, RELEASE_ATTEMPTS)

    def _refuse_unlisted(self) -> None:
        self._is_over = True
        LOG.info(
            'memory was not reserved at unlisted servers',
            extra={
                'request_id': self._request_id,
                'server_ids': self._unlisted_ids,
            },
        )
        self._on_refused(self._unlisted_ids[0])

    def _on_reserve_done(self, ticket: Ticket, error_detail: str) -> None:
        if self._is_over:
            return
        if error_detail:
            LOG.info(
                'memory was not reserved',
                extra={
                    **self._identity(ticket),
                    'tokens': ticket.tokens,
                    'detail': error_detail,
                },
            )
            self.release()
            self._on_refused(ticket.server_id)
            return
        self._pending_ids.discard(ticket.ticket_id)
        if not self._pending_ids:
            self._renew_later()
            self._on_held()

    def _renew_later(self) -> None:
        self._timer = self._parts.reactor.callLater(
            RENEW_MS / clocks.MS_PER_SECOND, self._renew
        )

    def _renew(self) -> None:
        """Renew all holds.

        The request goes on if a renewal fails; one whose hold expires is
        aborted anyway.
        """
        self._renew_later()
        for ticket in self.tickets:
            self._send_hold(
                ticket,
                lambda error_detail, ticket=ticket: self._on_renew_done(
                    ticket, error_detail
                ),
            )

    def _on_renew_done(self, ticket: Ticket, error_detail: str) -> None:
        """Log a failed renewal; the next one may succeed."""
        if error_detail and not self._is_over:
            LOG.info(
                'memory reservation was not renewed',
                extra={**self._identity(ticket), 'detail': error_detail},
            )

    def _send_hold(self, ticket: Ticket, done: DoneCallback) -> None:
        """Order a server to hold a ticket's memory for HOLD_MS from now."""
        order = self._parts.dialect.write_reserve(
            ticket=ticket, hold_ms=HOLD_MS
        )
        self._send_order(ticket, order, done)

    def _send_release(self, ticket: Ticket, attempts_left: int) -> None:
        def on_released(error_detail: str) -> None:
            if not error_detail:
                return
            if attempts_left > 1:
                self._parts.reactor.callLater(
                    RELEASE_AGAIN_MS / clocks.MS_PER_SECOND,
                    self._send_release,
                    ticket,
                    attempts_left - 1,
                )
            else:
                LOG.warning(
                    'memory was not released; its hold will expire',
                    extra={
                        **self._identity(ticket),
                        'hold_ms': HOLD_MS,
                        'detail': error_detail,
                    },
                )

        order = self._parts.dialect.write_release(ticket=ticket)
        self._send_order(ticket, order, on_released)

    def _identity(self, ticket: Ticket) -> dict[str, str]:
        return {
            'request_id': self._request_id,
            'server_id': ticket.server_id,
            'ticket_id': ticket.ticket_id,
        }

    def _send_order(self, ticket: Ticket, order, done: DoneCallback) -> None:
        head, body = order
        self._parts.caller.call(
            address=ticket.address,
            head=head,
            body=body,
            listener=_OrderListener(
                done=done,
                on_invalid_response=lambda: self._parts.servers.record_failure(
                    ticket.server_id
                ),
            ),
            within_ms=ORDER_TIMEOUT_MS,
        )
