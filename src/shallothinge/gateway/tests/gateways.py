"""Several gateways that report to each other, without sockets."""

from shallothinge import protocol
from shallothinge.gateway.tests import rig

STEP_MS = 5


class Gateways:
    """Gateways with the same backend servers and clocks that run alike.

    Reports arrive one step after they were due.

    :ivar arrivals: time, index of the gateway and address of the server of
        each request that was sent.
    """

    def __init__(self, *, count, **fields):
        self.rigs = [
            rig.Rig(seed=index, own_id=str(index), **fields)
            for index in range(count)
        ]
        self._codec = protocol.build_codec()
        self.arrivals = []
        self._sent_counts = [0] * count
        for index, one in enumerate(self.rigs):
            one.holder.peers = tuple(f'tcp://{name}' for name in range(count))
            self.exchange_reports(index, complete=True)

    @property
    def now_ms(self):
        """Return the time since the start."""
        return self.rigs[0].clock.now_ms() - rig.START_MS

    def exchange_reports(self, index, *, complete):
        """Deliver the reports of one gateway to all others."""
        for message in self.rigs[index].reports(complete=complete):
            data = self._codec.encode(message)
            for other, one in enumerate(self.rigs):
                if other != index:
                    one.receive(str(index), self._codec.decode(data))

    def step(self, *, answer):
        """Advance by one step; answer the requests that were sent in it.

        :param answer: called with each new call.
        """
        for one in self.rigs:
            one.advance(STEP_MS)
        for index, one in enumerate(self.rigs):
            calls = one.caller.calls
            for call in calls[self._sent_counts[index] :]:
                if call.may_send():
                    self.arrivals.append((self.now_ms, index, call.address))
                    answer(call)
                else:
                    call.fail(was_sent=False)
            self._sent_counts[index] = len(calls)
        for index in range(len(self.rigs)):
            self.exchange_reports(index, complete=self.now_ms % 1000 == 0)

    def most_in_window(self, address, *, window_ms, from_ms):
        """Return the most requests that reached a server in a window."""
        times_ms = [
            at_ms
            for at_ms, _, where in self.arrivals
            if where == address and at_ms >= from_ms
        ]
        return max(
            (
                sum(start <= one < start + window_ms for one in times_ms)
                for start in times_ms
            ),
            default=0,
        )
