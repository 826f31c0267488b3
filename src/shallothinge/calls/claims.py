"""Replicated claims for calls that run at most once.

A key consists of the workspace, the service and the caller's idempotency
key. A claim is granted to one entry and holds the key until the outcome of
the call is known. A key becomes free again only if its call is known not
to have run. An answer is kept until its record has not changed for the
retention time. A call whose outcome is unknown is kept until the entry
reports the outcome late or an operator resolves it.
"""

import enum
import json

import attrs

from shallothinge.calls import messages
from shallothinge.errors import ErrorKind
from shallothinge.leases.messages import Holder
from shallothinge.operators.messages import OrderAnswered

MAX_PAST_CLAIMS = 16
MAX_WITHDRAWN_CLAIMS = 10_000

ClaimAnswer = (
    messages.ClaimGranted | messages.ClaimRefused | messages.ClaimReplayed
)


class ClaimStatus(enum.Enum):
    """Known state of the call that belongs to a key."""

    FREE = 'free'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Refused:
    """A refused or freed claim, kept to answer a resent request."""

    claim_id: str
    kind: ErrorKind


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """The newest granted claim of a key and its outcome.

    ``claim_index`` is the log index of the claim. ``lapsed`` means that
    the outcome is unknown because the entry's lease expired. ``past``
    holds claims of the key that were refused or freed, oldest first.
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
    """Return the key of a call's record, encoded as a JSON array."""
    return json.dumps([workspace, service, idempotency_key])


@attrs.define(kw_only=True)
class Claims:
    """Claims by key, least recently changed first.

    ``running`` maps the key of each running call to the entry that holds
    it, ``keys`` maps each stored claim id to its key, and ``withdrawn``
    maps each claim id that was withdrawn before its claim arrived to the
    time of the withdrawal, in Unix milliseconds.
    """

    by_key: dict[str, ClaimRecord] = attrs.field(factory=dict)
    running: dict[str, Holder] = attrs.field(factory=dict)
    keys: dict[str, str] = attrs.field(factory=dict)
    withdrawn: dict[str, int] = attrs.field(factory=dict)

    def claim(
        self, *, request: messages.ClaimCall, index: int, now_ms: int
    ) -> ClaimAnswer:
        """Grant a claim, or answer why it is not granted.

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
        repeated = self._answer_resent(record, request)
        if repeated is not None:
            return repeated
        if record.status is ClaimStatus.FREE:
            return self._grant(key, request, index, now_ms, past=record.past)
        return self._refuse(key, record, request)

    def resolve(
        self, *, request: messages.ResolveClaim, now_ms: int
    ) -> messages.ClaimResolved:
        """Record the outcome of a claimed call.

        An outcome for an earlier claim of the key is ignored. An outcome
        with index 0 comes from an entry that never received the answer to
        its claim.
        """
        resolved = messages.ClaimResolved(claim_id=request.claim_id)
        record = self.by_key.get(self.keys.get(request.claim_id, ''))
        if record is None and request.not_run:
            self._withdraw(request.claim_id, now_ms)
        if record is None or record.claim_id != request.claim_id:
            return resolved
        if request.claim_index not in (0, record.claim_index):
            return resolved
        self._apply_outcome(record, request, now_ms)
        return resolved

    def end_holders(self, *, holders: tuple[Holder, ...], now_ms: int) -> None:
        """Mark the running calls of these holders as of unknown outcome."""
        for key, holder in list(self.running.items()):
            if holder in holders:
                self._store(
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
        """Record the outcome that an operator found for an unknown call."""
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
        """Return whether ``prune`` would delete the record of a call."""
        for record in self.by_key.values():
            if record.changed_ms >= before_ms:
                return False
            if _is_ended(record):
                return True
        return False

    def prune(self, *, before_ms: int) -> None:
        """Delete ended calls and withdrawn claims older than a time."""
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
        """Load the records of a snapshot and rebuild ``keys`` from them."""
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
        self._store(
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

    def _answer_resent(
        self, record: ClaimRecord, request: messages.ClaimCall
    ) -> ClaimAnswer | None:
        """Return the answer to a resent claim, or None if the claim is new.

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
        return _answer_from_record(record, request)

    def _refuse(self, key, record, request) -> ClaimAnswer:
        answer = _answer_from_record(record, request)
        if isinstance(answer, messages.ClaimRefused):
            past = Refused(claim_id=request.claim_id, kind=answer.kind)
            self._record_refusal(key, record, past)
        return answer

    def _record_refusal(
        self, key: str, record: ClaimRecord, past: Refused
    ) -> None:
        kept = (*record.past, past)
        for dropped in kept[:-MAX_PAST_CLAIMS]:
            self.keys.pop(dropped.claim_id, None)
        self.keys[past.claim_id] = key
        self.by_key[key] = attrs.evolve(record, past=kept[-MAX_PAST_CLAIMS:])

    def _apply_outcome(self, record, request, now_ms) -> None:
        is_running = record.status is ClaimStatus.RUNNING
        is_lapsed = record.status is ClaimStatus.UNKNOWN and record.lapsed
        if record.status not in (ClaimStatus.RUNNING, ClaimStatus.UNKNOWN):
            return
        if request.answer is not None:
            self._answer(record, request.answer, now_ms)
        elif request.not_run and (is_running or is_lapsed):
            self._free(record, now_ms)
        elif not request.not_run:
            self._store(
                attrs.evolve(
                    record,
                    status=ClaimStatus.UNKNOWN,
                    lapsed=False,
                    changed_ms=now_ms,
                )
            )

    def _answer(self, record, answer, now_ms) -> None:
        self._store(
            attrs.evolve(
                record,
                status=ClaimStatus.ANSWERED,
                answer=answer,
                changed_ms=now_ms,
            )
        )

    def _free(self, record: ClaimRecord, now_ms: int) -> None:
        self._store(
            attrs.evolve(record, status=ClaimStatus.FREE, changed_ms=now_ms)
        )
        key = key_of(
            workspace=record.workspace,
            service=record.service,
            idempotency_key=record.idempotency_key,
        )
        freed = Refused(claim_id=record.claim_id, kind=ErrorKind.STALE_FENCE)
        self._record_refusal(key, self.by_key[key], freed)

    def _store(self, record: ClaimRecord) -> None:
        """Store a record as the most recently changed one."""
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
        if len(self.withdrawn) > MAX_WITHDRAWN_CLAIMS:
            del self.withdrawn[next(iter(self.withdrawn))]


def _is_ended(record: ClaimRecord) -> bool:
    return record.status in (ClaimStatus.FREE, ClaimStatus.ANSWERED)


def _refuse(
    request: messages.ClaimCall, kind: ErrorKind
) -> messages.ClaimRefused:
    return messages.ClaimRefused(claim_id=request.claim_id, kind=kind)


def _answer_from_record(
    record: ClaimRecord, request: messages.ClaimCall
) -> ClaimAnswer:
    """Return the refusal or the stored answer for a key already in use."""
    if record.body_hash != request.body_hash:
        return _refuse(request, ErrorKind.KEY_REUSED)
    if record.status is ClaimStatus.RUNNING:
        return _refuse(request, ErrorKind.CALL_IN_PROGRESS)
    if record.status is ClaimStatus.UNKNOWN:
        return _refuse(request, ErrorKind.OUTCOME_UNKNOWN)
    return messages.ClaimReplayed(
        claim_id=request.claim_id, answer=record.answer
    )
