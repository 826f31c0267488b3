"""Heartbeats and departures of backend servers without an agent."""

from collections.abc import Callable
import logging

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.control import api
from shallothinge.control import departing as departures
from shallothinge.control import leadership
from shallothinge.membership import heartbeats
from shallothinge.membership import messages
from shallothinge.transport import endpoint

LOG = logging.getLogger(__name__)


class Announcements:
    """Handles the heartbeats and departures of servers at the leader.

    :param current: returns the soft state of the current leadership term.
    :param send: sends a message to a peer's route.
    :param reply_with: sends the result of a Deferred to a peer.
    :param nudge_holders: tells lease holders that something has changed.
    """

    def __init__(
        self,
        *,
        log: api.ReplicatedLog,
        wall_clock: clocks.Clock,
        current: Callable[[], leadership.Leadership],
        departing: departures.DepartureTracker,
        send: Callable[..., bool],
        reply_with: Callable[[defer.Deferred, endpoint.Peer, object], None],
        nudge_holders: Callable[[], None],
    ):
        self._log = log
        self._wall_clock = wall_clock
        self._current = current
        self._departing = departing
        self._send = send
        self._reply_with = reply_with
        self._nudge_holders = nudge_holders
        self._pending_request_ids: set[str] = set()

    def handle_heartbeat(
        self, peer: endpoint.Peer, beat: messages.Heartbeat
    ) -> None:
        """Handle a heartbeat.

        The heartbeat of a leaving server is acknowledged only once the
        departure is in force.
        """
        outcome = self._current().heartbeats.apply(beat)
        if outcome is not heartbeats.HeartbeatResult.REPEATED:
            LOG.info(
                'received a heartbeat from a backend server',
                extra={
                    'server_id': beat.server.server_id,
                    'outcome': outcome.value,
                    'leaving': beat.server.leaving,
                    'started_ms': beat.started_ms,
                    'sequence': beat.sequence,
                    'relayed_by': peer.process_id,
                    **self._membership_version(),
                },
            )
        if beat.server.leaving:
            self._acknowledge_once_in_force(
                peer,
                beat,
                messages.RecordDeparture(
                    server_id=beat.server.server_id,
                    incarnation=beat.server.incarnation,
                    started_to_ms=beat.started_ms,
                ),
            )
            return
        self._send(route=peer.route, message=self._acknowledgement(beat))
        self._nudge_holders()

    def handle_server_gone(
        self, peer: endpoint.Peer, order: messages.ServerGone
    ) -> None:
        """Remove a server from the member list at its own request."""
        command = self._current().heartbeats.apply_departure(
            order, now_ms=self._wall_clock.now_ms()
        )
        self._acknowledge_once_in_force(peer, order, command)

    def _acknowledge_once_in_force(
        self, peer, message, command: messages.RecordDeparture
    ) -> None:
        """Acknowledge a departure once no gateway acts without it."""
        # The sender repeats the message until it is answered, which may
        # take a second.
        if message.request_id in self._pending_request_ids:
            return
        self._pending_request_ids.add(message.request_id)
        departed = self._departing.record_departure(command)

        def forget(result):
            self._pending_request_ids.discard(message.request_id)
            return result

        def answer(_):
            LOG.info(
                'departure of a backend server is in force',
                extra={
                    'server_id': command.server_id,
                    'incarnation': command.incarnation,
                    'started_to_ms': command.started_to_ms,
                    'relayed_by': peer.process_id,
                    **self._membership_version(),
                },
            )
            return self._acknowledgement(message)

        departed.addBoth(forget)
        departed.addCallback(answer)
        self._reply_with(departed, peer, message)

    def _acknowledgement(self, message) -> messages.HeartbeatTaken:
        return messages.HeartbeatTaken(
            request_id=message.request_id, leader_id=self._log.leader_id
        )

    def _membership_version(self) -> dict[str, str | int]:
        members = self._current().members
        return {
            'members_epoch': members.epoch,
            'members_version': members.version,
        }
