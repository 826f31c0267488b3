"""Executes operators' orders at the leader, and answers them."""

from collections.abc import Callable
import logging

from twisted.internet import defer

from shallothinge import errors
from shallothinge.control import api
from shallothinge.control import leadership
from shallothinge.control import orders
from shallothinge.control import revisions
from shallothinge.control import state
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages
from shallothinge.settings import model
from shallothinge.transport import endpoint

LOG = logging.getLogger(__name__)


class OrderExecutor:
    """Checks orders, has them committed, and answers them.

    :param operators: the operators and their public keys.
    :param current: returns the soft state of the current leadership term.
    :param propose: commits a command; returns a Deferred.
    :param send: sends a message to a peer's route.
    :param reply_with: sends the result of a Deferred to a peer.
    """

    def __init__(
        self,
        *,
        log: api.ReplicatedLog,
        machine: state.ControlState,
        operators: tuple[model.OperatorKey, ...],
        current: Callable[[], leadership.Leadership],
        propose: Callable[[object], defer.Deferred],
        send: Callable[..., bool],
        reply_with: Callable[[defer.Deferred, endpoint.Peer, object], None],
    ):
        self._log = log
        self._machine = machine
        self._checker = orders.OrderChecker(operators=operators)
        self._current = current
        self._propose = propose
        self._send = send
        self._reply_with = reply_with

    def execute(self, peer, order) -> None:
        """Check and commit an operator's order.

        An order from another control host is not checked: it was forwarded
        for a caller of the HTTP API, who has no operator key, and the
        control host is trusted to send it.
        """
        if self._refuse_overtaken(peer, order):
            return
        command = order
        if peer.role != 'control':
            command = self._checker.build_command(order)
        if command is order:
            self._current().revisions.accept(order)
            command = revisions.without_revision(order)
        self._reply_with(self._propose(command), peer, order)

    def _refuse_overtaken(self, peer, order) -> bool:
        """Refuse an order if an opposite one may have followed.

        An order that was carried out before gets its first answer.

        :returns: whether it was refused.
        """
        is_resent = order.order_id in self._machine.data.orders.by_id
        current = self._current()
        if is_resent or not current.revisions.is_overtaken(order):
            return False
        LOG.info(
            'refused an order that was overtaken',
            extra={
                'order_id': order.order_id,
                'order': type(order).__name__,
                'epoch': order.epoch,
                'revision': order.revision,
                'leader_epoch': current.epoch,
                'leader_revision': current.revisions.current,
            },
        )
        answer = messages.OrderAnswered(
            order_id=order.order_id,
            kind=ErrorKind.VERSION_CONFLICT,
            detail='an opposite order may have followed, or the leader has '
            'changed; look at the status and give the order again',
        )
        self._send(route=peer.route, message=answer)
        return True

    def answer_revision(self, peer, request) -> None:
        """Answer with the revision for an order that is to be given."""
        current = self._current()
        answer = messages.RevisionAnswered(
            request_id=request.request_id,
            epoch=current.epoch,
            revision=current.revisions.current,
            incarnation=current.heartbeats.incarnation_of(request.server_id),
        )
        self._send(route=peer.route, message=answer)

    def found(self, peer, order) -> None:
        """Found a cluster."""
        founded = self._log.found(
            cluster_id=order.cluster_id, member_ids=order.member_ids
        )
        self._reply_to_order(founded, peer, order)

    def change_members(self, peer, order) -> None:
        """Add or remove a replica of the log."""
        if self._refuse_overtaken(peer, order):
            return
        self._current().revisions.accept(order)
        if order.add_id:
            changed = self._log.add_member(process_id=order.add_id)
        else:
            changed = self._log.remove_member(process_id=order.remove_id)
        self._reply_to_order(changed, peer, order)

    def _reply_to_order(self, done: defer.Deferred, peer, order) -> None:
        """Answer an order that is not a state machine command."""

        def accept(_):
            return messages.OrderAnswered(order_id=order.order_id)

        def refuse(failure):
            failure.trap(errors.ServingError)
            error = failure.value
            if error.kind is ErrorKind.NOT_LEADER:
                return failure
            return messages.OrderAnswered(
                order_id=order.order_id, kind=error.kind, detail=error.detail
            )

        done.addCallbacks(accept, refuse)
        self._reply_with(done, peer, order)
