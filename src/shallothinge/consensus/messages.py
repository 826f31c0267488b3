"""Messages between the replicas of the log.

Each message but ``ReplicaAnnounced`` names its target replica. A process
that lost its disk is a new replica, and must not act on messages to its
predecessor.
"""

import attrs

from shallothinge.consensus.model import Configuration
from shallothinge.consensus.model import Entry


@attrs.frozen(kw_only=True)
class ReplicaAnnounced:
    """Sent to every control host by a replica that no leader contacts.

    ``rejoin`` asks to replace the former replica of the same process.
    """

    sender_id: str
    rejoin: bool = False


@attrs.frozen(kw_only=True)
class FoundingRequest:
    """Sent by a founder to an empty replica that is an initial voter."""

    cluster_id: str
    sender_id: str
    target_id: str
    founders: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PreVoteRequest:
    """Asks whether a voter would grant its vote; changes no state."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    last_index: int
    last_term: int


@attrs.frozen(kw_only=True)
class PreVoteAnswer:
    """Answer to ``PreVoteRequest``.

    ``term`` is the requested term if granted, else the voter's own term.
    ``reason`` is the value of a ``model.Refusal``, used only in logs.
    """

    cluster_id: str
    sender_id: str
    target_id: str
    term: int
    granted: bool
    reason: str = ''


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Sent by a candidate to request a vote.

    ``transfer`` is true if the leader is transferring leadership to the
    candidate.
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
    """Sent by the leader: entries after ``prev_index``, or a heartbeat.

    ``round`` numbers the rounds in which the leader confirms its leadership.
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

    If accepted, the log matches the leader's up to ``match_index``.
    Otherwise the leader may retry with the entries after ``match_index``.
    ``prev_index`` is copied from the request.
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
    """Sent by the leader: one chunk of a snapshot."""

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
    """Answer to ``SnapshotChunk``: how much of the snapshot was received."""

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
    """Sent by the leader to a caught-up voter: start an election now."""

    cluster_id: str
    sender_id: str
    target_id: str
    term: int


@attrs.frozen(kw_only=True)
class LeaveRequest:
    """Sent by a voter whose process is stopping, to give up its vote."""

    cluster_id: str
    sender_id: str
    target_id: str


@attrs.frozen(kw_only=True)
class LeaveAnswer:
    """Answer to ``LeaveRequest``.

    ``settled`` means that the leader needs nothing more of the voter: its
    removal is committed, or would not benefit the other voters.
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
