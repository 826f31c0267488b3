"""Gateways that all have requests waiting for one server with a limit."""

import heapq
import itertools
import random

from shallothinge import clock
from shallothinge.server_limits import state

KEY = ('s', '1')
POLL_MS = 20
COMPLETE_REPORT_MS = 1000
URGENT_DELAY_MS = 2
# Requests are answered after this time.
ANSWER_MS = 60
HEARD_MS = 2000
# From the start or return of a gateway until it is in touch.
CONTACT_MS = 3000


class Gateway:
    """One run of a gateway.

    :ivar disturbed_ms: instant of its last start, cut or join.
    """

    def __init__(self, simulation, index, run):
        self._simulation = simulation
        self.index = index
        self.own_id = f'{index} {run}'
        self.is_cut = False
        self.disturbed_ms = simulation.now_ms if run else -CONTACT_MS
        self.heard_ms = {}
        self.limits = state.ServerLimits(
            clock=simulation.clock,
            own_id=self.own_id,
            find_gateways=self.find_gateways,
        )
        self.limits.on_change = self.report_soon
        self._is_report_due = False

    def find_gateways(self):
        """Return the gateways that it hears."""
        oldest_ms = self._simulation.now_ms - HEARD_MS
        heard = [one for one, at in self.heard_ms.items() if at >= oldest_ms]
        return state.Gateways(
            heard_ids=tuple(sorted((self.own_id, *heard))),
            listed_count=len(self._simulation.gateways),
        )

    def report_soon(self):
        """Report after the delay of urgent reports."""
        if not self._is_report_due:
            self._is_report_due = True
            self._simulation.later(URGENT_DELAY_MS, self.report, False)

    def report(self, is_complete):
        """Send a report to all others."""
        self._is_report_due = False
        made = self.limits.report(complete=is_complete)
        self._simulation.broadcast(self, made)

    def receive(self, sender_id, report):
        """Take a report of another gateway."""
        self.heard_ms[sender_id] = self._simulation.now_ms
        if report is not None:
            self.limits.apply_report(report, peer_id=sender_id)


class Simulation:
    """All gateways poll for a permit; events run in the order of time.

    :param delay_ms: least and greatest delay of a report.
    :param loss: share of the reports that are lost.
    :ivar per_s: the limit that the server names now.
    :ivar arrivals_ms: instants of requests by gateways in touch.
    """

    def __init__(self, *, seed, count, per_s, delay_ms=(1, 6), loss=0.0):
        self._rng = random.Random(seed)
        self.clock = clock.ManualClock(start_ms=0)
        self.per_s = per_s
        self._delay_ms = delay_ms
        self._loss = loss
        self._events = []
        self._order = itertools.count()
        self._runs = itertools.count(1)
        self.arrivals_ms = []
        self.gateways = [Gateway(self, index, 0) for index in range(count)]
        for index, one in enumerate(self.gateways):
            self.later(self._rng.randint(0, POLL_MS), self._poll, index)
            self.later(
                self._rng.randint(0, COMPLETE_REPORT_MS),
                self._report_completely,
                index,
            )
            one.heard_ms = {
                other.own_id: 0 for other in self.gateways if other is not one
            }

    @property
    def now_ms(self):
        """Return the time."""
        return self.clock.now_ms()

    def later(self, delay_ms, call, *arguments):
        """Call a function after a delay."""
        event = (self.now_ms + delay_ms, next(self._order), call, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_ms):
        """Run all events of a time."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, call, arguments = heapq.heappop(self._events)
            self.clock.advance(duration_ms=at_ms - self.now_ms)
            call(*arguments)
        self.clock.advance(duration_ms=end_ms - self.now_ms)

    def broadcast(self, sender, report):
        """Deliver a report to the other gateways that it reaches."""
        for other in self.gateways:
            is_lost = self._rng.random() < self._loss
            if other is sender or sender.is_cut or other.is_cut or is_lost:
                continue
            delay_ms = self._rng.randint(*self._delay_ms)
            self.later(delay_ms, other.receive, sender.own_id, report)

    def restart(self, index):
        """Start a gateway anew; it has forgotten all."""
        self.gateways[index] = Gateway(self, index, next(self._runs))

    def set_cut(self, index, is_cut):
        """Cut a gateway off from the others, or join it again."""
        self.gateways[index].is_cut = is_cut
        self.gateways[index].disturbed_ms = self.now_ms

    def _report_completely(self, index):
        self.gateways[index].report(True)
        self.later(COMPLETE_REPORT_MS, self._report_completely, index)

    def _poll(self, index):
        gateway = self.gateways[index]
        if gateway.limits.take(KEY):
            is_in_touch = (
                not gateway.is_cut
                and gateway.disturbed_ms <= self.now_ms - CONTACT_MS
            )
            if is_in_touch:
                self.arrivals_ms.append(self.now_ms)
            self.later(ANSWER_MS, self._answer, gateway, self.now_ms)
        wait_ms = gateway.limits.wait_ms(KEY) or POLL_MS
        self.later(min(POLL_MS, wait_ms), self._poll, index)

    def _answer(self, gateway, sent_ms):
        gateway.limits.record_answer(KEY, per_s=self.per_s, sent_ms=sent_ms)

    def most_in_window(self, *, window_ms, from_ms):
        """Return the most requests of gateways in touch in any window."""
        times_ms = [one for one in self.arrivals_ms if one >= from_ms]
        start = most = 0
        for end, at_ms in enumerate(times_ms):
            while times_ms[start] <= at_ms - window_ms:
                start += 1
            most = max(most, end - start + 1)
        return most
