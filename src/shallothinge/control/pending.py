"""Proposals and reads that wait for entries to be committed or applied."""

import attrs
from twisted.internet import defer

from shallothinge import errors


class NotLeader(errors.ServingError):
    """This replica is not the leader; no command was executed.

    :param leader_id: process id of the control host to ask, or ''.
    """

    def __init__(self, *, leader_id: str, detail: str = ''):
        super().__init__(kind=errors.ErrorKind.NOT_LEADER, detail=detail)
        self.leader_id = leader_id


@attrs.frozen(kw_only=True)
class _Proposal:
    """A proposal that was appended to the log and is not committed yet."""

    term: int
    answered: defer.Deferred


@attrs.frozen(kw_only=True)
class _Read:
    """A confirmed read that waits until an entry is applied."""

    index: int
    answered: defer.Deferred


class PendingWork:
    """Holds the Deferreds of the pending proposals and reads of a replica."""

    def __init__(self):
        self._proposals = {}
        self._unconfirmed = {}
        self._confirmed = []
        self._next_read = 0

    @property
    def proposals(self) -> int:
        """Return how many proposals are not committed yet."""
        return len(self._proposals)

    @property
    def reads(self) -> int:
        """Return how many reads are not answered yet."""
        return len(self._unconfirmed) + len(self._confirmed)

    def add_proposal(self, *, index: int, term: int) -> defer.Deferred:
        """Return a Deferred that fires once the entry at an index is applied.

        It fires with the state machine's answer.
        """
        answered = defer.Deferred()
        self._proposals[index] = _Proposal(term=term, answered=answered)
        return answered

    def answer_proposal(self, *, index: int, term: int, answer: bytes):
        """Answer the proposal at an applied index.

        It fails if the entry has another term, that is, if another entry
        was committed in its place.
        """
        proposal = self._proposals.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            proposal.answered.callback(answer)
        else:
            proposal.answered.errback(_unknown_outcome())

    def add_read(self) -> tuple[str, defer.Deferred]:
        """Return the id of a new read and its Deferred."""
        self._next_read += 1
        read_id = str(self._next_read)
        self._unconfirmed[read_id] = defer.Deferred()
        return read_id, self._unconfirmed[read_id]

    def confirm_read(self, *, read_id: str, index: int) -> None:
        """Mark a read as confirmed; it waits until the index is applied."""
        answered = self._unconfirmed.pop(read_id, None)
        if answered is not None:
            self._confirmed.append(_Read(index=index, answered=answered))

    def fail_read(self, *, read_id: str, leader_id: str) -> None:
        """Fail a read that could not be confirmed."""
        answered = self._unconfirmed.pop(read_id, None)
        if answered is not None:
            answered.errback(NotLeader(leader_id=leader_id))

    def answer_reads(self, *, applied_index: int) -> None:
        """Answer the confirmed reads that wait for an index up to this one."""
        due = [one for one in self._confirmed if one.index <= applied_index]
        self._confirmed = [
            one for one in self._confirmed if one.index > applied_index
        ]
        for read in due:
            read.answered.callback(None)

    def fail_all(self, *, leader_id: str) -> None:
        """Fail all pending work after the leadership was lost.

        The outcome of the proposals is unknown, as the next leader may still
        commit them.
        """
        proposals = list(self._proposals.values())
        reads = [one.answered for one in self._confirmed]
        reads.extend(self._unconfirmed.values())
        self._proposals.clear()
        self._confirmed.clear()
        self._unconfirmed.clear()
        for proposal in proposals:
            proposal.answered.errback(_unknown_outcome())
        for answered in reads:
            answered.errback(NotLeader(leader_id=leader_id))


def _unknown_outcome() -> errors.ServingError:
    return errors.ServingError(
        kind=errors.ErrorKind.INTERNAL,
        detail='the leadership was lost; the command may be committed yet',
    )
