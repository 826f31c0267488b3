"""Replicated state of bundles: submitted, signed off, rolled.

A bundle is rolled only if the version that it replaces is the one in
force. Of two bundles with equal version numbers one wins, and the order
for the other is told which.
"""

import enum

import attrs

from shallothinge.bundles import messages
from shallothinge.bundles.model import Bundle
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages as orders

HISTORY_RECORDS = 1000
SHOWN_HASH_DIGITS = 12


class BundleStatus(enum.Enum):
    """Where a bundle stands."""

    SUBMITTED = 'submitted'
    SIGNED_OFF = 'signed_off'
    IN_FORCE = 'in_force'
    REPLACED = 'replaced'
    SUPERSEDED = 'superseded'


@attrs.frozen(kw_only=True)
class BundleRecord:
    """A bundle with the operators who handled it.

    ``bundle`` and ``content`` are dropped once it is replaced or can't be
    rolled any more.
    """

    version: int
    replaces_version: int
    content_hash: str
    status: BundleStatus
    submitted_by: str
    submitted_ms: int
    signed_off_by: str = ''
    signed_off_ms: int = 0
    rolled_by: str = ''
    rolled_ms: int = 0
    bundle: Bundle | None = None
    content: str = ''

    def describe(self) -> str:
        """Return the version with its hash, as operators see it."""
        return (
            f'version {self.version} '
            f'(hash {self.content_hash[:SHOWN_HASH_DIGITS]})'
        )


def _accepted(order_id: str) -> orders.OrderAnswered:
    return orders.OrderAnswered(order_id=order_id)


def _refused(
    order_id: str, kind: ErrorKind, detail: str
) -> orders.OrderAnswered:
    return orders.OrderAnswered(order_id=order_id, kind=kind, detail=detail)


