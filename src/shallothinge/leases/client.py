"""A process's connections to the control hosts.

Renews the lease and sends requests to the current leader.
"""

import functools
import logging

import attrs
from twisted.internet import defer

from shallothinge import errors
from shallothinge import periodic
from shallothinge import process as processes
from shallothinge.leases import holder as holders
from shallothinge.leases import messages
from shallothinge.settings import model
from shallothinge.transport import link

RENEW_MS = 1000
RETRY_MS = 250
# Without a lease nothing is served, so hosts are asked at shorter intervals.
NO_LEASE_RETRY_MS = 100
REQUEST_RETRY_MS = 400
IDLE_LINK_TIMEOUT_MS = 10_000
# Longer than an election; below IDLE_LINK_TIMEOUT_MS, because the silence of
# a host can't be measured once its connection is closed.
UNLISTED_HOST_TIMEOUT_MS = 5000

LOG = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class _PendingRequest:
    """A request that has not been answered yet."""

    message: object
    answered: defer.Deferred
    deadline_ms: int
    sent_to_id: str = ''


def correlation_id(message: object) -> str:
    """Return the id that matches an answer to its request."""
    for name in ('request_id', 'claim_id', 'order_id'):
        value = getattr(message, name, None)
        if value is not None:
            return value
    return str(getattr(message, 'sequence', ''))


