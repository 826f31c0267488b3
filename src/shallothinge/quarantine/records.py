"""The quarantines in force and those that were lifted."""

import logging

import attrs

from shallothinge import clock as clocks
from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import moments

LOG = logging.getLogger(__name__)

# Doubled for each probe that crashes a server again.
QUARANTINE_MS = 600_000
MAX_QUARANTINE_MS = 7_200_000
# Other requests with the part are refused for so long while a probe runs.
PROBE_MS = 60_000
# A part that no request has asked for since is forgotten.
FORGET_MS = 86_400_000
# Limit on the quarantined parts, and on the quarantined requests.
MAX_QUARANTINED = 64
# Lifted quarantines are remembered until no peer can repeat them.
LIFTED_TTL_MS = 10_000


@attrs.define(kw_only=True)
class Grounds:
    """The crashes that a quarantine rests on.

    ``needed`` is how many of them, apart from each other, suffice.
    ``is_renewal`` is whether they only renewed a quarantine that had ended.
    """

    sightings: dict[ServerKey, moments.Sighting]
    needed: int
    is_renewal: bool = False

    @property
    def is_enough(self) -> bool:
        """Return whether the crashes still suffice."""
        return moments.count_crashes(self.sightings.values()) >= self.needed

    def add(self, key: ServerKey, at_ms: int) -> None:
        """Add a crash, up to the number that evidence holds."""
        if len(self.sightings) < crash_table.MAX_CRASHES:
            self.sightings.setdefault(key, moments.Sighting(at_ms=at_ms))


@attrs.define(kw_only=True)
class Record:
    """The quarantine of one part.

    ``epoch`` increases with each decision on the part. ``strikes`` counts
    the quarantines without a complete answer between. ``asked_ms`` is when a
    request with the part came last. ``grounds`` is None if a peer decided
    and its evidence is not known here.
    """

    epoch: int
    until_ms: int
    strikes: int
    asked_ms: int
    grounds: Grounds | None = None


@attrs.frozen(kw_only=True)
class _Lifted:
    """A quarantine that was lifted.

    ``is_unfounded`` is whether crashes that it rested on were refuted.
    """

    epoch: int
    at_ms: int
    is_unfounded: bool


