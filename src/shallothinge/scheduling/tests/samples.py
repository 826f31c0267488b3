"""Queues and requests for tests."""

from shallothinge import clock as clocks
from shallothinge.scheduling import demand
from shallothinge.scheduling import messages
from shallothinge.scheduling import model
from shallothinge.scheduling import queue
from shallothinge.scheduling import shares

SERVICE = 'chat'
START_MS = 100_000


def request(**fields):
    """Return a request; times are relative to the start of the clock."""
    due_ms = START_MS + fields.pop('due_in_ms', 1000)
    abandon_ms = START_MS + fields.pop('abandon_in_ms', 5000)
    defaults = {
        'service': SERVICE,
        'urgency': 1,
        'workspace': 'w',
        'min_service_ms': 100.0,
    }
    return model.WaitingRequest(
        due_ms=due_ms, abandon_ms=abandon_ms, **(defaults | fields)
    )


class Gateway:
    """The queue of one gateway.

    :ivar used: slots in use over all gateways, by service and workspace.
    :ivar change_count: how often its summary has changed.
    """

    def __init__(self, *, clock=None, own_id='own'):
        self.clock = clock or clocks.ManualClock(start_ms=START_MS)
        self.used = {}
        self.peers = demand.PeerDemand(clock=self.clock)
        self.queue = queue.WaitQueue(
            clock=self.clock,
            shares=shares.WorkspaceShares(in_use=lambda: self.used),
            peer_demand=self.peers,
            own_id=own_id,
        )
        self.change_count = 0
        self.queue.on_change = self._count_change
        self._sequence = 0

    def _count_change(self):
        self.change_count += 1

    def join(self, **fields):
        """Add a request."""
        return self.queue.join(request(**fields))

    def receive(self, *waiting, peer_id='peer', in_use=(), granted=()):
        """Receive the next report of a peer."""
        self._sequence += 1
        report = messages.DemandReported(
            sequence=self._sequence,
            waiting=waiting,
            in_use=in_use,
            granted=granted,
        )
        self.peers.apply_report(report, peer_id=peer_id)

    def grant(self, count):
        """Place requests that are in time, which join for that."""
        for _ in range(count):
            self.queue.granted(self.join(due_in_ms=1_000_000))

    def pass_ms(self, duration_ms):
        """Let time pass."""
        self.clock.advance(duration_ms=duration_ms)
