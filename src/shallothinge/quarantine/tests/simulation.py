"""Gateways that share servers, some requests to which crash them."""

import collections
from collections.abc import Callable
import itertools
import random

import attrs

from shallothinge import clock as clocks
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import chance
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments
from shallothinge.quarantine import state
from shallothinge.quarantine import suspects

LINK_MS = 3
SERVERS = 24
SLOTS = 8
READ_MS = 80
WRITE_MS = 600
RESTART_MS = 3000
ATTEMPTS = 2
STEP_MS = 1
EVENT_MS = 40
# Requests that keep several slots of each server busy, so that its other
# streams show that it goes on. Some of their servers reset connections.
BUSY_PER_S = 200.0
RESET_SHARE = 0.1
ZONES = 3
# Parts that many long streams share, beside one that all of them have.
LONG_PARTS = 10
# The stream of a deadly request ends here if its server does not crash.
DEADLY_WRITE_MS = 5000
# Crashes of streams that were written for longer are reported as late.
LATE_MS = 250
DEADLY_PART = 'deadly'
DEADLY_REQUEST = f'{fingerprints.PREFIX}deadly'


def zone_of(server: int) -> str:
    """Return the zone of a server."""
    return f'zone-{server % ZONES}'


@attrs.define(kw_only=True, eq=False)
class Request:
    """One request at one gateway."""

    part_ids: tuple[str, ...]
    gateway: int
    is_deadly: bool
    is_long: bool = False
    is_repeated: bool = False
    attempts: int = 0
    server: int = 0
    writes_at_ms: int = 0
    crashes_at_ms: int = 0
    ends_at_ms: int = 0
    opened_ms: int = 0
    resets_at_ms: int | None = None
    run: chance.Run | None = None


