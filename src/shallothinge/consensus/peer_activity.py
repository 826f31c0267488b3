"""Diagnostics on other replicas: last contact and refusals.

The protocol takes no decision from them.
"""

from shallothinge.consensus import model


class PeerActivity:
    """What a replica has observed of the others, for logs and metrics.

    ``last_heard_ms`` maps each replica of the configuration to the time of
    its last message. ``campaigning_since_ms`` is since when this replica
    has had a vote but known no leader. ``refusals`` maps each voter that
    refused the last vote requested of it to its reason.
    ``change_refusals`` are the reasons why configuration changes were
    refused since the set was last cleared.
    """

    def __init__(self):
        self.started_ms: int | None = None
        self.leaderless_since_ms: int | None = None
        self.campaigning_since_ms: int | None = None
        self.elections_asked = 0
        self.last_heard_ms: dict[str, int] = {}
        self.refusals: dict[str, str] = {}
        self.change_refusals: set[str] = set()

    def tick(self, now_ms: int, *, leader_id: str, is_voter: bool) -> None:
        """Record since when no leader is known."""
        if self.started_ms is None:
            self.started_ms = now_ms
        if leader_id:
            self.leaderless_since_ms = None
            self.elections_asked = 0
            self.refusals.clear()
        elif self.leaderless_since_ms is None:
            self.leaderless_since_ms = now_ms
        if leader_id or not is_voter:
            self.campaigning_since_ms = None
        elif self.campaigning_since_ms is None:
            self.campaigning_since_ms = now_ms

    def record_message(
        self, now_ms: int, sender_id: str, configuration: model.Configuration
    ) -> None:
        """Record the time of a message.

        Only members of the configuration are kept, which bounds the memory.
        """
        if sender_id not in configuration.replicas:
            return
        if sender_id not in self.last_heard_ms:
            for stale in set(self.last_heard_ms) - set(configuration.replicas):
                del self.last_heard_ms[stale]
        self.last_heard_ms[sender_id] = now_ms

    def record_vote_answer(
        self, voter_id: str, *, granted: bool, reason: str, voters: tuple
    ) -> None:
        """Record a voter's answer to a request for its vote.

        :param reason: why it was refused; '' from a release without reasons.
        """
        if granted:
            self.refusals.pop(voter_id, None)
        elif voter_id in voters:
            self.refusals[voter_id] = reason
