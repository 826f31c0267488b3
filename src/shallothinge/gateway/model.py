"""Requests and answers as the gateway sees them."""

from typing import Protocol

import attrs

from shallothinge import errors
from shallothinge.http1 import messages
from shallothinge.routes import model as routes


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request.

    ``headers`` are those that are passed on unchanged. ``deadline_ms`` is
    how long the caller waits, from the request's arrival; None if it does
    not say. ``prompt_tokens`` is 0 for a request without a prompt,
    ``answer_tokens`` the longest that its answer may be.
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
    last_event_id: str = ''


@attrs.frozen(kw_only=True)
class Helper:
    """A server that reads a part of a prompt for another.

    ``ticket_id`` names the memory reserved there, '' if none is.
    """

    address: str
    ticket_id: str = ''


@attrs.frozen(kw_only=True)
class ForwardOrder:
    """What one backend server is asked.

    ``server_id`` is the incarnation that must answer. ``remaining_ms`` is
    how long it may take, ``helpers`` the servers that read parts of
    the prompt for it. ``urgency`` ranks it among others, 0 first.
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

    ``headers`` are those that the caller gets. ``is_unrun`` tells that the
    server states that it did not run the request, also where another
    incarnation answers at its address. ``fault_address`` names the
    helper that is to blame, if one is. ``is_signed`` is whether the answer
    bears the server's signature. ``is_leaving`` is whether the server says
    that it leaves, ``pause_ms`` how long it wants nothing more from this
    gateway.
    """

    status: int
    headers: messages.Headers
    request_id: str
    is_signed: bool
    is_unrun: bool
    fault_address: str = ''
    is_leaving: bool = False
    pause_ms: int = 0

    @property
    def is_success(self) -> bool:
        """Return whether the server did what was asked."""
        return 200 <= self.status < 300


class Dialect(Protocol):
    """How callers, backend servers and operators are spoken to."""

    def read_routes(self, document: bytes) -> routes.RouteTable:
        """Return the route table of a document that was accepted."""

    def read_request(
        self, *, head: messages.RequestHead, body: bytes
    ) -> CallerRequest:
        """Return a caller's request.

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
        """Return the head of a backend server's answer."""

    def write_error(
        self, *, error: errors.ServingError, request_id: str
    ) -> tuple[int, messages.Headers, bytes]:
        """Return status, headers and body of an error's answer."""
