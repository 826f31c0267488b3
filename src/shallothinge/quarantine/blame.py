"""Decides what is to blame for crashes: a request, or a part of prompts."""

from collections.abc import Iterable

from shallothinge.membership.model import ServerKey
from shallothinge.quarantine import evidence as evidences
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import records
from shallothinge.quarantine import suspicion as suspicions


class Blame:
    """Judges by the evidence and by what is quarantined already."""

    def __init__(
        self,
        *,
        evidence: evidences.Evidence,
        quarantined: records.QuarantineRecords,
    ):
        self._evidence = evidence
        self._quarantined = quarantined

    def find_suspicions(
        self, part_ids: Iterable[str]
    ) -> list[suspicions.Suspicion]:
        """Return the suspicions that suffice for a quarantine.

        Crashes under a quarantined part are no evidence against others, and
        those under a quarantined request none against other requests.
        """
        quarantined_ids = frozenset(self._quarantined.ids)
        parts = _without_requests(quarantined_ids)
        found = (
            self._evidence.suspicion(
                part_id,
                explained_by=(
                    quarantined_ids
                    if fingerprints.is_fingerprint(part_id)
                    else parts
                ),
            )
            for part_id in part_ids
            if part_id not in quarantined_ids
            and self._evidence.crash_count(part_id)
            >= suspicions.CRASHES_TO_BLAME
        )
        return [one for one in found if one is not None and one.is_enough]

    def find_culprit(
        self, found: list[suspicions.Suspicion]
    ) -> suspicions.Suspicion | None:
        """Return the worst suspicion, None if it is not settled.

        Crashes under one request speak against this request alone. A part is
        to blame if the crashes under other requests suffice, or if too many
        requests would have to be to blame.
        """
        requests = [one for one in found if one.is_of_request]
        blamed_ids = frozenset(one.part_id for one in requests)
        parts = [
            one
            for one in found
            if not one.is_of_request
            and self._is_common_cause(one.part_id, blamed_ids)
        ]
        if parts:
            return max(parts, key=lambda one: one.rank)
        return _find_worst_request(requests)

    def upholds(self, part_id: str, crashed: Iterable[ServerKey]) -> bool:
        """Return whether crashes still speak against a quarantined part.

        What was blamed because of enough crashes may now be blamed on one
        request.

        :param crashed: the crashes that are left.
        """
        if fingerprints.is_fingerprint(part_id) or not all(
            map(self._evidence.has_crash, crashed)
        ):
            return True
        others = _without_requests(frozenset(self._quarantined.ids)) - {
            part_id
        }
        requests = filter(
            fingerprints.is_fingerprint, self._evidence.parts_beside(part_id)
        )
        found = (
            self._evidence.suspicion(request, explained_by=others)
            for request in requests
        )
        blamed_ids = frozenset(
            one.part_id for one in found if one is not None and one.is_enough
        )
        return self._is_common_cause(part_id, blamed_ids)

    def _is_common_cause(
        self, part_id: str, blamed_ids: frozenset[str]
    ) -> bool:
        """Return whether crashes speak against a part, not its requests.

        :param blamed_ids: requests against which enough crashes speak.
        """
        quarantined_ids = frozenset(self._quarantined.ids) - {part_id}
        unexplained = self._evidence.suspicion(
            part_id, explained_by=quarantined_ids | blamed_ids
        )
        if unexplained is not None and unexplained.is_enough:
            return True
        return self._evidence.has_many_requests(
            part_id, explained_by=_without_requests(quarantined_ids)
        )


def _without_requests(part_ids: frozenset[str]) -> frozenset[str]:
    return frozenset(
        one for one in part_ids if not fingerprints.is_fingerprint(one)
    )


def _find_worst_request(
    requests: list[suspicions.Suspicion],
) -> suspicions.Suspicion | None:
    """Return the request at most crashes, None if two share as many.

    One of two is blamed nevertheless if they are always together.
    """
    if not requests:
        return None
    *others, worst = sorted(requests, key=lambda one: one.crashes)
    is_alone = not any(
        one.crashes == worst.crashes
        and not one.sightings.keys().isdisjoint(worst.sightings)
        for one in others
    )
    needed = evidences.CRASHES_TO_BLAME_ONE_OF_TWO
    return worst if is_alone or worst.crashes >= needed else None
