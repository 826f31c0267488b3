"""Gateways that share servers and report to each other what waits."""

import heapq
import itertools
import random

import attrs

from shallothinge import clock as clocks
from shallothinge.placement import slot_turns
from shallothinge.scheduling import demand
from shallothinge.scheduling import model
from shallothinge.scheduling import queue
from shallothinge.scheduling import shares
from shallothinge.scheduling import turn

SERVICE = 'chat'
# Reports of load and of demand are sent after this delay.
REPORT_DELAY_MS = 2
WAKE_INTERVAL_MS = 100
RETRY_MS = 2


@attrs.frozen(kw_only=True, eq=False)
class Arrival:
    """A request that arrives at a gateway, with times relative to that."""

    at_ms: int
    gateway: int
    urgency: int = 1
    workspace: str = 'w'
    limit_ms: int = 300
    patience_ms: int = 2000
    min_service_ms: float = 20.0


@attrs.frozen(kw_only=True)
class Placement:
    """A request that a server has accepted."""

    at_ms: int
    gateway: int
    arrival: Arrival
    has_waited: bool

    @property
    def is_late(self):
        """Return whether it could no longer be in time."""
        one = self.arrival
        return self.at_ms > one.at_ms + one.limit_ms - one.min_service_ms


class Gateway:
    """Sends its requests to servers that it takes for free.

    :ivar waiting: arrivals by their ids in the queue.
    """

    def __init__(self, simulation, index):
        self._simulation = simulation
        self.index = index
        self.has_crashed = False
        self.used = [0] * simulation.server_count
        # Servers that were full, until more is known of their load.
        self._full = set()
        self._in_use = {}
        self.waiting = {}
        clock = simulation.clock
        self._ends_ms = [[] for _ in self.used]
        self._changed_ms = [-slot_turns.MAX_WAIT_MS] * len(self.used)
        self._own_start_ms = [-slot_turns.MAX_WAIT_MS] * len(self.used)
        # Servers at which its streams have ended, which no other one knows.
        self.unreported = set()
        self._turns = slot_turns.SlotTurns(own_id=str(index))
        self._turns.update(
            gateway_ids=map(str, range(simulation.gateway_count)),
            server_ids=range(simulation.server_count),
        )
        self.peers = demand.PeerDemand(clock=clock)
        self.queue = queue.WaitQueue(
            clock=clock,
            shares=shares.WorkspaceShares(in_use=self._all_in_use),
            peer_demand=self.peers,
            own_id=str(index),
        )
        self.reporter = demand.DemandReporter(
            clock=clock, queue=self.queue, in_use=lambda: self._in_use
        )
        self.queue.on_change = self._change
        self.peers.on_change = self.wake
        self._report_due_ms = None
        self._wake_due_ms = None

    def _all_in_use(self):
        total = dict(self.peers.in_use())
        for key, slots in self._in_use.items():
            total[key] = total.get(key, 0) + slots
        return total

    def _change(self):
        self.reporter.record_change()
        self.schedule_report()

    def schedule_report(self):
        """Report once a report is due."""
        in_ms = self.reporter.next_report_in_ms()
        if in_ms is None:
            return
        due_ms = self._simulation.now_ms + max(REPORT_DELAY_MS, in_ms)
        if self._report_due_ms is None or due_ms < self._report_due_ms:
            self._report_due_ms = due_ms
            self._simulation.at(due_ms, self._report, due_ms)

    def _report(self, due_ms):
        if self._report_due_ms != due_ms:
            return
        self._report_due_ms = None
        report = self.reporter.report(complete=False)
        if report is not None:
            self._simulation.broadcast(
                self, 'receive', report, str(self.index)
            )
        self.schedule_report()

    def receive(self, report, peer_id):
        """Take a report of another gateway."""
        self.peers.apply_report(report, peer_id=peer_id)
        self.schedule_report()
        self.wake()

    def note_uses(self, changes):
        """Take changes of the slots in use at servers."""
        for server, change in changes:
            self.used[server] += change
            self._changed_ms[server] = self._simulation.now_ms
            if change < 0:
                self._ends_ms[server].append(self._simulation.now_ms)
            self._full.discard(server)
        self.wake()

    def accept(self, arrival):
        """Send a request, or let it wait if others do."""
        if not self.queue.has_demand(SERVICE):
            free = self._find_free()
            if free and self._send(arrival, self._simulation.pick(free)):
                return
        self._join(arrival)
        self.wake()

    def _join(self, arrival):
        waiting_id = self.queue.join(
            model.WaitingRequest(
                service=SERVICE,
                urgency=arrival.urgency,
                workspace=arrival.workspace,
                due_ms=arrival.at_ms + arrival.limit_ms,
                abandon_ms=arrival.at_ms + arrival.patience_ms,
                min_service_ms=arrival.min_service_ms,
            )
        )
        self.waiting[waiting_id] = arrival
        self._simulation.at(
            arrival.at_ms + arrival.patience_ms, self._abandon, waiting_id
        )

    def _abandon(self, waiting_id):
        if not self.has_crashed and waiting_id in self.waiting:
            del self.waiting[waiting_id]
            self.queue.leave(waiting_id)

    def wake(self):
        """Check soon whether waiting requests may be sent."""
        self._wake_at(self._simulation.now_ms)

    def _wake_at(self, at_ms):
        if self._wake_due_ms is None or at_ms < self._wake_due_ms:
            self._wake_due_ms = at_ms
            self._simulation.at(at_ms, self._wake, at_ms)

    def _wake(self, due_ms):
        if self._wake_due_ms != due_ms or self.has_crashed:
            return
        self._wake_due_ms = None
        now_ms = self._simulation.now_ms
        wait_ms = None
        for waiting_id in self.queue.ranked(SERVICE):
            wait_ms, server = self._find_turn(waiting_id)
            if wait_ms != 0:
                break
            if not self._send(self.waiting[waiting_id], server, waits=True):
                wait_ms = RETRY_MS
                break
            del self.waiting[waiting_id]
            self.queue.granted(waiting_id)
        if self.waiting:
            in_ms = WAKE_INTERVAL_MS if wait_ms is None else wait_ms
            self._wake_at(now_ms + max(RETRY_MS, in_ms))

    def _find_turn(self, waiting_id):
        """Return how long its first request waits, and the server for it."""
        free = self._find_free()
        if free and self.queue.has_late_turn(waiting_id):
            return 0, max(free, key=self._free_ms)
        turns_ms = {server: self._turn_in_ms(server) for server in free}
        own = [server for server in free if not turns_ms[server]]
        wait_ms = turn.wait_ms(
            position=0,
            yield_ms=self.queue.yield_ms(waiting_id),
            own_count=len(own),
            next_turn_in_ms=min(filter(None, turns_ms.values()), default=None),
            oldest_ms=max(
                (self._free_ms(server) for server in free),
                default=None,
            ),
        )
        return wait_ms, max(own, key=self._free_ms, default=None)

    def _free_ms(self, server):
        """Return for how long a server has had a free slot."""
        free_slots = self._simulation.slots - self.used[server]
        ends_ms = self._ends_ms[server]
        if len(ends_ms) < free_slots:
            return slot_turns.MAX_WAIT_MS
        return self._simulation.now_ms - ends_ms[-free_slots]

    def _turn_in_ms(self, server):
        if server in self.unreported:
            return 0
        return self._turns.wait_ms(
            server,
            free_slots=self._simulation.slots - self.used[server],
            unchanged_ms=self._simulation.now_ms - self._changed_ms[server],
            own_start_ms=self._simulation.now_ms - self._own_start_ms[server],
        )

    def _find_free(self):
        """Return the servers of the free slots, as far as it knows."""
        return [
            server
            for level in range(self._simulation.slots)
            for server, used in enumerate(self.used)
            if used <= level and server not in self._full
        ]

    def _send(self, arrival, server, waits=False):
        """Send a request.

        :returns: whether the server has accepted it.
        """
        if not self._simulation.start(self, arrival, server, waits):
            self._full.add(server)
            return False
        key = (SERVICE, arrival.workspace)
        self._in_use[key] = self._in_use.get(key, 0) + 1
        self.used[server] += 1
        self._changed_ms[server] = self._simulation.now_ms
        self._own_start_ms[server] = self._simulation.now_ms
        self.unreported.discard(server)
        return True

    def end(self, arrival, server):
        """Take the end of one of its streams."""
        self._in_use[SERVICE, arrival.workspace] -= 1
        self.unreported.add(server)
        self.note_uses([(server, -1)])


