"""Founds a cluster, and adds and removes its control hosts."""

from collections.abc import Callable

import attrs
from twisted.internet import defer

from shallothinge import errors
from shallothinge.consensus import founding
from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes
from shallothinge.control import member_orders

ANNOUNCE_INTERVAL_MS = 250
# Several announcement intervals, so that an announcement does not expire when
# a few messages are lost.
ANNOUNCEMENT_TTL_MS = 4 * ANNOUNCE_INTERVAL_MS
FOUNDING_TIMEOUT_MS = 10_000


@attrs.frozen(kw_only=True)
class _Founding:
    """A founding that waits until all initial voters are heard."""

    cluster_id: str
    member_ids: tuple[str, ...]
    ends_ms: int


@attrs.frozen(kw_only=True)
class _Announcement:
    """The last announcement of a replica, and when it was received."""

    message: messages.ReplicaAnnounced
    heard_ms: int


class MembershipChanges:
    """Founds the cluster and adds and removes the replicas of processes.

    A replica that no leader sends to announces itself, which tells which
    replica (data folder) a process has. It becomes a member only by a
    founding or by an order of an operator: the order to add the process, or
    the repair that created the folder in place of a lost one.

    :param rejoin: whether the replica announces that it replaces the former
        replica of its process.
    :param broadcast: sends a message to every other control host.
    :param adds_all_announced: add every replica that announces itself, for
        deployments with discovery, where nobody orders additions.
    """

    def __init__(
        self,
        *,
        node: nodes.Node,
        process_id: str,
        rejoin: bool,
        broadcast: Callable[[object], None],
        adds_all_announced: bool = False,
    ):
        self._node = node
        self._process_id = process_id
        self._rejoin = rejoin
        self._broadcast = broadcast
        self._adds_all_announced = adds_all_announced
        self._announcements: dict[str, _Announcement] = {}
        self._announce_due_ms = 0
        self._founding: _Founding | None = None
        self._founding_waiters: list[defer.Deferred] = []
        self._additions = member_orders.MemberOrders()
        self._removals = member_orders.MemberOrders()

    def record_announcement(
        self, now_ms: int, message: messages.ReplicaAnnounced
    ) -> None:
        """Record the announcement of a replica that no leader sends to."""
        process_id = model.process_id_of(message.sender_id)
        self._announcements[process_id] = _Announcement(
            message=message, heard_ms=now_ms
        )
        self._node.offer_founding(message.sender_id)

    def found(
        self, now_ms: int, *, cluster_id: str, member_ids: tuple[str, ...]
    ) -> defer.Deferred:
        """Found a cluster once all its hosts have been heard.

        :returns: fires with the cluster's id once a leader is elected; fails
            with ``VERSION_CONFLICT`` if a host is not heard in time, if this
            process belongs to another cluster or is not one of the members,
            or if another founding is under way.
        """
        if self._node.cluster_id:
            if founding.cluster_name_of(self._node.cluster_id) != cluster_id:
                return _conflict(f'belongs to {self._node.cluster_id}')
        elif self._process_id not in member_ids:
            return _conflict('a founder has to be a member')
        elif self._founding is not None and (
            self._founding.cluster_id != cluster_id
        ):
            return _conflict('another founding is under way')
        else:
            self._founding = _Founding(
                cluster_id=cluster_id,
                member_ids=tuple(member_ids),
                ends_ms=now_ms + FOUNDING_TIMEOUT_MS,
            )
        answered = defer.Deferred()
        self._founding_waiters.append(answered)
        return answered

    def add(self, now_ms: int, process_id: str) -> defer.Deferred:
        """Add a process.

        :returns: fires when its replica is a voter or a standby learner;
            fails with ``VERSION_CONFLICT`` if that did not happen in time.
        """
        return self._additions.add(now_ms, process_id)

    def remove(self, now_ms: int, process_id: str) -> defer.Deferred:
        """Remove a process.

        :returns: fires when the removal is committed; fails with
            ``VERSION_CONFLICT`` if it was refused until the time-out.
        """
        return self._removals.add(now_ms, process_id)

    def tick(self, now_ms: int) -> None:
        """Announce this replica and advance the changes under way."""
        self._expire_announcements(now_ms)
        if self._node.has_no_leader and not self._node.is_leaving:
            self._announce(now_ms)
        if not self._node.cluster_id:
            self._tick_founding(now_ms)
        elif self._node.leader_id and self._founding_waiters:
            waiting, self._founding_waiters = self._founding_waiters, []
            for answered in waiting:
                answered.callback(
                    founding.cluster_name_of(self._node.cluster_id)
                )
        if self._node.role is model.Role.LEADER:
            self._tick_additions(now_ms)
            self._tick_removals(now_ms)

    def fail_all(self, error: Callable[[], errors.ServingError]) -> None:
        """Fail the pending changes after the leadership was lost."""
        for ordered in (self._additions, self._removals):
            for process_id, _ in ordered.items():
                ordered.fail(process_id, error())

    def _announce(self, now_ms: int) -> None:
        if now_ms < self._announce_due_ms:
            return
        self._announce_due_ms = now_ms + ANNOUNCE_INTERVAL_MS
        self._broadcast(
            messages.ReplicaAnnounced(
                sender_id=self._node.replica_id, rejoin=self._rejoin
            )
        )

    def _expire_announcements(self, now_ms: int) -> None:
        """Drop announcements that have not been repeated in time.

        A later leader must not add a host that has gone since.
        """
        for process_id, heard in list(self._announcements.items()):
            if now_ms - heard.heard_ms > ANNOUNCEMENT_TTL_MS:
                del self._announcements[process_id]

    def _tick_founding(self, now_ms: int) -> None:
        wanted = self._founding
        if wanted is None:
            return
        replica_ids = [self._node.replica_id]
        for process_id in wanted.member_ids:
            if process_id in self._announcements:
                heard = self._announcements[process_id]
                replica_ids.append(heard.message.sender_id)
        if len(replica_ids) == len(set(wanted.member_ids)):
            self._founding = None
            self._node.found_cluster(
                name=wanted.cluster_id, replica_ids=tuple(replica_ids)
            )
            for replica_id in replica_ids[1:]:
                self._node.offer_founding(replica_id)
        elif now_ms >= wanted.ends_ms:
            self._fail_founding(wanted)

    def _fail_founding(self, wanted: _Founding) -> None:
        missing = [
            process_id
            for process_id in wanted.member_ids
            if process_id not in self._announcements
            and process_id != self._process_id
        ]
        self._founding = None
        waiting, self._founding_waiters = self._founding_waiters, []
        for answered in waiting:
            answered.errback(
                _conflict_error(
                    'not founded; no empty replica was heard of '
                    f'{", ".join(missing)}: start it and found again'
                )
            )

    def _tick_additions(self, now_ms: int) -> None:
        configuration = self._node.configuration
        members = {
            model.process_id_of(replica_id)
            for replica_id in configuration.replicas
        }
        for process_id, heard in list(self._announcements.items()):
            message = heard.message
            replaces = message.rejoin and process_id in members
            ordered = process_id in self._additions or self._adds_all_announced
            wanted = ordered or replaces
            if message.sender_id in configuration.replicas:
                del self._announcements[process_id]
            elif wanted:
                outcome = self._node.add_learner(now_ms, message.sender_id)
                if isinstance(outcome, model.ProposalRefused):
                    self._additions.record_refusal(process_id, outcome.reason)
        configuration = self._node.configuration
        learners = {
            model.process_id_of(learner): learner
            for learner in configuration.learners
            if not self._node.is_standby_learner(learner)
        }
        for process_id, order in self._additions.items():
            is_voter = process_id in members and process_id not in learners
            joined = is_voter and process_id not in self._announcements
            if joined and self._node.is_configuration_committed:
                self._additions.complete(process_id)
            else:
                self._fail_overdue_addition(
                    now_ms, process_id, order, learners.get(process_id)
                )

    def _fail_overdue_addition(
        self,
        now_ms: int,
        process_id: str,
        order: member_orders.MemberOrder,
        learner: str | None,
    ) -> None:
        """Fail an addition that has timed out.

        Answers of the learner extend the time, so that a host that is
        catching up does not time out.
        """
        heard_ms = self._node.last_answer_ms(learner) if learner else None
        if heard_ms is not None:
            order.ends_ms = max(
                order.ends_ms, heard_ms + member_orders.ORDER_TIMEOUT_MS
            )
        if now_ms < order.ends_ms:
            return
        if learner:
            detail = (
                f'{process_id} was added without a vote and answers no more: '
                'start it, and it gets its vote once it holds everything'
            )
        elif process_id in self._announcements:
            reason = order.refused_reason or 'it was heard too late'
            detail = f'{process_id} was not added: {reason}'
        else:
            detail = (
                f'{process_id} was not added, as it was not heard: '
                'start it and add it again'
            )
        self._additions.fail(process_id, _conflict_error(detail))

    def _tick_removals(self, now_ms: int) -> None:
        configuration = self._node.configuration
        for process_id, order in self._removals.items():
            replica_ids = [
                replica_id
                for replica_id in configuration.replicas
                if model.process_id_of(replica_id) == process_id
            ]
            if not replica_ids:
                if self._node.is_configuration_committed:
                    self._removals.complete(process_id)
                continue
            outcome = self._node.remove(now_ms, replica_ids[0])
            if isinstance(outcome, model.ProposalRefused):
                self._removals.record_refusal(process_id, outcome.reason)
                if now_ms >= order.ends_ms:
                    detail = f'{process_id} was not removed: {outcome.reason}'
                    self._removals.fail(process_id, _conflict_error(detail))


def _conflict(detail: str) -> defer.Deferred:
    return defer.fail(_conflict_error(detail))


def _conflict_error(detail: str) -> errors.ServingError:
    return errors.ServingError(
        kind=errors.ErrorKind.VERSION_CONFLICT, detail=detail
    )
