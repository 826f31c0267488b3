"""Replicated claims of calls that run at most once.

A key is the workspace, the service and the caller's idempotency key. A
claim is granted to one entry and stays until its outcome is known; a key
is free again only when its call surely did not run. Answers are kept until
they have been idle for the retention time; a call whose outcome is unknown
is kept until an operator resolves it.
"""

import enum
import json

import attrs

from shallothinge.calls import messages
from shallothinge.errors import ErrorKind
from shallothinge.leases.messages import Holder
from shallothinge.operators.messages import OrderAnswered

REMEMBERED_CLAIMS = 16
WITHDRAWN_KEPT = 10_000

ClaimAnswer = (
    messages.ClaimGranted | messages.ClaimRefused | messages.ClaimReplayed
)


class ClaimStatus(enum.Enum):
    """What is known of the call of a key."""

    FREE = 'free'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Refused:
    """A claim that was refused, for when it is resent."""

    claim_id: str
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """The newest claim of a key, and how it ended.

    ``claim_index`` is the log index of the claim. ``lapsed`` means that
    the outcome is unknown because the entry's lease ran out. ``past``
    holds earlier claims that were refused or freed.
    """

    workspace: str
    service: str
    idempotency_key: str
    status: ClaimStatus
    body_hash: str
    claim_id: str
    claim_index: int
    holder: Holder
    changed_ms: int
    lapsed: bool = False
    answer: messages.StoredAnswer | None = None
    past: tuple[Refused, ...] = ()


def key_of(*, workspace: str, service: str, idempotency_key: str) -> str:
    """Return the text under which a call's record is kept."""
    return json.dumps([workspace, service, idempotency_key])


