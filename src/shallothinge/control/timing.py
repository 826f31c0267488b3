"""Derives the parameters of the consensus protocol from the settings."""

from shallothinge.consensus import model
from shallothinge.settings import model as settings_model

KEPT_ENTRIES_DIVISOR = 4
# Two voters, such as remain when one of three is removed, tolerate no loss.
MIN_VOTERS_FLOOR = 3
# A voter that is silent for this long counts as gone. Even after two
# elections, as the first may be undecided, this period ends before a
# replacement host counts as caught up (4 s). A voter that was only slow joins
# again.
REPLACE_SILENT_MS = 1500
# Shorter than later election timeouts: after a restart of all hosts nothing is
# served until there is a leader.
FIRST_ELECTION_MS = 500


def protocol_timing(settings: settings_model.ControlSettings) -> model.Timing:
    """Return the times and sizes of the protocol for these settings."""
    log, discovery = settings.log, settings.discovery
    return model.Timing(
        heartbeat_ms=log.heartbeat_ms,
        election_min_ms=log.election_min_ms,
        election_max_ms=log.election_max_ms,
        kept_entries=log.snapshot_entries // KEPT_ENTRIES_DIVISOR,
        replace_silent_ms=_replace_silent_ms(discovery),
        min_voters=_min_voters(discovery),
        first_election_ms=FIRST_ELECTION_MS,
    )


def rejoins(discovery: settings_model.DiscoverySettings | None) -> bool:
    """Return whether an empty data folder replaces one that was lost.

    With discovery, hosts repair themselves: except at the first start of a
    deployment, an empty folder means that the host lost its disk.
    """
    return discovery is not None and not discovery.may_found


def _min_voters(
    discovery: settings_model.DiscoverySettings | None,
) -> int:
    """Return how many voters tolerate the losses that the settings ask for."""
    losses = 1 if discovery is None else discovery.losses_to_bear
    return max(MIN_VOTERS_FLOOR, 2 * losses + 1)


def _replace_silent_ms(
    discovery: settings_model.DiscoverySettings | None,
) -> int:
    """Return the silence after which a voter may be replaced; 0: never.

    Without discovery, operators order each replacement.
    """
    return 0 if discovery is None else REPLACE_SILENT_MS
