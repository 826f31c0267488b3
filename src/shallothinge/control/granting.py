"""Grants leases: confirms leadership for many requests in one round."""

from collections.abc import Callable

import attrs

from shallothinge import clock as clocks
from shallothinge.control import api
from shallothinge.control import leadership
from shallothinge.control import state
from shallothinge.errors import ErrorKind
from shallothinge.leases import messages as leases
from shallothinge.leases import table
from shallothinge.membership import messages as membership
from shallothinge.transport import endpoint

NUDGE_MS = 500
# A new leader hears of all servers within a second or so, and holders that
# were restarted with it can do little before they know them.
EARLY_NUDGE_MS = 100
# Nudged holders ask at once; this bounds what that costs a leader of many.
NUDGE_MS_A_HOLDER = 2


@attrs.frozen(kw_only=True)
class WaitingRequest:
    """A lease request that waits for a majority's confirmation."""

    peer: endpoint.Peer
    request: leases.LeaseRequest


class LeaseGranter:
    """Answers lease requests of a leader and nudges holders of changes.

    :param current: returns the soft state of the present leadership.
    :param propose: commits a command; returns a Deferred.
    :param refuse: answers a peer's request with an error kind.
    :param send: sends a message to a peer's route.
    :param on_granted: called after grants, which note what holders confirm.
    """

    def __init__(
        self,
        *,
        log: api.ReplicatedLog,
        machine: state.ControlState,
        clock: clocks.Clock,
        current: Callable[[], leadership.Leadership],
        propose: Callable,
        refuse: Callable,
        send: Callable[..., bool],
        on_granted: Callable[[], None],
    ):
        self._log = log
        self._machine = machine
        self._clock = clock
        self._current = current
        self._propose = propose
        self._refuse = refuse
        self._send = send
        self._on_granted = on_granted
        self._waiting: list[WaitingRequest] = []
        self._confirming = False
        self._nudged_version = 0
        self._nudged_members = ('', 0)
        self._nudged_ms = 0
        self._routes_of_holders: dict[leases.Holder, bytes] = {}
        self._fencing: set[leadership.FenceNeeded] = set()

    def request(self, peer, request) -> None:
        """Handle a holder's request for a lease."""
        if not is_own(peer, request):
            self._refuse(peer, request, ErrorKind.FORBIDDEN)
            return
        waiting = WaitingRequest(peer=peer, request=request)
        needed = self._current().fence_needed(request)
        if needed is None:
            self._confirm(waiting)
        elif needed not in self._fencing:
            self._fence(needed, waiting)

    def _fence(
        self, needed: leadership.FenceNeeded, waiting: WaitingRequest
    ) -> None:
        """Commit a fencing number, then go on with the request.

        Requests that the holder sends meanwhile are dropped.
        """
        self._fencing.add(needed)
        proposed = self._propose(
            membership.FenceServer(
                server_id=needed.server_id, incarnation=needed.incarnation
            )
        )
        proposed.addBoth(self._fenced, needed)
        proposed.addCallback(lambda _: self._confirm(waiting))
        proposed.addErrback(
            lambda _: self._refuse(
                waiting.peer, waiting.request, ErrorKind.NOT_LEADER
            )
        )

    def _fenced(self, result, needed):
        self._fencing.discard(needed)
        return result

    def _confirm(self, waiting: WaitingRequest) -> None:
        self._waiting.append(waiting)
        self._confirm_waiting()

    def _confirm_waiting(self) -> None:
        """Confirm leadership once for all requests that wait by now.

        Requests that arrive while a majority is being asked wait for the
        next round: the confirmation must begin after their arrival.
        """
        if self._confirming or not self._waiting:
            return
        self._confirming = True
        batch = self._waiting
        self._waiting = []
        confirmed = self._log.confirm_read()
        confirmed.addCallback(lambda _: self._grant(batch))
        confirmed.addErrback(lambda _: self._refuse_batch(batch))
        confirmed.addCallback(lambda _: self._confirm_next())

    def _confirm_next(self) -> None:
        self._confirming = False
        self._confirm_waiting()

    def _grant(self, batch: list[WaitingRequest]) -> None:
        current = self._current()
        for waiting in batch:
            answer = current.answer(waiting.request)
            holder = table.holder_of(waiting.request)
            if isinstance(answer, leases.LeaseRefused):
                answer = attrs.evolve(answer, leader_id=self._log.leader_id)
            else:
                self._routes_of_holders[holder] = waiting.peer.route
            self._send(route=waiting.peer.route, message=answer)
        self._on_granted()

    def _refuse_batch(self, batch: list[WaitingRequest]) -> None:
        for waiting in batch:
            self._refuse(waiting.peer, waiting.request, ErrorKind.NOT_LEADER)

    def nudge_holders(self) -> None:
        """Tell holders of a new configuration, at intervals.

        A change between two nudges goes with the next one.
        """
        version = self._machine.data.config.state_version
        members = self._current().members
        members_version = (members.epoch, members.version)
        if (
            version <= self._nudged_version
            and members_version == self._nudged_members
        ):
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._nudged_ms < self._nudge_interval_ms():
            return
        self._nudged_version = version
        self._nudged_members = members_version
        self._nudged_ms = now_ms
        nudge = leases.LeaseNudge(
            state_version=version,
            members_epoch=members.epoch,
            members_version=members.version,
        )
        for route in self._routes_of_holders.values():
            self._send(route=route, message=nudge)

    def _nudge_interval_ms(self) -> int:
        if self._current().has_heard_all():
            return NUDGE_MS
        holder_count = len(self._routes_of_holders)
        return max(EARLY_NUDGE_MS, NUDGE_MS_A_HOLDER * holder_count)

    def forget_routes(self) -> None:
        """Drop the routes of holders whose leases have run out."""
        known = set(self._current().leases.holders())
        for holder in list(self._routes_of_holders):
            if holder not in known:
                del self._routes_of_holders[holder]


def is_of(peer: endpoint.Peer, holder: leases.Holder) -> bool:
    """Return whether a holder is the process that a peer is."""
    return (
        holder.holder_id == peer.process_id
        and holder.incarnation == peer.incarnation
    )


def is_own(peer: endpoint.Peer, request: leases.LeaseRequest) -> bool:
    """Return whether a request speaks for the peer that sent it."""
    if (request.server is not None) != (peer.role == 'agent'):
        return False
    if request.server is not None:
        if request.server.server_id != peer.process_id:
            return False
    return is_of(peer, table.holder_of(request))
