"""Log lines on what a gateway decides for one request."""

import logging

from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import model
from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import policy
from shallothinge.placement import choice

LOG = logging.getLogger(__name__)

# A prompt may have a thousand parts; the last ones are the most specific.
MAX_LOGGED_PARTS = 16


class RequestLog:
    """Writes the log lines of one request, and counts its end.

    :ivar identity: log fields that identify the request.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
    ):
        self._parts = parts
        self._request_class = accepted.service.name
        self.identity = {
            'request_id': accepted.request.request_id,
            'route': accepted.route.name,
            'workspace': accepted.workspace,
            'prompt_tokens': accepted.request.prompt_tokens,
        }

    def placed(self, placed: choice.Placement, **fields) -> None:
        """Log the choice of a server and the knowledge it was based on."""
        holder = self._parts.holder
        self._write(
            'request placed',
            server_id=placed.server_id,
            helper_ids=placed.helper_ids,
            reserved_tokens=sum(one.tokens for one in placed.shares),
            expected_ms=round(placed.first_event_ms),
            active=placed.load.active,
            backlog_ms=round(placed.load.backlog_ms),
            report_count=self._parts.load.peer_count,
            report_age_ms=self._parts.load.oldest_report_ms,
            members_epoch=holder.members_epoch,
            members_version=holder.members_version,
            routes_version=holder.config.routes_version,
            lease_ms=holder.remaining_ms,
            **fields,
        )

    def waits_for_read(
        self,
        attempt: attempts.Attempt,
        *,
        read_ends_in_ms: int,
        wait_ms: int,
    ) -> None:
        """Log that a read explains a silence, which may go on for a while."""
        self._write(
            'attempt waits for a read',
            server_id=attempt.server_id,
            read_ends_in_ms=read_ends_in_ms,
            wait_ms=wait_ms,
        )

    def stalled(
        self,
        attempt: attempts.Attempt,
        *,
        no_takeover: policy.NoRetry | None,
        **fields,
    ) -> None:
        """Log a silent server, and why no other may take over from it."""
        self._write(
            'attempt stalled',
            server_id=attempt.server_id,
            sent_after_ms=attempt.sent_after_ms,
            no_takeover=no_takeover and no_takeover.value,
            **fields,
        )

    def overdue(
        self,
        attempt: attempts.Attempt,
        *,
        no_takeover: policy.NoRetry | None,
        **fields,
    ) -> None:
        """Log an overdue answer, and why no other server may be asked."""
        self._write(
            'answer overdue',
            server_id=attempt.server_id,
            sent_after_ms=attempt.sent_after_ms,
            no_takeover=no_takeover and no_takeover.value,
            **fields,
        )

    def failed(
        self,
        attempt: attempts.Attempt,
        outcome: outcomes.Outcome,
        *,
        no_retry: policy.NoRetry | None,
        **fields,
    ) -> None:
        """Log a failed attempt, and why the request is not retried."""
        answer = outcome.answer or attempt.head
        self._write(
            'attempt failed',
            server_id=attempt.server_id,
            cause=outcome.cause.value,
            detail=outcome.detail,
            may_have_run=outcome.may_have_run,
            server_status=answer and answer.status,
            states_unrun=answer and answer.is_not_executed,
            writing_ms=attempt.writing_ms,
            sent_after_ms=attempt.sent_after_ms,
            no_retry=no_retry and no_retry.value,
            **_end_of_answer(attempt),
            **fields,
        )

    def ended(
        self,
        attempt: attempts.Attempt | None,
        *,
        outcome: str,
        first_event_ms: int | None,
        **fields,
    ) -> None:
        """Log the end of the request, and record it in the metrics.

        :param attempt: the one that answered, or else the newest, if any.
        :param first_event_ms: time until the first event, None without one.
        """
        self._parts.metrics.count_request(
            request_class=self._request_class, outcome=outcome
        )
        if first_event_ms is not None:
            self._parts.metrics.record_first_token(
                duration_ms=first_event_ms, request_class=self._request_class
            )
        self._write(
            'request ended',
            server_id=attempt and attempt.server_id,
            sent_after_ms=attempt and attempt.sent_after_ms,
            outcome=outcome,
            first_event_ms=first_event_ms,
            **(_end_of_answer(attempt) if attempt else {}),
            **fields,
        )

    def _write(self, message: str, **fields) -> None:
        LOG.info(message, extra={**self.identity, **fields})


def _end_of_answer(attempt: attempts.Attempt) -> dict[str, object]:
    """Return log fields that tell a whole stream from a torn one."""
    end = attempt.answer_end
    return {
        'answer_end': end and end.value,
        'rest_bytes': attempt.rest_bytes,
    }
