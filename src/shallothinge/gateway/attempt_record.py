"""The attempts of one request, and whether there may be another one."""

from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import fault_attribution
from shallothinge.gateway import hedging
from shallothinge.gateway import model
from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import part_admission
from shallothinge.gateway import policy
from shallothinge.gateway import running_attempts
from shallothinge.routes import model as routes


class AttemptRecord:
    """Attempts that run or have failed, and what they leave to be tried.

    :param deadline_ms: instant of the request's deadline.
    :ivar running: the attempts under way.
    :ivar progress: outcome of the others.
    :ivar failed_ms: instant of the last failure, 0 before the first one.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
        admission: part_admission.PartAdmission,
        deadline_ms: int,
    ):
        self._parts = parts
        self._route = accepted.route
        self._is_stream = accepted.route.kind is routes.RequestKind.STREAMING
        self._admission = admission
        self._deadline_ms = deadline_ms
        self._tried_ids: set[str] = set()
        self.running = running_attempts.RunningAttempts()
        self.progress = policy.Progress()
        self.failed_ms = 0

    @property
    def remaining_ms(self) -> int:
        """Return the time left until the deadline."""
        return self._deadline_ms - self._parts.clock.now_ms()

    @property
    def tried_ids(self) -> frozenset[str]:
        """Return the servers that the request is not sent to again."""
        return frozenset(self._tried_ids)

    @property
    def sent_count(self) -> int:
        """Return at how many servers the request runs or may have run."""
        return self.progress.sent + len(self.running)

    @property
    def may_have_run(self) -> bool:
        """Return whether a server runs the request or may have run it."""
        return self.progress.may_have_run or bool(self.running)

    def add(self, attempt: attempts.Attempt) -> None:
        """Add an attempt that starts."""
        self._tried_ids.add(attempt.server_id)
        self.running.add(attempt)

    def cancel(self, *, kept: attempts.Attempt | None = None) -> None:
        """Cancel the attempts but one; servers may have run them already."""
        count = self.running.cancel_all(kept=kept)
        self.progress = self.progress.after_runs(count)

    def no_takeover_reason(self) -> policy.NoRetry | None:
        """Return why no other server may take over from a silent one."""
        if self.running.is_full:
            return policy.NoRetry.RUNNING
        return policy.no_retry_reason(
            route=self._route,
            progress=self.progress.after_runs(len(self.running)),
            remaining_ms=self.remaining_ms - self._min_answer_ms(),
        )

    def _min_answer_ms(self) -> int:
        """Return the time that a second server needs, 0 for streams."""
        if self._is_stream:
            return 0
        return hedging.min_answer_ms(
            route=self._route,
            estimate=self._parts.answer_times.estimate(self._route.name),
        )

    @property
    def has_takeover_credit(self) -> bool:
        """Return whether the retry budget covers a takeover."""
        if self._is_stream:
            return self._parts.budget.has_credit
        return self._parts.budget.has_hedge_credit

    def count_takeover(self) -> None:
        """Take the credit of a takeover that starts, and count it."""
        if self._is_stream:
            self._parts.budget.take()
        else:
            self._parts.budget.take_hedge()
            self._parts.metrics.count_hedge()
        self._parts.metrics.count_retry()

    def record_failure(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> part_admission.CrashEvidence:
        """Record a failed attempt, and which server or prompt is at fault.

        :returns: whether it is evidence that the prompt crashes servers.
        """
        self.running.remove(attempt)
        self.failed_ms = self._parts.clock.now_ms()
        self.progress = self.progress.after_failure(
            was_sent=outcome.was_sent, may_have_run=outcome.may_have_run
        )
        fault_attribution.record_failure(
            server_id=attempt.server_id,
            outcome=outcome,
            servers=self._parts.servers,
            tried_ids=self._tried_ids,
        )
        return self._admission.record_failure(attempt, outcome)

    def take_retry(self, *, was_sent: bool) -> policy.NoRetry | None:
        """Return why the request is not retried, None if it is.

        The budget counts requests that reach servers, so an attempt that was
        not sent leaves what it took to the next one.
        """
        if self.running:
            if not was_sent:
                self._parts.budget.refund()
            return policy.NoRetry.RUNNING
        refusal = self._admission.no_retry_reason() or policy.no_retry_reason(
            route=self._route,
            progress=self.progress,
            remaining_ms=self.remaining_ms,
        )
        if refusal is None and was_sent and not self._parts.budget.take():
            return policy.NoRetry.BUDGET
        return refusal
