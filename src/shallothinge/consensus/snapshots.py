"""Snapshots: compaction of the log and transfer in chunks."""

import attrs

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import state as states

# Of the snapshot's size: entries before it that stay in the log.
KEPT_PART = 0.25


@attrs.define(kw_only=True)
class _IncomingSnapshot:
    """A snapshot that was received in part."""

    index: int
    index_term: int
    total_bytes: int
    data: bytearray = attrs.field(factory=bytearray)

    def matches(self, message: messages.SnapshotChunk) -> bool:
        """Return whether the chunk belongs to this snapshot."""
        return (
            self.index == message.index
            and self.index_term == message.index_term
            and self.total_bytes == message.total_bytes
        )


def compact(*, state: states.NodeState, index: int, data: bytes) -> None:
    """Make ``data`` the snapshot at ``index`` and compact the log.

    The last ``kept_entries`` entries before it remain in the log, but no
    more than ``kept_bytes`` or a part of the snapshot's size, so that a
    replica gets the snapshot where that is shorter.

    :param data: the state of the state machine after the entry at ``index``.
    :raises ValueError: if the entry was not delivered yet, or is not newer
        than the latest snapshot.
    """
    newest_index = state.snapshot.index if state.snapshot else 0
    if not newest_index < index <= state.delivered_index:
        raise ValueError(f'can not take a snapshot at entry {index}')
    state.snapshot = model.Snapshot(
        index=index,
        term=state.log.term_at(index),
        configuration=state.log.configuration_at(index),
        data=data,
    )
    first_kept = state.log.first_within(
        index,
        count=state.timing.kept_entries,
        limit_bytes=max(state.timing.kept_bytes, int(KEPT_PART * len(data))),
    )
    state.log.compact(first_kept - 1)


class SnapshotSender:
    """The leader's side of a snapshot transfer."""

    def __init__(self, *, state: states.NodeState):
        self._state = state

    def send_chunk(self, replica_id: str) -> None:
        """Send the next chunk of the snapshot to a replica.

        A transfer continues with the snapshot that it started with, even if
        the leader has taken a newer one since.
        """
        state = self._state
        progress = state.leadership.progress[replica_id]
        if progress.snapshot is None:
            progress.snapshot = state.snapshot
            progress.offset_bytes = 0
        snapshot = progress.snapshot
        end = progress.offset_bytes + state.timing.chunk_bytes
        state.send(
            messages.SnapshotChunk,
            target_id=replica_id,
            term=state.term,
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            offset_bytes=progress.offset_bytes,
            total_bytes=len(snapshot.data),
            data=snapshot.data[progress.offset_bytes : end],
            round=state.leadership.round,
        )

    def on_answer(self, message: messages.SnapshotAnswer) -> None:
        """Record how much of the snapshot the replica has received."""
        progress = self._state.leadership.progress[message.sender_id]
        snapshot = progress.snapshot
        if snapshot is None or snapshot.index != message.index:
            return
        progress.in_flight = False
        if not message.done:
            progress.offset_bytes = message.offset_bytes
            return
        progress.snapshot = None
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = progress.match_index + 1


class SnapshotReceiver:
    """The follower's side of a snapshot transfer."""

    def __init__(self, *, state: states.NodeState):
        self._state = state
        self._incoming: _IncomingSnapshot | None = None

    def on_chunk(self, now_ms: int, message: messages.SnapshotChunk) -> None:
        """Store a chunk; install the snapshot once it is complete."""
        state = self._state
        if message.term < state.term:
            self._send_answer(message, offset_bytes=0, done=False)
            return
        state.follow(
            now_ms=now_ms, term=message.term, leader_id=message.sender_id
        )
        if message.index <= state.commit_index:
            self._incoming = None
            self._send_answer(message, offset_bytes=0, done=True)
            return
        incoming = self._incoming_for(message)
        if message.offset_bytes == len(incoming.data):
            incoming.data += message.data
        done = len(incoming.data) == message.total_bytes
        self._send_answer(message, offset_bytes=len(incoming.data), done=done)
        if done:
            self._install(message, data=bytes(incoming.data))

    def _incoming_for(
        self, message: messages.SnapshotChunk
    ) -> _IncomingSnapshot:
        if self._incoming is None or not self._incoming.matches(message):
            self._incoming = _IncomingSnapshot(
                index=message.index,
                index_term=message.index_term,
                total_bytes=message.total_bytes,
            )
        return self._incoming

    def _install(self, message: messages.SnapshotChunk, *, data: bytes):
        state = self._state
        self._incoming = None
        state.snapshot = model.Snapshot(
            index=message.index,
            term=message.index_term,
            configuration=message.configuration,
            data=data,
        )
        if state.log.holds(index=message.index, term=message.index_term):
            state.log.compact(message.index)
        else:
            base = model.LogBase(
                index=message.index,
                term=message.index_term,
                configuration=message.configuration,
            )
            state.log.reset(base)
        state.commit_to(message.index)
        state.delivered_index = message.index
        state.installed_snapshot = state.snapshot

    def _send_answer(
        self,
        message: messages.SnapshotChunk,
        *,
        offset_bytes: int,
        done: bool,
    ) -> None:
        self._state.send(
            messages.SnapshotAnswer,
            target_id=message.sender_id,
            term=self._state.term,
            index=message.index,
            offset_bytes=offset_bytes,
            done=done,
            round=message.round,
        )
