"""Stand-in for a replica whose disk is full."""

from twisted.internet import defer

from shallothinge.control import pending
from shallothinge.transport import endpoint


class UnavailableReplica:
    """Takes no part in the protocol and fails requests with ``NotLeader``."""

    is_leader = False
    leader_id = ''
    elected_ms = None
    member_ids: tuple[str, ...] = ()
    has_cluster = False

    def start(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    def propose(self, command: bytes) -> defer.Deferred:
        """Refuse a command."""
        return _refused()

    def confirm_read(self) -> defer.Deferred:
        """Refuse a read."""
        return _refused()

    def receive(self, peer: endpoint.Peer, message: object) -> None:
        """Drop a message, so that the other replicas see this one as down."""

    def found(
        self, *, cluster_id: str, member_ids: tuple[str, ...]
    ) -> defer.Deferred:
        """Refuse to found a cluster."""
        return _refused()

    def add_member(self, *, process_id: str) -> defer.Deferred:
        """Refuse to add a member."""
        return _refused()

    def remove_member(self, *, process_id: str) -> defer.Deferred:
        """Refuse to remove a member."""
        return _refused()

    def transfer_leadership(self) -> defer.Deferred:
        """Succeed at once, as there is no leadership to transfer."""
        return defer.succeed(None)

    def quorum(self) -> None:
        """Return None, as nothing is known of the voters."""

    def storage_sizes(self) -> None:
        """Return None, as nothing is stored."""

    def leave(self) -> defer.Deferred:
        """Succeed at once, as there is no vote to give up."""
        return defer.succeed(None)

    def dump(self) -> str:
        """Return why there is no state to show."""
        return 'the disk is full'


def _refused() -> defer.Deferred:
    return defer.fail(pending.NotLeader(leader_id='', detail='disk full'))
