"""Founding a cluster, and control hosts that join or leave it."""

from collections.abc import Callable

import attrs
from twisted.internet import defer

from shallothinge import errors
from shallothinge.consensus import founding
from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import node as nodes
from shallothinge.control import member_orders

ANNOUNCE_MS = 250
# A replica that waits is heard again sooner, also if some messages are lost.
ANNOUNCED_MS = 4 * ANNOUNCE_MS
FOUNDING_WAIT_MS = 10_000


@attrs.frozen(kw_only=True)
class _Founding:
    """A founding that waits to hear all first voters."""

    cluster_id: str
    member_ids: tuple[str, ...]
    ends_ms: int


@attrs.frozen(kw_only=True)
class _Heard:
    """A replica that no leader sends to, and when it last said so."""

    message: messages.ReplicaAnnounced
    heard_ms: int


class Joining:
    """Pairs the processes of control hosts with their data folders.

    Replicas that no leader sends to announce themselves. They are taken in
    only by a founding or an order of operators: the order to add the
    process, or the repair that made the folder in place of a lost one.

    :param broadcast: sends a message to every other control host.
    :param takes_all: take in every replica that announces itself, where
        hosts find each other and nobody orders additions.
    """

    def __init__(
        self,
        *,
        node: nodes.Node,
        process_id: str,
        rejoin: bool,
        broadcast: Callable[[object], None],
        takes_all: bool = False,
    ):
        self._node = node
        self._process_id = process_id
        self._rejoin = rejoin
        self._broadcast = broadcast
        self._takes_all = takes_all
        self._announced: dict[str, _Heard] = {}
        self._announce_due_ms = 0
        self._founding: _Founding | None = None
        self._founded: list[defer.Deferred] = []
        self._additions = member_orders.MemberOrders()
        self._removals = member_orders.MemberOrders()

    def announced(
        self, now_ms: int, message: messages.ReplicaAnnounced
    ) -> None:
        """Note a replica that no leader sends to."""
        process_id = model.process_id_of(message.sender_id)
        self._announced[process_id] = _Heard(message=message, heard_ms=now_ms)
        self._node.offer_founding(message.sender_id)

    def found(
        self, now_ms: int, *, cluster_id: str, member_ids: tuple[str, ...]
    ) -> defer.Deferred:
        """Found a cluster once all its hosts have been heard.

        :returns: fires with the cluster's id when a leader was elected.
        """
        if self._node.cluster_id:
            if founding.name_of(self._node.cluster_id) != cluster_id:
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
                ends_ms=now_ms + FOUNDING_WAIT_MS,
            )
        answered = defer.Deferred()
        self._founded.append(answered)
        return answered

    def add(self, now_ms: int, process_id: str) -> defer.Deferred:
        """Add a process.

        :returns: fires when its replica has a vote or stands by; fails
            with ``VERSION_CONFLICT`` if it was not heard in time.
        """
        return self._additions.add(now_ms, process_id)

    def remove(self, now_ms: int, process_id: str) -> defer.Deferred:
        """Remove a process.

        :returns: fires when that is committed; fails with
            ``VERSION_CONFLICT`` if it could not be done in time.
        """
        return self._removals.add(now_ms, process_id)

    def tick(self, now_ms: int) -> None:
        """Announce the own replica and drive what is under way."""
        self._forget_silent(now_ms)
        if self._node.is_unattached and not self._node.is_leaving:
            self._announce(now_ms)
        if not self._node.cluster_id:
            self._tick_founding(now_ms)
        elif self._node.leader_id and self._founded:
            waiting, self._founded = self._founded, []
            for answered in waiting:
                answered.callback(founding.name_of(self._node.cluster_id))
        if self._node.role is model.Role.LEADER:
            self._tick_additions(now_ms)
            self._tick_removals(now_ms)

    def fail_all(self, error: Callable[[], errors.ServingError]) -> None:
        """Fail the changes under way, after the leadership was lost."""
        for ordered in (self._additions, self._removals):
            for process_id, _ in ordered.items():
                ordered.fail(process_id, error())

    def _announce(self, now_ms: int) -> None:
        if now_ms < self._announce_due_ms:
            return
        self._announce_due_ms = now_ms + ANNOUNCE_MS
        self._broadcast(
            messages.ReplicaAnnounced(
                sender_id=self._node.replica_id, rejoin=self._rejoin
            )
        )

    def _forget_silent(self, now_ms: int) -> None:
        """Forget replicas that wait no more.

        A host that has gone since must not be taken in by a later leader.
        """
        for process_id, heard in list(self._announced.items()):
            if now_ms - heard.heard_ms > ANNOUNCED_MS:
                del self._announced[process_id]

    def _tick_founding(self, now_ms: int) -> None:
        wanted = self._founding
        if wanted is None:
            return
        replica_ids = [self._node.replica_id]
        for process_id in wanted.member_ids:
            if process_id in self._announced:
                heard = self._announced[process_id]
                replica_ids.append(heard.message.sender_id)
        if len(replica_ids) == len(set(wanted.member_ids)):
            self._founding = None
            self._node.found(
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
            if process_id not in self._announced
            and process_id != self._process_id
        ]
        self._founding = None
        waiting, self._founded = self._founded, []
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
        for process_id, heard in list(self._announced.items()):
            message = heard.message
            replaces = message.rejoin and process_id in members
            ordered = process_id in self._additions or self._takes_all
            wanted = ordered or replaces
            if message.sender_id in configuration.replicas:
                del self._announced[process_id]
            elif wanted:
                outcome = self._node.add_learner(now_ms, message.sender_id)
                if isinstance(outcome, model.ProposalRefused):
                    self._additions.note_refusal(process_id, outcome.reason)
        configuration = self._node.configuration
        learners = {
            model.process_id_of(learner): learner
            for learner in configuration.learners
            if not self._node.stands_by(learner)
        }
        for process_id, order in self._additions.items():
            is_voter = process_id in members and process_id not in learners
            joined = is_voter and process_id not in self._announced
            if joined and self._node.is_configuration_committed:
                self._additions.fulfil(process_id)
            else:
                self._end_addition(
                    now_ms, process_id, order, learners.get(process_id)
                )

    def _end_addition(
        self,
        now_ms: int,
        process_id: str,
        order: member_orders.MemberOrder,
        learner: str | None,
    ) -> None:
        """End an addition in time, but not while the host catches up."""
        heard_ms = self._node.answered_ms(learner) if learner else None
        if heard_ms is not None:
            order.ends_ms = max(
                order.ends_ms, heard_ms + member_orders.WAIT_MS
            )
        if now_ms < order.ends_ms:
            return
        if learner:
            detail = (
                f'{process_id} was added without a vote and answers no more: '
                'start it, and it gets its vote once it holds everything'
            )
        elif process_id in self._announced:
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
                    self._removals.fulfil(process_id)
                continue
            outcome = self._node.remove(now_ms, replica_ids[0])
            if isinstance(outcome, model.ProposalRefused):
                self._removals.note_refusal(process_id, outcome.reason)
                if now_ms >= order.ends_ms:
                    detail = f'{process_id} was not removed: {outcome.reason}'
                    self._removals.fail(process_id, _conflict_error(detail))


def _conflict(detail: str) -> defer.Deferred:
    return defer.fail(_conflict_error(detail))


def _conflict_error(detail: str) -> errors.ServingError:
    return errors.ServingError(
        kind=errors.ErrorKind.VERSION_CONFLICT, detail=detail
    )
