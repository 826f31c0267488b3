"""Requests and answers between callers and backend servers."""

import json
import math
import re

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.gateway import model
from shallothinge.gateway import reservation
from shallothinge.http1 import messages
from shallothinge.platform import names
from shallothinge.platform import routes
from shallothinge.quarantine import part_ids

# Fields that are read here and written anew, or meant for the gateway alone.
OWN_FIELDS = frozenset(
    (
        names.API_KEY,
        names.WORKSPACE,
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.URGENCY,
        names.HELPERS,
        names.LAST_EVENT_ID,
        'expect',
    )
)
# 429, 503, 408 and 421 promise here that a request has not run.
PROMISING_STATUSES = (408, 421, 429, 503)
UNKNOWN_OUTCOME_STATUS = 502
EVENT_STREAM = 'text/event-stream'
DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,18})?')
# What messages between processes can hold.
WHOLE = re.compile(r'[0-9]{1,18}')
MAX_LOGGED_CHARACTERS = 40


class PlatformDialect:
    """The headers of the platform's callers and backend servers."""

    def read_routes(self, document: bytes):
        """Return the route table of a document that was accepted."""
        return routes.read_document(document)

    def read_request(
        self, *, head: messages.RequestHead, body: bytes
    ) -> model.CallerRequest:
        """Return a caller's request."""
        passed = tuple(
            (name, value)
            for name, value in messages.end_to_end(head.headers)
            if name not in OWN_FIELDS
        )
        prompt_tokens, answer_tokens = _read_tokens(head)
        return model.CallerRequest(
            request_id=head.get(names.REQUEST_ID),
            method=head.method,
            target=head.target,
            host=head.get('host'),
            headers=passed,
            body=body,
            api_key=head.get(names.API_KEY),
            deadline_ms=_read_deadline(head),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            joined_part_ids=_read_part_ids(head),
            last_event_id=head.get(names.LAST_EVENT_ID),
        )

    def write_request(self, order: model.ForwardOrder) -> messages.RequestHead:
        """Return the head of the request to a backend server."""
        fields = [
            *order.request.headers,
            (names.DEADLINE_MS, str(max(1, order.remaining_ms))),
            (names.EXPECTED_SERVER, order.server_id),
        ]
        if order.workspace:
            fields.append((names.WORKSPACE, order.workspace))
        if order.last_event_id:
            fields.append((names.LAST_EVENT_ID, order.last_event_id))
        if order.urgency is not None:
            fields.append((names.URGENCY, str(order.urgency)))
        if order.helpers:
            listed = ','.join(_name_helper(one) for one in order.helpers)
            fields.append((names.HELPERS, listed))
        return messages.RequestHead(
            method=order.request.method,
            target=order.request.target,
            headers=tuple(fields),
        )

    def write_reserve(
        self, *, ticket: reservation.Ticket, hold_ms: int
    ) -> tuple[messages.RequestHead, bytes]:
        """Return the order to reserve or renew a ticket's memory."""
        return _write_order(
            ticket,
            {
                'operation': 'reserve',
                'identifier': ticket.ticket_id,
                'tokens': ticket.tokens,
                'hold-ms': hold_ms,
            },
        )

    def write_release(
        self, *, ticket: reservation.Ticket
    ) -> tuple[messages.RequestHead, bytes]:
        """Return the order to release a ticket's memory."""
        return _write_order(
            ticket,
            {'operation': 'release', 'identifier': ticket.ticket_id},
        )

    def read_answer(self, head: messages.ResponseHead) -> model.AnswerHead:
        """Return the head of a backend server's answer."""
        field_names = {name for name, _ in head.headers}
        limit_per_s, unreadable_limit = _read_limit(head)
        retry_after_ms = _read_retry_after_ms(head)
        return model.AnswerHead(
            status=head.status,
            headers=messages.end_to_end(head.headers),
            request_id=head.get(names.REQUEST_ID),
            is_signed=bool(head.get(names.SIGNATURE)),
            is_not_executed=names.UNRUN in field_names or head.status == 421,
            is_event_stream=_read_media_type(head) in ('', EVENT_STREAM),
            fault_address=head.get(names.FAULT_ADDRESS),
            # A 421 may come from another server at the same address.
            is_leaving=head.get(names.LEAVING) == '1' and head.status != 421,
            pause_ms=retry_after_ms if head.status == 503 else 0,
            is_misdirected=head.status == 421,
            promises_unrun=head.status in PROMISING_STATUSES,
            retry_after_ms=retry_after_ms,
            limit_per_s=limit_per_s,
            unreadable_limit=unreadable_limit,
        )

    def write_error(
        self, *, error: errors.ServingError, request_id: str
    ) -> tuple[int, messages.Headers, bytes]:
        """Return status, headers and body of an error's answer."""
        answer = error.answer
        status = answer.http_status
        is_not_executed = answer.work_state is errors.WorkState.NOT_RUN
        if status in PROMISING_STATUSES and not is_not_executed:
            status = UNKNOWN_OUTCOME_STATUS
        fields = [('content-type', 'application/json')]
        if request_id:
            fields.append((names.REQUEST_ID, request_id))
        if error.retry_after_ms:
            after_s = error.retry_after_ms / clocks.MS_PER_SECOND
            fields.append((names.RETRY_AFTER_S, f'{after_s:g}'))
        content = {'error': error.kind.value, 'message': answer.meaning}
        if error.detail:
            content['detail'] = error.detail
        return status, tuple(fields), json.dumps(content).encode()


