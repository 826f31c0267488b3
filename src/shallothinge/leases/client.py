"""A process's connections to the control hosts.

Keeps the lease alive and carries requests to whichever control host leads.
"""

import logging

import attrs
from twisted.internet import defer

from shallothinge import errors
from shallothinge import process as processes
from shallothinge.leases import holder as holders
from shallothinge.leases import messages
from shallothinge.settings import model
from shallothinge.transport import link

RENEW_MS = 1000
RETRY_MS = 250
# Without a lease nothing is served, so hosts are asked more often.
URGENT_MS = 100
ASK_RETRY_MS = 400
IDLE_MS = 10_000
# Past an election; below IDLE_MS, as a closed connection tells no silence.
GONE_SILENT_MS = 5000

LOG = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class _Question:
    """A request that has not been answered yet."""

    message: object
    answered: defer.Deferred
    ends_ms: int
    asked_id: str = ''


def id_of(message: object) -> str:
    """Return the id that pairs a request with its answer."""
    for name in ('request_id', 'claim_id', 'order_id'):
        value = getattr(message, name, None)
        if value is not None:
            return value
    return str(getattr(message, 'sequence', ''))


class ControlClient:
    """Renews a lease and asks control, following the leader.

    A host that the settings don't name and that control neither lists nor
    names as the leader is forgotten once it is silent.

    :param hosts: the control hosts of the settings.
    :param holder: the lease to keep, or None for a terminal.
    :param learns_hosts: whether hosts that control names are asked too;
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
        self._questions = {}
        self._addresses = {host.process_id: host.address for host in hosts}
        self._seed_ids = frozenset(self._addresses)
        self._listed_ids: frozenset[str] = frozenset()
        self._named_leader_id = ''
        self._links = {}
        self._used_ms = {}
        self._order = list(self._addresses)
        self._renewed_ms = None
        self._unanswered_id = ''
        self._closed = False
        self._timers = {}

    def start(self) -> None:
        """Begin to renew the lease and to resend open questions."""
        if self._holder is not None:
            self._renew()
        self._resend()

    def close(self) -> None:
        """Stop; open questions fail."""
        self._closed = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        for opened in self._links.values():
            opened.close()
        for question in list(self._questions.values()):
            self._fail(question)
        self._questions.clear()

    def renew_now(self) -> None:
        """Send a lease request at once, for a change that can't wait."""
        if self._holder is not None:
            self._send_renewal()

    def ask(self, message: object, *, timeout_ms: int) -> defer.Deferred:
        """Send a request until a control host answers it.

        The request carries an id and may be resent under it.

        :returns: fires with the answer, or fails with ``ServingError`` of
            kind ``NO_LEASE`` after ``timeout_ms``.
        """
        question = _Question(
            message=message,
            answered=defer.Deferred(),
            ends_ms=self._process.clock.now_ms() + timeout_ms,
        )
        self._questions[id_of(message)] = question
        self._send_question(question)
        return question.answered

    def _send_question(self, question: _Question) -> None:
        if self._send(question.message):
            question.asked_id = self._order[0]

    def _send(self, message: object) -> bool:
        for process_id in self._order:
            self._used_ms[process_id] = self._process.clock.now_ms()
            if self._link_to(process_id).send(message):
                return True
            self._rotate(process_id)
        return False

    def _link_to(self, process_id: str) -> link.Link:
        if process_id not in self._links:
            self._links[process_id] = self._process.connect(
                address=self._addresses[process_id],
                role='control',
                on_message=self._receive,
            )
        return self._links[process_id]

    def _close_idle_links(self) -> None:
        """Keep only the connection to the host that is asked first."""
        unused_since_ms = self._process.clock.now_ms() - IDLE_MS
        for process_id in self._order[1:]:
            used_ms = self._used_ms.get(process_id, unused_since_ms)
            if process_id in self._links and used_ms < unused_since_ms:
                self._links.pop(process_id).close()

    def _rotate(self, process_id: str) -> None:
        """Turn to the next host if this one is asked first."""
        if self._order[0] == process_id:
            self._order = self._order[1:] + self._order[:1]

    def update_seeds(self, process_ids: tuple[str, ...]) -> None:
        """Ask the control hosts that the settings name by now."""
        self._seed_ids = frozenset(process_ids)
        self._learn_hosts(process_ids)

    def _learn_hosts(self, process_ids: tuple[str, ...]) -> None:
        for process_id in process_ids:
            if process_id not in self._addresses:
                self._addresses[process_id] = f'tcp://{process_id}'
                self._order.append(process_id)

    def _forget_gone_hosts(self) -> None:
        kept_ids = {*self._seed_ids, *self._listed_ids, self._named_leader_id}
        for process_id in set(self._links) - kept_ids:
            silent_ms = self._links[process_id].silent_ms
            if silent_ms > GONE_SILENT_MS:
                self._forget(process_id)
                LOG.info(
                    'a control host that is gone is asked no more',
                    extra={'control_id': process_id, 'silent_ms': silent_ms},
                )

    def _forget(self, process_id: str) -> None:
        self._links.pop(process_id).close()
        self._used_ms.pop(process_id, None)
        self._addresses.pop(process_id)
        self._order.remove(process_id)

    def _prefer(self, leader_id: str) -> None:
        if self._learns_hosts:
            self._named_leader_id = leader_id
            self._learn_hosts((leader_id,) if leader_id else ())
        if leader_id in self._addresses:
            self._order.remove(leader_id)
            self._order.insert(0, leader_id)
        else:
            self._order = self._order[1:] + self._order[:1]

    def _renew(self) -> None:
        if self._closed:
            return
        now_ms = self._process.clock.now_ms()
        due_ms = RENEW_MS if self._renewed_ms is not None else 0
        if now_ms - (self._renewed_ms or 0) >= due_ms:
            self._rotate(self._unanswered_id)
            self._send_renewal()
        is_urgent = not self._holder.is_valid()
        self._later(
            min(URGENT_MS, RETRY_MS) if is_urgent else RETRY_MS, self._renew
        )

    def _send_renewal(self) -> None:
        if self._send(self._holder.next_request()):
            self._unanswered_id = self._order[0]

    def _later(self, delay_ms: int, function) -> None:
        # The owner may have closed this client while a question failed.
        if self._closed:
            return
        self._timers[function] = self._reactor.callLater(
            delay_ms / 1000, function
        )

    def _resend(self) -> None:
        if self._closed:
            return
        now_ms = self._process.clock.now_ms()
        for key, question in list(self._questions.items()):
            if now_ms >= question.ends_ms:
                del self._questions[key]
                # A host that is gone takes messages until its silence shows.
                self._rotate(question.asked_id)
                self._fail(question)
            else:
                self._send_question(question)
        self._forget_gone_hosts()
        self._close_idle_links()
        self._later(ASK_RETRY_MS, self._resend)

    def _fail(self, question: _Question) -> None:
        question.answered.errback(
            errors.ServingError(
                kind=errors.ErrorKind.NO_LEASE,
                detail='no control host answered in time',
            )
        )

    def _receive(self, message: object) -> None:
        if isinstance(message, messages.LeaseGranted):
            self._take_grant(message)
        elif isinstance(message, messages.LeaseNudge):
            self._take_nudge(message)
        elif isinstance(message, messages.LeaseRefused):
            self._take_lease_refusal(message)
        elif isinstance(message, messages.ControlRefused):
            self._take_refusal(message)
        else:
            self._answer(message)

    def _take_refusal(self, refusal: messages.ControlRefused) -> None:
        """Ask the leader that was named at once, others after a while."""
        leader_id = refusal.leader_id
        is_new = bool(leader_id) and leader_id != self._order[0]
        self._prefer(leader_id)
        question = self._questions.get(refusal.request_id)
        if question is not None and is_new:
            self._send_question(question)

    def _take_lease_refusal(self, refusal: messages.LeaseRefused) -> None:
        """Ask the leader that was named at once, others after a while."""
        self._unanswered_id = ''
        is_new = refusal.leader_id not in ('', self._order[0])
        self._prefer(refusal.leader_id)
        if is_new and not self._holder.is_valid():
            self.renew_now()

    def _take_grant(self, grant: messages.LeaseGranted) -> None:
        if self._learns_hosts and grant.control_ids:
            self._listed_ids = frozenset(grant.control_ids)
            self._learn_hosts(grant.control_ids)
        version = self._holder.config.state_version
        if self._holder.granted(grant):
            self._renewed_ms = self._process.clock.now_ms()
        if self._holder.config.state_version > version:
            # The next request confirms the change, which others wait for.
            self.renew_now()

    def _take_nudge(self, nudge: messages.LeaseNudge) -> None:
        if self._holder.is_behind(nudge):
            self.renew_now()

    def _answer(self, message: object) -> None:
        question = self._questions.pop(id_of(message), None)
        if question is not None:
            question.answered.callback(message)
