"""Servers that crash several at a moment, for one request or for none."""

import collections
import enum
import itertools

from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments
from shallothinge.quarantine.tests import simulation

# Callers send requests together so often.
GROUP_GAP_MS = 4000
# From the arrival of a deadly request to the crash, and its spread.
BEGIN_MS = 20
BEGIN_SPREAD_MS = 5
# How long after it was sent a group may lose its servers to another cause.
LOSS_AFTER_MS = 40
SOUND_REQUEST = f'{fingerprints.PREFIX}sound'


class Cause(enum.Enum):
    """Why the servers of a moment crash."""

    REQUEST = 'request'
    PART = 'part'
    TWO_REQUESTS = 'two requests'
    ZONE = 'zone'
    RACK = 'rack'
    POWER = 'power'
    CONNECTIONS = 'connections'


class MomentSimulation(simulation.Simulation):
    """Groups of callers that send at one moment, beside usual requests.

    Where no request is the cause, a sound one is sent in its place, and
    servers crash while it runs.

    :param size: how many requests a group has.
    :param knows_places: whether gateways know where servers run.
    """

    def __init__(
        self,
        *,
        seed: int,
        gateways: int,
        per_s: float,
        cause: Cause,
        size: int,
        knows_places: bool = True,
    ):
        super().__init__(seed=seed, gateways=gateways, per_s=per_s, share=0.0)
        self._knows_places = knows_places
        # Of each deadly request or part.
        self._crashes_ms = collections.defaultdict(list)
        self._runs_ms = collections.defaultdict(list)
        self._cause = cause
        self._size = size
        self._deadly_id = simulation.DEADLY_REQUEST
        if cause is Cause.PART:
            self._deadly_id = simulation.DEADLY_PART
        self._group_at_ms = self.clock.now_ms() + GROUP_GAP_MS
        self._loss_at_ms = 0
        self._zones = itertools.cycle(range(simulation.ZONES))
        self._unique = itertools.count()

    def late_runs(self, crash_number: int, contact_ms: int) -> int:
        """Return the runs of a request or part too long after a crash.

        :returns: those of the one that has most.
        """
        return max(
            (
                sum(
                    one > crashes_ms[crash_number - 1] + contact_ms
                    for one in self._runs_ms[deadly_id]
                )
                for deadly_id, crashes_ms in self._crashes_ms.items()
                if len(crashes_ms) >= crash_number
            ),
            default=0,
        )

    def find_place(self, server_id: str) -> moments.Place | None:
        """Return where a server runs, None if gateways don't know it."""
        if not self._knows_places:
            return None
        return super().find_place(server_id)

    def _start(self, request: simulation.Request) -> None:
        attempts = request.attempts
        super()._start(request)
        if request.is_deadly and request.attempts > attempts:
            self._runs_ms[_deadly_id(request)].append(self.clock.now_ms())

    def _crash(self, server: int) -> None:
        found = {
            _deadly_id(one): None
            for one in self._running[server]
            if one.is_deadly and one.writes_at_ms <= self.clock.now_ms()
        }
        for deadly_id in found:
            self._crashes_ms[deadly_id].append(self.clock.now_ms())
        super()._crash(server)

    def _disturb(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms >= self._group_at_ms:
            self._group_at_ms = now_ms + GROUP_GAP_MS
            self._loss_at_ms = now_ms + LOSS_AFTER_MS
            for index in range(self._size):
                self._send_together(index)
        if now_ms == self._loss_at_ms:
            for server in self._lost_servers():
                self._crash(server)
            if self._cause is Cause.CONNECTIONS:
                self._reset_all(0)

    def _send_together(self, index: int) -> None:
        is_deadly = self._cause in (
            Cause.REQUEST,
            Cause.PART,
            Cause.TWO_REQUESTS,
        )
        # As of an unsafe route, whose requests are sent once.
        request = simulation.Request(
            part_ids=self._part_ids(index),
            gateway=self._gateway(index),
            is_deadly=is_deadly,
            is_repeated=True,
            attempts=simulation.ATTEMPTS - 1,
        )
        self.sound += not is_deadly
        self._start(request)
        if is_deadly:
            request.writes_at_ms = (
                self.clock.now_ms()
                + BEGIN_MS
                + self._rng.randrange(BEGIN_SPREAD_MS)
            )
            request.crashes_at_ms = request.writes_at_ms

    def _gateway(self, index: int) -> int:
        """Return the gateway of a caller; one may get a whole group."""
        if self._cause is Cause.CONNECTIONS:
            return 0
        return index % len(self.gateways)

    def _reset_all(self, gateway: int) -> None:
        """Reset all connections of a gateway; the servers go on."""
        for running in list(self._running.values()):
            for request in list(running):
                if request.gateway == gateway:
                    self._reset(request)

    def _part_ids(self, index: int) -> tuple[str, ...]:
        if self._cause is Cause.PART:
            own = f'{fingerprints.PREFIX}own-{next(self._unique)}'
            return 'tenant-0', simulation.DEADLY_PART, own
        if self._cause is Cause.TWO_REQUESTS and index % 2:
            return 'tenant-0', f'{simulation.DEADLY_REQUEST}-too'
        if self._cause in (Cause.REQUEST, Cause.TWO_REQUESTS):
            return 'tenant-0', simulation.DEADLY_REQUEST
        return 'tenant-0', SOUND_REQUEST

    def _lost_servers(self) -> list[int]:
        """Return the servers that are lost for another cause."""
        up = [
            one
            for one in range(simulation.SERVERS)
            if self._down_until_ms[one] <= self.clock.now_ms()
        ]
        if self._cause is Cause.POWER:
            return up
        if self._cause not in (Cause.ZONE, Cause.RACK):
            return []
        zone = f'zone-{next(self._zones)}'
        there = [one for one in up if simulation.zone_of(one) == zone]
        if self._cause is Cause.RACK:
            return self._rng.sample(there, min(len(there), 4))
        return there


def _deadly_id(request: simulation.Request) -> str:
    if simulation.DEADLY_PART in request.part_ids:
        return simulation.DEADLY_PART
    return request.part_ids[-1]
