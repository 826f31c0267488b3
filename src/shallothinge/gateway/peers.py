"""Tells the other gateways what this one has under way, and hears them."""

import functools
import logging

from shallothinge import clock as clocks
from shallothinge import process as processes
from shallothinge.leases import holder as holders
from shallothinge.placement import fleet
from shallothinge.placement import messages
from shallothinge.transport import endpoint
from shallothinge.transport import link

LOG = logging.getLogger(__name__)

# Until it hears of a request, another gateway may choose the same server.
URGENT_MS = 2
# That a prompt has been read or a stream has ended is less urgent, and
# shares a report with what comes soon after.
GATHER_MS = 40
# A report that was lost is made good by the next complete one.
REPEAT_MS = 1000
# A connection to a new peer stands after some round trips; until then it is
# looked again so often whether the peer can be told all.
JOIN_MS = 20


class Peers:
    """Exchanges load reports with the gateways that control names.

    Without them each gateway would place its requests as if it were alone,
    and several would choose the same idle server at once.
    """

    def __init__(
        self,
        *,
        process: processes.Process,
        holder: holders.LeaseHolder,
        load: fleet.FleetLoad,
        address: str,
    ):
        self._process = process
        self._holder = holder
        self._load = load
        self._address = address
        self._links: dict[str, link.Link] = {}
        self._scheduled = None
        # Peers that know nothing yet, and how often they are tried still.
        self._joining: dict[str, int] = {}
        self._telling = None

    def start(self) -> None:
        """Begin to report."""
        self._load.on_change = self._schedule
        self._holder.on_peers_changed = self._follow_peers
        self._repeat()

    def receive(self, peer: endpoint.Peer, message: object) -> None:
        """Take a message of another gateway."""
        if isinstance(message, messages.LoadReported):
            self._load.heard(
                peer=f'{peer.process_id} {peer.incarnation}', report=message
            )

    def _repeat(self) -> None:
        """Tell everything anew, for peers that have missed something."""
        self._load.forget_silent()
        self._follow_peers()
        self._send(complete=True)
        self._process.reactor.callLater(
            REPEAT_MS / clocks.MS_PER_SECOND, self._repeat
        )

    def _schedule(self, is_urgent: bool) -> None:
        """Report soon, together with what else changes until then."""
        delay_s = (
            URGENT_MS if is_urgent else GATHER_MS
        ) / clocks.MS_PER_SECOND
        if self._scheduled is None or not self._scheduled.active():
            self._scheduled = self._process.reactor.callLater(
                delay_s, self._report
            )
        elif is_urgent:
            due_s = self._scheduled.getTime()
            if due_s > self._process.reactor.seconds() + delay_s:
                self._scheduled.reset(delay_s)

    def _report(self) -> None:
        self._send(complete=False)

    def _send(self, *, complete: bool) -> None:
        report = self._load.report(complete=complete)
        for opened in self._links.values():
            opened.send(report)

    def _follow_peers(self) -> None:
        """Open and close connections as control's list changes."""
        wanted = set(self._holder.peers) - {self._address}
        if wanted == set(self._links):
            return
        LOG.info('peers changed', extra={'peers': sorted(wanted)})
        for address in set(self._links) - wanted:
            self._links.pop(address).close()
            self._joining.pop(address, None)
        for address in wanted - set(self._links):
            self._links[address] = self._process.connect(
                address=address,
                role='entry',
                on_message=_drop,
                on_reset=functools.partial(self._join, address),
            )
            self._join(address)

    def _join(self, address: str) -> None:
        """Tell a peer all as soon as it can be reached."""
        self._joining[address] = REPEAT_MS // JOIN_MS
        if self._telling is None:
            self._tell_later()

    def _tell_later(self) -> None:
        self._telling = self._process.reactor.callLater(
            JOIN_MS / clocks.MS_PER_SECOND, self._tell_joining
        )

    def _tell_joining(self) -> None:
        self._telling = None
        report = self._load.report_again()
        for address, tries_left in list(self._joining.items()):
            if self._links[address].send(report) or tries_left <= 1:
                del self._joining[address]
            else:
                self._joining[address] = tries_left - 1
        if self._joining:
            self._tell_later()


def _drop(message: object) -> None:
    """Drop an answer; reports have none."""
