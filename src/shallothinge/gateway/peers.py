"""Exchange of reports with the other gateways."""

import functools
import logging

from shallothinge import clock as clocks
from shallothinge import periodic
from shallothinge import process as processes
from shallothinge.gateway import demand_reports
from shallothinge.gateway import room as rooms
from shallothinge.leases import holder as holders
from shallothinge.placement import fleet
from shallothinge.placement import messages
from shallothinge.quarantine import messages as quarantine_messages
from shallothinge.quarantine import state as quarantines
from shallothinge.quarantine import suspects
from shallothinge.scheduling import messages as demand_messages
from shallothinge.server_limits import messages as limit_messages
from shallothinge.server_limits import state as server_limits
from shallothinge.transport import endpoint
from shallothinge.transport import link

LOG = logging.getLogger(__name__)

# Delay of reports on new requests and on failed or leaving servers. Until a
# peer receives one, it may choose the same server.
URGENT_DELAY_MS = 2
# Delay of reports on prompts that have been read and streams that have ended.
# These are less urgent and share a report with the changes that follow soon.
BATCH_DELAY_MS = 40
# Interval of complete reports, with which peers recover from lost reports.
FULL_REPORT_INTERVAL_MS = 1000
# A connection to a new peer is established after some round trips. Until then
# the initial complete report is tried at this interval.
JOIN_POLL_MS = 20