class ControlClient:
    """Renews a lease and sends requests to the leader of the control group.

    A host is removed after ``UNLISTED_HOST_TIMEOUT_MS`` of silence if the
    settings don't name it and control neither lists it nor names it as the
    leader.

    :param hosts: the control hosts in the settings.
    :param holder: the lease to renew, or None for a terminal.
    :param learns_hosts: whether to use hosts that control names as well;
        their ids are then their addresses.
    """

    def __init__(
        self,
        *,
        process: processes.Process,
        hosts: tuple[model.ControlHost, ...],
        holder: holders.LeaseHolder | None,
        learns_hosts: bool = False,
    ):
        self._process = process
        self._reactor = process.reactor
        self._holder = holder
        self._learns_hosts = learns_hosts
        self._pending_requests = {}
        self._addresses = {host.process_id: host.address for host in hosts}
        self._seed_ids = frozenset(self._addresses)
        self._listed_ids: frozenset[str] = frozenset()
        self._named_leader_id = ''
        self._links = {}
        self._last_used_ms = {}
        self._host_order = list(self._addresses)
        self._renewed_ms = None
        self._unanswered_host_id = ''
        self._closed = False
        self._timers = {}

    def start(self) -> None:
        """Start renewing the lease and resending pending requests."""
        if self._holder is not None:
            self._renew()
        self._resend()

    def close(self) -> None:
        """Stop, close all connections and fail the pending requests."""
        self._closed = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        for opened in self._links.values():
            opened.close()
        for pending in list(self._pending_requests.values()):
            self._fail(pending)
        self._pending_requests.clear()

    def renew_now(self) -> None:
        """Send a lease request at once, for a change that is urgent."""
        if self._holder is not None:
            self._send_renewal()

    def send_request(
        self, message: object, *, timeout_ms: int
    ) -> defer.Deferred:
        """Send a request, and resend it until a control host answers.

        The request must carry an id; it is resent under the same id.

        :returns: fires with the answer, or fails with ``ServingError`` of
            kind ``NO_LEASE`` after ``timeout_ms``.
        """
        pending = _PendingRequest(
            message=message,
            answered=defer.Deferred(),
            deadline_ms=self._process.clock.now_ms() + timeout_ms,
        )
        self._pending_requests[correlation_id(message)] = pending
        self._send_pending(pending)
        return pending.answered

    def _send_pending(self, pending: _PendingRequest) -> None:
        if self._send(pending.message):
            pending.sent_to_id = self._host_order[0]

    def _send(self, message: object) -> bool:
        for process_id in self._host_order:
            self._last_used_ms[process_id] = self._process.clock.now_ms()
            opened = self._open(process_id)
            if opened is not None and opened.send(message):
                return True
            self._rotate(process_id)
        return False

    def _open(self, process_id: str) -> link.Link | None:
        """Return the connection to a host, None if there can be none.

        A host that control names may have an address that is none.
        """
        try:
            return self._link_to(process_id)
        except Exception:
            LOG.exception(
                'a control host can not be connected to',
                extra={'control_id': process_id},
            )
            return None

    def _link_to(self, process_id: str) -> link.Link:
        if process_id not in self._links:
            self._links[process_id] = self._process.connect(
                address=self._addresses[process_id],
                role='control',
                on_message=self._receive,
            )
        return self._links[process_id]

    def _close_idle_links(self) -> None:
        """Close idle connections, except that to the first host in order."""
        unused_since_ms = self._process.clock.now_ms() - IDLE_LINK_TIMEOUT_MS
        for process_id in self._host_order[1:]:
            used_ms = self._last_used_ms.get(process_id, unused_since_ms)
            if process_id in self._links and used_ms < unused_since_ms:
                self._links.pop(process_id).close()

    def _rotate(self, process_id: str) -> None:
        """Move a host to the end of the order if it is the first."""
        if self._host_order[0] == process_id:
            self._host_order = self._host_order[1:] + self._host_order[:1]

    def update_seeds(self, process_ids: tuple[str, ...]) -> None:
        """Replace the set of control hosts that the settings name."""
        self._seed_ids = frozenset(process_ids)
        self._add_hosts(process_ids)

    def _add_hosts(self, process_ids: tuple[str, ...]) -> None:
        for process_id in process_ids:
            if process_id not in self._addresses:
                self._addresses[process_id] = f'tcp://{process_id}'
                self._host_order.append(process_id)

    def _forget_silent_hosts(self) -> None:
        kept_ids = {*self._seed_ids, *self._listed_ids, self._named_leader_id}
        for process_id in set(self._links) - kept_ids:
            silent_ms = self._links[process_id].silent_ms
            if silent_ms > UNLISTED_HOST_TIMEOUT_MS:
                self._forget(process_id)
                LOG.info(
                    'removed a silent control host that is not listed',
                    extra={'control_id': process_id, 'silent_ms': silent_ms},
                )

    def _forget(self, process_id: str) -> None:
        self._links.pop(process_id).close()
        self._last_used_ms.pop(process_id, None)
        self._addresses.pop(process_id)
        self._host_order.remove(process_id)

    def _update_host_order(self, leader_id: str) -> None:
        if self._learns_hosts:
            self._named_leader_id = leader_id
            self._add_hosts((leader_id,) if leader_id else ())
        if leader_id in self._addresses:
            self._host_order.remove(leader_id)
            self._host_order.insert(0, leader_id)
        else:
            self._host_order = self._host_order[1:] + self._host_order[:1]

    def _renew(self) -> None:
        if self._closed:
            return
        periodic.run(self._renew_if_due)
        is_urgent = not self._holder.is_valid()
        self._schedule(
            min(NO_LEASE_RETRY_MS, RETRY_MS) if is_urgent else RETRY_MS,
            self._renew,
        )

    def _renew_if_due(self) -> None:
        now_ms = self._process.clock.now_ms()
        due_ms = RENEW_MS if self._renewed_ms is not None else 0
        if now_ms - (self._renewed_ms or 0) >= due_ms:
            self._rotate(self._unanswered_host_id)
            self._send_renewal()

    def _send_renewal(self) -> None:
        if self._send(self._holder.next_request()):
            self._unanswered_host_id = self._host_order[0]

    def _schedule(self, delay_ms: int, function) -> None:
        # A pending request's errback may have closed this client.
        if self._closed:
            return
        self._timers[function] = self._reactor.callLater(
            delay_ms / 1000, function
        )

    def _resend(self) -> None:
        if self._closed:
            return
        for key in list(self._pending_requests):
            periodic.run(functools.partial(self._resend_or_fail, key))
        periodic.run(self._forget_silent_hosts)
        periodic.run(self._close_idle_links)
        self._schedule(REQUEST_RETRY_MS, self._resend)

    def _resend_or_fail(self, key: str) -> None:
        pending = self._pending_requests.get(key)
        if pending is None:
            return
        if self._process.clock.now_ms() < pending.deadline_ms:
            self._send_pending(pending)
            return
        del self._pending_requests[key]
        # The link to a dead host accepts messages until the silence is
        # detected, so the next request goes to another host.
        self._rotate(pending.sent_to_id)
        self._fail(pending)

    def _fail(self, pending: _PendingRequest) -> None:
        pending.answered.errback(
            errors.ServingError(
                kind=errors.ErrorKind.NO_LEASE,
                detail='no control host answered in time',
            )
        )

    def _receive(self, message: object) -> None:
        if isinstance(message, messages.LeaseGranted):
            self._handle_grant(message)
        elif isinstance(message, messages.LeaseNudge):
            self._handle_nudge(message)
        elif isinstance(message, messages.LeaseRefused):
            self._handle_lease_refusal(message)
        elif isinstance(message, messages.ControlRefused):
            self._handle_refusal(message)
        else:
            self._resolve(message)

    def _handle_refusal(self, refusal: messages.ControlRefused) -> None:
        """Resend to a newly named leader at once, else at the next retry."""
        leader_id = refusal.leader_id
        is_other_host = bool(leader_id) and leader_id != self._host_order[0]
        self._update_host_order(leader_id)
        pending = self._pending_requests.get(refusal.request_id)
        if pending is not None and is_other_host:
            self._send_pending(pending)

    def _handle_lease_refusal(self, refusal: messages.LeaseRefused) -> None:
        """Ask a newly named leader at once, if there is no valid lease."""
        self._unanswered_host_id = ''
        is_other_host = refusal.leader_id not in ('', self._host_order[0])
        self._update_host_order(refusal.leader_id)
        if is_other_host and not self._holder.is_valid():
            self.renew_now()

    def _handle_grant(self, grant: messages.LeaseGranted) -> None:
        if self._learns_hosts and grant.control_ids:
            self._listed_ids = frozenset(grant.control_ids)
            self._add_hosts(grant.control_ids)
        version = self._holder.config.state_version
        if self._holder.apply_grant(grant):
            self._renewed_ms = self._process.clock.now_ms()
        if self._holder.config.state_version > version:
            # The next request confirms the new version. Control waits for it
            # before the change counts as in force.
            self.renew_now()

    def _handle_nudge(self, nudge: messages.LeaseNudge) -> None:
        if self._holder.is_behind(nudge):
            self.renew_now()

    def _resolve(self, message: object) -> None:
        pending = self._pending_requests.pop(correlation_id(message), None)
        if pending is not None:
            pending.answered.callback(message)