class Simulation:
    """Events in the order of time.

    :param hold_ms: least and greatest time for which a stream has its slot.
    :param loss: share of the reports of demand that are lost.
    :ivar placements: in the order of time.
    :ivar rejected_count: requests that a server refused as full.
    :ivar longest_idle_ms: longest time for which a slot was free while enough
        requests for all free slots waited at gateways that have not crashed.
    :ivar idle_slot_ms: sum of these times over the slots.
    """

    def __init__(
        self,
        arrivals,
        *,
        gateways,
        servers=10,
        slots=2,
        hold_ms=(100, 300),
        delay_ms=(1, 4),
        loss=0.0,
        seed=1,
    ):
        self._rng = random.Random(seed)
        self.clock = clocks.ManualClock(start_ms=0)
        self.server_count = servers
        self.gateway_count = gateways
        self.slots = slots
        self._hold_ms = hold_ms
        self._delay_ms = delay_ms
        self.loss = loss
        self._events = []
        self._order = itertools.count()
        self._used = [0] * servers
        # Ends of streams at each server.
        self._ends_ms = [[] for _ in range(servers)]
        self._enough_since_ms = 0
        self._delivered_ms = {}
        self._unreported = {}
        self.placements = []
        self.rejected_count = 0
        self.longest_idle_ms = 0
        self.idle_slot_ms = 0
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        for one in arrivals:
            self.at(one.at_ms, self._arrive, one)

    @property
    def now_ms(self):
        """Return the time."""
        return self.clock.now_ms()

    def pick(self, options):
        """Return one of the options."""
        return self._rng.choice(options)

    def at(self, at_ms, call, *arguments):
        """Call a function at a time."""
        event = (at_ms, next(self._order), call, arguments)
        heapq.heappush(self._events, event)

    def run(self, end_ms):
        """Run all events until a time.

        :returns: the simulation.
        """
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, call, arguments = heapq.heappop(self._events)
            self._measure_idle(at_ms)
            self.clock.advance(duration_ms=at_ms - self.now_ms)
            call(*arguments)
        return self

    def _measure_idle(self, until_ms):
        """Measure how long slots are free while requests wait."""
        passed_ms = until_ms - self.now_ms
        if not passed_ms:
            return
        waiting_count = sum(
            len(one.waiting) for one in self.gateways if not one.has_crashed
        )
        free_count = self.server_count * self.slots - sum(self._used)
        idle_count = min(waiting_count, free_count)
        self.idle_slot_ms += idle_count * passed_ms
        if waiting_count < free_count:
            self._enough_since_ms = until_ms
            return
        for server, used in enumerate(self._used):
            # A request takes the slot that has been free for longest.
            free_since_ms = self._ends_ms[server][used - self.slots :]
            if used < self.slots and len(free_since_ms) == self.slots - used:
                since_ms = max(free_since_ms[0], self._enough_since_ms)
                self.longest_idle_ms = max(
                    self.longest_idle_ms, until_ms - since_ms
                )

    def _arrive(self, arrival):
        gateway = self.gateways[arrival.gateway]
        if not gateway.has_crashed:
            gateway.accept(arrival)

    def broadcast(self, sender, method, *arguments):
        """Call a method of the other gateways after the network's delay."""
        for other in self.gateways:
            if other is sender or sender.has_crashed or other.has_crashed:
                continue
            if method == 'receive' and self._rng.random() < self.loss:
                continue
            self._deliver(sender, other, getattr(other, method), *arguments)

    def _deliver(self, sender, receiver, call, *arguments):
        """Deliver a message; those of one sender do not overtake others."""
        link = (sender, receiver)
        at_ms = max(
            self.now_ms + self._rng.randint(*self._delay_ms),
            self._delivered_ms.get(link, 0),
        )
        self._delivered_ms[link] = at_ms
        self.at(at_ms, call, *arguments)

    def start(self, gateway, arrival, server, waits):
        """Start a stream, unless the server is full.

        :returns: whether it has started.
        """
        if self._used[server] >= self.slots:
            self.rejected_count += 1
            return False
        self._used[server] += 1
        self.placements.append(
            Placement(
                at_ms=self.now_ms,
                gateway=gateway.index,
                arrival=arrival,
                has_waited=waits,
            )
        )
        self._report_use(gateway, server, 1)
        end_ms = self.now_ms + self._rng.randint(*self._hold_ms)
        self.at(end_ms, self._end, gateway, arrival, server)
        return True

    def _end(self, gateway, arrival, server):
        self._used[server] -= 1
        self._ends_ms[server].append(self.now_ms)
        gateway.end(arrival, server)
        self._report_use(gateway, server, -1)

    def _report_use(self, gateway, server, change):
        """Report a change of load together with those that follow soon.

        Streams of a crashed gateway end nevertheless.
        """
        changes = self._unreported.setdefault(gateway, [])
        if not changes:
            self.at(self.now_ms + REPORT_DELAY_MS, self._send_use, gateway)
        changes.append((server, change))

    def _send_use(self, gateway):
        changes = self._unreported.pop(gateway)
        gateway.unreported.clear()
        for other in self.gateways:
            if other is not gateway:
                self._deliver(gateway, other, other.note_uses, changes)