class Peers:
    """Exchanges reports with the gateways that control lists.

    Without the load reports each gateway would place its requests as if it
    were the only one, and several would choose the same idle server at once.
    The reports on parts of prompts find what crashes servers, and those on
    limits keep the sum of the requests within what servers ask for. Those on
    waiting requests keep the order among the requests of all gateways.
    """

    def __init__(
        self,
        *,
        process: processes.Process,
        holder: holders.LeaseHolder,
        load: fleet.FleetLoad,
        quarantine: quarantines.PartQuarantine,
        limits: server_limits.ServerLimits,
        room: rooms.RoomQueue,
        address: str,
    ):
        self._process = process
        self._holder = holder
        self._load = load
        self._quarantine = quarantine
        self._limits = limits
        self._room = room
        self._demand_reports = demand_reports.DemandReports(
            reactor=process.reactor,
            reporter=room.reporter,
            send=self._send_all,
        )
        self._address = address
        self._links: dict[str, link.Link] = {}
        self._report_timer = None
        # Attempts left to send the initial report, by the peer's address.
        self._awaiting_initial: dict[str, int] = {}
        self._initial_timer = None

    def start(self) -> None:
        """Start sending reports to the peers."""
        self._load.on_change = self._schedule_report
        report_soon = functools.partial(self._schedule_report, True)
        self._quarantine.on_change = report_soon
        self._limits.on_change = report_soon
        self._room.queue.on_change = self._demand_reports.notify_change
        self._room.peer_demand.on_change = self._demand_reports.schedule
        self._quarantine.on_suspicion = self._judge_later
        self._holder.on_peers_changed = self._sync_connections
        self._send_full_report()

    def receive(self, peer: endpoint.Peer, message: object) -> None:
        """Handle a message from another gateway."""
        sender_id = peer_id(peer.process_id, peer.incarnation)
        if isinstance(message, messages.LoadReported):
            self._load.apply_report(peer=sender_id, report=message)
        elif isinstance(message, quarantine_messages.PartsReported):
            self._quarantine.apply_report(message, peer_id=sender_id)
        elif isinstance(message, limit_messages.LimitsReported):
            self._limits.apply_report(message, peer_id=sender_id)
        elif isinstance(message, demand_messages.DemandReported):
            self._room.peer_demand.apply_report(message, peer_id=sender_id)

    def _send_full_report(self) -> None:
        """Send a complete report, for peers that have missed a report."""
        self._process.reactor.callLater(
            FULL_REPORT_INTERVAL_MS / clocks.MS_PER_SECOND,
            self._send_full_report,
        )
        for step in (
            self._load.remove_expired,
            self._quarantine.remove_expired,
            self._room.peer_demand.remove_expired,
            self._sync_connections,
            functools.partial(self._send, complete=True),
        ):
            periodic.run(step)

    def _schedule_report(self, is_urgent: bool) -> None:
        """Schedule a report of this change and of those until it is sent.

        While requests wait at a peer, it is told of free slots at once.
        """
        is_urgent = is_urgent or self._room.peer_demand.has_demand()
        delay_s = (
            URGENT_DELAY_MS if is_urgent else BATCH_DELAY_MS
        ) / clocks.MS_PER_SECOND
        if self._report_timer is None or not self._report_timer.active():
            self._report_timer = self._process.reactor.callLater(
                delay_s, self._send_changes
            )
        elif is_urgent:
            due_s = self._report_timer.getTime()
            if due_s > self._process.reactor.seconds() + delay_s:
                self._report_timer.reset(delay_s)

    def _judge_later(self) -> None:
        self._process.reactor.callLater(
            suspects.SETTLE_MS / clocks.MS_PER_SECOND,
            self._quarantine.judge,
        )

    def _send_changes(self) -> None:
        self._send(complete=False)

    def _send(self, *, complete: bool) -> None:
        for source in (self._load, self._quarantine, self._limits):
            periodic.run(
                functools.partial(self._send_report, source, complete)
            )

    def _send_report(self, source, complete: bool) -> None:
        report = source.report(complete=complete)
        if report is not None:
            self._send_all(report)

    def _send_all(self, report: object) -> None:
        for opened in self._links.values():
            opened.send(report)

    def _sync_connections(self) -> None:
        """Open and close connections to match the peers that control lists."""
        wanted = set(self._holder.peers) - {self._address}
        if wanted == set(self._links):
            return
        LOG.info('peers changed', extra={'peers': sorted(wanted)})
        for address in set(self._links) - wanted:
            self._links.pop(address).close()
            self._awaiting_initial.pop(address, None)
        for address in wanted - set(self._links):
            # One that is no address must not cost the others their reports.
            periodic.run(functools.partial(self._connect, address))

    def _connect(self, address: str) -> None:
        self._links[address] = self._process.connect(
            address=address,
            role='entry',
            on_message=_ignore_message,
            on_reset=functools.partial(self._queue_initial_report, address),
        )
        self._queue_initial_report(address)

    def _queue_initial_report(self, address: str) -> None:
        """Send a peer a complete report as soon as it is reachable."""
        self._awaiting_initial[address] = (
            FULL_REPORT_INTERVAL_MS // JOIN_POLL_MS
        )
        if self._initial_timer is None:
            self._schedule_initial()

    def _schedule_initial(self) -> None:
        self._initial_timer = self._process.reactor.callLater(
            JOIN_POLL_MS / clocks.MS_PER_SECOND, self._send_initial
        )

    def _send_initial(self) -> None:
        self._initial_timer = None
        periodic.run(self._send_initial_reports)
        if self._awaiting_initial:
            self._schedule_initial()

    def _send_initial_reports(self) -> None:
        report = self._load.repeat_as_complete_report()
        others = (
            self._quarantine.repeat_as_complete_report(),
            self._limits.repeat_as_complete_report(),
            self._room.reporter.repeat_as_complete_report(),
        )
        for address, tries_left in list(self._awaiting_initial.items()):
            opened = self._links[address]
            if opened.send(report) or tries_left <= 1:
                _send_present(opened, others)
                del self._awaiting_initial[address]
            else:
                self._awaiting_initial[address] = tries_left - 1


def peer_id(process_id: str, incarnation: str) -> str:
    """Return the id of one run of a gateway in the reports."""
    return f'{process_id} {incarnation}'


def _send_present(opened: link.Link, reports) -> None:
    """Send those reports that there are."""
    for report in reports:
        if report is not None:
            opened.send(report)


def _ignore_message(message: object) -> None:
    """Ignore a message; peers do not answer reports."""