def write_refusal(status: int) -> tuple[messages.Headers, bytes]:
    """Return headers and body of an answer to what is no request."""
    body = json.dumps({'error': 'malformed', 'status': status}).encode()
    return (('content-type', 'application/json'),), body


def _read_media_type(head: messages.ResponseHead) -> str:
    """Return the media type in lower case, '' if none is stated."""
    media_type, _, _ = head.get('content-type').partition(';')
    return media_type.strip().lower()


def _read_deadline(head: messages.RequestHead) -> int | None:
    text = head.get(names.DEADLINE_MS)
    if not text:
        return None
    if not WHOLE.fullmatch(text):
        raise errors.ServingError(
            kind=ErrorKind.BAD_REQUEST,
            detail=f'{names.DEADLINE_MS} is not a whole number',
        )
    return int(text)


def _read_retry_after_ms(head: messages.ResponseHead) -> int:
    """Return when a server would be asked again, 0 if it can't be read.

    The platform's seconds may have a fraction; dates are not used there.
    """
    try:
        seconds = float(head.get(names.RETRY_AFTER_S))
    except ValueError:
        return 0
    if not math.isfinite(seconds) or seconds <= 0:
        return 0
    return math.ceil(seconds * clocks.MS_PER_SECOND)


def _read_limit(head: messages.ResponseHead) -> tuple[float | None, str]:
    """Return the limit that a server names, and what can't be read of it.

    :returns: requests a second, None if no limit is named or it can't be
        read; the beginning of the text, '' unless it can't be read.
    """
    texts = [
        value.strip()
        for name, value in head.headers
        if name == names.LIMIT_PER_S
    ]
    if not texts:
        return None, ''
    if len(texts) == 1 and DECIMAL.fullmatch(texts[0]):
        return float(texts[0]), ''
    return None, ', '.join(texts)[:MAX_LOGGED_CHARACTERS] or 'empty'


def _read_tokens(head: messages.RequestHead) -> tuple[int, int]:
    """Return the tokens of a prompt and the longest that its answer may be.

    A field that can't be read costs the caller no answer: the numbers only
    serve to choose a server.
    """
    prompt, _, answer = head.get(names.TOKEN_COUNTS).partition(',')
    return _read_whole(prompt.strip()), _read_whole(answer.strip())


def _read_whole(text: str) -> int:
    return int(text) if WHOLE.fullmatch(text) else 0


def _read_part_ids(head: messages.RequestHead) -> str:
    """Return the ids of the prompt's shared parts with commas between them.

    The header's name misleads: it lists the whole prompt. Its last part
    belongs to the request or its session alone. How many there are is limited
    by the size of the head.
    """
    *shared, _ = head.get(names.PROMPT_PARTS).split(',')
    found = (entry.partition(':')[0].strip().lower() for entry in shared)
    return ','.join(
        dict.fromkeys(part_ids.part_id_of(one) for one in found if one)
    )


def _name_helper(helper: model.Helper) -> str:
    if helper.ticket_id:
        return f'{helper.address}/{helper.ticket_id}'
    return helper.address


def _write_order(
    ticket: reservation.Ticket, fields: dict
) -> tuple[messages.RequestHead, bytes]:
    head = messages.RequestHead(
        method='POST',
        target=names.ORDER,
        headers=(
            ('host', ticket.address),
            ('content-type', 'application/json'),
            (names.EXPECTED_SERVER, ticket.server_id),
        ),
    )
    return head, json.dumps(fields).encode()