@attrs.define(kw_only=True)
class Claims:
    """Claims by key, least recently changed first.

    ``running`` holds the keys of the calls that run now, ``keys`` the key
    of each claim id remembered, ``withdrawn`` the claim ids that were
    given up before they arrived.
    """

    by_key: dict[str, ClaimRecord] = attrs.field(factory=dict)
    running: dict[str, Holder] = attrs.field(factory=dict)
    keys: dict[str, str] = attrs.field(factory=dict)
    withdrawn: dict[str, int] = attrs.field(factory=dict)

    def claim(
        self, *, request: messages.ClaimCall, index: int, now_ms: int
    ) -> ClaimAnswer:
        """Grant the call to one claim, or tell why not.

        :param index: log index of the request.
        :param now_ms: the leader's time, Unix milliseconds.
        """
        key = key_of(
            workspace=request.workspace,
            service=request.service,
            idempotency_key=request.idempotency_key,
        )
        if request.claim_id in self.withdrawn:
            return _refuse(request, ErrorKind.STALE_FENCE)
        record = self.by_key.get(key)
        if record is None:
            return self._grant(key, request, index, now_ms, past=())
        repeated = self._repeat(record, request)
        if repeated is not None:
            return repeated
        if record.status is ClaimStatus.FREE:
            return self._grant(key, request, index, now_ms, past=record.past)
        return self._refuse(key, record, request)

    def resolve(
        self, *, request: messages.ResolveClaim, now_ms: int
    ) -> messages.ClaimResolved:
        """Take the outcome of a claimed call into account.

        An outcome of an earlier claim of the key changes nothing. An
        outcome with index 0 is of an entry that never got the claim's
        answer.
        """
        resolved = messages.ClaimResolved(claim_id=request.claim_id)
        record = self.by_key.get(self.keys.get(request.claim_id, ''))
        if record is None and request.not_run:
            self._withdraw(request.claim_id, now_ms)
        if record is None or record.claim_id != request.claim_id:
            return resolved
        if request.claim_index not in (0, record.claim_index):
            return resolved
        self._settle(record, request, now_ms)
        return resolved

    def end_holders(self, *, holders: tuple[Holder, ...], now_ms: int) -> None:
        """Make the outcome of the holders' running calls unknown."""
        for key, holder in list(self.running.items()):
            if holder in holders:
                self._change(
                    attrs.evolve(
                        self.by_key[key],
                        status=ClaimStatus.UNKNOWN,
                        lapsed=True,
                        changed_ms=now_ms,
                    )
                )

    def resolve_by_operator(
        self, *, order: messages.ResolveUnknownCall, now_ms: int
    ) -> OrderAnswered:
        """End the doubt about a call, as an operator found out."""
        key = key_of(
            workspace=order.workspace,
            service=order.service,
            idempotency_key=order.idempotency_key,
        )
        record = self.by_key.get(key)
        if record is None or record.status is not ClaimStatus.UNKNOWN:
            return OrderAnswered(
                order_id=order.order_id,
                kind=ErrorKind.NOT_FOUND,
                detail='no call with an unknown outcome has this key',
            )
        if order.answer is None:
            self._free(record, now_ms)
        else:
            self._answer(record, order.answer, now_ms)
        return OrderAnswered(order_id=order.order_id)

    def has_idle_since(self, *, before_ms: int) -> bool:
        """Return whether ``prune`` would forget a call."""
        for record in self.by_key.values():
            if record.changed_ms >= before_ms:
                return False
            if _is_ended(record):
                return True
        return False

    def prune(self, *, before_ms: int) -> None:
        """Forget ended calls that have not changed since a time."""
        for key, record in list(self.by_key.items()):
            if record.changed_ms >= before_ms:
                break
            if _is_ended(record):
                del self.by_key[key]
                self.keys.pop(record.claim_id, None)
                for past in record.past:
                    self.keys.pop(past.claim_id, None)
        for claim_id, withdrawn_ms in list(self.withdrawn.items()):
            if withdrawn_ms < before_ms:
                del self.withdrawn[claim_id]

    def restore(self, records: dict[str, ClaimRecord]) -> None:
        """Take the records of a snapshot, and find their claims' keys."""
        self.by_key = records
        self.keys = {}
        for key, record in records.items():
            self.keys[record.claim_id] = key
            for past in record.past:
                self.keys[past.claim_id] = key

    def unknown(self) -> tuple[ClaimRecord, ...]:
        """Return the calls whose outcome is unknown."""
        return tuple(
            record
            for record in self.by_key.values()
            if record.status is ClaimStatus.UNKNOWN
        )

    def _grant(self, key, request, index, now_ms, *, past) -> ClaimAnswer:
        self.keys[request.claim_id] = key
        self._change(
            ClaimRecord(
                workspace=request.workspace,
                service=request.service,
                idempotency_key=request.idempotency_key,
                status=ClaimStatus.RUNNING,
                body_hash=request.body_hash,
                claim_id=request.claim_id,
                claim_index=index,
                holder=Holder(
                    holder_id=request.entry_id,
                    incarnation=request.entry_incarnation,
                ),
                changed_ms=now_ms,
                past=past,
            )
        )
        return messages.ClaimGranted(
            claim_id=request.claim_id, claim_index=index
        )

    def _repeat(
        self, record: ClaimRecord, request: messages.ClaimCall
    ) -> ClaimAnswer | None:
        """Return the answer to a claim that was sent before, or None.

        A grant is repeated only while its claim still holds the key.
        """
        for past in record.past:
            if past.claim_id == request.claim_id:
                return _refuse(request, past.kind)
        if record.claim_id != request.claim_id:
            return None
        if record.status is ClaimStatus.RUNNING:
            return messages.ClaimGranted(
                claim_id=request.claim_id, claim_index=record.claim_index
            )
        return _describe(record, request)

    def _refuse(self, key, record, request) -> ClaimAnswer:
        answer = _describe(record, request)
        if isinstance(answer, messages.ClaimRefused):
            past = Refused(claim_id=request.claim_id, kind=answer.kind)
            self._remember(key, record, past)
        return answer

    def _remember(self, key: str, record: ClaimRecord, past: Refused) -> None:
        kept = (*record.past, past)
        for dropped in kept[:-REMEMBERED_CLAIMS]:
            self.keys.pop(dropped.claim_id, None)
        self.keys[past.claim_id] = key
        self.by_key[key] = attrs.evolve(record, past=kept[-REMEMBERED_CLAIMS:])

    def _settle(self, record, request, now_ms) -> None:
        is_running = record.status is ClaimStatus.RUNNING
        is_lapsed = record.status is ClaimStatus.UNKNOWN and record.lapsed
        if record.status not in (ClaimStatus.RUNNING, ClaimStatus.UNKNOWN):
            return
        if request.answer is not None:
            self._answer(record, request.answer, now_ms)
        elif request.not_run and (is_running or is_lapsed):
            self._free(record, now_ms)
        elif not request.not_run:
            self._change(
                attrs.evolve(
                    record,
                    status=ClaimStatus.UNKNOWN,
                    lapsed=False,
                    changed_ms=now_ms,
                )
            )

    def _answer(self, record, answer, now_ms) -> None:
        self._change(
            attrs.evolve(
                record,
                status=ClaimStatus.ANSWERED,
                answer=answer,
                changed_ms=now_ms,
            )
        )

    def _free(self, record: ClaimRecord, now_ms: int) -> None:
        self._change(
            attrs.evolve(record, status=ClaimStatus.FREE, changed_ms=now_ms)
        )
        key = key_of(
            workspace=record.workspace,
            service=record.service,
            idempotency_key=record.idempotency_key,
        )
        freed = Refused(claim_id=record.claim_id, kind=ErrorKind.STALE_FENCE)
        self._remember(key, self.by_key[key], freed)

    def _change(self, record: ClaimRecord) -> None:
        """Store a changed record as the most recently changed one."""
        key = key_of(
            workspace=record.workspace,
            service=record.service,
            idempotency_key=record.idempotency_key,
        )
        self.by_key.pop(key, None)
        self.by_key[key] = record
        if record.status is ClaimStatus.RUNNING:
            self.running[key] = record.holder
        else:
            self.running.pop(key, None)

    def _withdraw(self, claim_id: str, now_ms: int) -> None:
        self.withdrawn[claim_id] = now_ms
        if len(self.withdrawn) > WITHDRAWN_KEPT:
            del self.withdrawn[next(iter(self.withdrawn))]


def _is_ended(record: ClaimRecord) -> bool:
    return record.status in (ClaimStatus.FREE, ClaimStatus.ANSWERED)


def _refuse(
    request: messages.ClaimCall, kind: ErrorKind
) -> messages.ClaimRefused:
    return messages.ClaimRefused(claim_id=request.claim_id, kind=kind)


def _describe(record: ClaimRecord, request: messages.ClaimCall) -> ClaimAnswer:
    """Return why a claim doesn't get a key that another one holds."""
    if record.body_hash != request.body_hash:
        return _refuse(request, ErrorKind.KEY_REUSED)
    if record.status is ClaimStatus.RUNNING:
        return _refuse(request, ErrorKind.CALL_IN_PROGRESS)
    if record.status is ClaimStatus.UNKNOWN:
        return _refuse(request, ErrorKind.OUTCOME_UNKNOWN)
    return messages.ClaimReplayed(
        claim_id=request.claim_id, answer=record.answer
    )
