"""Linearizable reads, for which a majority confirms the leadership."""

from shallothinge.consensus import model
from shallothinge.consensus import state as states


class Reads:
    """Confirms reads in batches, by one round of heartbeats for each batch."""

    def __init__(self, *, state: states.NodeState):
        self._state = state

    def request(self, read_id: str) -> None:
        """Queue a read; it fails immediately if this replica does not lead.

        The first entry of the leader's term follows all entries that earlier
        leaders committed, so the read waits at least for that entry.
        """
        state = self._state
        leadership = state.leadership
        if leadership is None:
            state.failed_reads.append(read_id)
            return
        read = states.PendingRead(
            read_id=read_id,
            index=max(state.commit_index, leadership.first_index),
            round=leadership.round + 1,
        )
        leadership.reads.append(read)

    def start_round(self) -> bool:
        """Start a heartbeat round if the oldest read needs a new one.

        Reads that arrive during a round wait for the next one.

        :returns: whether heartbeats of a new round must be sent.
        """
        leadership = self._state.leadership
        if leadership is None or not leadership.reads:
            return False
        if leadership.reads[0].round <= leadership.round:
            return False
        leadership.round += 1
        return True

    def confirm(self) -> None:
        """Confirm the reads whose round a majority has acknowledged."""
        leadership = self._state.leadership
        confirmed_round = self._confirmed_round()
        waiting = []
        for read in leadership.reads:
            if read.round <= confirmed_round:
                self._state.confirmed_reads.append(
                    model.ReadConfirmed(read_id=read.read_id, index=read.index)
                )
            else:
                waiting.append(read)
        leadership.reads = waiting

    def _confirmed_round(self) -> int:
        """Return the newest round that a majority has acknowledged."""
        state = self._state
        rounds = []
        for voter in state.configuration.voters:
            if voter == state.replica_id:
                rounds.append(state.leadership.round)
            else:
                progress = state.leadership.progress[voter]
                rounds.append(progress.acked_round)
        rounds.sort(reverse=True)
        return rounds[state.configuration.quorum - 1]
