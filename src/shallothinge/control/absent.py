"""What stands for a replica while its disk is full."""

from twisted.internet import defer

from shallothinge.control import pending
from shallothinge.transport import endpoint


class AbsentReplica:
    """Takes part in nothing: refuses what it is asked as not led here."""

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
        """Drop a message; to the other replicas this one is down."""

    def found(
        self, *, cluster_id: str, member_ids: tuple[str, ...]
    ) -> defer.Deferred:
        """Refuse to found."""
        return _refused()

    def add_member(self, *, process_id: str) -> defer.Deferred:
        """Refuse a change of the members."""
        return _refused()

    def remove_member(self, *, process_id: str) -> defer.Deferred:
        """Refuse a change of the members."""
        return _refused()

    def transfer_leadership(self) -> defer.Deferred:
        """Have nothing to hand over."""
        return defer.succeed(None)

    def quorum(self) -> None:
        """Know nothing of the voters: no replica takes part here."""

    def leave(self) -> defer.Deferred:
        """Have no vote to give up."""
        return defer.succeed(None)

    def dump(self) -> str:
        """Return why there is nothing to show."""
        return 'the disk is full'


def _refused() -> defer.Deferred:
    return defer.fail(pending.NotLeader(leader_id='', detail='disk full'))
