"""Messages between the replicas of the log.

Each names the replica that it is meant for: a process whose disk was lost
is another replica and must not act on messages to its predecessor.
"""

import attrs

from shallothinge.consensus.model import Configuration
from shallothinge.consensus.model import Entry


@attrs.frozen(kw_only=True)
class ReplicaAnnounced:
    """A replica that no leader sends to, to every control host.

    ``rejoin`` asks to replace the former replica of the same process.
    """

    sender_id: str
    rejoin: bool = False


@attrs.frozen(kw_only=True)
class FoundingRequest:
    """A founder to an empty replica that is one of the first voters."""

    cluster_id: str
    sender_id: str
    target_id: str
    founders: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PreVoteRequest:
    """Would you vote for me in this term? Changes no state."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    last_index: int
    last_term: int


@attrs.frozen(kw_only=True)
class PreVoteAnswer:
    """``term`` is the one asked about if granted, else the own one.

    ``reason`` is the value of a ``model.Refusal``, for logs only.
    """

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    granted: bool
    reason: str = ''


@attrs.frozen(kw_only=True)
class VoteRequest:
    """A candidate asks for a vote.

    ``transfer`` is true if the leader asked the candidate to stand.
    """

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    last_index: int
    last_term: int
    transfer: bool = False


@attrs.frozen(kw_only=True)
class VoteAnswer:
    """Answer to ``VoteRequest``; ``reason`` as in ``PreVoteAnswer``."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    granted: bool
    reason: str = ''


@attrs.frozen(kw_only=True)
class AppendRequest:
    """Leader to replica: entries after ``prev_index``, or a heartbeat.

    ``round`` counts the leader's confirmations of its leadership.
    """

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


@attrs.frozen(kw_only=True)
class AppendAnswer:
    """Answer to ``AppendRequest``.

    If accepted the log equals the leader's up to ``match_index``; else the
    leader may try again after ``match_index``. ``prev_index`` repeats the
    request's.
    """

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    accepted: bool
    prev_index: int
    match_index: int
    round: int


@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """Leader to replica: a piece of a snapshot."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    index: int
    index_term: int
    configuration: Configuration
    offset_bytes: int
    total_bytes: int
    data: bytes = attrs.field(repr=False)
    round: int


@attrs.frozen(kw_only=True)
class SnapshotAnswer:
    """Answer to ``SnapshotChunk``: how much of the snapshot is held."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    index: int
    offset_bytes: int
    done: bool
    round: int


@attrs.frozen(kw_only=True)
class TransferRequest:
    """Leader to a voter that holds the whole log: stand for election."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int


@attrs.frozen(kw_only=True)
class LeaveRequest:
    """Voter to leader: this process stops; go on without its vote."""

    cluster_id: str
    sender_id: str
    target_id: str


@attrs.frozen(kw_only=True)
class LeaveAnswer:
    """Answer to ``LeaveRequest``.

    ``settled`` tells that the leader needs nothing more of the voter: its
    removal is committed, or would not help the others.
    """

    cluster_id: str
    sender_id: str
    target_id: str
    settled: bool


MESSAGES = (
    ReplicaAnnounced,
    FoundingRequest,
    PreVoteRequest,
    PreVoteAnswer,
    VoteRequest,
    VoteAnswer,
    AppendRequest,
    AppendAnswer,
    SnapshotChunk,
    SnapshotAnswer,
    TransferRequest,
    LeaveRequest,
    LeaveAnswer,
)
