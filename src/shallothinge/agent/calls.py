"""Runs calls to the plain service, each sent at most once."""

import logging

from twisted.internet import defer

from shallothinge import clock
from shallothinge import errors
from shallothinge.agent import authority as authorities
from shallothinge.agent import coldlimit
from shallothinge.agent import gate as gates
from shallothinge.agent import http
from shallothinge.calls import messages
from shallothinge.calls import once
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders

LOG = logging.getLogger(__name__)

SAFE_METHODS = ('GET', 'HEAD')


class CallService:
    """The calls of one agent.

    :param send: sends a message to an entry's connection.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        client: http.HttpClient,
        holder: holders.LeaseHolder,
        authority: authorities.Authority,
        gate: gates.Gate,
        limit: coldlimit.ColdLimit,
        claims: once.ClaimLog,
        services: tuple[str, ...],
        send,
    ):
        self._clock = clock
        self._client = client
        self._holder = holder
        self._authority = authority
        self._gate = gate
        self._limit = limit
        self._claims = claims
        self._services = services
        self._send = send
        self._under_way = 0

    def __len__(self) -> int:
        """Return the number of calls under way."""
        return self._under_way

    def call(
        self, *, owner_id: str, request: messages.CallService, waited_ms: int
    ) -> None:
        """Run a call if the rules allow it.

        :param waited_ms: how long the request may have waited unread.
        """
        if self._was_sent(request):
            self._fail(owner_id, request)
            return
        refusal = self._refusal(request, waited_ms)
        if refusal is not None:
            self._refuse(owner_id, request, refusal)
            return
        key = (request.request_id, request.attempt)
        admitted = self._gate.admit(key=key, work=gates.Work(tokens=0))
        if isinstance(admitted, gates.Refused):
            self._refuse(owner_id, request, admitted.kind)
            return
        ends_ms = self._clock.now_ms() + request.deadline_ms - waited_ms
        self._run(owner_id, request, key, ends_ms)

    def _was_sent(self, request: messages.CallService) -> bool:
        if not request.claim_index:
            return False
        return not self._claims.may_send(claim_index=request.claim_index)

    def _refusal(
        self, request: messages.CallService, waited_ms: int
    ) -> ErrorKind | None:
        permission = self._authority.may_begin(
            state_version=request.state_version
        )
        if isinstance(permission, authorities.Denied):
            return permission.kind
        if waited_ms >= request.deadline_ms:
            return ErrorKind.EXPIRED_NOT_RUN
        if not self._authority.may_use(
            state_version=request.state_version,
            workspace=request.workspace,
            name=request.service,
        ):
            return ErrorKind.FORBIDDEN
        if request.service not in self._services:
            return ErrorKind.NO_BACKEND_SERVER
        if not request.claim_index and not self._is_repeatable(request):
            return ErrorKind.KEY_REQUIRED
        return None

    def _is_repeatable(self, request: messages.CallService) -> bool:
        if request.method in SAFE_METHODS:
            return True
        bundle = self._holder.config.bundle
        specs = bundle.services if bundle is not None else ()
        return any(
            spec.repeatable for spec in specs if spec.name == request.service
        )

    @defer.inlineCallbacks
    def _run(self, owner_id, request, key, ends_ms):
        self._under_way += 1
        try:
            answer = yield self._client.ask(
                timeout_ms=max(1, ends_ms - self._clock.now_ms()),
                method=request.method,
                path='/' + request.path.lstrip('/'),
                body=request.body,
                headers=headers_of(request),
                may_send=lambda: self._may_send(request, ends_ms),
            )
        except http.NotSent:
            self._not_sent(owner_id, request, ends_ms)
        except Exception as error:
            LOG.warning(
                'a call ended without an answer: %r',
                error,
                extra={'request_id': request.request_id},
            )
            self._fail(owner_id, request)
        else:
            self._limit.finished(tokens=0)
            self._answer(owner_id, request, answer)
        finally:
            self._under_way -= 1
            self._gate.release(key=key)

    def _may_send(self, request: messages.CallService, ends_ms: int) -> bool:
        """Decide right before sending; a claim counts as sent from here."""
        if not self._authority.may_act():
            return False
        if self._clock.now_ms() >= ends_ms:
            return False
        if not request.claim_index:
            return True
        if not self._claims.may_send(claim_index=request.claim_index):
            return False
        self._claims.sending(claim_index=request.claim_index)
        return True

    def _not_sent(self, owner_id, request, ends_ms: int) -> None:
        if self._was_sent(request):
            # Another message sent this claim while this one connected.
            self._fail(owner_id, request)
        else:
            self._refuse(owner_id, request, self._not_sent_kind(ends_ms))

    def _not_sent_kind(self, ends_ms: int) -> ErrorKind:
        if self._clock.now_ms() >= ends_ms:
            return ErrorKind.EXPIRED_NOT_RUN
        if not self._authority.may_act():
            return ErrorKind.NO_LEASE
        return ErrorKind.NO_BACKEND_SERVER

    def _refuse(self, owner_id, request, kind: ErrorKind) -> None:
        refusal = messages.CallRefused(
            request_id=request.request_id,
            attempt=request.attempt,
            kind=kind,
            retry_after_ms=errors.ANSWERS[kind].retry_after_ms,
        )
        self._send(owner_id, refusal)

    def _fail(self, owner_id, request) -> None:
        kind = ErrorKind.BACKEND_FAILED
        if request.claim_index:
            kind = ErrorKind.OUTCOME_UNKNOWN
        failure = messages.CallFailed(
            request_id=request.request_id,
            attempt=request.attempt,
            kind=kind,
        )
        self._send(owner_id, failure)

    def _answer(self, owner_id, request, answer: http.Answer) -> None:
        message = messages.CallAnswered(
            request_id=request.request_id,
            attempt=request.attempt,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )
        self._send(owner_id, message)


def headers_of(request: messages.CallService) -> dict[str, str]:
    """Return the headers that the service gets."""
    headers = {'Content-Type': 'application/json'}
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    return headers