class Simulation:
    """Plays requests at gateways until a time has passed.

    :param share: part of the requests that hold the deadly part.
    :param repeated_share: part of the requests that are the deadly one, which
        is always the same and comes with parts of sound requests.
    :param reset_share: part of the attempts at sound requests whose
        connection a server resets as it begins to answer, and goes on.
    :param deadly_from_ms: time without deadly requests at the start, in which
        the parts of sound requests are answered.
    :param crash_after_ms: times from the first event of a deadly request to
        the crash, of which one is drawn each time.
    :param long_share: part of the sound requests that are streams of up to
        ``long_ms``. They have parts of their own, which many of them share.
    :param crashes_per_s: crashes of servers that no request causes.
    :param make_quarantine: makes what each gateway decides by.
    :ivar deadly_crashes_ms: instants of crashes by deadly requests.
    :ivar runs_after: runs of deadly requests that began after the last
        gateway had quarantined the part.
    :ivar deadly_runs_ms: instants at which deadly requests were sent.
    :ivar refused_sound: sound requests that were refused.
    :ivar resets: connections that were reset by servers that went on.
    """

    def __init__(
        self,
        *,
        seed: int,
        gateways: int,
        per_s: float,
        share: float,
        tenants: int = 10,
        repeated_share: float = 0.0,
        reset_share: float = 0.0,
        deadly_from_ms: int = 0,
        crash_after_ms: tuple[int, ...] = (0,),
        long_share: float = 0.0,
        long_ms: int = 60_000,
        crashes_per_s: float = 0.0,
        servers: int = SERVERS,
        make_quarantine: Callable[..., state.PartQuarantine] = (
            state.PartQuarantine
        ),
    ):
        self.servers = servers
        self._crash_after_ms = crash_after_ms
        self._long_share = long_share
        self._long_ms = long_ms
        self._crashes_per_s = crashes_per_s
        # Apart from the other numbers, as for resets.
        self._late_rng = random.Random(-seed - 1)
        self.deadly_crashes_ms = []
        self._rng = random.Random(seed)
        # Apart from the other numbers, which are those of plays without.
        self._reset_rng = random.Random(-seed)
        self._reset_share = reset_share
        self.resets = 0
        self._per_s = per_s
        self._share = share
        self._repeated_share = repeated_share
        self._numbers = itertools.count()
        self._deadly_id = DEADLY_REQUEST if repeated_share else DEADLY_PART
        self._tenants = tenants
        self.clock = clocks.ManualClock(start_ms=100_000)
        self.gateways = [
            make_quarantine(clock=self.clock, places=self)
            for _ in range(gateways)
        ]
        self._deadly_from_ms = self.clock.now_ms() + deadly_from_ms
        self._mail = []
        for index, one in enumerate(self.gateways):
            one.on_change = lambda index=index: self._due.add(index)
            one.on_suspicion = lambda index=index: self._verdicts.append(
                (self.clock.now_ms() + suspects.SETTLE_MS, index)
            )
        self._due = set()
        self._verdicts = []
        self._retries = []
        self._running = collections.defaultdict(list)
        self._down_until_ms = [0] * servers
        self._lives = [0] * servers
        self.crash_times_ms = []
        self.known_ms = None
        self.runs_after = 0
        self.deadly_runs_ms = []
        self.refused_sound = 0
        self.sound = 0
        self.wholes = collections.defaultdict(list)

    def late_runs(self, crash_number: int, contact_ms: int) -> int:
        """Return the deadly runs that began too long after a crash."""
        if len(self.deadly_crashes_ms) < crash_number:
            return 0
        late_ms = self.deadly_crashes_ms[crash_number - 1] + contact_ms
        return sum(one > late_ms for one in self.deadly_runs_ms)

    def find_place(self, server_id: str) -> moments.Place:
        """Return where a server runs."""
        return moments.Place(zone=zone_of(int(server_id.partition('-')[2])))

    def list_zone(self, zone: str) -> frozenset[ServerKey]:
        """Return what is listed in a zone; who is down, as it was."""
        return frozenset(
            self._key(server, is_listed=True)
            for server in range(self.servers)
            if zone_of(server) == zone
        )

    def find_services(self, server_id: str) -> frozenset[str]:
        """Return the only service."""
        return frozenset(('service',))

    def list_serving(self, services: frozenset[str]) -> frozenset[ServerKey]:
        """Return all servers, as there is one service."""
        return frozenset(
            self._key(one, is_listed=True) for one in range(self.servers)
        )

    def run(self, duration_ms: int) -> None:
        """Play for some time."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(duration_ms=STEP_MS)
            if self._rng.random() < self._per_s * STEP_MS / 1000:
                request = self._draw()
                self.sound += not request.is_deadly
                self._start(request)
            self._disturb()
            self._work()
            self._judge()
            self._exchange()

    def _disturb(self) -> None:
        """Crash a server for a reason of its own now and then."""
        if self._late_rng.random() < self._crashes_per_s * STEP_MS / 1000:
            server = self._late_rng.randrange(self.servers)
            if self._down_until_ms[server] <= self.clock.now_ms():
                self._crash(server)

    def _draw(self) -> Request:
        tenant = self._rng.randrange(self._tenants)
        part_ids = (f'tenant-{tenant}',)
        if self._rng.random() < 0.3:
            part_ids += (f'document-{self._rng.randrange(40)}',)
        may_be_deadly = self.clock.now_ms() >= self._deadly_from_ms
        is_deadly = self._rng.random() < self._share and may_be_deadly
        if is_deadly:
            part_ids = (f'tenant-{tenant % 3}', DEADLY_PART)
        part_ids += (f'{fingerprints.PREFIX}{next(self._numbers)}',)
        if self._rng.random() < self._repeated_share and may_be_deadly:
            is_deadly = True
            part_ids = ('tenant-0', 'document-0', DEADLY_REQUEST)
        is_long = not is_deadly and self._late_rng.random() < self._long_share
        if is_long:
            part_ids = (
                'long',
                f'long-{self._late_rng.randrange(LONG_PARTS)}',
                f'{fingerprints.PREFIX}{next(self._numbers)}',
            )
        return Request(
            part_ids=part_ids,
            gateway=self._rng.randrange(len(self.gateways)),
            is_deadly=is_deadly,
            is_long=is_long,
        )

    def _start(self, request: Request) -> None:
        quarantine = self.gateways[request.gateway]
        admission = quarantine.admit(request.part_ids)
        if admission.refused_ms:
            self.refused_sound += not request.is_deadly
            return
        if admission.wait_ms:
            self._retries.append(
                (self.clock.now_ms() + admission.wait_ms, request)
            )
            return
        now_ms = self.clock.now_ms()
        free = [
            one
            for one in range(self.servers)
            if self._down_until_ms[one] <= now_ms
            and len(self._running[one]) < SLOTS
        ]
        if not free:
            return
        request.attempts += 1
        request.server = self._rng.choice(free)
        request.writes_at_ms = now_ms + self._rng.randrange(
            READ_MS // 2, 2 * READ_MS
        )
        request.ends_at_ms = request.writes_at_ms + self._rng.randrange(
            WRITE_MS // 4, 2 * WRITE_MS
        )
        if request.is_deadly:
            request.ends_at_ms = request.writes_at_ms + DEADLY_WRITE_MS
            request.crashes_at_ms = (
                request.writes_at_ms
                + self._late_rng.choice(self._crash_after_ms)
            )
        elif request.is_long:
            request.ends_at_ms = request.writes_at_ms + (
                self._late_rng.randrange(self._long_ms // 8, self._long_ms)
            )
        request.run = quarantine.start_run(request.part_ids)
        request.opened_ms = now_ms
        request.resets_at_ms = None
        if (
            not request.is_deadly
            and self._reset_rng.random() < self._reset_share
        ):
            request.resets_at_ms = request.writes_at_ms
        self._running[request.server].append(request)
        if request.is_deadly:
            self.deadly_runs_ms.append(now_ms)
            self.runs_after += self.known_ms is not None

    def _work(self) -> None:
        now_ms = self.clock.now_ms()
        for server in range(self.servers):
            for request in list(self._running[server]):
                if request not in self._running[server]:
                    continue
                if request.is_deadly and request.crashes_at_ms <= now_ms:
                    self.deadly_crashes_ms.append(now_ms)
                    self._crash(server)
                elif request.resets_at_ms == now_ms:
                    self._reset(request)
                    continue
                elif request.ends_at_ms <= now_ms:
                    self._end(request)
                    for part_id in request.part_ids:
                        self.wholes[part_id].append(now_ms)
                    self.gateways[request.gateway].record_whole(
                        request.part_ids
                    )
                if request in self._running[server]:
                    self._send_event(request)

    def _send_event(self, request: Request) -> None:
        """Let an event arrive at a request's gateway if one is due."""
        writing_ms = self.clock.now_ms() - request.writes_at_ms
        if writing_ms >= 0 and writing_ms % EVENT_MS == 0:
            self.gateways[request.gateway].record_data(
                key=self._key(request.server), opened_ms=request.opened_ms
            )

    def _key(self, server: int, *, is_listed: bool = False) -> ServerKey:
        is_down = self._down_until_ms[server] > self.clock.now_ms()
        life = self._lives[server] - (is_listed and is_down)
        return f'server-{server}', str(life)

    def _reset(self, request: Request) -> None:
        """Reset the connection of one request; its server goes on."""
        self.resets += 1
        self._end(request)
        self.gateways[request.gateway].record_crash(
            key=self._key(request.server), part_ids=request.part_ids
        )
        self._send_again(request)

    def _crash(self, server: int) -> None:
        now_ms = self.clock.now_ms()
        self.crash_times_ms.append(now_ms)
        broken = list(self._running[server])
        key = self._key(server)
        self._lives[server] += 1
        self._down_until_ms[server] = now_ms + RESTART_MS
        for request in broken:
            self._end(request)
            self.gateways[request.gateway].record_crash(
                key=key,
                part_ids=request.part_ids,
                is_late=request.writes_at_ms + LATE_MS <= now_ms,
            )
        for request in broken:
            self._send_again(request)

    def _send_again(self, request: Request) -> None:
        """Let the gateway retry a request, and then its caller repeat it."""
        if request.attempts < ATTEMPTS:
            self._start(request)
        elif not request.is_repeated:
            self._start(self._repeat(request))

    def _end(self, request: Request) -> None:
        """End a request at its server."""
        self._running[request.server].remove(request)
        self.gateways[request.gateway].end_run(request.run)

    def _repeat(self, request: Request) -> Request:
        """Return the request as its caller sends it once more."""
        return Request(
            part_ids=request.part_ids,
            gateway=self._rng.randrange(len(self.gateways)),
            is_deadly=request.is_deadly,
            is_long=request.is_long,
            is_repeated=True,
        )

    def _judge(self) -> None:
        now_ms = self.clock.now_ms()
        while self._verdicts and self._verdicts[0][0] <= now_ms:
            self.gateways[self._verdicts.pop(0)[1]].judge()
        due = [one for one in self._retries if one[0] <= now_ms]
        self._retries = [one for one in self._retries if one[0] > now_ms]
        for _, request in due:
            self._start(request)

    def _exchange(self) -> None:
        now_ms = self.clock.now_ms()
        due, self._due = self._due, set()
        for index in sorted(due):
            report = self.gateways[index].report(complete=False)
            if report is not None:
                self._mail.append((now_ms + LINK_MS, index, report))
        while self._mail and self._mail[0][0] <= now_ms:
            _, sender, report = self._mail.pop(0)
            for index, one in enumerate(self.gateways):
                if index != sender:
                    one.apply_report(report, peer_id=str(sender))
        if self.known_ms is None and all(
            one.is_quarantined((self._deadly_id,)) for one in self.gateways
        ):
            self.known_ms = now_ms
