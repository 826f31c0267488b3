"""What a replica's settings mean for the protocol of the log."""

from shallothinge.consensus import model
from shallothinge.settings import model as settings_model

KEPT_DIVISOR = 4
# Two voters bear no loss, as one of three that is gone leaves them to.
MIN_LEAST_VOTERS = 3
# A voter that was silent for so long counts as gone. After two elections, as
# the first may be undecided, this ends before a successor counts in its place
# (4 s); a voter that is only late joins again.
REPLACE_SILENT_MS = 1500
# Short of the later elections: after a restart of all hosts nobody serves
# until there is a leader.
FIRST_ELECTION_MS = 500


def timing_of(settings: settings_model.ControlSettings) -> model.Timing:
    """Return the times and sizes of the protocol."""
    log, discovery = settings.log, settings.discovery
    return model.Timing(
        heartbeat_ms=log.heartbeat_ms,
        election_min_ms=log.election_min_ms,
        election_max_ms=log.election_max_ms,
        kept_entries=log.snapshot_entries // KEPT_DIVISOR,
        replace_silent_ms=_replace_silent_ms(discovery),
        least_voters=_least_voters(discovery),
        first_election_ms=FIRST_ELECTION_MS,
    )


def rejoins(discovery: settings_model.DiscoverySettings | None) -> bool:
    """Return whether an empty data folder stands for one that was lost.

    Hosts that find each other repair themselves: but at the first start of
    a deployment, an empty folder is that of a host that lost its disk.
    """
    return discovery is not None and not discovery.may_found


def _least_voters(
    discovery: settings_model.DiscoverySettings | None,
) -> int:
    """Return how many voters bear the losses that a deployment is to bear."""
    losses = 1 if discovery is None else discovery.losses_to_bear
    return max(MIN_LEAST_VOTERS, 2 * losses + 1)


def _replace_silent_ms(
    discovery: settings_model.DiscoverySettings | None,
) -> int:
    """Return the silence after which a voter may be replaced, 0 for never.

    Where the control hosts are listed, operators order each replacement.
    """
    return 0 if discovery is None else REPLACE_SILENT_MS
