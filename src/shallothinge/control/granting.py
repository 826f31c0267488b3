"""Grants leases, confirming leadership once for each batch of requests."""

from collections.abc import Callable
import logging

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

LOG = logging.getLogger(__name__)

NUDGE_INTERVAL_MS = 500
# A new leader learns of all servers within about a second, and holders that
# were restarted with it can do little before they know the servers. So it
# nudges more often until its member list is complete.
MIN_EARLY_NUDGE_INTERVAL_MS = 100
# Nudged holders send a request at once. An interval that grows with the
# number of holders bounds the load on the leader.
NUDGE_INTERVAL_MS_PER_HOLDER = 2


@attrs.frozen(kw_only=True)
class WaitingRequest:
    """A lease request that waits until a majority confirms the leader."""

    peer: endpoint.Peer
    request: leases.LeaseRequest


class LeaseGranter:
    """Answers lease requests at the leader and nudges holders on changes.

    :param current: returns the soft state of the current leadership term.
    :param propose: commits a command; returns a Deferred.
    :param refuse: answers a peer's request with an error kind.
    :param send: sends a message to a peer's route.
    :param on_granted: called after each batch of grants, which records the
        configuration versions that holders have confirmed.
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
        self._pending_fences: set[leadership.FenceNeeded] = set()

    def request(self, peer, request) -> None:
        """Handle a holder's lease request."""
        if not is_sent_by_holder(peer, request):
            self._refuse(peer, request, ErrorKind.FORBIDDEN)
            return
        waiting = WaitingRequest(peer=peer, request=request)
        needed = self._current().fence_needed(request)
        if needed is None:
            self._confirm(waiting)
        elif needed not in self._pending_fences:
            self._commit_fence(needed, waiting)

    def _commit_fence(
        self, needed: leadership.FenceNeeded, waiting: WaitingRequest
    ) -> None:
        """Commit a fencing number, then continue with the request.

        Requests that the holder sends in the meantime are dropped.
        """
        self._pending_fences.add(needed)
        proposed = self._propose(
            membership.FenceServer(
                server_id=needed.server_id, incarnation=needed.incarnation
            )
        )
        proposed.addBoth(self._fence_committed, needed)
        proposed.addCallback(lambda _: self._confirm(waiting))
        proposed.addErrback(
            lambda _: self._refuse(
                waiting.peer, waiting.request, ErrorKind.NOT_LEADER
            )
        )

    def _fence_committed(self, result, needed):
        self._pending_fences.discard(needed)
        return result

    def _confirm(self, waiting: WaitingRequest) -> None:
        self._waiting.append(waiting)
        self._confirm_waiting()

    def _confirm_waiting(self) -> None:
        """Confirm leadership once for all waiting requests.

        Requests that arrive during a confirmation wait for the next one:
        a confirmation only counts for requests that arrived before it
        began.
        """
        if self._confirming or not self._waiting:
            return
        self._confirming = True
        batch = self._waiting
        self._waiting = []
        confirmed = self._log.confirm_read()
        confirmed.addCallback(lambda _: self._grant(batch))
        confirmed.addErrback(lambda _: self._refuse_batch(batch))
        confirmed.addErrback(_log_failure)
        confirmed.addCallback(lambda _: self._confirm_next())

    def _confirm_next(self) -> None:
        self._confirming = False
        self._confirm_waiting()

    def _grant(self, batch: list[WaitingRequest]) -> None:
        for waiting in batch:
            if not _run_for(waiting, self._grant_one):
                _run_for(waiting, self._refuse_one)
        self._on_granted()

    def _grant_one(self, waiting: WaitingRequest) -> None:
        answer = self._current().answer(waiting.request)
        holder = table.holder_of(waiting.request)
        if isinstance(answer, leases.LeaseRefused):
            answer = attrs.evolve(answer, leader_id=self._log.leader_id)
        else:
            self._routes_of_holders[holder] = waiting.peer.route
        self._send(route=waiting.peer.route, message=answer)

    def _refuse_batch(self, batch: list[WaitingRequest]) -> None:
        for waiting in batch:
            _run_for(waiting, self._refuse_one)

    def _refuse_one(self, waiting: WaitingRequest) -> None:
        self._refuse(waiting.peer, waiting.request, ErrorKind.NOT_LEADER)

    def nudge_holders(self) -> None:
        """Nudge holders after a change of configuration or membership.

        Nudges are rate-limited; a change between two nudges is announced
        with the second one.
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
        if self._current().is_membership_complete():
            return NUDGE_INTERVAL_MS
        holder_count = len(self._routes_of_holders)
        return max(
            MIN_EARLY_NUDGE_INTERVAL_MS,
            NUDGE_INTERVAL_MS_PER_HOLDER * holder_count,
        )

    def remove_expired_routes(self) -> None:
        """Remove the routes of holders whose leases have expired."""
        known = set(self._current().leases.holders())
        for holder in list(self._routes_of_holders):
            if holder not in known:
                del self._routes_of_holders[holder]


def _log_failure(failure) -> None:
    LOG.error(
        'a step after lease grants failed',
        extra={'cause': failure.getErrorMessage()},
    )


def _run_for(
    waiting: WaitingRequest, step: Callable[[WaitingRequest], None]
) -> bool:
    """Run a step; its exception must not cost other holders their leases.

    :returns: whether it raised none.
    """
    try:
        step(waiting)
        return True
    except Exception:
        LOG.exception(
            'a lease request could not be answered',
            extra={'holder_id': waiting.request.holder_id},
        )
        return False


def is_same_process(peer: endpoint.Peer, holder: leases.Holder) -> bool:
    """Return whether a holder and a peer are the same process."""
    return (
        holder.holder_id == peer.process_id
        and holder.incarnation == peer.incarnation
    )


def is_sent_by_holder(
    peer: endpoint.Peer, request: leases.LeaseRequest
) -> bool:
    """Return whether a peer sent a request on its own behalf."""
    if (request.server is not None) != (peer.role == 'agent'):
        return False
    if request.server is not None:
        if request.server.server_id != peer.process_id:
            return False
    return is_same_process(peer, table.holder_of(request))
