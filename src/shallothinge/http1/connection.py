"""One connection of the HTTP/1.1 server: reads requests, writes answers."""

import logging

import h11
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

from shallothinge import clock as clocks
from shallothinge.http1 import arrival
from shallothinge.http1 import closing
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1 import flow
from shallothinge.http1 import messages
from shallothinge.http1 import partial

# Operators' pages name this logger.
LOG = logging.getLogger('shallothinge.http1.server')

MAX_PIPELINED_BYTES = 64 * 1024
NO_BODY_STATUSES = (204, 304)
# This status leaves open whether the request was carried out.
INTERNAL_STATUS = 500
# This status promises that the request was not carried out.
UNAVAILABLE_STATUS = 503


@implementer(interfaces.IHalfCloseableProtocol)
class ServerConnection(protocol.Protocol):
    """One connection of a caller; answers one request at a time."""

    def __init__(self, *, site):
        self._site = site
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=site.limits.header_bytes
        )
        self._head: messages.RequestHead | None = None
        self._method = ''
        self._is_body_sent = True
        self._body = bytearray()
        self._exchange: exchanges.Exchange | None = None
        self._timer = None
        self._is_closing = False
        self._is_idle_close = False
        self._is_unused = True
        self._made_ms = site.clock.now_ms()
        self._is_write_side_closed = False
        self._is_paused = False
        self._has_answered = False
        self._is_flow_registered = False
        self._written_bytes = 0
        self._partial = partial.PartialRequest()
        self._lingering_close: closing.LingeringClose | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._exchange is None and not self._partial.read_bytes

    @property
    def has_pending_output(self) -> bool:
        """Return whether the caller may still lack a part of an answer.

        The last bytes may still be in the write buffer of the process. Only
        the end of the connection shows that they are not.
        """
        return not self.is_idle or self._has_answered or self._has_unread

    @property
    def _has_unread(self) -> bool:
        return arrival.unread_bytes(self.transport) > 0

    @property
    def _has_next_request(self) -> bool:
        """Return whether a part of a pipelined request has arrived."""
        return self._partial.read_bytes > 0 or self._has_unread

    def connectionMade(self) -> None:
        """Start the idle timeout for the first request."""
        self.transport.setTcpNoDelay(True)
        self._set_timer(self._site.limits.idle_timeout_ms)

    def dataReceived(self, data: bytes) -> None:
        """Read requests."""
        self._is_unused = False
        if self._is_idle_close and not self._is_write_side_closed:
            # The request came before the end of the connection was sent.
            self._is_idle_close = False
            self._lingering_close.stop()
            self._lingering_close = None
            self._refuse(UNAVAILABLE_STATUS)
            return
        if self._is_closing:
            self._partial.add(len(data))
            return
        if self.is_idle:
            self._set_timer(self._site.limits.header_timeout_ms)
        self._partial.add(len(data))
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
            return
        self._read_events()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        """Notify the owner of the request in progress."""
        self._cancel_timer()
        self._drop_body()
        if self._lingering_close is not None:
            self._lingering_close.stop()
        self._is_closing = True
        self._partial.close(
            partial.Cause.STOP
            if self._site.is_ended
            else partial.Cause.CALLER_LEFT
        )
        self._partial.log_lost()
        self._site.connections.discard(self)
        self._end_early(exchanges.EarlyEnd.CALLER_GONE)

    def _end_early(self, early_end: exchanges.EarlyEnd) -> None:
        """Notify the owner of the request in progress, if there is one."""
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        exchange.is_ended = True
        exchange.early_end = early_end
        exchange.tell_owner()

    def readConnectionLost(self) -> None:
        """Treat a half-close by the caller as a disconnect."""
        if self.is_idle or self._is_closing:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def writeConnectionLost(self) -> None:
        """Note that all data was handed to the kernel."""
        self._is_write_side_closed = True
        if self._lingering_close is not None:
            self._lingering_close.on_write_side_closed()

    def register_flow(self, source: flow.Flow) -> None:
        """Let the transport pace an answer at the speed of the caller."""
        if not self._is_flow_registered:
            self._is_flow_registered = True
            self.transport.registerProducer(source, True)

    def _unregister_flow(self) -> None:
        if self._is_flow_registered:
            self._is_flow_registered = False
            self.transport.unregisterProducer()

    def send_head(self, *, status: int, headers: messages.Headers) -> None:
        """Send the head of an answer."""
        self._has_answered = True
        self._is_body_sent = self._has_body(status)
        fields = list(headers)
        if self._site.is_stopping and not self._has_next_request:
            fields.append(('connection', 'close'))
        self._send(
            h11.Response(
                status_code=status, headers=messages.encode(tuple(fields))
            )
        )

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body of an answer, if it may have one."""
        if self._is_body_sent:
            self._send(h11.Data(data=data))

    def _has_body(self, status: int) -> bool:
        return self._method != 'HEAD' and status not in NO_BODY_STATUSES

    def end_exchange(self) -> None:
        """End an answer and continue with the next request."""
        self._send(h11.EndOfMessage())
        if self._exchange is None:
            return
        self._unregister_flow()
        self._drop_body()
        self._exchange = None
        is_last = self._http.our_state is h11.MUST_CLOSE
        if is_last or self._http.their_state is not h11.DONE:
            self._partial.close(partial.Cause.CONNECTION_CLOSE)
            self._start_lingering_close()
            return
        self._http.start_next_cycle()
        self._method = ''
        self._resume()
        limits = self._site.limits
        self._set_timer(
            limits.header_timeout_ms
            if self._partial.read_bytes
            else limits.idle_timeout_ms
        )
        self._read_events()

    def reset(self) -> None:
        """Reset the connection."""
        self._unregister_flow()
        self._drop_body()
        self._exchange = None
        self._is_closing = True
        self._partial.close(partial.Cause.ANSWER_CUT)
        self.transport.abortConnection()

    def is_fresh(self, fresh_ms: int) -> bool:
        """Return whether the first request may still be on its way.

        :param fresh_ms: how long after the connection was accepted.
        """
        age_ms = self._site.clock.now_ms() - self._made_ms
        return self._is_unused and not self._is_closing and age_ms < fresh_ms

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.is_idle and not self._is_closing and not self._has_unread:
            self._start_idle_close()

    def end(self) -> None:
        """Answer or cut the requests in progress: the process ends."""
        while self._exchange is not None and not self._exchange.is_ended:
            # A pipelined request follows once the one before is answered.
            self._exchange.early_end = exchanges.EarlyEnd.STOP_LIMIT
            self._fail_exchange(self._exchange)
        if not self.is_idle and not self._is_closing:
            self._refuse(UNAVAILABLE_STATUS)

    def _send(self, event) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError:
            target = self._exchange and self._exchange.head.target
            LOG.exception(
                'answer violates HTTP/1.1; resetting the connection',
                extra={'target': target},
            )
            self._end_early(exchanges.EarlyEnd.INVALID_ANSWER)
            self.reset()
            return
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self._written_bytes += len(data)
        self.transport.write(data)

    def _read_events(self) -> None:
        while not self._is_closing and self._exchange is None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint)
                return
            if event is h11.NEED_DATA:
                self._send_continue()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(event)
        self._limit_pipelining()

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._site.limits.body_bytes:
                self._refuse(413)
            elif self._site.bodies.add(self, len(event.data)) is not None:
                self._refuse(UNAVAILABLE_STATUS)
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()

    def _handle_head(self, event: h11.Request) -> None:
        head = messages.RequestHead(
            method=event.method.decode('ascii'),
            target=event.target.decode('latin-1'),
            headers=messages.decode(event.headers),
        )
        self._method = head.method
        length = head.get('content-length')
        if length and head.get('transfer-encoding'):
            # Ambiguous framing allows request smuggling.
            self._refuse(400)
            return
        if length and int(length) > self._site.limits.body_bytes:
            self._refuse(413)
            return
        if length and int(length) > self._site.bodies.free_bytes:
            self._site.bodies.note_exceeded(longest_bytes=int(length))
            self._refuse(UNAVAILABLE_STATUS)
            return
        self._head = head
        self._body.clear()
        self._set_timer(self._site.limits.idle_timeout_ms)

    def _handle_request(self) -> None:
        self._cancel_timer()
        exchange = exchanges.Exchange(
            connection=self,
            head=self._head,
            body=bytes(self._body),
            received_ms=self._site.clock.now_ms()
            - arrival.waited_ms(self.transport),
        )
        self._head = None
        self._body.clear()
        self._partial.read_bytes = len(self._http.trailing_data[0])
        self._exchange = exchange
        try:
            self._site.handle(exchange)
        except Exception:
            LOG.exception(
                'request handler raised an exception',
                extra={'target': exchange.head.target},
            )
            self._fail_exchange(exchange)

    def _fail_exchange(self, exchange: exchanges.Exchange) -> None:
        """Notify the owner of a failed request, then answer or abort it."""
        if exchange.is_ended:
            return
        exchange.tell_owner()
        if exchange.is_begun:
            exchange.abort()
            return
        headers, body = self._site.refusal(INTERNAL_STATUS)
        exchange.respond(status=INTERNAL_STATUS, headers=headers, body=body)

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _limit_pipelining(self) -> None:
        """Stop reading while too many pipelined bytes are waiting."""
        waiting = len(self._http.trailing_data[0])
        if waiting > MAX_PIPELINED_BYTES and not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    def _refuse(self, status: int) -> None:
        """Refuse an invalid, oversized or late request, and close."""
        self._cancel_timer()
        self._drop_body()
        self._is_closing = True
        headers, body = self._site.refusal(status)
        fields = (
            *headers,
            ('content-length', str(len(body))),
            ('connection', 'close'),
        )
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = h11.Response(
                status_code=status, headers=messages.encode(fields)
            )
            self._has_answered = True
            self._partial.refuse()
            content = [h11.Data(data=body)] if self._has_body(status) else []
            for event in (response, *content, h11.EndOfMessage()):
                self._write(self._http.send(event))
        self._start_lingering_close()

    def _drop_body(self) -> None:
        """Stop counting the body of the request, which ends."""
        self._body.clear()
        self._site.bodies.drop(self)

    def _start_idle_close(self) -> None:
        """Close the connection of a caller that waits for no answer."""
        self._is_idle_close = True
        self._start_lingering_close()

    def _start_lingering_close(self) -> None:
        """Close the connection, but let the caller read the answer first."""
        self._is_closing = True
        if self._lingering_close is not None:
            return
        self._resume()
        self._cancel_timer()
        self._lingering_close = closing.LingeringClose(
            transport=self.transport,
            reactor=self._site.reactor,
            written_bytes=self._written_bytes,
            stall_timeout_ms=self._site.limits.idle_timeout_ms,
            is_idle=self._is_idle_close,
        )
        self._lingering_close.start()

    def _set_timer(self, duration_ms: int) -> None:
        self._cancel_timer()
        self._timer = self._site.reactor.callLater(
            duration_ms / clocks.MS_PER_SECOND, self._on_timer
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if not self.is_idle:
            self._refuse(408)
        elif self._has_unread:
            # The process was blocked while the next request arrived.
            self._set_timer(self._site.limits.header_timeout_ms)
        else:
            self._start_idle_close()
