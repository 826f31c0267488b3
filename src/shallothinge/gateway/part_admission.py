"""Admission of one request by the quarantine of requests and parts."""

from collections.abc import Callable
import enum

from shallothinge import guard as guards
from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import model
from shallothinge.gateway import notices
from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import policy
from shallothinge.quarantine import state as quarantines


class CrashEvidence(enum.Enum):
    """Whether a failed attempt says that its prompt crashes servers.

    ``LATE`` counts only together with others, as the stream had been written
    for a while. The rest is none: the connection was not closed, or the
    server leaves or is out of service, so that its failures are expected.
    """

    EARLY = 'early'
    LATE = 'late'
    NOT_CLOSED = 'not_closed'
    SERVER_LEAVES = 'server_leaves'


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
        self._crashed_after_ms = 0

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the parts of the prompt and the request's fingerprint."""
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
        admission = self._parts.quarantine.admit(self.part_ids)
        self._is_probe = admission.is_probe
        return admission

    def no_retry_reason(self) -> policy.NoRetry | None:
        """Return why a failed request is not retried, None if it may be."""
        is_blocked = self._is_probe or self._parts.quarantine.is_quarantined(
            self.part_ids
        )
        return policy.NoRetry.QUARANTINED if is_blocked else None

    @guards.guarded
    def on_quarantined(self, part_id: str) -> None:
        """Tell the request if the part is one of its own."""
        if part_id in self.part_ids and not self._is_probe:
            self._on_blocked()

    def record_whole(self, attempt: attempts.Attempt) -> None:
        """Record that the answer was complete.

        The rest of a stream that another server has begun shows nothing if
        it was written for less time than the server that crashed had.
        """
        if (attempt.writing_ms or 0) >= self._crashed_after_ms:
            self._parts.quarantine.record_whole(self.part_ids)

    def record_failure(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> CrashEvidence:
        """Record what may be a crash that a part of the prompt has caused.

        :returns: how it counts.
        """
        if not outcome.is_disconnect:
            return CrashEvidence.NOT_CLOSED
        if not self._parts.servers.is_in_service(attempt.server_id):
            return CrashEvidence.SERVER_LEAVES
        writing_ms = attempt.writing_ms or 0
        is_late = writing_ms >= policy.SETTLED_WRITING_MS
        self._crashed_after_ms = max(self._crashed_after_ms, writing_ms)
        self._parts.quarantine.record_crash(
            key=notices.key_of(attempt.server),
            part_ids=self.part_ids,
            is_late=is_late,
        )
        return CrashEvidence.LATE if is_late else CrashEvidence.EARLY
