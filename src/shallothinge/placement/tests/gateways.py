"""Simulates several gateways that place large prompts on the same servers.

Each gateway has a load model of its own and learns what the others have
placed from their reports, some milliseconds later. Servers read as fast as
planned.
"""

import heapq
import itertools

import attrs

from shallothinge import clock
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import result
from shallothinge.placement import server_queue
from shallothinge.routes import model

# Delay of a report: the sender collects changes for 2 ms, and sending and
# handling the report take a few more.
REPORT_MS = 5
RETRY_INTERVAL_MS = 20
OBJECTIVE_MS = 3000


@attrs.frozen(kw_only=True)
class Prompt:
    """A request that arrives at one gateway."""

    at_ms: int
    gateway: int
    tokens: int
    answer_tokens: int = 500


@attrs.define(kw_only=True)
class Gateway:
    """One gateway, and the prompts that wait there."""

    gateway_id: str
    load: fleet.FleetLoad
    chooser: choice.Chooser
    waiting: list[Prompt] = attrs.field(factory=list)
    is_retrying: bool = False
    is_reporting: bool = False


class Gateways:
    """Gateways that place a list of prompts.

    :param build_chooser: builds the chooser of a gateway from its id and a
        function that returns the ids of all gateways.
    :ivar placed_count: prompts that were placed.
    :ivar overcommitted_count: prompts that were placed on a server whose
        requests then exceeded its memory.
    """

    def __init__(
        self,
        *,
        service: model.Service,
        gateway_count: int,
        server_count: int,
        build_chooser,
        report_ms: int = REPORT_MS,
    ):
        self.clock = clock.ManualClock()
        self._service = service
        self._report_ms = report_ms
        self._ranks = choice.rank_servers(
            f's{index}' for index in range(server_count)
        )
        self._held_tokens = dict.fromkeys(self._ranks, 0)
        ids = tuple(f'g{index}' for index in range(gateway_count))
        self.gateways = [
            Gateway(
                gateway_id=gateway_id,
                load=fleet.FleetLoad(clock=self.clock),
                chooser=build_chooser(gateway_id, lambda: ids),
            )
            for gateway_id in ids
        ]
        for gateway in self.gateways:
            gateway.load.on_change = (
                lambda is_urgent, sender=gateway: self._report_soon(sender)
            )
        self._events = []
        self._order = itertools.count()
        self.placed_count = 0
        self.overcommitted_count = 0

    def run(self, prompts) -> None:
        """Run all prompts until they have ended."""
        for prompt in prompts:
            self._schedule(prompt.at_ms, self._arrive, prompt)
        while self._events:
            at_ms, _, function, argument = heapq.heappop(self._events)
            self.clock.advance(duration_ms=at_ms - self.clock.now_ms())
            function(argument)

    def _schedule(self, at_ms, function, argument) -> None:
        entry = (at_ms, next(self._order), function, argument)
        heapq.heappush(self._events, entry)

    def _after(self, duration_ms, function, argument) -> None:
        at_ms = self.clock.now_ms() + int(duration_ms)
        self._schedule(at_ms, function, argument)

    def _report_soon(self, sender: Gateway) -> None:
        if not sender.is_reporting:
            sender.is_reporting = True
            self._after(2, self._report, sender)

    def _report(self, sender: Gateway) -> None:
        sender.is_reporting = False
        report = sender.load.report(complete=False)
        delay_ms = max(0, self._report_ms - 2)
        self._after(delay_ms, self._deliver, (sender, report))

    def _deliver(self, argument) -> None:
        sender, report = argument
        for gateway in self.gateways:
            if gateway is not sender:
                gateway.load.apply_report(
                    peer=sender.gateway_id, report=report
                )

    def _arrive(self, prompt: Prompt) -> None:
        gateway = self.gateways[prompt.gateway]
        gateway.waiting.append(prompt)
        if not gateway.is_retrying:
            self._place(gateway)

    def _place(self, gateway: Gateway) -> None:
        """Place the prompts of a gateway, in turn, until one has to wait."""
        gateway.is_retrying = False
        while gateway.waiting:
            prompt = gateway.waiting[0]
            placed = gateway.chooser.choose(
                demand=self._demand(prompt),
                candidates=self._candidates(gateway),
            )
            if not isinstance(placed, choice.Placement):
                gateway.is_retrying = True
                self._after(RETRY_INTERVAL_MS, self._place, gateway)
                return
            gateway.waiting.pop(0)
            self._start(gateway, prompt, placed)

    def _demand(self, prompt: Prompt) -> choice.Demand:
        waited_ms = self.clock.now_ms() - prompt.at_ms
        return choice.Demand(
            service=self._service,
            tokens=prompt.tokens,
            answer_tokens=prompt.answer_tokens,
            objective_ms=OBJECTIVE_MS - waited_ms,
            pause_objective_ms=1000,
            zone='z',
        )

    def _candidates(self, gateway: Gateway) -> tuple[choice.Candidate, ...]:
        loads = gateway.load.loads()
        return tuple(
            choice.Candidate(
                server_id=server_id,
                zone='z',
                slots=self._service.engine.slots,
                is_cold=False,
                rank=rank,
                load=loads.get(server_id, server_queue.ServerLoad()),
            )
            for server_id, rank in self._ranks.items()
        )

    def _start(self, gateway, prompt, placed) -> None:
        tokens = prompt.tokens + prompt.answer_tokens
        now_ms = self.clock.now_ms()
        work = server_queue.Work(
            server_id=placed.server_id,
            read_ms=placed.part_ms,
            started_ms=now_ms,
            due_ms=prompt.at_ms + OBJECTIVE_MS,
            pause_ms=1000,
            memory_tokens=tokens,
        )
        work_ids = [
            gateway.load.start(one) for one in result.build_works(placed, work)
        ]
        self.placed_count += 1
        self._held_tokens[placed.server_id] += tokens
        engine = self._service.engine
        if self._held_tokens[placed.server_id] > engine.memory_tokens:
            self.overcommitted_count += 1
        begun = (gateway, work_ids)
        self._after(placed.first_event_ms, self._first_event, begun)
        ended = (gateway, work_ids[0], placed.server_id, tokens)
        answer_ms = prompt.answer_tokens * engine.step_ms
        self._after(placed.first_event_ms + answer_ms, self._end, ended)

    def _first_event(self, argument) -> None:
        gateway, work_ids = argument
        gateway.load.first_event(work_ids[0])
        for work_id in work_ids[1:]:
            gateway.load.end(work_id)

    def _end(self, argument) -> None:
        gateway, work_id, server_id, tokens = argument
        gateway.load.end(work_id)
        self._held_tokens[server_id] -= tokens
