"""What backend servers without an agent say of themselves, at the leader."""

from collections.abc import Callable
import logging

from twisted.internet import defer

from shallothinge.control import api
from shallothinge.control import departing as departures
from shallothinge.control import leadership
from shallothinge.membership import heartbeats
from shallothinge.membership import messages
from shallothinge.transport import endpoint

LOG = logging.getLogger(__name__)


class Announcements:
    """Lists servers by their heartbeats, and answers those that leave.

    :param current: returns the soft state of the present leadership.
    :param send: sends a message to a peer's route.
    :param reply_with: sends a peer what a Deferred fires with.
    :param nudge_holders: tells holders of leases that something changed.
    """

    def __init__(
        self,
        *,
        log: api.ReplicatedLog,
        current: Callable[[], leadership.Leadership],
        departing: departures.Departing,
        send: Callable[..., bool],
        reply_with: Callable[[defer.Deferred, endpoint.Peer, object], None],
        nudge_holders: Callable[[], None],
    ):
        self._log = log
        self._current = current
        self._departing = departing
        self._send = send
        self._reply_with = reply_with
        self._nudge_holders = nudge_holders
        self._leaving_ids: set[str] = set()

    def heartbeat(self, peer: endpoint.Peer, beat: messages.Heartbeat) -> None:
        """Take a heartbeat; one of a server that leaves may wait."""
        taken = self._current().heartbeats.take(beat)
        if taken is not heartbeats.Taken.REPEATED:
            LOG.info(
                'heartbeat of a backend server',
                extra={
                    'server_id': beat.server.server_id,
                    'outcome': taken.value,
                    'leaving': beat.server.leaving,
                    'started_ms': beat.started_ms,
                    'sequence': beat.sequence,
                    'relayed_by': peer.process_id,
                    **self._members_seen(),
                },
            )
        if beat.server.leaving:
            self._answer_once_left(
                peer,
                beat,
                server_id=beat.server.server_id,
                incarnation=beat.server.incarnation,
            )
            return
        self._send(route=peer.route, message=self._taken(beat))
        self._nudge_holders()

    def gone(self, peer: endpoint.Peer, order: messages.ServerGone) -> None:
        """Take a server off the list that says that it is gone."""
        heard = self._current().heartbeats
        incarnation = heard.incarnation_of(order.server_id)
        heard.gone(order.server_id)
        self._answer_once_left(
            peer, order, server_id=order.server_id, incarnation=incarnation
        )

    def _answer_once_left(
        self, peer, message, *, server_id: str, incarnation: str
    ) -> None:
        """Acknowledge a leaving when no gateway acts without it any more."""
        # It is sent again until it is answered, which may take a second.
        if message.request_id in self._leaving_ids:
            return
        self._leaving_ids.add(message.request_id)
        left = self._departing.leave(
            server_id=server_id, incarnation=incarnation
        )

        def forget(result):
            self._leaving_ids.discard(message.request_id)
            return result

        def answer(_):
            LOG.info(
                'departure of a backend server is in force',
                extra={
                    'server_id': server_id,
                    'incarnation': incarnation,
                    'relayed_by': peer.process_id,
                    **self._members_seen(),
                },
            )
            return self._taken(message)

        left.addBoth(forget)
        left.addCallback(answer)
        self._reply_with(left, peer, message)

    def _taken(self, message) -> messages.HeartbeatTaken:
        return messages.HeartbeatTaken(
            request_id=message.request_id, leader_id=self._log.leader_id
        )

    def _members_seen(self) -> dict[str, str | int]:
        members = self._current().members
        return {
            'members_epoch': members.epoch,
            'members_version': members.version,
        }