@attrs.define(kw_only=True)
class BundleStore:
    """All bundles, by the hash of their text."""

    by_hash: dict[str, BundleRecord] = attrs.field(factory=dict)
    in_force_hash: str = ''

    @property
    def in_force(self) -> BundleRecord | None:
        """Return the record of the bundle in force."""
        return self.by_hash.get(self.in_force_hash)

    def accept(
        self, *, command: messages.AcceptBundle, now_ms: int
    ) -> orders.OrderAnswered:
        """Store a submitted bundle.

        :param now_ms: the leader's time, Unix milliseconds.
        """
        known = self.by_hash.get(command.content_hash)
        if known is not None:
            return self._answer_known(known, command)
        replaced = self._version_in_force()
        if command.bundle.replaces_version < replaced:
            return _refused(
                command.order_id,
                ErrorKind.VERSION_CONFLICT,
                f'replaces_version is {command.bundle.replaces_version}, '
                f'but {self._describe_in_force()}',
            )
        self.by_hash[command.content_hash] = BundleRecord(
            version=command.bundle.version,
            replaces_version=command.bundle.replaces_version,
            content_hash=command.content_hash,
            status=BundleStatus.SUBMITTED,
            submitted_by=command.operator,
            submitted_ms=now_ms,
            bundle=command.bundle,
            content=command.content,
        )
        return _accepted(command.order_id)

    def sign_off(
        self, *, order: orders.SignOffBundle, now_ms: int
    ) -> orders.OrderAnswered:
        """Record the sign-off of an operator other than the submitter."""
        record = self.by_hash.get(order.content_hash)
        if record is None:
            return self._unknown(order.order_id, order.content_hash)
        if record.submitted_by == order.operator:
            return _refused(
                order.order_id,
                ErrorKind.FORBIDDEN,
                f'{order.operator} submitted this bundle; '
                'another operator must sign it off',
            )
        if record.status is BundleStatus.SIGNED_OFF:
            return _accepted(order.order_id)
        if record.status is not BundleStatus.SUBMITTED:
            return self._closed(order.order_id, record)
        self.by_hash[order.content_hash] = attrs.evolve(
            record,
            status=BundleStatus.SIGNED_OFF,
            signed_off_by=order.operator,
            signed_off_ms=now_ms,
        )
        return _accepted(order.order_id)

    def roll(
        self, *, order: orders.RollBundle, now_ms: int, index: int
    ) -> orders.OrderAnswered:
        """Put a bundle in force if it replaces the version in force.

        :param index: log index of the order; becomes the state version.
        """
        record = self.by_hash.get(order.content_hash)
        if record is None:
            return self._unknown(order.order_id, order.content_hash)
        if record.status is BundleStatus.SUBMITTED:
            return _refused(
                order.order_id,
                ErrorKind.FORBIDDEN,
                f'{record.describe()} is not signed off by a second operator',
            )
        if record.status is not BundleStatus.SIGNED_OFF:
            return self._closed(order.order_id, record)
        if record.replaces_version != self._version_in_force():
            return _refused(
                order.order_id,
                ErrorKind.VERSION_CONFLICT,
                f'{record.describe()} replaces version '
                f'{record.replaces_version}, but {self._describe_in_force()}',
            )
        self._put_in_force(record, order, now_ms)
        return orders.OrderAnswered(
            order_id=order.order_id, state_version=index
        )

    def _put_in_force(
        self, record: BundleRecord, order: orders.RollBundle, now_ms: int
    ) -> None:
        if self.in_force is not None:
            self._retire(self.in_force, BundleStatus.REPLACED)
        self.by_hash[record.content_hash] = attrs.evolve(
            record,
            status=BundleStatus.IN_FORCE,
            rolled_by=order.operator,
            rolled_ms=now_ms,
        )
        self.in_force_hash = record.content_hash
        waiting = (BundleStatus.SUBMITTED, BundleStatus.SIGNED_OFF)
        for other in list(self.by_hash.values()):
            behind = other.replaces_version < record.version
            if other.status in waiting and behind:
                self._retire(other, BundleStatus.SUPERSEDED)
        self._drop_old_history()

    def _retire(self, record: BundleRecord, status: BundleStatus) -> None:
        self.by_hash[record.content_hash] = attrs.evolve(
            record, status=status, bundle=None, content=''
        )

    def _drop_old_history(self) -> None:
        ended = (BundleStatus.REPLACED, BundleStatus.SUPERSEDED)
        for content_hash, record in list(self.by_hash.items()):
            if len(self.by_hash) <= HISTORY_RECORDS:
                return
            if record.status in ended:
                del self.by_hash[content_hash]

    def _version_in_force(self) -> int:
        return 0 if self.in_force is None else self.in_force.version

    def _describe_in_force(self) -> str:
        record = self.in_force
        if record is None:
            return 'no bundle is in force; use replaces_version = 0'
        return (
            f'{record.describe()} is in force, submitted by '
            f'{record.submitted_by}, rolled by {record.rolled_by}'
        )

    def _answer_known(
        self, known: BundleRecord, command: messages.AcceptBundle
    ) -> orders.OrderAnswered:
        open_statuses = (BundleStatus.SUBMITTED, BundleStatus.SIGNED_OFF)
        if known.status not in open_statuses:
            return self._closed(command.order_id, known)
        if known.submitted_by == command.operator:
            return _accepted(command.order_id)
        return _refused(
            command.order_id,
            ErrorKind.VERSION_CONFLICT,
            f'{known.submitted_by} submitted the same text before',
        )

    def _closed(
        self, order_id: str, record: BundleRecord
    ) -> orders.OrderAnswered:
        return _refused(
            order_id,
            ErrorKind.VERSION_CONFLICT,
            f'{record.describe()} is {record.status.value}; '
            f'{self._describe_in_force()}',
        )

    def _unknown(
        self, order_id: str, content_hash: str
    ) -> orders.OrderAnswered:
        return _refused(
            order_id,
            ErrorKind.NOT_FOUND,
            f'no bundle with hash {content_hash} was submitted',
        )