class QuarantineRecords:
    """Quarantined parts, by id. Decisions with higher epochs count."""

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._records: dict[str, Record] = {}
        self._lifted: dict[str, _Lifted] = {}

    @property
    def count(self) -> int:
        """Return how many parts are quarantined."""
        return len(self._records) - self.request_count

    @property
    def request_count(self) -> int:
        """Return how many requests are quarantined."""
        return sum(map(fingerprints.is_fingerprint, self._records))

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the ids of quarantined parts and requests, oldest first."""
        return tuple(self._records)

    @property
    def lifted_ids(self) -> tuple[str, ...]:
        """Return the ids of which the quarantine was lifted lately."""
        return tuple(self._lifted)

    def find(self, part_id: str) -> Record | None:
        """Return the quarantine of a part, None if there is none."""
        return self._records.get(part_id)

    def lifted_epoch(self, part_id: str) -> int:
        """Return the epoch in which a quarantine was lifted, or 0."""
        lifted = self._lifted.get(part_id)
        return 0 if lifted is None else lifted.epoch

    def is_unfounded(self, part_id: str) -> bool:
        """Return whether a quarantine was lifted as its evidence was wrong."""
        lifted = self._lifted.get(part_id)
        return lifted is not None and lifted.is_unfounded

    def quarantine(
        self, part_id: str, *, strikes: int, grounds: Grounds
    ) -> None:
        """Begin or renew the quarantine of a part."""
        known = self._records.get(part_id)
        known_epoch = known.epoch if known else 0
        now_ms = self._clock.now_ms()
        for_ms = min(MAX_QUARANTINE_MS, QUARANTINE_MS << min(strikes, 8))
        self._store(
            part_id,
            Record(
                epoch=max(known_epoch, self.lifted_epoch(part_id)) + 1,
                until_ms=now_ms + for_ms,
                strikes=strikes,
                asked_ms=now_ms,
                grounds=grounds,
            ),
        )

    def undo_renewal(self, part_id: str) -> None:
        """Let the next request probe a part: the last probe proved nothing."""
        record = self._records[part_id]
        record.epoch += 1
        record.until_ms = self._clock.now_ms()
        record.strikes = max(0, record.strikes - 1)
        record.grounds = None
        LOG.warning(
            'renewal of a quarantine undone; the crash of its probe was'
            ' refuted',
            extra={'part_id': part_id, 'strikes': record.strikes},
        )

    def start_probe(self, part_id: str) -> None:
        """Refuse others than the probe of a part until it is answered."""
        record = self._records[part_id]
        record.epoch += 1
        record.until_ms = self._clock.now_ms() + PROBE_MS
        LOG.info(
            'quarantine ended; the next request probes the part',
            extra={'part_id': part_id, 'strikes': record.strikes},
        )

    def adopt(self, part_id: str, record: Record) -> bool:
        """Take over a peer's quarantine unless a newer decision is known.

        :returns: whether it was taken over.
        """
        if record.epoch <= self.lifted_epoch(part_id):
            return False
        known = self._records.get(part_id)
        if known is None:
            LOG.info(
                'peer quarantined a %s',
                kind_of(part_id),
                extra={'part_id': part_id, 'epoch': record.epoch},
            )
        elif record.epoch <= known.epoch:
            return False
        self._store(part_id, record)
        return True

    def lift(
        self, part_id: str, epoch: int, *, is_unfounded: bool = False
    ) -> None:
        """End a quarantine.

        :param is_unfounded: whether crashes that it rested on were refuted;
            else a request with the part was answered.
        """
        if epoch > self.lifted_epoch(part_id):
            self._lifted[part_id] = _Lifted(
                epoch=epoch,
                at_ms=self._clock.now_ms(),
                is_unfounded=is_unfounded,
            )
        record = self._records.get(part_id)
        if record is not None and record.epoch <= epoch:
            del self._records[part_id]
            LOG.warning(
                'quarantine of a %s lifted',
                kind_of(part_id),
                extra={
                    'part_id': part_id,
                    'epoch': epoch,
                    'is_unfounded': is_unfounded,
                },
            )

    def remove_expired(self) -> None:
        """Drop what is too old to matter."""
        now_ms = self._clock.now_ms()
        self._lifted = {
            part_id: lifted
            for part_id, lifted in self._lifted.items()
            if lifted.at_ms >= now_ms - LIFTED_TTL_MS
        }
        for part_id, record in list(self._records.items()):
            if record.until_ms < now_ms - FORGET_MS:
                del self._records[part_id]

    def _store(self, part_id: str, record: Record) -> None:
        self._records[part_id] = record
        self._drop_surplus(part_id)

    def _drop_surplus(self, part_id: str) -> None:
        """Drop the quarantine that was needed least recently, if too many.

        Parts and requests are limited separately.

        :param part_id: the newest of its kind.
        """
        is_request = fingerprints.is_fingerprint(part_id)
        others = [
            one
            for one in self._records
            if one != part_id
            and fingerprints.is_fingerprint(one) == is_request
        ]
        if len(others) < MAX_QUARANTINED:
            return
        dropped_id = min(others, key=lambda one: self._records[one].asked_ms)
        del self._records[dropped_id]
        LOG.warning(
            'too many parts are quarantined; one was dropped',
            extra={'part_id': dropped_id, 'limit': MAX_QUARANTINED},
        )


def kind_of(part_id: str) -> str:
    """Return what an id stands for, for the log."""
    if fingerprints.is_fingerprint(part_id):
        return 'request'
    return 'part of prompts'
