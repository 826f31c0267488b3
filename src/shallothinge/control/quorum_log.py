"""Logs the voters, how many are heard, and how many losses are tolerated.

The log lines distinguish a lost majority from a slow election, from a
refused change of the voters, and from a leader that clients can not find.
"""

from collections.abc import Iterable
import logging

from shallothinge.consensus import messages
from shallothinge.consensus import quorum

LOG = logging.getLogger(__name__)

# A lasting condition is logged again at this interval, so that a short
# excerpt of the log shows it.
REPEAT_INTERVAL_MS = 10_000
# Larger than the number of voters of a cluster. Requests of further replicas
# are not logged.
MAX_JOIN_REQUESTS = 16

NO_QUORUM = 'no leader: too few voters are heard'
UNDECIDED = 'no leader: the election is undecided'
NO_VOTE = 'no leader is known, and this host is not a voter'


class QuorumLog:
    """Logs changes in what a replica knows of the voters.

    Each change is logged at most once. The absence of a leader is logged
    again each ``REPEAT_INTERVAL_MS``.
    """

    def __init__(self):
        self._logged_voters: tuple | None = None
        self._silent_ids: frozenset[str] = frozenset()
        self._losses_borne: int | None = None
        self._leaderless_cause = ''
        self._repeat_due_ms = 0
        self._refusal_seen_ms: dict[str, int] = {}
        self._join_requested_ms: dict[str, int] = {}

    def record_announcement(
        self,
        now_ms: int,
        message: messages.ReplicaAnnounced,
        view: quorum.QuorumView,
    ) -> None:
        """Log once that a replica requests to join."""
        replica_id = message.sender_id
        if replica_id in view.voters + view.learners:
            return
        is_known = replica_id in self._join_requested_ms
        if not is_known and len(self._join_requested_ms) >= MAX_JOIN_REQUESTS:
            return
        self._join_requested_ms[replica_id] = now_ms
        if is_known:
            return
        LOG.info(
            'replica requests to join the cluster',
            extra={'replica_id': replica_id, 'rejoin': message.rejoin},
        )

    def tick(
        self,
        now_ms: int,
        view: quorum.QuorumView,
        *,
        change_refusals: Iterable[str] = (),
    ) -> None:
        """Log what changed since the last call."""
        self._expire_join_requests(now_ms, view)
        self._log_voters(view)
        self._log_change_refusals(now_ms, view, change_refusals)
        if view.heard is not None:
            self._log_silence(view)
        elif view.leader_id:
            # Another host leads and logs which voters it hears.
            self._silent_ids = frozenset()
        self._log_losses(view)
        self._log_leaderless(now_ms, view)

    def _expire_join_requests(
        self, now_ms: int, view: quorum.QuorumView
    ) -> None:
        """Forget replicas that have joined or have stopped asking."""
        for replica_id, asked_ms in list(self._join_requested_ms.items()):
            is_member = replica_id in view.voters + view.learners
            if is_member or now_ms - asked_ms >= REPEAT_INTERVAL_MS:
                del self._join_requested_ms[replica_id]

    def _log_voters(self, view: quorum.QuorumView) -> None:
        voters = (
            view.voters,
            view.learners,
            view.configuration_index,
            view.is_committed,
        )
        if voters == self._logged_voters:
            return
        self._logged_voters = voters
        self._refusal_seen_ms.clear()
        LOG.info(
            'voters changed',
            extra={
                'voters': view.voters,
                'learners': view.learners,
                'needed': view.needed,
                'committed': view.is_committed,
                'index': view.configuration_index,
                'term': view.term,
            },
        )

    def _log_change_refusals(
        self, now_ms: int, view: quorum.QuorumView, reasons: Iterable[str]
    ) -> None:
        """Log each reason once, and again if it was absent for a while."""
        for reason in reasons:
            seen_ms = self._refusal_seen_ms.get(reason)
            self._refusal_seen_ms[reason] = now_ms
            if seen_ms is None or now_ms - seen_ms >= REPEAT_INTERVAL_MS:
                LOG.info(
                    'change of the voters refused',
                    extra={
                        'reason': reason,
                        'voters': view.voters,
                        'learners': view.learners,
                        'asking_ids': tuple(self._join_requested_ms),
                    },
                )

    def _log_silence(self, view: quorum.QuorumView) -> None:
        silent_ids = frozenset(one.replica_id for one in view.silent)
        for one in view.silent:
            if one.replica_id not in self._silent_ids:
                LOG.warning(
                    'voter is silent',
                    extra={
                        'replica_id': one.replica_id,
                        'unanswered_ms': one.unanswered_ms,
                        'silent_ms': one.silent_ms,
                        'losses_borne': view.losses_borne,
                        'may_be_cut_off': view.may_be_cut_off,
                    },
                )
        for replica_id in sorted(self._silent_ids - silent_ids):
            if replica_id in view.voters:
                LOG.info(
                    'voter is heard again',
                    extra={
                        'replica_id': replica_id,
                        'losses_borne': view.losses_borne,
                    },
                )
        self._silent_ids = silent_ids

    def _log_losses(self, view: quorum.QuorumView) -> None:
        """Log when the cluster stops or resumes tolerating a voter loss.

        Only the leader logs this. The absence of a leader is logged
        separately.
        """
        if not view.is_leader:
            self._losses_borne = None
            return
        if view.losses_borne is None:
            return
        former, self._losses_borne = self._losses_borne, view.losses_borne
        if view.losses_borne == 0 and former != 0:
            LOG.warning('no further loss is borne', extra=_counts(view))
        elif former == 0 and view.losses_borne > 0:
            LOG.info('a further loss is borne again', extra=_counts(view))

    def _log_leaderless(self, now_ms: int, view: quorum.QuorumView) -> None:
        cause = _leaderless_cause(view)
        if cause == self._leaderless_cause and now_ms < self._repeat_due_ms:
            return
        self._leaderless_cause = cause
        if not cause:
            return
        self._repeat_due_ms = now_ms + REPEAT_INTERVAL_MS
        LOG.warning(
            cause,
            extra={
                **_counts(view),
                'since_ms': view.leaderless_ms,
                'term': view.term,
                'elections_asked': view.elections_asked,
                'refusals': dict(view.refusals),
                'asking_ids': tuple(self._join_requested_ms),
            },
        )


def _leaderless_cause(view: quorum.QuorumView) -> str:
    """Return why there is no leader, or '' if there is one or it is unclear.

    The cause is unclear until every live voter should have been heard.
    """
    if view.heard is not None and not view.leader_id:
        return NO_QUORUM if view.losses_borne < 0 else UNDECIDED
    if view.is_leaderless_for_long and view.replica_id not in view.voters:
        return NO_VOTE
    return ''


def _counts(view: quorum.QuorumView) -> dict[str, object]:
    return {
        'voters': view.voters,
        'needed': view.needed,
        'heard': view.heard,
        'silent': {one.replica_id: one.silent_ms for one in view.silent},
        'unanswered': {
            one.replica_id: one.unanswered_ms for one in view.silent
        },
        'losses_borne': view.losses_borne,
        'may_be_cut_off': view.may_be_cut_off,
    }
