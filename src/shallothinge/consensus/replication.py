"""Log replication, and the commit index that follows from it."""

from shallothinge.consensus import messages
from shallothinge.consensus import model
from shallothinge.consensus import snapshots
from shallothinge.consensus import state as states
from shallothinge.consensus.model import Role


class Replication:
    """Sends log entries as leader and appends them as follower."""

    def __init__(
        self,
        *,
        state: states.NodeState,
        snapshot_sender: snapshots.SnapshotSender,
    ):
        self._state = state
        self._snapshot_sender = snapshot_sender

    def append(
        self,
        *,
        kind: model.EntryKind,
        data: bytes = b'',
        configuration: model.Configuration | None = None,
    ) -> model.Proposed:
        """Append an entry as leader; ``send_due`` replicates it."""
        state = self._state
        entry = model.Entry(
            index=state.log.last_index + 1,
            term=state.term,
            kind=kind,
            data=data,
            configuration=configuration,
        )
        state.append(entry)
        self.advance_commit()
        return model.Proposed(index=entry.index, term=entry.term)

    def send_due(self, now_ms: int) -> None:
        """Send new entries, or a heartbeat, to each replica that is due."""
        if self._state.role is not Role.LEADER:
            return
        for replica_id, progress in self._state.leadership.progress.items():
            if self._is_due(now_ms, progress):
                self.send_to(now_ms, replica_id)

    def send_to(self, now_ms: int, replica_id: str) -> None:
        """Send one replica the next entries, or the next snapshot chunk."""
        state = self._state
        progress = state.leadership.progress[replica_id]
        progress.last_sent_ms = now_ms
        progress.in_flight = True
        if progress.next_index <= state.log.base.index:
            self._snapshot_sender.send_chunk(replica_id)
            return
        entries = state.log.batch(
            progress.next_index, limit_bytes=state.timing.batch_bytes
        )
        progress.last_sent_index = progress.next_index - 1 + len(entries)
        self._send_entries(replica_id, entries)

    def send_round(self, now_ms: int) -> None:
        """Send a heartbeat with the current round number to all replicas.

        Entries that are in flight are not sent again. A replica that needs
        a snapshot gets the round number with the next chunk.
        """
        base_index = self._state.log.base.index
        for replica_id, progress in self._state.leadership.progress.items():
            if not progress.in_flight:
                self.send_to(now_ms, replica_id)
            elif progress.next_index > base_index:
                self._send_entries(replica_id, ())

    def on_append_request(
        self, now_ms: int, message: messages.AppendRequest
    ) -> None:
        """Append the leader's entries if the entry before them matches."""
        state = self._state
        if message.term < state.term:
            self._send_answer(message, accepted=False, match_index=0)
            return
        state.follow(
            now_ms=now_ms, term=message.term, leader_id=message.sender_id
        )
        if not self._has_previous_entry(message):
            hint = self._retry_hint(message.prev_index)
            self._send_answer(message, accepted=False, match_index=hint)
            return
        self._append_entries(message.entries)
        match_index = message.prev_index + len(message.entries)
        state.commit_to(min(message.commit_index, match_index))
        self._send_answer(message, accepted=True, match_index=match_index)

    def on_append_answer(
        self, now_ms: int, message: messages.AppendAnswer
    ) -> None:
        """Update the match index and next index of a replica."""
        state = self._state
        progress = state.leadership.progress[message.sender_id]
        if message.accepted:
            progress.match_index = max(
                progress.match_index, message.match_index
            )
            progress.next_index = progress.match_index + 1
            if progress.match_index >= progress.last_sent_index:
                progress.in_flight = False
            self.advance_commit()
        elif message.prev_index == progress.next_index - 1:
            hint = min(message.match_index, state.log.last_index)
            progress.next_index = max(progress.match_index, hint) + 1
            progress.in_flight = False

    def advance_commit(self) -> None:
        """Advance the commit index to what a majority has stored.

        Only an entry of the current term is committed by counting replicas.
        Entries of earlier terms are committed only along with it: until then
        a new leader could replace them.
        """
        state = self._state
        match_indexes = []
        for voter in state.configuration.voters:
            if voter == state.replica_id:
                match_indexes.append(state.log.last_index)
            else:
                match_indexes.append(
                    state.leadership.progress[voter].match_index
                )
        match_indexes.sort(reverse=True)
        index = match_indexes[state.configuration.quorum - 1]
        if index <= state.commit_index:
            return
        if state.log.term_at(index) == state.term:
            state.commit_to(index)

    def _send_entries(
        self, replica_id: str, entries: tuple[model.Entry, ...]
    ) -> None:
        state = self._state
        prev_index = state.leadership.progress[replica_id].next_index - 1
        state.send(
            messages.AppendRequest,
            target_id=replica_id,
            term=state.term,
            prev_index=prev_index,
            prev_term=state.log.term_at(prev_index),
            entries=entries,
            commit_index=state.commit_index,
            round=state.leadership.round,
        )

    def _is_due(self, now_ms: int, progress: states.Progress) -> bool:
        state = self._state
        if progress.last_sent_ms is None:
            return True
        if now_ms - progress.last_sent_ms >= state.timing.heartbeat_ms:
            return True
        return (
            not progress.in_flight
            and progress.next_index <= state.log.last_index
        )

    def _has_previous_entry(self, message: messages.AppendRequest) -> bool:
        log = self._state.log
        if message.prev_index < log.base.index:
            return True
        return log.holds(index=message.prev_index, term=message.prev_term)

    def _retry_hint(self, prev_index: int) -> int:
        """Return the index after which the leader retries.

        All entries of the conflicting term are skipped at once.
        """
        log = self._state.log
        if prev_index > log.last_index:
            return log.last_index
        return log.first_index_of_term_at(prev_index) - 1

    def _append_entries(self, entries: tuple[model.Entry, ...]) -> None:
        state = self._state
        for entry in entries:
            if entry.index <= state.log.base.index:
                continue
            if state.log.holds(index=entry.index, term=entry.term):
                continue
            if entry.index <= state.log.last_index:
                self._truncate_from(entry.index)
            state.append(entry)

    def _truncate_from(self, index: int) -> None:
        state = self._state
        if index <= state.commit_index:
            raise RuntimeError(
                f'the leader would overwrite committed entry {index}'
            )
        state.log.truncate_from(index)

    def _send_answer(
        self,
        message: messages.AppendRequest,
        *,
        accepted: bool,
        match_index: int,
    ) -> None:
        self._state.send(
            messages.AppendAnswer,
            target_id=message.sender_id,
            term=self._state.term,
            accepted=accepted,
            prev_index=message.prev_index,
            match_index=match_index,
            round=message.round,
        )
