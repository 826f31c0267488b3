"""Reserves engine memory for parts of prompts that span several engines."""

import logging

from twisted.internet import defer

from shallothinge import errors
from shallothinge.agent import authority as authorities
from shallothinge.agent import engine as engines
from shallothinge.agent import gate as gates
from shallothinge.agent import http
from shallothinge.agent import reconcile
from shallothinge.agent import watch as watches
from shallothinge.errors import ErrorKind
from shallothinge.reservations import messages
from shallothinge.reservations import table as tables

LOG = logging.getLogger(__name__)

CREATED = 201


class ReservationService:
    """The reservations of one agent.

    :param send: sends a message to an owner.
    """

    def __init__(
        self,
        *,
        engine: engines.EngineClient,
        authority: authorities.Authority,
        gate: gates.Gate,
        watch: watches.EngineWatch,
        releases: reconcile.ReleaseQueue,
        table: tables.ReservationTable,
        send,
    ):
        self._engine = engine
        self._authority = authority
        self._gate = gate
        self._watch = watch
        self._releases = releases
        self._table = table
        self._send = send

    def reserve(
        self, *, owner_id: str, request: messages.ReserveMemory
    ) -> None:
        """Reserve memory if the rules and the gate allow it."""
        held = self._table.get(request.reservation_id)
        if held is not None:
            if held.confirmed:
                self._confirm(owner_id, request)
            return
        refusal = self._refusal(request)
        if refusal is not None:
            self._refuse(owner_id, request, refusal)
            return
        self._table.hold(request=request, owner_id=owner_id)
        self._gate.set_reserved(tokens=self._table.tokens)
        self._ask_engine(owner_id, request)

    def release(self, reservation_id: str) -> None:
        """End a reservation here and on the engine."""
        if not self._table.release(reservation_id=reservation_id):
            return
        self._gate.set_reserved(tokens=self._table.tokens)
        self._release_on_engine(reservation_id)

    def release_owner(self, owner_id: str) -> None:
        """End the reservations of an entry that has restarted."""
        for reservation_id in self._table.of_owner(owner_id):
            self.release(reservation_id)

    def expire(self) -> None:
        """End the reservations whose time has passed."""
        for reservation_id in self._table.expired():
            self.release(reservation_id)

    def _refusal(self, request: messages.ReserveMemory) -> ErrorKind | None:
        permission = self._authority.may_begin(
            state_version=request.state_version
        )
        if isinstance(permission, authorities.Denied):
            return permission.kind
        if request.tokens < 0:
            return ErrorKind.BAD_REQUEST
        if not self._watch.is_serving():
            return ErrorKind.NO_BACKEND_SERVER
        admitted = self._gate.may_reserve(tokens=request.tokens)
        if isinstance(admitted, gates.Refused):
            return admitted.kind
        return None

    @defer.inlineCallbacks
    def _ask_engine(self, owner_id, request):
        reserve = engines.Reserve(
            reservation_id=request.reservation_id, tokens=request.tokens
        )
        try:
            answer = yield self._engine.reserve(
                reserve=reserve, may_send=self._authority.may_act
            )
        except Exception as error:
            LOG.warning('a reservation got no answer: %r', error)
            sent = not isinstance(error, http.NotSent)
            self._give_up(owner_id, request, sent=sent)
            return
        if answer.status != CREATED:
            self._forget(request)
            self._refuse(owner_id, request, ErrorKind.MEMORY_FULL)
            return
        held = self._table.get(request.reservation_id)
        if held is None:
            self._release_on_engine(request.reservation_id)
            return
        held.confirmed = True
        self._confirm(owner_id, request)

    def _give_up(self, owner_id, request, *, sent: bool) -> None:
        self._forget(request)
        if sent:
            self._release_on_engine(request.reservation_id)
        self._refuse(owner_id, request, ErrorKind.NO_BACKEND_SERVER)

    def _forget(self, request: messages.ReserveMemory) -> None:
        self._table.release(reservation_id=request.reservation_id)
        self._gate.set_reserved(tokens=self._table.tokens)

    def _release_on_engine(self, reservation_id: str) -> None:
        holding = reconcile.Holding(
            collection=reconcile.Collection.RESERVATIONS,
            identifier=reservation_id,
        )
        self._releases.add(holding)

    def _confirm(self, owner_id, request) -> None:
        message = messages.MemoryReserved(
            reservation_id=request.reservation_id
        )
        self._send(owner_id, message)

    def _refuse(self, owner_id, request, kind: ErrorKind) -> None:
        refusal = messages.ReservationRefused(
            reservation_id=request.reservation_id,
            kind=kind,
            retry_after_ms=errors.ANSWERS[kind].retry_after_ms,
        )
        self._send(owner_id, refusal)
