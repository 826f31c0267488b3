"""What the control process needs of the replicated log."""

from typing import Protocol

from twisted.internet import defer

from shallothinge.transport import endpoint


class StateMachine(Protocol):
    """What the replicated log drives."""

    def apply(self, *, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""


class ReplicatedLog(Protocol):
    """One replica of the log.

    ``elected_ms`` is when this host was elected, on its own clock.
    """

    is_leader: bool
    leader_id: str
    elected_ms: int

    def propose(self, command: bytes) -> defer.Deferred:
        """Fire with the answer once the command is committed and applied."""

    def confirm_read(self) -> defer.Deferred:
        """Fire once a majority confirmed that this host still leads.

        The state read after it holds all that was committed before the
        call.
        """

    def receive(self, peer: endpoint.Peer, message: object) -> None:
        """Take a message of another control host."""

    def found(self, cluster_id: str, member_ids: tuple[str, ...]) -> None:
        """Found a cluster on an empty host."""

    def add_member(self, process_id: str) -> defer.Deferred:
        """Add a replica, first without a vote."""

    def remove_member(self, process_id: str) -> defer.Deferred:
        """Remove a replica."""

    def transfer_leadership(self) -> defer.Deferred:
        """Hand leadership to another replica."""

    def dump(self) -> object:
        """Return the replica's state."""
