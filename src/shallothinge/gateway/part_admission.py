"""Admission of one request by the quarantine of requests and parts."""

from collections.abc import Callable

from shallothinge import guard as guards
from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import model
from shallothinge.gateway import notices
from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import policy
from shallothinge.quarantine import state as quarantines


class PartAdmission:
    """Keeps a request that is quarantined, or has such parts, from servers.

    It also tells the quarantine what became of the request.

    :param guard: guard of the request's steps.
    :param on_blocked: called when a part of the prompt has been quarantined.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
        guard: guards.RequestGuard,
        on_blocked: Callable[[], None],
    ):
        self._parts = parts
        self._accepted = accepted
        self._guard = guard
        self._on_blocked = on_blocked
        self._is_probe = False

    @property
    def _part_ids(self) -> tuple[str, ...]:
        return *self._accepted.request.part_ids, self._accepted.fingerprint

    def start(self) -> None:
        """Watch for parts that are quarantined while the request lasts."""
        self._parts.quarantine.watch(self)

    def end(self) -> None:
        """Stop watching."""
        self._parts.quarantine.unwatch(self)

    def admit(self) -> quarantines.Admission:
        """Return whether the request may be sent to a server now."""
        if self._is_probe:
            return quarantines.ADMITTED
        admission = self._parts.quarantine.admit(self._part_ids)
        self._is_probe = admission.is_probe
        return admission

    def no_retry_reason(self) -> policy.NoRetry | None:
        """Return why a failed request is not retried, None if it may be."""
        is_blocked = self._is_probe or self._parts.quarantine.is_quarantined(
            self._part_ids
        )
        return policy.NoRetry.QUARANTINED if is_blocked else None

    @guards.guarded
    def on_quarantined(self, part_id: str) -> None:
        """Tell the request if the part is one of its own."""
        if part_id in self._part_ids and not self._is_probe:
            self._on_blocked()

    def record_whole(self) -> None:
        """Record that the answer was complete."""
        self._parts.quarantine.record_whole(self._part_ids)

    def record_failure(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> None:
        """Record what may be a crash that a part of the prompt has caused.

        The failures of a server that leaves or is out of service are
        expected, and a stream that was being written has not caused one.
        """
        writing_ms = attempt.writing_ms
        is_settled = (
            writing_ms is not None and writing_ms >= policy.SETTLED_WRITING_MS
        )
        is_expected = not self._parts.servers.is_in_service(attempt.server_id)
        if outcome.is_disconnect and not is_settled and not is_expected:
            self._parts.quarantine.record_crash(
                key=notices.key_of(attempt.server), part_ids=self._part_ids
            )
