"""Holds a prompt that is larger than one backend server's memory.

Carries out what the reservation plan decides: messages to agents, and the
counts of the entry's own work at each of them.
"""

from typing import Protocol

from shallothinge.entry import chat_job
from shallothinge.errors import ErrorKind
from shallothinge.reservations import messages
from shallothinge.reservations import plan as plans
from shallothinge.streams import messages as streams

EXPIRY_MS = 5000
MIN_PATIENCE_MS = 200
MAX_PATIENCE_MS = 5000


class SpanOwner(Protocol):
    """The run that the memory is reserved for."""

    def span_ready(self) -> None:
        """Learn that every part is held."""

    def span_failed(self, kind: ErrorKind) -> None:
        """Learn that nothing is held any more."""


class Span:
    """Parts of one prompt on several backend servers.

    :param plan_id: unique for each try; agents extend reservations by it.
    :param failures: how often the request has failed; the more, the longer
        the plan waits at a server without room.
    """

    def __init__(
        self,
        *,
        env: chat_job.Environment,
        owner: SpanOwner,
        parts: tuple[plans.Part, ...],
        plan_id: str,
        failures: int,
    ):
        self.plan_id = plan_id
        self._env = env
        self._owner = owner
        self._parts = parts
        patience_ms = min(MAX_PATIENCE_MS, MIN_PATIENCE_MS << failures)
        self._plan = plans.ReservationPlan(
            clock=env.clock, parts=parts, patience_ms=patience_ms
        )

    @property
    def first_server_id(self) -> str:
        """Return the server that runs the prompt."""
        return self._parts[0].server_id

    @property
    def stream_parts(self) -> tuple[streams.SpanPart, ...]:
        """Return the parts as the running agent gets them."""
        return tuple(
            streams.SpanPart(
                server_id=part.server_id,
                reservation_id=part.reservation_id,
                tokens=part.tokens,
                url=part.url,
            )
            for part in self._parts
        )

    def start(self) -> None:
        """Begin to reserve."""
        self._perform(self._plan.start())

    def take(self, message: object) -> None:
        """Take an agent's answer to a reservation."""
        if isinstance(message, messages.MemoryReserved):
            steps = self._plan.reserved(message.reservation_id)
        else:
            steps = self._plan.refused(message.reservation_id, message.kind)
        self._perform(steps)

    def watch(self) -> None:
        """Ask again where it is time, and notice agents that are gone."""
        for part in self._parts:
            if self._env.fleet.is_lost(server_id=part.server_id):
                self._perform(self._plan.server_lost(part.server_id))
        self._perform(self._plan.tick())

    def release(self) -> None:
        """Release every part; a second time changes nothing."""
        self._perform(self._plan.release())

    def _perform(self, actions: list[plans.Action]) -> None:
        for action in actions:
            if isinstance(action, plans.Reserve):
                self._reserve(action.part)
            elif isinstance(action, plans.Release):
                self._release(action.part)
            elif isinstance(action, plans.Ready):
                self._owner.span_ready()
            elif isinstance(action, plans.Failed):
                self._owner.span_failed(action.kind)

    def _reserve(self, part: plans.Part) -> None:
        if not self._env.holder.is_valid():
            self._perform(self._plan.fail(ErrorKind.NO_LEASE))
            return
        self._env.fleet.hold(
            server_id=part.server_id, hold_id=self.plan_id, tokens=part.tokens
        )
        message = messages.ReserveMemory(
            reservation_id=part.reservation_id,
            request_id=self.plan_id,
            entry_id=self._env.entry_id,
            tokens=part.tokens,
            expiry_ms=EXPIRY_MS,
            state_version=self._env.holder.config.state_version,
        )
        sent = self._env.fleet.send(server_id=part.server_id, message=message)
        if not sent:
            self._perform(self._plan.fail(ErrorKind.NO_BACKEND_SERVER))

    def _release(self, part: plans.Part) -> None:
        self._env.fleet.unhold(server_id=part.server_id, hold_id=self.plan_id)
        message = messages.ReleaseMemory(reservation_id=part.reservation_id)
        self._env.fleet.send(server_id=part.server_id, message=message)
