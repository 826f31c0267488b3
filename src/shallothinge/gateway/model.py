"""The gateway's model of requests and answers, independent of the wire."""

from typing import Protocol

import attrs

from shallothinge import errors
from shallothinge.http1 import messages
from shallothinge.routes import model as routes


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request.

    ``headers`` are those that are passed on unchanged. ``deadline_ms`` is
    how long the caller waits, from the request's arrival; None if the caller
    does not state it. ``prompt_tokens`` is 0 for a request without a prompt,
    ``answer_tokens`` the greatest length of its answer. ``joined_part_ids``
    are the ``part_ids`` with commas between them: a head may list thousands,
    which would take many times its bytes as objects.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: messages.Headers
    body: bytes = attrs.field(repr=False)
    api_key: str = attrs.field(default='', repr=False)
    deadline_ms: int | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    joined_part_ids: str = attrs.field(default='', repr=False)
    last_event_id: str = ''

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share.

        None of them comes twice.
        """
        if not self.joined_part_ids:
            return ()
        return tuple(self.joined_part_ids.split(','))


@attrs.frozen(kw_only=True)
class AcceptedRequest:
    """An authorized request with its route, service and workspace.

    ``fingerprint`` is the same whenever the caller sends the request again.
    ``priority`` is that of the workspace if it has one, else of the route, 0
    being the highest. ``urgency`` is what the server is told of it, None for
    a request without a prompt.
    """

    request: CallerRequest
    route: routes.Route
    service: routes.Service
    workspace: str
    priority: int
    urgency: int | None
    fingerprint: str

    @property
    def time_limit_ms(self) -> int:
        """Return the time from the request's arrival to its deadline."""
        if self.request.deadline_ms is None:
            return self.route.timeout_ms
        return min(self.route.timeout_ms, self.request.deadline_ms)


@attrs.frozen(kw_only=True)
class Helper:
    """A server that reads a part of a prompt for another server.

    ``ticket_id`` identifies the memory reserved there, '' if none is.
    """

    address: str
    ticket_id: str = ''


@attrs.frozen(kw_only=True)
class ForwardOrder:
    """A request as it is forwarded to one backend server.

    ``server_id`` is the incarnation that must answer. ``remaining_ms`` is
    the time left until the deadline, ``helpers`` the servers that read parts
    of the prompt for it. ``urgency`` is its priority, 0 being the highest.
    """

    request: CallerRequest
    server_id: str
    workspace: str
    remaining_ms: int
    last_event_id: str = ''
    helpers: tuple[Helper, ...] = ()
    urgency: int | None = None


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The head of a backend server's answer.

    ``headers`` are those that the caller gets. ``is_event_stream`` is whether
    the body may be server-sent events, that is, no other content type is
    stated. ``is_not_executed`` is whether the server states that it did not
    execute the request, which includes an answer by another incarnation at
    its address. ``fault_address`` is the
    address of the helper that caused the failure, if one did. ``is_signed``
    is whether the answer has the server's signature. ``is_leaving`` is
    whether the server announces that it leaves, ``pause_ms`` for how long it
    wants no further requests from this gateway. ``is_misdirected`` is whether
    another server may have answered at the address. ``promises_unrun`` is
    whether callers take the status for a promise that the request has not
    run, which the server itself may not have stated. ``retry_after_ms`` is
    when the server would have the caller come back, 0 if it does not say.

    ``limit_per_s`` is the rate of requests that the server takes from all
    gateways together, None if it names none. ``unreadable_limit`` is the
    beginning of a limit that can't be read.
    """

    status: int
    headers: messages.Headers
    request_id: str
    is_signed: bool
    is_not_executed: bool
    is_event_stream: bool
    fault_address: str = ''
    is_leaving: bool = False
    pause_ms: int = 0
    is_misdirected: bool = False
    promises_unrun: bool = False
    retry_after_ms: int = 0
    limit_per_s: float | None = None
    unreadable_limit: str = ''

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success (2xx)."""
        return 200 <= self.status < 300


class Dialect(Protocol):
    """Reads and writes the wire formats of callers, servers and operators."""

    def read_routes(self, document: bytes) -> routes.RouteTable:
        """Parse a document that was accepted and return its route table."""

    def read_request(
        self, *, head: messages.RequestHead, body: bytes
    ) -> CallerRequest:
        """Parse a caller's request.

        :raises ServingError: of kind ``BAD_REQUEST``.
        """

    def write_request(self, order: ForwardOrder) -> messages.RequestHead:
        """Return the head of the request to a backend server."""

    def write_reserve(
        self, *, ticket, hold_ms: int
    ) -> tuple[messages.RequestHead, bytes]:
        """Return the order to reserve or renew a ticket's memory."""

    def write_release(self, *, ticket) -> tuple[messages.RequestHead, bytes]:
        """Return the order to release a ticket's memory."""

    def read_answer(self, head: messages.ResponseHead) -> AnswerHead:
        """Parse the head of a backend server's answer."""

    def write_error(
        self, *, error: errors.ServingError, request_id: str
    ) -> tuple[int, messages.Headers, bytes]:
        """Return status, headers and body of an error response."""
