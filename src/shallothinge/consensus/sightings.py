"""Who was heard lately and who refused; decides nothing, shows why."""

from shallothinge.consensus import model


class Sightings:
    """What a replica noticed of the others, to be shown in logs.

    ``heard_ms`` tells when a replica of the configuration sent its last
    message, and ``asking_since_ms`` since when this replica may ask for
    votes and knows no leader. ``refusals`` are the voters that refused the
    last vote that they were asked for, and why. ``change_refusals`` are the
    reasons for which changes of the configuration were refused since they
    were taken.
    """

    def __init__(self):
        self.started_ms: int | None = None
        self.leaderless_since_ms: int | None = None
        self.asking_since_ms: int | None = None
        self.elections_asked = 0
        self.heard_ms: dict[str, int] = {}
        self.refusals: dict[str, str] = {}
        self.change_refusals: set[str] = set()

    def tick(self, now_ms: int, *, leader_id: str, is_voter: bool) -> None:
        """Note since when no leader is known."""
        if self.started_ms is None:
            self.started_ms = now_ms
        if leader_id:
            self.leaderless_since_ms = None
            self.elections_asked = 0
            self.refusals.clear()
        elif self.leaderless_since_ms is None:
            self.leaderless_since_ms = now_ms
        if leader_id or not is_voter:
            self.asking_since_ms = None
        elif self.asking_since_ms is None:
            self.asking_since_ms = now_ms

    def heard(
        self, now_ms: int, sender_id: str, configuration: model.Configuration
    ) -> None:
        """Note a message; only members are kept, so this stays bounded."""
        if sender_id not in configuration.replicas:
            return
        if sender_id not in self.heard_ms:
            for former in set(self.heard_ms) - set(configuration.replicas):
                del self.heard_ms[former]
        self.heard_ms[sender_id] = now_ms

    def answered(
        self, voter_id: str, *, granted: bool, reason: str, voters: tuple
    ) -> None:
        """Note what a voter answered to the wish for its vote.

        :param reason: '' from a release that did not tell it.
        """
        if granted:
            self.refusals.pop(voter_id, None)
        elif voter_id in voters:
            self.refusals[voter_id] = reason
