"""Log lines on the voters, how many are heard, and what one more loss does.

They tell a lost majority from an election that is slow, from a change of
the voters that failed, and from a leader that callers do not find.
"""

from collections.abc import Iterable
import logging

from shallothinge.consensus import messages
from shallothinge.consensus import quorum

LOG = logging.getLogger(__name__)

# What lasts is told again so often that a short excerpt of a log shows it.
REPEAT_MS = 10_000
# More hosts than a cluster has voters; what is beyond is not told.
MAX_ASKING = 16

TOO_FEW = 'no leader: too few voters are heard'
UNDECIDED = 'no leader: the election is undecided'
NO_VOTE = 'no leader is heard, and this host has no vote'


class QuorumLog:
    """Compares what a replica knows of the voters with what was logged.

    At most one line for each change, and one each ``REPEAT_MS`` while
    there is no leader.
    """

    def __init__(self):
        self._told_voters: tuple | None = None
        self._silent_ids: frozenset[str] = frozenset()
        self._losses_borne: int | None = None
        self._leaderless_cause = ''
        self._repeat_due_ms = 0
        self._refused_ms: dict[str, int] = {}
        self._asking_ms: dict[str, int] = {}

    def announced(
        self,
        now_ms: int,
        message: messages.ReplicaAnnounced,
        view: quorum.QuorumView,
    ) -> None:
        """Tell once of a replica that asks to be taken in."""
        replica_id = message.sender_id
        if replica_id in view.voters + view.learners:
            return
        is_known = replica_id in self._asking_ms
        if not is_known and len(self._asking_ms) >= MAX_ASKING:
            return
        self._asking_ms[replica_id] = now_ms
        if is_known:
            return
        LOG.info(
            'a replica asks to be taken in',
            extra={'replica_id': replica_id, 'rejoin': message.rejoin},
        )

    def tick(
        self,
        now_ms: int,
        view: quorum.QuorumView,
        *,
        change_refusals: Iterable[str] = (),
    ) -> None:
        """Log what changed since the last time."""
        self._forget_asking(now_ms, view)
        self._tell_voters(view)
        self._tell_change_refusals(now_ms, view, change_refusals)
        if view.heard is not None:
            self._tell_silence(view)
        elif view.leader_id:
            # Another host leads, and tells whom it hears.
            self._silent_ids = frozenset()
        self._tell_losses(view)
        self._tell_leaderless(now_ms, view)

    def _forget_asking(self, now_ms: int, view: quorum.QuorumView) -> None:
        """Forget replicas that were taken in or ask no more."""
        for replica_id, asked_ms in list(self._asking_ms.items()):
            is_member = replica_id in view.voters + view.learners
            if is_member or now_ms - asked_ms >= REPEAT_MS:
                del self._asking_ms[replica_id]

    def _tell_voters(self, view: quorum.QuorumView) -> None:
        voters = (
            view.voters,
            view.learners,
            view.configuration_index,
            view.is_committed,
        )
        if voters == self._told_voters:
            return
        self._told_voters = voters
        self._refused_ms.clear()
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

    def _tell_change_refusals(
        self, now_ms: int, view: quorum.QuorumView, reasons: Iterable[str]
    ) -> None:
        """Tell each reason once, and again if it was gone for a time."""
        for reason in reasons:
            seen_ms = self._refused_ms.get(reason)
            self._refused_ms[reason] = now_ms
            if seen_ms is None or now_ms - seen_ms >= REPEAT_MS:
                LOG.info(
                    'a change of the voters is refused',
                    extra={
                        'reason': reason,
                        'voters': view.voters,
                        'learners': view.learners,
                        'asking_ids': tuple(self._asking_ms),
                    },
                )

    def _tell_silence(self, view: quorum.QuorumView) -> None:
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

    def _tell_losses(self, view: quorum.QuorumView) -> None:
        """Tell when a leader bears no further loss, and when it does again.

        Without a leader there is a line for that instead.
        """
        if not view.leads:
            self._losses_borne = None
            return
        if view.losses_borne is None:
            return
        former, self._losses_borne = self._losses_borne, view.losses_borne
        if view.losses_borne == 0 and former != 0:
            LOG.warning('no further loss is borne', extra=_counts(view))
        elif former == 0 and view.losses_borne > 0:
            LOG.info('a further loss is borne again', extra=_counts(view))

    def _tell_leaderless(self, now_ms: int, view: quorum.QuorumView) -> None:
        cause = _leaderless_cause(view)
        if cause == self._leaderless_cause and now_ms < self._repeat_due_ms:
            return
        self._leaderless_cause = cause
        if not cause:
            return
        self._repeat_due_ms = now_ms + REPEAT_MS
        LOG.warning(
            cause,
            extra={
                **_counts(view),
                'since_ms': view.leaderless_ms,
                'term': view.term,
                'elections_asked': view.elections_asked,
                'refusals': dict(view.refusals),
                'asking_ids': tuple(self._asking_ms),
            },
        )


def _leaderless_cause(view: quorum.QuorumView) -> str:
    """Return why there is no leader, or '' while it is not known yet."""
    if view.heard is not None and not view.leader_id:
        return TOO_FEW if view.losses_borne < 0 else UNDECIDED
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
