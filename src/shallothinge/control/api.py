"""The interface of the replicated log that the control process uses."""

from typing import Protocol

from twisted.internet import defer

from shallothinge.consensus import quorum
from shallothinge.control import replica_store
from shallothinge.transport import endpoint


class ReplicatedLog(Protocol):
    """One replica of the log.

    ``elected_ms`` is when this host was elected, on its own clock;
    ``member_ids`` are the process ids of the cluster's members.
    """

    is_leader: bool
    leader_id: str
    elected_ms: int | None
    member_ids: tuple[str, ...]

    def propose(self, command: bytes) -> defer.Deferred:
        """Fire with the answer once the command is committed and applied."""

    def confirm_read(self) -> defer.Deferred:
        """Fire once a majority has confirmed that this host still leads.

        State that is read afterwards includes every command that was
        committed before the call.
        """

    def receive(self, peer: endpoint.Peer, message: object) -> None:
        """Handle a message from another control host."""

    def found(
        self, *, cluster_id: str, member_ids: tuple[str, ...]
    ) -> defer.Deferred:
        """Found a cluster of empty hosts; fire once it has a leader."""

    def add_member(self, *, process_id: str) -> defer.Deferred:
        """Add a replica as a learner; fire once it is a voter."""

    def remove_member(self, *, process_id: str) -> defer.Deferred:
        """Remove a replica; fire once the removal is committed."""

    def transfer_leadership(self) -> defer.Deferred:
        """Transfer leadership to another replica."""

    def quorum(self) -> quorum.QuorumView | None:
        """Return the voters and which are heard; None without a replica."""

    def storage_sizes(self) -> replica_store.StoreSizes | None:
        """Return how much is stored; None without a replica."""

    def leave(self) -> defer.Deferred:
        """Give up the vote; fire once the cluster no longer needs it."""

    def dump(self) -> object:
        """Return the replica's state."""
