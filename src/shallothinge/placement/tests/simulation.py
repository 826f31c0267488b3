"""Simulates a load on engines that follow the cost model, with one chooser.

Passes, chunks of prompts, parts read for other servers and pauses of streams
follow the engine's cost model. Network latency is not simulated.
"""

import collections
import heapq
import itertools
import math

import attrs

from shallothinge import clock
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import pace
from shallothinge.placement import pricing
from shallothinge.placement import result
from shallothinge.placement import server_queue
from shallothinge.placement import waiting
from shallothinge.routes import model

TOKENS_OF_EVENT = 34
# Interval at which a request that waits for capacity or reads is retried.
RETRY_INTERVAL_MS = 20
# Callers abandon a request after this multiple of its objective.
ABANDON_OBJECTIVES = 4


@attrs.define(kw_only=True, eq=False)
class Request:
    """A stream that a caller requests, and the measured results."""

    at_ms: float
    tokens: int
    events: int
    objective_ms: float
    pause_ms: int
    parts_left: int = 0
    events_left: int = 0
    first_ms: float | None = None
    last_ms: float = 0.0
    longest_pause_ms: float = 0.0
    work_ids: tuple[int, ...] = ()
    server: 'Server | None' = None
    waiting_id: int | None = None
    placed: choice.Placement | None = None
    placed_ms: float = 0.0
    idle_mark_ms: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Return whether first event and pauses are within their limits."""
        if self.first_ms is None or self.events_left:
            return False
        return (
            self.first_ms <= self.objective_ms
            and self.longest_pause_ms <= self.pause_ms
        )


@attrs.define(kw_only=True, eq=False)
class Read:
    """A part of a prompt that a server reads."""

    request: Request
    tokens_left: float
    ms_per_token: float


class Server:
    """One engine; it reads parts of divided prompts first, newest first.

    :param pace: duration of its passes as a multiple of the cost model's.
    """

    def __init__(self, *, engine: model.EngineCost, pace: float = 1.0):
        self.engine = engine
        self.pace = pace
        self.parts = collections.deque()
        self.reads = collections.deque()
        self.writers: list[Request] = []
        self.is_running = False

    def has_work(self) -> bool:
        """Return whether there is anything to read or generate."""
        return bool(self.parts or self.reads or self.writers)

    def run_pass(self) -> tuple[float, list[Request]]:
        """Return the duration in ms of the next pass and the requests read."""
        steps = self.engine.steps_per_pass if self.writers else 1
        spent_ms = steps * self.engine.step_ms
        ended = []
        for _ in range(steps):
            queue = self.parts or self.reads
            if not queue:
                break
            read = queue[0]
            tokens = min(self.engine.chunk_tokens, read.tokens_left)
            read.tokens_left -= tokens
            spent_ms += tokens * read.ms_per_token
            if read.tokens_left <= 0:
                queue.popleft()
                ended.append(read.request)
        return spent_ms * self.pace, ended


class Simulation:
    """Runs requests on simulated servers, placed by a chooser.

    :param slow_paces: pace by id of the servers that are slow.
    :param sound_from_ms: instant from which no server is slow.
    :param measures_pace: whether the chooser is told the measured paces.
    :ivar sent_counts: number of requests sent to each server.
    """

    def __init__(
        self,
        *,
        service: model.Service,
        server_count: int,
        chooser,
        slow_paces: dict[str, float] | None = None,
        sound_from_ms: float = math.inf,
        measures_pace: bool = False,
    ):
        self.service = service
        self.chooser = chooser
        self.clock = clock.ManualClock()
        self.load = fleet.FleetLoad(clock=self.clock)
        self.servers = {
            f's{index}': Server(engine=service.engine)
            for index in range(server_count)
        }
        for server_id, slow_pace in (slow_paces or {}).items():
            self.servers[server_id].pace = slow_pace
        self._sound_from_ms = sound_from_ms
        self._measures_pace = measures_pace
        self.paces = pace.ServerPaces(clock=self.clock)
        self.sent_counts = collections.Counter()
        self.ranks = choice.rank_servers(self.servers)
        self.waiting = waiting.WaitingPrompts(clock=self.clock)
        self._events = []
        self._order = itertools.count()
        self._refused = []

    def run(self, requests) -> None:
        """Run all requests until they have ended."""
        for request in requests:
            self._schedule(request.at_ms, self._arrive, request)
        while self._events:
            at_ms, _, function, argument = heapq.heappop(self._events)
            self.clock.advance(
                duration_ms=max(0, int(at_ms) - self.clock.now_ms())
            )
            function(at_ms, argument)

    def _schedule(self, at_ms, function, argument) -> None:
        entry = (at_ms, next(self._order), function, argument)
        heapq.heappush(self._events, entry)

    def _arrive(self, now_ms, request) -> None:
        waited_ms = now_ms - request.at_ms
        patience_ms = ABANDON_OBJECTIVES * request.objective_ms - waited_ms
        demand = choice.Demand(
            service=self.service,
            tokens=request.tokens,
            objective_ms=request.objective_ms - waited_ms,
            patience_ms=patience_ms,
            pause_objective_ms=request.pause_ms,
            zone='z',
        )
        if patience_ms <= 0:
            self._stop_waiting(request)
        elif not self._may_be_placed(request, demand):
            self._schedule(now_ms + RETRY_INTERVAL_MS, self._arrive, request)
        else:
            placed = self.chooser.choose(
                demand=demand, candidates=self._candidates()
            )
            if isinstance(placed, choice.Placement):
                self._stop_waiting(request)
                self._start(now_ms, request, placed)
            else:
                self._schedule(
                    now_ms + RETRY_INTERVAL_MS, self._arrive, request
                )

    def _may_be_placed(self, request, demand) -> bool:
        if not demand.waits_for_reads:
            return True
        if request.waiting_id is None:
            request.waiting_id = self.waiting.join(
                waiting.WaitingPrompt(
                    service=self.service.name,
                    due_ms=int(request.at_ms + request.objective_ms),
                    min_first_event_ms=choice.min_first_event_ms(
                        self.service, request.tokens
                    ),
                )
            )
        return self.waiting.is_first(request.waiting_id)

    def _stop_waiting(self, request) -> None:
        if request.waiting_id is not None:
            self.waiting.leave(request.waiting_id)

    def _candidates(self) -> tuple[choice.Candidate, ...]:
        loads = self.load.loads()
        return tuple(
            choice.Candidate(
                server_id=server_id,
                zone='z',
                slots=self.service.engine.slots,
                is_cold=False,
                rank=rank,
                load=loads.get(server_id, server_queue.ServerLoad()),
                pace=self._measured_pace(server_id),
            )
            for server_id, rank in self.ranks.items()
        )

    def _measured_pace(self, server_id) -> float:
        return self.paces.pace((server_id, '')) if self._measures_pace else 1.0

    def _start(self, now_ms, request, placed) -> None:
        self.sent_counts[placed.server_id] += 1
        request.placed = placed
        request.placed_ms = now_ms
        read_ms = self.service.engine.read_ms(request.tokens)
        server_ids = (placed.server_id, *placed.helper_ids)
        request.parts_left = len(server_ids)
        request.events_left = request.events
        work = server_queue.Work(
            server_id=placed.server_id,
            read_ms=placed.part_ms,
            started_ms=self.clock.now_ms(),
            due_ms=int(request.at_ms + request.objective_ms),
            pause_ms=request.pause_ms,
            weight=pricing.weight_of(request.tokens),
        )
        works = result.build_works(placed, work)
        request.work_ids = tuple(self.load.start(one) for one in works)
        request.server = self.servers[placed.server_id]
        for server_id in server_ids:
            server = self.servers[server_id]
            read = Read(
                request=request,
                tokens_left=request.tokens / len(server_ids),
                ms_per_token=read_ms / request.tokens,
            )
            if len(server_ids) > 1:
                server.parts.appendleft(read)
            else:
                server.reads.append(read)
            self._start_pass(now_ms, server)

    def _start_pass(self, now_ms, server) -> None:
        if not server.is_running and server.has_work():
            server.is_running = True
            if now_ms >= self._sound_from_ms:
                server.pace = 1.0
            spent_ms, ended = server.run_pass()
            writers = tuple(server.writers)
            self._schedule(
                now_ms + spent_ms, self._end_pass, (server, ended, writers)
            )

    def _end_pass(self, now_ms, argument) -> None:
        server, ended, writers = argument
        server.is_running = False
        for request in writers:
            self._emit_event(now_ms, server, request)
        for request in ended:
            request.parts_left -= 1
            if not request.parts_left:
                request.server.writers.append(request)
                self._start_pass(now_ms, request.server)
        self._start_pass(now_ms, server)

    def _record_pace(self, now_ms, request) -> None:
        first_event = pace.build_first_event(
            request.placed,
            measured_ms=now_ms - request.placed_ms,
            assigned_since_ms=self.load.assigned_since_ms(request.work_ids[0]),
        )
        self.paces.record((request.placed.server_id, ''), first_event)

    def _record_pause(self, request, pause_ms) -> None:
        mark_ms = self.load.idle_mark_ms(request.work_ids[0])
        if mark_ms is not None and mark_ms == request.idle_mark_ms:
            self.paces.record_pause(
                (request.placed.server_id, ''),
                measured_ms=pause_ms,
                pass_ms=self.service.engine.pass_ms,
            )

    def _emit_event(self, now_ms, server, request) -> None:
        if request.first_ms is None:
            request.first_ms = now_ms - request.at_ms
            self._record_pace(now_ms, request)
            self.load.first_event(request.work_ids[0])
            for work_id in request.work_ids[1:]:
                self.load.end(work_id)
        else:
            pause_ms = now_ms - request.last_ms
            request.longest_pause_ms = max(request.longest_pause_ms, pause_ms)
            self._record_pause(request, pause_ms)
        request.last_ms = now_ms
        request.idle_mark_ms = self.load.idle_mark_ms(request.work_ids[0])
        request.events_left -= 1
        if not request.events_left:
            server.writers.remove(request)
            self.load.end(request.work_ids[0])
